// Tests that work accepted while workers leave and restart is finished by the
// leader that accepted it.
#include <criterion/criterion.h>

#include <cstdlib>
#include <random>

#include "cell_harness.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr graph::JobId kServiceJob = 1'000'000;

void ExpectNoViolations(const CellHarness& cell, std::uint64_t seed) {
  for (const auto& it : cell.violations) {
    cr_expect_fail("seed %lu: %s", static_cast<unsigned long>(seed),
                   it.c_str());
  }
}

wire::GraphJob MakeRandomJob(std::mt19937_64& random) {
  const auto draw = [&](int from, int to) {
    return std::uniform_int_distribution(from, to)(random);
  };
  auto job =
      MakeJob(draw(1, 4), std::int64_t{1'000} * draw(1, 4), draw(20, 200));
  switch (draw(0, 3)) {
    case 0:
      job.steps[0].gang = true;
      break;
    case 1:
      job.steps.push_back(job.steps[0]);
      job.steps[1].depends_on = {0};
      break;
    default:
      break;
  }
  return job;
}

struct ChurnOptions {
  std::uint64_t seed = 1;
  bool advice = false;
  bool leader_changes = false;
};

// Submits jobs every few milliseconds while workers depart, crash and restart.
// Once that has ended, every accepted job must complete without a new leader.
void RunChurn(const ChurnOptions& options) {
  constexpr std::int64_t kFaultsMs = 4'000;
  // Whatever ran on a worker that is gone is given up once its leases have
  // expired and it has been silent for 6 s, and then takes one more run.
  constexpr std::int64_t kMaxLeaseMs = 10'000;
  constexpr std::int64_t kPresumedDeadMs = 6'000;
  constexpr std::int64_t kRepeatMs = 4'000;
  std::mt19937_64 random(options.seed);
  const auto draw = [&](int from, int to) {
    return std::uniform_int_distribution(from, to)(random);
  };
  // With advice, enough that every step may run on some of them.
  const int workers = options.advice ? 40 : 10;
  CellHarness cell({.workers = workers,
                    .milli_cpus = 16'000,
                    .commit_ms = 5,
                    .max_commit_ms = 65,
                    .allowed_share = 0.3,
                    .seed = options.seed});
  cell.Run(200);
  auto queue = MakeQueue("a", 1);
  queue.latency_target_ms = 60'000;
  auto advised = queue;
  advised.name = "advised";
  advised.path_prefix = "/advised/";
  advised.needs_advice = true;
  advised.advice.base_ms = 20;
  advised.advice.per_worker_ms = 0.5;
  advised.advice.ticket_valid_ms = 1'500;
  cell.Publish({queue, advised});
  cell.Run(200);
  auto service = MakeJob(3, 500, 600'000);
  service.steps[0].long_running = true;
  cell.Submit(kServiceJob, "a", service);
  graph::JobId next = 1;
  const auto end_ms = cell.now_ms() + kFaultsMs;
  auto submit_ms = cell.now_ms();
  auto fault_ms = cell.now_ms() + 200;
  auto leader_ms =
      options.leader_changes ? cell.now_ms() + draw(500, 3'000) : end_ms;
  while (cell.now_ms() < end_ms) {
    auto& worker = cell.workers[static_cast<std::size_t>(draw(0, workers - 1))];
    bool departs = false;
    if (cell.now_ms() >= submit_ms) {
      const bool with_advice = options.advice && draw(0, 2) == 0;
      cell.Submit(next++, with_advice ? "advised" : "a", MakeRandomJob(random));
      submit_ms = cell.now_ms() + draw(2, 40);
      departs = draw(0, 3) == 0;
    }
    if (departs) {
      // The departure is committed together with starts, or shortly before.
      cell.Run(draw(0, 4));
    }
    if (departs || cell.now_ms() >= fault_ms) {
      fault_ms = cell.now_ms() + draw(20, 120);
      if (worker.gone || draw(0, 2) == 0) {
        cell.Restart(worker);
      } else if (draw(0, 3) == 0) {
        cell.Crash(worker);
      } else {
        cell.Depart(worker);
      }
    }
    if (cell.now_ms() >= leader_ms) {
      cell.ChangeLeader();
      leader_ms = end_ms;
    }
    cell.Run(1);
  }
  for (auto& it : cell.workers) {
    if (it.gone) {
      cell.Restart(it);
    }
  }
  const auto unfinished = [&] {
    std::vector<graph::JobId> out;
    for (graph::JobId id = 1; id < next; ++id) {
      if (cell.jobs[id].code == 0 &&
          cell.StateOf(id) != wire::GraphJobState::kCompleted) {
        out.push_back(id);
      }
    }
    return out;
  };
  const auto bound_ms =
      cell.now_ms() + kMaxLeaseMs + kPresumedDeadMs + kRepeatMs;
  while (!unfinished().empty() && cell.now_ms() < bound_ms) {
    cell.Run(200);
  }
  for (const auto id : unfinished()) {
    const auto state = cell.StateOf(id);
    cr_expect_fail("seed %lu: job %lu is not finished: %s",
                   static_cast<unsigned long>(options.seed),
                   static_cast<unsigned long>(id),
                   state ? wire::to_string(*state).c_str() : "unknown");
  }
  cell.Run(2'000);
  std::size_t services = 0;
  for (const auto& it : cell.workers) {
    for (const auto& [key, run] : it.runs) {
      services += key.first.job == kServiceJob ? 1 : 0;
    }
  }
  if (cell.jobs[kServiceJob].code == 0) {
    cr_expect_eq(services, 3, "seed %lu: %zu of 3 service tasks run",
                 static_cast<unsigned long>(options.seed), services);
  }
  ExpectNoViolations(cell, options.seed);
}

std::uint64_t FirstSeed() {
  const auto* text = std::getenv("CHURN_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

std::uint64_t SeedCount(std::uint64_t in_ci) {
  const auto* text = std::getenv("CHURN_SEEDS");
  return text == nullptr ? in_ci : std::strtoull(text, nullptr, 10);
}

}  // namespace

// Guards against jobs that wait for a new leader, and against crashes of the
// leader, after workers have left or restarted under the same id.
Test(worker_churn, finishes_all_work_after_random_departures) {
  for (std::uint64_t n = 0; n < SeedCount(20); ++n) {
    RunChurn({.seed = FirstSeed() + n});
  }
}

// Guards against the same when the leader changes meanwhile.
Test(worker_churn, finishes_all_work_after_a_change_of_the_leader) {
  for (std::uint64_t n = 0; n < SeedCount(20); ++n) {
    RunChurn({.seed = FirstSeed() + n, .leader_changes = true});
  }
}

// Guards against the same for steps that need advice, which allows three
// workers in ten.
Test(worker_churn, finishes_work_that_needs_advice) {
  for (std::uint64_t n = 0; n < SeedCount(8); ++n) {
    RunChurn({.seed = FirstSeed() + n, .advice = true});
  }
}
