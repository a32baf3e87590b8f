// Tests how the leader handles tasks that crash the workers on which they run.
#include <criterion/criterion.h>

#include <cstdlib>
#include <random>

#include "cell_harness.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

void ExpectNoViolations(const CellHarness& cell) {
  for (const auto& it : cell.violations) {
    cr_expect_fail("%s", it.c_str());
  }
}

void StartCell(CellHarness& cell) {
  cell.Run(200);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
}

wire::GraphJob MakeGang(std::int32_t tasks) {
  auto job = MakeJob(tasks, 8'000, 2'000);
  job.steps[0].gang = true;
  job.steps[0].max_per_worker = 1;
  return job;
}

bool IsUnfinished(const CellHarness& cell, graph::JobId id) {
  const auto job = cell.jobs.find(id);
  return job != cell.jobs.end() && job->second.code == 0 &&
         cell.StateOf(id) != wire::GraphJobState::kCompleted;
}

std::size_t RunsOf(const CellHarness& cell, graph::JobId id) {
  std::size_t out = 0;
  for (const auto& worker : cell.workers) {
    for (const auto& [key, run] : worker.runs) {
      out += key.first.job == id ? 1 : 0;
    }
  }
  return out;
}

// Crashes random workers at about the same time, as many as a failed rack has.
void CrashWave(CellHarness& cell, std::mt19937_64& random, std::size_t count) {
  std::uniform_int_distribution<std::size_t> pick(0, cell.workers.size() - 1);
  std::uniform_int_distribution<std::int64_t> down_ms(1'000, 3'000);
  for (std::size_t n = 0; n < count; ++n) {
    const auto worker = pick(random);
    if (!cell.workers[worker].gone) {
      cell.CrashFor(worker, down_ms(random));
    }
  }
}

struct MixedLoad {
  std::uint64_t seed = 1;
  std::int32_t workers = 48;
  graph::JobId jobs = 240;
  graph::JobId crash_every = 12;  // Every job with such an id crashes workers.
  std::int32_t waves = 0;         // Of crashes of a sixth of the workers.
  bool leader_changes = false;
};

bool Crashes(const MixedLoad& load, graph::JobId id) {
  return load.crash_every > 0 && id % load.crash_every == 0;
}

// Submits jobs during ten seconds, some of which crash their workers.
void RunMixedLoad(const MixedLoad& load) {
  constexpr std::int64_t kLoadMs = 10'000;
  std::mt19937_64 random(load.seed);
  const auto draw = [&](int from, int to) {
    return std::uniform_int_distribution(from, to)(random);
  };
  CellHarness cell({.workers = load.workers,
                    .milli_cpus = 16'000,
                    .max_commit_ms = 40,
                    .seed = load.seed});
  StartCell(cell);
  cell.crash_after_ms = draw(5, 600);
  cell.crash_down_ms = draw(1'000, 5'000);
  cell.crashes_worker = [&](const auto& key) { return Crashes(load, key.job); };
  const auto submit_ms = kLoadMs / static_cast<std::int64_t>(load.jobs);
  const auto wave_ms = kLoadMs / (load.waves + 1);
  auto next_wave_ms = cell.now_ms() + wave_ms;
  const auto end_ms = cell.now_ms() + kLoadMs;
  for (graph::JobId id = 1; id <= load.jobs; ++id) {
    auto job =
        MakeJob(draw(1, 4), std::int64_t{1'000} * draw(1, 4), draw(700, 3'000));
    job.steps[0].gang = draw(0, 3) == 0;
    cell.Submit(id, "a", job);
    cell.Run(submit_ms);
    if (cell.now_ms() >= next_wave_ms && next_wave_ms < end_ms) {
      next_wave_ms += wave_ms;
      CrashWave(cell, random, cell.workers.size() / 6);
    }
    if (load.leader_changes && id % 50 == 0) {
      cell.ChangeLeader();
    }
  }
  cell.Run(60'000);
  for (graph::JobId id = 1; id <= load.jobs; ++id) {
    if (Crashes(load, id)) {
      cr_expect(cell.jobs[id].code != 0 ||
                    cell.StateOf(id) == wire::GraphJobState::kFailed,
                "seed %lu: job %lu crashes workers and is not given up",
                static_cast<unsigned long>(load.seed),
                static_cast<unsigned long>(id));
    } else {
      cr_expect_not(IsUnfinished(cell, id), "seed %lu: job %lu is not finished",
                    static_cast<unsigned long>(load.seed),
                    static_cast<unsigned long>(id));
    }
  }
  for (const auto& it : cell.violations) {
    cr_expect_fail("seed %lu: %s", static_cast<unsigned long>(load.seed),
                   it.c_str());
  }
}

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const auto* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// CRASH_SEED and CRASH_SEEDS select other seeds than those that run in CI.
void RunMixedLoads(MixedLoad load, std::uint64_t seeds) {
  load.seed = FromEnvironment("CRASH_SEED", 1);
  for (auto n = FromEnvironment("CRASH_SEEDS", seeds); n > 0; --n) {
    RunMixedLoad(load);
    ++load.seed;
  }
}

}  // namespace

