// Tests that a run which nobody follows is given up in a bounded time.
#include <criterion/criterion.h>

#include "cell_harness.h"
#include "run_check.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

// Guards against a job that waits for a new leader, because a run is open in
// the committed state and the leader doesn't know it.
Test(run_check, gives_up_a_run_that_the_leader_does_not_follow) {
  constexpr std::int64_t kMaxLeaseMs = 10'000;
  constexpr std::int64_t kRepeatMs = 1'000;
  CellHarness cell({.workers = 2});
  cell.Run(200);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
  for (auto& it : cell.workers) {
    it.silent = true;
  }
  cell.Run(5'000);
  cell.Submit(1, "a", MakeJob(1, 4'000, 100));
  cell.Run(100);
  wire::GraphBatch batch;
  auto& start = batch.starts.emplace_back();
  start.task = graph::ToWire({1, 0, 0, 0});
  start.run = 1;
  start.worker = 77;
  cell.Commit(batch);
  for (auto& it : cell.workers) {
    it.silent = false;
  }
  cell.Run(kMaxLeaseMs + kRepeatMs);
  cr_assert_eq(cell.jobs[1].code, 0);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kCompleted);
  cr_expect_eq(cell.metrics().Counter("runs_without_owner_total").load(), 1);
}

// Guards against a check that misses jobs when it takes several turns, and
// against giving up a run that has an owner again.
Test(run_check, examines_all_jobs_in_turns) {
  constexpr std::int32_t kTasks = 10;
  constexpr std::size_t kMaxTasks = std::size_t{2} * kTasks;
  graph::GraphStore store;
  wire::GraphBatch batch;
  for (std::int64_t id = 1; id <= 5; ++id) {
    auto& job = batch.jobs.emplace_back();
    job.id = id;
    job.queue = MakeQueue("a", 1);
    job.job = MakeJob(kTasks, 1'000, 100);
    for (std::int32_t n = 0; n < kTasks; ++n) {
      auto& start = batch.starts.emplace_back();
      start.task = graph::ToWire({static_cast<graph::JobId>(id), 0, 0, n});
      start.run = 1;
      start.worker = 1;
    }
  }
  store.Apply(batch);
  RunCheck check(store);
  bool job_4_has_owner = false;
  const auto has_owner = [&](const TaskKey& task, std::int32_t, WorkerNumber) {
    return task.index != 3 || (task.job == 4 && job_4_has_owner);
  };
  std::int64_t now_ms = 0;
  for (; now_ms < 10; ++now_ms) {
    cr_expect(check.Advance(now_ms, 100, kMaxTasks, has_owner).empty());
  }
  job_4_has_owner = true;
  std::set<graph::JobId> found;
  for (; now_ms < 110; ++now_ms) {
    for (const auto& it : check.Advance(now_ms, 100, kMaxTasks, has_owner)) {
      cr_expect_eq(it.key.first.index, 3);
      cr_expect(found.insert(it.key.first.job).second);
    }
  }
  const std::set<graph::JobId> expected{1, 2, 3, 5};
  cr_expect(found == expected);
}
