// Tests how the leader handles tasks that crash the workers on which they run.
#include <criterion/criterion.h>

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