// Guards against a task that is started without limit and crashes worker after
// worker.
Test(worker_crash, gives_up_a_task_that_crashes_its_workers) {
  CellHarness cell({.workers = 6});
  StartCell(cell);
  cell.crashes_worker = [](const auto& key) { return key.job == 1; };
  cell.Submit(1, "a", MakeJob(1, 4'000, 1'000));
  cell.Run(60'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kFailed);
  cr_expect_geq(cell.crashes_by_task[graph::TaskKey({1, 0, 0, 0})], 2);
  ExpectNoViolations(cell);
}

// Guards against the same with a gang of which one member crashes its worker.
Test(worker_crash, gives_up_a_gang_that_crashes_its_workers) {
  CellHarness cell({.workers = 8});
  StartCell(cell);
  cell.crashes_worker = [](const auto& key) {
    return key.job == 1 && key.index == 2;
  };
  cell.Submit(1, "a", MakeGang(4));
  cell.Run(90'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kFailed);
  ExpectNoViolations(cell);
}

// Guards against a gang whose members crash all their workers at one moment,
// which looks like a failure of the workers.
Test(worker_crash, gives_up_a_gang_whose_members_all_crash_their_workers) {
  CellHarness cell({.workers = 8});
  StartCell(cell);
  cell.crashes_worker = [](const auto& key) { return key.job == 1; };
  cell.Submit(1, "a", MakeGang(4));
  cell.Run(90'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kFailed);
  ExpectNoViolations(cell);
}

// Guards against crashes that a new leader does not know of.
Test(worker_crash, counts_crashes_under_earlier_leaders) {
  CellHarness cell({.workers = 6});
  StartCell(cell);
  cell.crashes_worker = [](const auto& key) { return key.job == 1; };
  cell.Submit(1, "a", MakeJob(1, 4'000, 1'000));
  for (int n = 0; n < 25; ++n) {
    cell.Run(2'500);
    cell.ChangeLeader();
  }
  cell.Run(20'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kFailed);
  ExpectNoViolations(cell);
}

// Guards against failing the tasks that merely ran beside one that crashes its
// workers.
Test(worker_crash, completes_the_neighbours_of_a_task_that_crashes_workers) {
  CellHarness cell({.workers = 4});
  StartCell(cell);
  cell.crashes_worker = [](const auto& key) { return key.job == 1; };
  for (graph::JobId id = 2; id <= 9; ++id) {
    cell.Submit(id, "a", MakeJob(1, 4'000, 6'000));
  }
  cell.Submit(1, "a", MakeJob(1, 4'000, 1'000));
  cell.Run(90'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kFailed);
  for (graph::JobId id = 2; id <= 9; ++id) {
    cr_expect(cell.jobs[id].code != 0 ||
                  cell.StateOf(id) == wire::GraphJobState::kCompleted,
              "job %d", static_cast<int>(id));
  }
  ExpectNoViolations(cell);
}

// Guards against blaming the tasks of a rack that loses its power repeatedly.
Test(worker_crash, blames_no_task_for_the_crashes_of_a_rack) {
  CellHarness cell({.workers = 8});
  StartCell(cell);
  // The service of the tasks runs in the rack that crashes, which holds the
  // workers 0 to 3.
  for (std::size_t n = 0; n < 4; ++n) {
    cell.workers[n].record.labels = {"x"};
  }
  cell.Run(2'000);
  for (graph::JobId id = 1; id <= 8; ++id) {
    auto job = MakeJob(1, 4'000, 9'000);
    job.steps[0].required_label = "x";
    cell.Submit(id, "a", job);
  }
  for (int round = 0; round < 3; ++round) {
    cell.Run(4'000);
    for (std::size_t n = 0; n < 4; ++n) {
      cell.CrashFor(n, 1'500 + static_cast<std::int64_t>(n) * 100);
    }
  }
  cell.Run(60'000);
  for (graph::JobId id = 1; id <= 8; ++id) {
    cr_expect(cell.jobs[id].code != 0 ||
                  cell.StateOf(id) == wire::GraphJobState::kCompleted,
              "job %d", static_cast<int>(id));
  }
  ExpectNoViolations(cell);
}

// Guards against a long-running task that is started without limit and crashes
// worker after worker.
Test(worker_crash, gives_up_a_long_running_task_that_crashes_its_workers) {
  CellHarness cell({.workers = 6});
  StartCell(cell);
  cell.crashes_worker = [](const auto& key) { return key.job == 1; };
  auto job = MakeJob(1, 4'000, 600'000);
  job.steps[0].long_running = true;
  cell.Submit(1, "a", job);
  cell.Run(90'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kFailed);
  ExpectNoViolations(cell);
}

// Guards against a gang that fails because each wave of crashes takes a worker
// of one of its members.
Test(worker_crash, completes_a_gang_that_waves_of_crashes_hit) {
  CellHarness cell({.workers = 10});
  StartCell(cell);
  cell.Submit(1, "a", MakeGang(10));
  for (std::size_t n = 0; n < 8; ++n) {
    cell.Run(6'500);
    cell.CrashFor(n, 1'500);
    cell.CrashFor((n + 3) % 10, 1'700);
  }
  cell.Run(60'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kCompleted);
  ExpectNoViolations(cell);
}

// Guards against a task that fails because each worker that it gets crashes
// together with others.
Test(worker_crash, completes_a_task_whose_worker_is_hit_by_every_wave) {
  CellHarness cell({.workers = 24});
  StartCell(cell);
  cell.Submit(1, "a", MakeJob(1, 4'000, 3'000));
  for (int wave = 0; wave < 8; ++wave) {
    for (int n = 0; n < 20'000 && RunsOf(cell, 1) == 0; n += 10) {
      cell.Run(10);
    }
    cell.Run(500);
    std::size_t others = 4;
    for (std::size_t n = 0; n < cell.workers.size(); ++n) {
      if (!cell.workers[n].runs.empty() || others-- > 0) {
        cell.CrashFor(n, 1'000 + static_cast<std::int64_t>(n * 70));
      }
    }
  }
  cell.Run(60'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kCompleted);
  ExpectNoViolations(cell);
}

// Guards against a long-running task that is given up, or kept waiting, because
// its workers crashed for other reasons.
Test(worker_crash, restarts_a_long_running_task_after_many_crashes) {
  CellHarness cell({.workers = 10});
  StartCell(cell);
  auto job = MakeJob(3, 2'000, 600'000);
  job.steps[0].long_running = true;
  cell.Submit(1, "a", job);
  std::mt19937_64 random(1);
  for (int n = 0; n < 30; ++n) {
    cell.Run(9'000);
    CrashWave(cell, random, 3);
  }
  cell.Run(15'000);
  cr_expect_eq(RunsOf(cell, 1), 3);
  ExpectNoViolations(cell);
}

// Guards against a task that goes on crashing its workers because none of them
// is ever empty.
Test(worker_crash, gives_up_a_task_that_crashes_workers_in_a_full_cell) {
  CellHarness cell({.workers = 8, .milli_cpus = 16'000});
  StartCell(cell);
  cell.crashes_worker = [](const auto& key) { return key.job == 1; };
  for (graph::JobId id = 2; id <= 200; ++id) {
    cell.Submit(id, "a", MakeJob(1, 4'000, 1'500));
    if (id == 20) {
      cell.Submit(1, "a", MakeJob(1, 4'000, 1'000));
    }
    cell.Run(50);
  }
  cell.Run(90'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kFailed);
  for (graph::JobId id = 2; id <= 200; ++id) {
    cr_expect_not(IsUnfinished(cell, id), "job %d", static_cast<int>(id));
  }
  ExpectNoViolations(cell);
}

// Guards against harm to other jobs while several tasks crash workers at a
// time.
Test(worker_crash, tells_tasks_that_crash_workers_from_others) {
  RunMixedLoads({}, 4);
}

// Guards against jobs that fail in repeated waves of crashes.
Test(worker_crash, blames_no_task_for_waves_of_crashes) {
  RunMixedLoads({.crash_every = 0, .waves = 6}, 4);
}

// Guards against evidence that is lost with the leader.
Test(worker_crash, tells_tasks_that_crash_workers_across_leaders) {
  RunMixedLoads({.leader_changes = true}, 4);
}
