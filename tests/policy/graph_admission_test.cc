// Admission of step-graph jobs: the load patterns that each rule answers.
#include <criterion/criterion.h>

#include "cranberryshunt/policy/graph_admission.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr double kCapacity = 1'000'000;

// A full fleet of tasks of a second, behind which work for `milliseconds`
// waits.
LoadSummary Waiting(double milliseconds) {
  LoadSummary load;
  load.cpus.AddRunning(kCapacity, 1'000);
  load.memory.AddRunning(kCapacity, 1'000);
  load.cpus.waiting = milliseconds / 1'000 * kCapacity;
  return load;
}

NewJob WithSlack(std::int64_t slack_ms) {
  NewJob job;
  job.slack_ms = slack_ms;
  job.critical_path_ms = 1'000;
  return job;
}

}  // namespace

// Load pattern: a burst of batch jobs. Guards against accepting jobs that end
// after their objective behind the work that waits already.
Test(graph_admission, refuses_what_would_be_late_behind_the_backlog) {
  cr_expect(DecideAdmission(Waiting(4'000), WithSlack(8'000)).accepted);
  const auto refused = DecideAdmission(Waiting(12'000), WithSlack(8'000));
  cr_expect_not(refused.accepted);
  cr_expect_gt(refused.retry_after_ms, 1'000);
}

// Load pattern: a flood of batch work beside launch checks. Guards against
// refusing urgent jobs because of work that goes after them.
Test(graph_admission, does_not_count_later_work_against_urgent_jobs) {
  auto job = WithSlack(900);
  job.urgent = true;
  cr_expect(DecideAdmission(Waiting(20'000), job).accepted);
}

// Load pattern: callers that come back after an outage, late already. Guards
// against refusing them while the fleet is free.
Test(graph_admission, accepts_a_late_job_while_there_is_room) {
  cr_expect(DecideAdmission(Waiting(0), WithSlack(-600)).accepted);
  cr_expect_not(DecideAdmission(Waiting(500), WithSlack(-600)).accepted);
}

// Load pattern: more questions than the advice service can answer.
Test(graph_admission, counts_the_wait_for_advice) {
  auto load = Waiting(0);
  load.advice_wait_ms = 2'000;
  cr_expect_not(DecideAdmission(load, WithSlack(1'000)).accepted);
}

// Load pattern: many wide jobs that wait for advice while a fifth of the fleet
// is free. Guards against refusing jobs with workers free.
Test(graph_admission, counts_free_room_before_the_backlog) {
  auto load = Waiting(150);
  load.cpus.free = 0.2 * kCapacity;
  const auto decision = DecideAdmission(load, WithSlack(400));
  cr_expect(decision.accepted);
  cr_expect_eq(decision.expected_wait_ms, 0);
}

// Load pattern: more starts a second than the leader has processor time for.
// Guards against work that is taken on while leases run out unrenewed, and
// against refusing urgent work first.
Test(graph_admission, refuses_while_the_leader_is_overloaded) {
  auto load = Waiting(0);
  NewJob job;
  job.slack_ms = 5'000;
  NewJob urgent = job;
  urgent.urgent = true;
  load.answer_ms = 40;
  cr_expect(DecideAdmission(load, job).accepted);
  load.answer_ms = 400;
  const auto refused = DecideAdmission(load, job);
  cr_expect_not(refused.accepted);
  cr_expect(refused.overloaded);
  cr_expect_geq(refused.retry_after_ms, 1'000);
  cr_expect(DecideAdmission(load, urgent).accepted);
  load.answer_ms = 900;
  cr_expect_not(DecideAdmission(load, urgent).accepted);
}
