// Tests that a leader does nothing on a permission that has run out, and that a
// worker forgets no end before the committed state shows it.
#include <criterion/criterion.h>

#include "cell_harness.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

void StartCell(CellHarness& cell) {
  cell.Run(200);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
}

void ExpectNoViolations(const CellHarness& cell) {
  for (const auto& it : cell.violations) {
    cr_expect_fail("%s", it.c_str());
  }
}

}  // namespace

// Guards against orders that go out twice around a change of leaders: the
// decision thread still acts for an earlier term of this member, which holds
// the lease of a later one by now.
Test(hand_over, does_nothing_with_the_lease_of_a_later_term) {
  CellHarness cell;
  StartCell(cell);
  cell.Submit(1, "a", MakeJob(4, 2'000, 300));
  cell.Run(1);
  cell.lease_term = 3;
  cell.Run(1'000);
  cr_expect_eq(cell.starts, 0);
  cell.lease_term.reset();
  cell.Run(2'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kCompleted);
  ExpectNoViolations(cell);
}

// Guards against a task that runs again although the end of its run was
// acknowledged: the result had no effect, because another entry had changed the
// task before it was applied.
Test(hand_over, keeps_an_end_until_the_state_shows_it) {
  constexpr std::int64_t kRunMs = 300;
  constexpr std::int64_t kCommitMs = 40;
  CellHarness cell({.workers = 2, .commit_ms = kCommitMs});
  StartCell(cell);
  cell.Submit(1, "a", MakeJob(1, 2'000, kRunMs));
  const graph::TaskKey task{1, 0, 0, 0};
  while (cell.starts == 0) {
    cell.Run(1);
  }
  cell.Run(kRunMs + kCommitMs / 2);
  cr_assert_eq(cell.engine().store().FindJob(1)->task(task).run, 1);
  wire::GraphBatch other;
  auto& lost = other.results.emplace_back();
  lost.task = graph::ToWire(task);
  lost.run = 1;
  lost.how = wire::RunEnd::kLost;
  cell.Commit(other);
  other = {};
  auto& start = other.starts.emplace_back();
  start.task = graph::ToWire(task);
  start.run = 2;
  start.worker = 2;
  cell.Commit(other);
  cell.Run(15'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kCompleted);
  cr_expect_eq(cell.starts, 1);
  ExpectNoViolations(cell);
}

// Load pattern: work has become late in an outage. The cell's time goes on with
// each batch, here those of job 4. Guards against a new leader
// that takes inherited jobs for just accepted, and places those that are late
// before new ones that can still be in time.
Test(hand_over, places_jobs_on_time_before_inherited_late_ones) {
  CellHarness cell({.workers = 1, .milli_cpus = 4'000});
  StartCell(cell);
  cell.Submit(1, "a", MakeJob(1, 4'000, 9'000));
  cell.Run(200);
  cell.Submit(2, "a", MakeJob(1, 4'000, 1'000));
  cell.Run(7'300);
  cell.Submit(4, "a", MakeJob(1, 4'000, 1'000));
  cell.Run(100);
  cell.Cancel(4, "a");
  cell.Run(100);
  cell.ChangeLeader();
  cell.Run(300);
  cell.Submit(3, "a", MakeJob(1, 4'000, 1'000));
  cell.Run(12'000);
  cr_assert_eq(cell.jobs[3].code, 0);
  cr_assert_gt(cell.jobs[3].first_start_ms, 0);
  cr_assert_gt(cell.jobs[2].first_start_ms, 0);
  cr_expect_lt(cell.jobs[3].first_start_ms, cell.jobs[2].first_start_ms);
  ExpectNoViolations(cell);
}
