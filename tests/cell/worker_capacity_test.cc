// Tests how the leader handles workers whose capacity shrinks and grows.
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

void StartCell(CellHarness& cell, std::int64_t wait_ms) {
  cell.Run(wait_ms);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(wait_ms);
}

}  // namespace

// Guards against starts that were planned for the capacity from before a change
// and are sent after it, because their commit took long.
Test(worker_capacity, sends_no_start_over_a_capacity_that_has_shrunk) {
  CellHarness cell({.workers = 4, .commit_ms = 6'000});
  StartCell(cell, 14'000);
  for (graph::JobId id = 1; id <= 40; ++id) {
    cell.Submit(id, "a", MakeJob(2, 4'000, 1'500));
  }
  cell.Run(3'000);
  for (std::size_t n = 0; n < 4; ++n) {
    cell.SetCapacity(n, 9'000, 16'384);
  }
  for (int n = 0; n < 400; ++n) {
    cell.Run(100);
  }
  for (std::size_t n = 0; n < 4; ++n) {
    cell.SetCapacity(n, 32'000, 65'536);
  }
  cell.Run(90'000);
  std::int32_t accepted = 0;
  for (graph::JobId id = 1; id <= 40; ++id) {
    if (cell.jobs[id].code == 0) {
      ++accepted;
      cr_expect(cell.StateOf(id) == wire::GraphJobState::kCompleted, "job %d",
                static_cast<int>(id));
    }
  }
  cr_expect_gt(accepted, 0);
  ExpectNoViolations(cell);
}

// Guards against exceeding a capacity that shrinks and grows again and again
// under load, and against tasks that wait for ever afterwards.
Test(worker_capacity, keeps_a_changing_capacity_under_load) {
  CellHarness cell({.workers = 4});
  StartCell(cell, 200);
  graph::JobId id = 0;
  for (int round = 0; round < 6; ++round) {
    for (std::size_t n = 0; n < 4; ++n) {
      const bool shrinks = (static_cast<int>(n) + round) % 2 == 0;
      cell.SetCapacity(n, shrinks ? 6'000 : 32'000, shrinks ? 8'192 : 65'536);
    }
    for (int n = 0; n < 60; ++n) {
      cell.Submit(++id, "a", MakeJob(3, 3'000, 2'500));
      cell.Run(150);
    }
  }
  for (std::size_t n = 0; n < 4; ++n) {
    cell.SetCapacity(n, 32'000, 65'536);
  }
  cell.Run(30'000);
  for (graph::JobId it = 1; it <= id; ++it) {
    cr_expect(cell.jobs[it].code != 0 ||
                  cell.StateOf(it) == wire::GraphJobState::kCompleted,
              "job %d", static_cast<int>(it));
  }
  ExpectNoViolations(cell);
}

// Guards against refusing a job for good, or failing an accepted one, because
// it fits no worker while their capacity is small.
Test(worker_capacity, waits_for_a_capacity_that_has_shrunk) {
  CellHarness cell({.workers = 2});
  StartCell(cell, 200);
  cell.Submit(1, "a", MakeJob(4, 20'000, 3'000));
  cell.Run(500);
  for (std::size_t n = 0; n < 2; ++n) {
    cell.SetCapacity(n, 8'000, 65'536);
  }
  cell.Run(500);
  cell.Submit(2, "a", MakeJob(1, 20'000, 3'000));
  cell.Submit(3, "a", MakeJob(1, 40'000, 3'000));
  cell.Run(10'000);
  cr_expect_eq(cell.jobs[2].code, static_cast<int>(ResultCode::kNotReady));
  cr_expect_gt(cell.jobs[2].retry_after_ms, 0);
  cr_expect_eq(cell.jobs[3].code, static_cast<int>(ResultCode::kImpossible));
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kRunning);
  for (std::size_t n = 0; n < 2; ++n) {
    cell.SetCapacity(n, 32'000, 65'536);
  }
  cell.Run(500);
  cell.Submit(2, "a", MakeJob(1, 20'000, 3'000));
  cell.Run(20'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kCompleted);
  cr_expect(cell.StateOf(2) == wire::GraphJobState::kCompleted);
  ExpectNoViolations(cell);
}
