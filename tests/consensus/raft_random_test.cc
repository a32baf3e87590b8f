#include <criterion/criterion.h>

#include <cstdlib>

#include "simulation.h"

namespace cranberryshunt::consensus {

namespace {

constexpr std::int64_t kRunMs = 30'000;

// SIMULATION_SEED runs one seed, SIMULATION_SEEDS another number of them.
std::uint64_t Setting(const char* name, std::uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

// What the runs went through, so that a test can check that its faults
// happened.
struct Totals {
  std::int64_t committed = 0;
  std::int64_t terms = 0;
  int emptied = 0;
  int removed = 0;
  int snapshots = 0;
};

Totals RunSeeds(int size, int seeds, const SimulationFaults& faults) {
  Totals totals;
  const auto first = Setting("SIMULATION_SEED", 1);
  const auto n =
      std::getenv("SIMULATION_SEED") != nullptr
          ? 1
          : Setting("SIMULATION_SEEDS", static_cast<std::uint64_t>(seeds));
  for (auto seed = first; seed < first + n; ++seed) {
    Simulation simulation(seed, size, faults);
    simulation.RunFor(kRunMs);
    const bool converged = simulation.Converge();
    totals.committed += simulation.committed();
    totals.emptied += simulation.emptied;
    totals.removed += simulation.removed;
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
      static_cast<long long>(totals.terms), totals.emptied, totals.removed,
      totals.snapshots);
  return totals;
}

}  // namespace

// Guards against two leaders, diverging logs and lost entries when messages are
// lost, repeated, late and reordered.
Test(raft_random, network_faults) {
  RunSeeds(5, 12, {.drop = 0.1, .late = 0.05, .partition = 0.004});
}

// Guards against a lease that a paused or partitioned leader still believes in
// while another one holds it.
Test(raft_random, pauses) {
  RunSeeds(3, 12, {.partition = 0.004, .pause = 0.01});
}

// Guards against acknowledging what a power failure at any write loses.
Test(raft_random, power_failures) {
  RunSeeds(5, 12, {.crash = 0.01, .partition = 0.002});
}

// Guards against losing acknowledged entries when a disk is full.
Test(raft_random, full_disks) {
  RunSeeds(3, 12, {.crash = 0.002, .full = 0.004});
}

// Guards against counting the vote or the log of a disk that was emptied, with
// another disk lost right after the first one was promoted again.
Test(raft_random, emptied_disks) {
  const auto totals =
      RunSeeds(3, 12, {.crash = 0.002, .partition = 0.001, .empty = 0.02});
  cr_assert_gt(totals.emptied, 0);
  // Without snapshots and new leaders, which tell an emptied replica of the
  // membership.
  RunSeeds(3, 6, {.empty = 0.002, .compact = 0, .transfer = 0});
}

// Guards against two majorities while members are removed and added.
Test(raft_random, membership_changes) {
  const auto totals =
      RunSeeds(5, 12, {.crash = 0.001, .partition = 0.002, .remove = 0.03});
  cr_assert_gt(totals.removed, 0);
}

// Guards against combinations of all of these.
Test(raft_random, everything) {
  RunSeeds(5, 12,
           {.drop = 0.05,
            .crash = 0.003,
            .partition = 0.002,
            .pause = 0.003,
            .full = 0.002,
            .empty = 0.01,
            .remove = 0.01});
}

}  // namespace cranberryshunt::consensus
