// Tests how the leader handles jobs that prefer a rack, in virtual time.
#include <criterion/criterion.h>

#include "cell_harness.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

// Starts a job that fills the rack r0 for 2 s, and then one of 4 tasks that
// prefers r0, while the workers of r1 are idle.
void SubmitJobs(CellHarness& cell) {
  cell.Run(200);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
  auto job = MakeJob(8, 16'000, 2'000);
  job.steps[0].data_rack = "r0";
  cell.Submit(1, "a", job);
  cell.Run(100);
  job.steps[0].task_count = 4;
  cell.Submit(2, "a", job);
}

std::int64_t CountStarts(CellHarness& cell, const char* place) {
  return static_cast<std::int64_t>(
      cell.metrics().Counter(std::string(place) + "_starts_total"));
}

}  // namespace

// Guards against far starts beside near places that are free soon, also under a
// leader that takes over while tasks wait.
Test(near_places, waits_for_a_near_place_under_two_leaders) {
  CellHarness cell({.far_run_factor = 3});
  SubmitJobs(cell);
  cell.Run(600);
  cr_expect_eq(CountStarts(cell, "near"), 8);
  cell.ChangeLeader();
  cell.Run(5'000);
  cr_expect_eq(CountStarts(cell, "near"), 12);
  cr_expect_eq(CountStarts(cell, "far"), 0);
  cr_expect(cell.StateOf(2) == wire::GraphJobState::kCompleted);
  cr_expect(cell.violations.empty());
}

// Guards against waits in deployments whose settings have no factor.
Test(near_places, takes_a_far_place_at_once_without_a_factor) {
  CellHarness cell;
  SubmitJobs(cell);
  cell.Run(200);
  cr_expect_eq(CountStarts(cell, "far"), 4);
}

// The workers of the rack are lost while tasks wait for it. Guards against
// tasks that wait until its leases have run out.
Test(near_places, ends_the_wait_for_workers_that_left) {
  CellHarness cell({.far_run_factor = 3});
  SubmitJobs(cell);
  cell.Run(600);
  for (std::size_t n = 0; n < 4; ++n) {
    cell.Depart(cell.workers[n]);
  }
  cell.Run(300);
  cr_expect_geq(CountStarts(cell, "far"), 4);
  cell.Run(20'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kCompleted);
  cr_expect(cell.StateOf(2) == wire::GraphJobState::kCompleted);
  cr_expect(cell.violations.empty());
}
