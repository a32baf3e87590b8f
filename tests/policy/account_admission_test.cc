// Tests the admission of jobs of accounts with limits and rates.
#include <criterion/criterion.h>

#include "cranberryshunt/policy/graph_admission.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr double kCapacity = 1'000'000;
constexpr AccountNumber kOwn = 1;
constexpr AccountNumber kOther = 2;

// The load of a fleet that is full of tasks of one second. Each account has a
// limit of a tenth of it, which it uses fully.
LoadSummary FullFleet() {
  LoadSummary load;
  load.cpus.AddRunning(kCapacity, 1'000);
  load.memory.AddRunning(kCapacity, 1'000);
  load.idle_callers = 5;
  load.cpus_by_rate = {kCapacity, kCapacity, 0};
  for (const auto account : {kOwn, kOther}) {
    load.accounts[account].cpus = {kCapacity / 10, kCapacity / 10,
                                   kCapacity / 10 / 1'000};
  }
  return load;
}

LoadSummary IdleFleet() {
  LoadSummary load;
  load.cpus.free = kCapacity;
  load.memory.free = kCapacity;
  load.idle_callers = 5;
  load.cpus_by_rate = {kCapacity, kCapacity / 2, 0};
  return load;
}

WaitingDemand Waiting(AccountNumber account, double milli_cpus) {
  WaitingDemand out;
  out.milli_cpus = milli_cpus;
  out.account = account;
  return out;
}

NewJob JobOf(AccountNumber account) {
  NewJob job;
  job.account = account;
  job.slack_ms = 1'000;
  job.critical_path_ms = 1'000;
  job.first_demand = {1'000, 0, 0};
  return job;
}

NewJob OverRateJob() {
  auto job = JobOf(kOwn);
  job.over_rate = true;
  job.needs_advice = true;
  job.next_token_ms = 1'234;
  return job;
}

}  // namespace

// An account at its limit has much waiting. Guards against jobs of others that
// are refused because of work that its limit keeps from starting.
Test(account_admission, does_not_count_what_a_limit_keeps_from_starting) {
  auto load = FullFleet();
  load.waiting.push_back(Waiting(kOther, 10 * kCapacity));
  const auto decision = DecideAdmission(load, JobOf(3));
  cr_expect(decision.accepted);
  cr_expect_lt(decision.expected_wait_ms, 200);
  load.accounts.erase(kOther);
  cr_expect_not(DecideAdmission(load, JobOf(3)).accepted);
}

// Guards against a limit that hides all waiting work of its account, also what
// can start within the wait.
Test(account_admission, counts_what_a_limit_lets_start) {
  auto load = FullFleet();
  load.accounts[kOther].cpus.limit = 5 * kCapacity;
  load.waiting.push_back(Waiting(kOther, 2 * kCapacity));
  cr_expect_gt(DecideAdmission(load, JobOf(3)).expected_wait_ms, 1'500);
}

// Guards against jobs that are accepted because the cell is idle, although
// their own account has much waiting for its limit.
Test(account_admission, expects_the_wait_for_the_own_limit) {
  auto load = IdleFleet();
  load.accounts[kOwn] = FullFleet().accounts[kOwn];
  load.waiting.push_back(Waiting(kOwn, kCapacity / 2));
  const auto decision = DecideAdmission(load, JobOf(kOwn));
  cr_expect_not(decision.accepted);
  cr_expect_eq(decision.cause, RefusalCause::kAccountLimit);
  cr_expect_geq(decision.account_wait_ms, 5'000);
  cr_expect_leq(decision.account_wait_ms, 5'200);
  cr_expect_gt(decision.retry_after_ms, 3'000, "not the account's own wait");
  cr_expect(DecideAdmission(load, JobOf(kOther)).accepted);
  auto patient = JobOf(kOwn);
  patient.slack_ms = 10'000;
  cr_expect(DecideAdmission(load, patient).accepted);
}

// A burst of an account of which nothing runs yet. Guards against a wait of 0,
// because nothing is released that a wait could be computed from.
Test(account_admission, expects_a_wait_before_the_first_task_runs) {
  auto load = IdleFleet();
  load.accounts[kOwn].cpus = {kCapacity / 10, 0, 0};
  load.waiting.push_back(Waiting(kOwn, kCapacity / 2));
  cr_expect_not(DecideAdmission(load, JobOf(kOwn)).accepted);
  load.waiting.front().milli_cpus = kCapacity / 20;
  cr_expect(DecideAdmission(load, JobOf(kOwn)).accepted);
}

// Guards against a gang that is accepted because its account has room for a
// part of it.
Test(account_admission, expects_the_wait_for_a_whole_gang) {
  auto load = IdleFleet();
  load.accounts[kOwn].cpus = {100'000, 80'000, 20};
  auto job = JobOf(kOwn);
  cr_expect_eq(DecideAdmission(load, job).account_wait_ms, 0);
  job.first_demand = {90'000, 0, 0};
  cr_expect_geq(DecideAdmission(load, job).account_wait_ms, 2'700);
}

// Guards against limits of memory or accelerators that admission ignores.
Test(account_admission, considers_each_limited_resource) {
  for (int n = 0; n < 2; ++n) {
    auto load = IdleFleet();
    auto& account = load.accounts[kOwn];
    (n == 0 ? account.memory : account.accelerators) = {100, 100, 0.01};
    auto job = JobOf(kOwn);
    cr_expect(DecideAdmission(load, job).accepted,
              "the job needs none of that resource");
    (n == 0 ? job.first_demand.memory_mb : job.first_demand.accelerators) = 50;
    cr_expect_geq(DecideAdmission(load, job).account_wait_ms, 5'000);
  }
}

// Guards against idle capacity that a job beyond the rate of its account may
// not use, and against one that takes capacity, room or a caller from others.
Test(account_admission, accepts_over_rate_jobs_only_if_nobody_waits) {
  auto load = IdleFleet();
  cr_expect(DecideAdmission(load, OverRateJob()).accepted);
  const auto expect_refused = [](const LoadSummary& refusing,
                                 const char* reason) {
    const auto decision = DecideAdmission(refusing, OverRateJob());
    cr_expect_not(decision.accepted, "%s", reason);
    cr_expect_eq(decision.cause, RefusalCause::kOverRate);
    cr_expect_eq(decision.retry_after_ms, 1'234, "%s", reason);
  };
  load.lacks_room = true;
  expect_refused(load, "a job within its rate lacks room");
  load.lacks_room = false;
  load.idle_callers = 0;
  expect_refused(load, "no caller is idle");
  auto without_advice = OverRateJob();
  without_advice.needs_advice = false;
  cr_expect(DecideAdmission(load, without_advice).accepted);
  load.idle_callers = 5;
  load.cpus_by_rate.peak_within_rate = kCapacity;
  expect_refused(load, "jobs within their rate used the capacity lately");
}

// Guards against jobs beyond their rate that keep others from being accepted
// although they come last, or that are accepted beyond what is left to them.
Test(account_admission, counts_over_rate_work_only_for_over_rate_jobs) {
  auto load = FullFleet();
  load.accounts.clear();
  load.waiting.push_back(Waiting(kOther, 10 * kCapacity));
  load.waiting.front().over_rate = true;
  cr_expect(DecideAdmission(load, JobOf(kOwn)).accepted);
  cr_expect_not(DecideAdmission(load, OverRateJob()).accepted);
  load = IdleFleet();
  load.waiting.push_back(Waiting(kOther, 0.3 * kCapacity));
  load.waiting.front().over_rate = true;
  cr_expect(DecideAdmission(load, OverRateJob()).accepted);
  load.cpus_by_rate.used_over_rate = 0.2 * kCapacity;
  cr_expect_not(DecideAdmission(load, OverRateJob()).accepted);
}

// Guards against a gang beyond its rate that is accepted because a part of it
// fits.
Test(account_admission, needs_capacity_for_a_whole_over_rate_gang) {
  auto load = IdleFleet();
  auto job = OverRateJob();
  job.first_demand.milli_cpus = static_cast<std::int64_t>(0.51 * kCapacity);
  cr_expect_not(DecideAdmission(load, job).accepted);
}
