// Tests the times by which ended jobs are kept and steps count as held back.
#include <criterion/criterion.h>

#include "cranberryshunt/graph/graph_store.h"
#include "step_tracker.h"

using namespace cranberryshunt;  // NOLINT

namespace {

constexpr graph::JobId kJob = 7;
constexpr std::int64_t kRetentionMs = 120'000;

wire::GraphBatch AcceptJob(std::int64_t at_ms) {
  wire::GraphBatch batch;
  batch.at_ms = at_ms;
  batch.jobs.emplace_back();
  batch.jobs.back().id = static_cast<std::int64_t>(kJob);
  batch.jobs.back().job.occurrences = 1;
  batch.jobs.back().job.steps.emplace_back();
  batch.jobs.back().job.steps.back().task_count = 1;
  return batch;
}

}  // namespace

// Guards against an ended job that a new leader drops at once: the leader
// before it was restored from a snapshot without ended jobs, so its time began
// anew.
Test(lost_review, keeps_the_time_of_the_cell_in_a_snapshot) {
  constexpr std::int64_t kHourMs = 3'600'000;
  graph::GraphStore follower;
  follower.Apply(AcceptJob(kHourMs));
  graph::GraphStore leader;
  cr_assert(leader.Restore(follower.Snapshot()).has_value());
  cr_expect_eq(leader.last_batch_ms(), kHourMs);
  wire::GraphBatch batch;
  batch.at_ms = leader.last_batch_ms() + 1'000;
  batch.cancelled_jobs.push_back(static_cast<std::int64_t>(kJob));
  leader.Apply(batch);
  follower.Apply(batch);
  const auto& job = *follower.FindJob(kJob);
  cr_expect_gt(job.finished_ms(), follower.last_batch_ms() - kRetentionMs);
}

// Guards against a gang that uses the workers that it avoids at once, because
// the time in which its last run was being stopped counts as waiting.
Test(lost_review, counts_no_time_of_a_blocked_gang_as_waiting) {
  constexpr std::int64_t kFirstEndMs = 1'000;
  constexpr std::int64_t kLastEndMs = 4'000;
  graph::GraphStore store;
  auto batch = AcceptJob(0);
  auto& step = batch.jobs.back().job.steps.back();
  step.task_count = 2;
  step.gang = true;
  for (std::int32_t n = 0; n < 2; ++n) {
    auto& start = batch.starts.emplace_back();
    start.task = graph::ToWire({kJob, 0, 0, n});
    start.run = 1;
    start.worker = n + 1;
  }
  store.Apply(batch);
  policy::GraphPlanner planner;
  cell::RunTimes run_times;
  const policy::FarFactors far_factors(1);
  cell::StepTracker tracker(store, planner, run_times, far_factors);
  tracker.Refresh(kJob, 0, 0);
  for (std::int32_t n = 0; n < 2; ++n) {
    wire::GraphBatch ends;
    auto& result = ends.results.emplace_back();
    result.task = graph::ToWire({kJob, 0, 0, n});
    result.run = 1;
    result.how = wire::RunEnd::kStopped;
    store.Apply(ends);
    tracker.Refresh(kJob, n == 0 ? kFirstEndMs : kLastEndMs, 0);
  }
  const auto* found = tracker.Find({kJob, 0, 0});
  cr_assert_not_null(found);
  cr_assert_eq(found->waiting.size(), 2);
  cr_expect_eq(found->waiting_since_ms, kLastEndMs, "waits since %d",
               static_cast<int>(found->waiting_since_ms));
}
