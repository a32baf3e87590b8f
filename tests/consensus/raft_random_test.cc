#include <criterion/criterion.h>

#include <cstdlib>

#include "simulation.h"

namespace cranberryshunt::consensus {

namespace {

constexpr std::int64_t kRunMs = 30'000;

// Reads a number from an environment variable. SIMULATION_SEED runs only that
// seed; SIMULATION_SEEDS changes the number of seeds.
std::uint64_t EnvironmentNumber(const char* name, std::uint64_t default_value) {
  const char* value = std::getenv(name);
  return value == nullptr ? default_value : std::strtoull(value, nullptr, 10);
}

// Sums over all runs, so that a test can check that its faults occurred.
struct Totals {
  std::int64_t committed = 0;
  std::int64_t terms = 0;
  int emptied_disks = 0;
  int removed_members = 0;
  int snapshots = 0;
};

Totals RunSeeds(int size, int seeds, const SimulationFaults& faults) {
  Totals totals;
  const auto first = EnvironmentNumber("SIMULATION_SEED", 1);
  const auto n = std::getenv("SIMULATION_SEED") != nullptr
                     ? 1
                     : EnvironmentNumber("SIMULATION_SEEDS",
                                         static_cast<std::uint64_t>(seeds));
  for (auto seed = first; seed < first + n; ++seed) {
    Simulation simulation(seed, size, faults);
    simulation.RunFor(kRunMs);
    const bool converged = simulation.Converge();
    totals.committed += simulation.committed();
    totals.emptied_disks += simulation.emptied_disks;
    totals.removed_members += simulation.removed_members;
    totals.snapshots += simulation.snapshots_installed;
    totals.terms += simulation.terms();
    cr_expect(simulation.error.empty(), "seed %llu: %s",
              static_cast<unsigned long long>(seed), simulation.error.c_str());
    cr_expect(converged || !simulation.error.empty(),
              "seed %llu: no convergence at %lld",
              static_cast<unsigned long long>(seed),
              static_cast<long long>(simulation.committed()));
  }
  cr_log_info(
      "%lld entries, %lld terms, %d emptied disks, %d removals, "
      "%d snapshots",
      static_cast<long long>(totals.committed),
      static_cast<long long>(totals.terms), totals.emptied_disks,
      totals.removed_members, totals.snapshots);
  return totals;
}

}  // namespace

// Guards against two leaders, diverging logs and lost entries when messages are
// dropped, duplicated, delayed and reordered.
Test(raft_random, network_faults) {
  RunSeeds(5, 12, {.drop = 0.1, .delay = 0.05, .partition = 0.004});
}

// Guards against a paused or partitioned leader whose lease is still valid
// while another leader holds one.
Test(raft_random, pauses) {
  RunSeeds(3, 12, {.partition = 0.004, .pause = 0.01});
}

// Guards against acknowledging data that a power failure can still lose. The
// power may fail at any write.
Test(raft_random, power_failures) {
  RunSeeds(5, 12, {.crash = 0.01, .partition = 0.002});
}

// Guards against losing acknowledged entries when a disk is full.
Test(raft_random, full_disks) {
  RunSeeds(3, 12, {.crash = 0.002, .full_disk = 0.004});
}

// Guards against counting the vote or the log of a replica whose disk was
// emptied. Another disk may be emptied right after the first replica was
// promoted again.
Test(raft_random, emptied_disks) {
  const auto totals =
      RunSeeds(3, 12, {.crash = 0.002, .partition = 0.001, .empty_disk = 0.02});
  cr_assert_gt(totals.emptied_disks, 0);
  // Without compaction and leadership transfers, because an emptied replica
  // also learns the membership from a snapshot or a new leader.
  RunSeeds(3, 6, {.empty_disk = 0.002, .compact = 0, .transfer_leadership = 0});
}

// Guards against two disjoint majorities while members are removed and added.
Test(raft_random, membership_changes) {
  const auto totals = RunSeeds(
      5, 12, {.crash = 0.001, .partition = 0.002, .remove_member = 0.03});
  cr_assert_gt(totals.removed_members, 0);
}

// Guards against failures that need a combination of the faults above.
Test(raft_random, everything) {
  RunSeeds(5, 12,
           {.drop = 0.05,
            .crash = 0.003,
            .partition = 0.002,
            .pause = 0.003,
            .full_disk = 0.002,
            .empty_disk = 0.01,
            .remove_member = 0.01});
}

}  // namespace cranberryshunt::consensus
