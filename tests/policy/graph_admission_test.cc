// Tests the admission of step-graph jobs under the load patterns for which the
// rules were made.
#include <criterion/criterion.h>

#include "cranberryshunt/policy/graph_admission.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr double kCapacity = 1'000'000;

// Returns the load of a fleet that is full of tasks of one second, with a queue
// that the fleet would work off in `queued_ms`.
LoadSummary LoadWithQueue(double queued_ms) {
  LoadSummary load;
  load.cpus.AddRunning(kCapacity, 1'000);
  load.memory.AddRunning(kCapacity, 1'000);
  load.waiting.push_back({false, 0, queued_ms / 1'000 * kCapacity, 0});
  return load;
}

NewJob WithSlack(std::int64_t slack_ms) {
  NewJob job;
  job.slack_ms = slack_ms;
  job.critical_path_ms = 1'000;
  return job;
}

}  // namespace

// A burst of batch jobs. Guards against accepting jobs that would end after
// their objective because of the tasks that already wait.
Test(graph_admission, refuses_what_would_be_late_behind_the_backlog) {
  cr_expect(DecideAdmission(LoadWithQueue(4'000), WithSlack(8'000)).accepted);
  const auto refused = DecideAdmission(LoadWithQueue(12'000), WithSlack(8'000));
  cr_expect_not(refused.accepted);
  cr_expect_gt(refused.retry_after_ms, 1'000);
}

// Many batch jobs wait when an urgent job is submitted. Guards against refusing
// urgent jobs because of tasks that they precede.
Test(graph_admission, does_not_count_later_work_against_urgent_jobs) {
  auto job = WithSlack(900);
  job.urgent = true;
  cr_expect(DecideAdmission(LoadWithQueue(20'000), job).accepted);
  auto urgent_load = LoadWithQueue(0);
  urgent_load.waiting.push_back({true, 0, 2 * kCapacity, 0});
  cr_expect_not(DecideAdmission(urgent_load, job).accepted);
}

// Work that became late in an outage waits behind gangs that are still on time.
// Guards against refusing jobs that are placed before all late work.
Test(graph_admission, does_not_count_late_work_against_jobs_on_time) {
  LoadSummary load = LoadWithQueue(0);
  load.waiting.push_back({true, -1, 20 * kCapacity, 0});
  load.waiting.push_back({false, -1, 20 * kCapacity, 0});
  auto job = WithSlack(900);
  cr_expect(DecideAdmission(load, job).accepted);
  job.urgent = true;
  cr_expect(DecideAdmission(load, job).accepted);
  cr_expect_not(DecideAdmission(load, WithSlack(-600)).accepted);
}

// A backlog of batch jobs that may wait for long. Guards against refusing jobs
// with less time, which are placed before them, and against accepting batch
// jobs that are placed last.
Test(graph_admission, counts_only_work_with_an_earlier_latest_start) {
  LoadSummary load = LoadWithQueue(0);
  load.waiting.push_back({false, 12'000, 15 * kCapacity, 0});
  cr_expect(DecideAdmission(load, WithSlack(5'000)).accepted);
  cr_expect_not(DecideAdmission(load, WithSlack(15'000)).accepted);
}

// Callers submit jobs after an outage that are already late. Guards against
// refusing these jobs while no tasks wait.
Test(graph_admission, accepts_a_late_job_while_there_is_room) {
  cr_expect(DecideAdmission(LoadWithQueue(0), WithSlack(-600)).accepted);
  cr_expect_not(DecideAdmission(LoadWithQueue(500), WithSlack(-600)).accepted);
}

// More questions wait than the advice service can answer in time. Guards
// against accepting jobs whose wait for advice exceeds their slack.
Test(graph_admission, counts_the_wait_for_advice) {
  auto load = LoadWithQueue(0);
  load.advice_wait_ms = 2'000;
  cr_expect_not(DecideAdmission(load, WithSlack(1'000)).accepted);
}

// Many wide jobs wait for advice while a fifth of the fleet is free. Guards
// against refusing jobs while workers are free.
Test(graph_admission, counts_free_room_before_the_backlog) {
  auto load = LoadWithQueue(150);
  load.cpus.free = 0.2 * kCapacity;
  const auto decision = DecideAdmission(load, WithSlack(400));
  cr_expect(decision.accepted);
  cr_expect_eq(decision.expected_wait_ms, 0);
}

// The leader is short of processor time for the number of starts per second.
// Guards against accepting jobs while leases expire without renewal, and
// against refusing urgent jobs first.
Test(graph_admission, refuses_while_the_leader_is_overloaded) {
  auto load = LoadWithQueue(0);
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

// Load pattern: all advice callers are busy. Guards against gangs that are
// accepted for the wait of one question: their tickets expire before they have
// room, so they ask again and end late.
Test(graph_admission, expects_a_gang_to_ask_twice_while_callers_are_busy) {
  LoadSummary load;
  load.advice_wait_ms = 2'500;
  NewJob job;
  job.critical_path_ms = 5'300;
  job.slack_ms = 7'500;
  job.advice_ms = 1'000;
  cr_expect(DecideAdmission(load, job).accepted);
  job.gang = true;
  cr_expect(DecideAdmission(load, job).accepted);
  load.advice_wait_ms = 2'600;
  const auto decision = DecideAdmission(load, job);
  cr_expect(!decision.accepted);
  cr_expect_eq(decision.expected_wait_ms, 6'200);
  cr_expect_gt(decision.retry_after_ms, 0);
  load.advice_wait_ms = 0;
  cr_expect_eq(DecideAdmission(load, job).expected_wait_ms, 0);
}

// Load pattern: a cell with few callers, of which none is idle for a moment.
// Guards against refusing each gang with less slack than an answer takes.
Test(graph_admission, expects_no_second_answer_after_a_short_wait) {
  LoadSummary load;
  load.advice_wait_ms = 10;
  NewJob job;
  job.critical_path_ms = 1'000;
  job.slack_ms = 1'000;
  job.advice_ms = 1'000;
  job.gang = true;
  const auto decision = DecideAdmission(load, job);
  cr_expect(decision.accepted);
  cr_expect_leq(decision.expected_wait_ms, 30);
}
