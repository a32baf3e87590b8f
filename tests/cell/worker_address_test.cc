// Tests what the leader concludes from a report of a later start at the address
// of a worker, under its id or another one.
#include <criterion/criterion.h>

#include <algorithm>

#include "cell_harness.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

// A report that somebody else has made up, of a worker at the same address that
// was started just now.
wire::CalledWorker MakeFalseRecord(const CellHarness& cell,
                                   const FakeWorker& worker) {
  auto record = worker.record;
  record.id = "other";
  record.born_ms = cell.WallMilliseconds();
  return record;
}

void ExpectCompleted(CellHarness& cell) {
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kCompleted);
  for (const auto& it : cell.violations) {
    cr_expect_fail("%s", it.c_str());
  }
}

// Returns the longest time from the report of a restarted worker until the two
// tasks that it had run again.
std::int64_t TimeToStartAgain(const std::string& id) {
  constexpr std::int64_t kMaxMs = 30'000;
  std::int64_t longest_ms = 0;
  for (std::int64_t wait_ms = 0; wait_ms < 1'000; wait_ms += 90) {
    CellHarness cell({.workers = 6});
    auto& worker = FillFourWorkers(cell, 40'000);
    cell.Run(wait_ms);
    cell.Restart(worker, id);
    while (worker.gone) {
      cell.Run(1);
    }
    const auto reported_ms = cell.now_ms();
    while (cell.starts < 10 && cell.now_ms() - reported_ms < kMaxMs) {
      cell.Run(1);
    }
    longest_ms = std::max(longest_ms, cell.now_ms() - reported_ms);
    for (const auto& it : cell.violations) {
      cr_expect_fail("%s", it.c_str());
    }
  }
  return longest_ms;
}

}  // namespace

// Guards against a task that runs twice, or counts a crash, because a report
// that nobody at that address has sent names the address of its worker.
Test(worker_address, is_not_taken_over_by_a_false_report) {
  for (const bool reachable : {true, false}) {
    for (std::int64_t wait_ms = 0; wait_ms < 1'500; wait_ms += 130) {
      CellHarness cell({.workers = 6});
      auto& worker = FillFourWorkers(cell, 8'000);
      cell.Run(wait_ms);
      worker.silent = !reachable;
      const auto record = MakeFalseRecord(cell, worker);
      for (int n = 0; n < 3; ++n) {
        cell.ReportRecord(record, 0);
        cell.Run(500);
      }
      worker.silent = false;
      cell.Run(20'000);
      ExpectCompleted(cell);
      cr_expect_eq(cell.starts, 8);
      cr_expect_eq(cell.metrics().Counter("worker_crashes_total").load(), 0U);
    }
  }
}

// Guards against the same if the leader changes after the report.
Test(worker_address, is_not_taken_over_when_the_leader_changes) {
  for (std::int64_t change_ms = 0; change_ms < 300; change_ms += 11) {
    CellHarness cell({.workers = 6});
    const auto& worker = FillFourWorkers(cell, 8'000);
    cell.ReportRecord(MakeFalseRecord(cell, worker), 0);
    cell.Run(change_ms);
    cell.ChangeLeader();
    cell.Run(20'000);
    ExpectCompleted(cell);
    cr_expect_eq(cell.starts, 8);
  }
}

// Guards against a worker whose reports and lists are ignored for ever, and its
// tasks with them, because somebody else has reported a later start of it.
Test(worker_address, stays_in_use_after_a_false_report_of_its_restart) {
  for (std::int64_t wait_ms = 0; wait_ms < 1'500; wait_ms += 130) {
    CellHarness cell({.workers = 6});
    const auto& worker = FillFourWorkers(cell, 8'000);
    cell.Run(wait_ms);
    auto record = worker.record;
    record.born_ms = cell.WallMilliseconds();
    cell.ReportRecord(record, 0);
    cell.Run(20'000);
    ExpectCompleted(cell);
    cr_expect_eq(cell.starts, 8);
    const auto number = cell.engine().store().FindWorker(worker.record.id);
    cr_assert(number.has_value());
    cr_expect_eq(cell.engine().store().workers().at(*number).born_ms,
                 worker.record.born_ms);
  }
}

// Guards against tasks that wait for the end of a lease although the worker has
// restarted, under its id or another one.
Test(worker_address, has_its_tasks_started_again_soon_after_a_restart) {
  // Urgent work starts within this time.
  constexpr std::int64_t kUrgentStartMs = 1'100;
  for (const char* id : {"", "next"}) {
    const auto ms = TimeToStartAgain(id);
    cr_log_info("id '%s': started again after %d ms", id, static_cast<int>(ms));
    cr_expect_leq(ms, kUrgentStartMs);
  }
}

// Guards against tasks that wait for ever, and against tasks that run twice, if
// the leader can't reach the worker that has restarted under another id.
Test(worker_address, has_its_tasks_started_again_if_it_cannot_be_reached) {
  for (std::int64_t cut_ms = 0; cut_ms <= 12'000; cut_ms += 1'500) {
    CellHarness cell({.workers = 6});
    auto& worker = FillFourWorkers(cell, 8'000);
    cell.Restart(worker, "next");
    worker.unreachable = true;
    cell.Run(cut_ms);
    worker.unreachable = false;
    cell.Run(30'000);
    ExpectCompleted(cell);
  }
}
