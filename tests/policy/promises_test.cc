#include <algorithm>

#include "driver.h"

namespace cranberryshunt::policy {

namespace {

constexpr Resources kSmall = {4'000, 8 * kGigabyte, 0, 1};
constexpr Resources kRequest = {1'000, 2 * kGigabyte, 0, 1};

std::string Numbered(const char* name, int number) {
  return name + std::to_string(number);
}

void SubmitMany(Driver& driver,
                const char* name,
                Kind kind,
                int count,
                Duration run,
                bool idempotent = true) {
  for (int n = 0; n < count; ++n) {
    JobRequest job = MakeJob(Numbered(name, n), kind,
                             kind == Kind::kInteractive ? kRequest : kSmall);
    job.family = name;
    job.expected_run = run;
    job.idempotent = idempotent;
    driver.Submit(job, run);
  }
}

ResultCode RefusalOf(const Admission& admission) {
  const auto* refused = std::get_if<Refused>(&admission);
  return refused != nullptr ? refused->code : ResultCode::kOk;
}

// Runs an interactive load of about a tenth of the fleet's slots and returns
// the 99th percentile of the waits during ten seconds. With `flood`, 4,000
// batch tasks are queued at the start of the ten seconds.
Duration InteractiveWait(bool flood) {
  Driver driver;
  driver.AddWorkers(48);
  int number = 0;
  const auto load = [&](Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(10)) {
      JobRequest job =
          MakeJob(Numbered("i", number++), Kind::kInteractive, kRequest);
      job.idempotent = number % 2 == 0;
      job.constraint.prefer_region = "east";
      driver.Submit(job, milliseconds(200));
      driver.Submit(MakeJob(Numbered("i", number++), Kind::kInteractive,
                            kRequest, 1, "u"),
                    milliseconds(200));
      driver.Run(milliseconds(10), milliseconds(2));
    }
  };
  load(seconds(2));
  const TimePoint from = driver.clock.Now();
  if (flood) {
    SubmitMany(driver, "b", Kind::kBatch, 4'000, seconds(20));
  }
  load(seconds(10));
  return driver.WaitP99(Kind::kInteractive, from);
}

}  // namespace

// Guards against batch work that takes the free capacity which interactive
// requests need at once. Reclaiming capacity takes longer than a request may
// wait.
Test(policy_promises, flood_of_batch_leaves_interactive_waits) {
  // The driver cannot measure waits that are shorter than one of its steps.
  const Duration step = milliseconds(2);
  cr_assert_leq(InteractiveWait(true).count(),
                2 * std::max(InteractiveWait(false), step).count());
}

// Guards against a flood of requests that cannot be preempted and that deprives
// the other kinds of their guaranteed shares.
Test(policy_promises, flood_of_interactive_leaves_guarantees) {
  Driver driver;
  driver.AddWorkers(48);
  int number = 0;
  // Ten times the rate that 384 slots can serve at 200 ms per request.
  const auto flood = [&](Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(10)) {
      for (int n = 0; n < 192; ++n) {
        JobRequest job =
            MakeJob(Numbered("i", number++), Kind::kInteractive, kRequest);
        job.idempotent = false;
        driver.Submit(job, milliseconds(200));
      }
      driver.Run(milliseconds(10));
    }
  };
  flood(seconds(1));
  SubmitMany(driver, "s", Kind::kService, 150, seconds(1'000));
  SubmitMany(driver, "b", Kind::kBatch, 150, seconds(1'000));
  driver.Submit(MakeJob("g", Kind::kGang, kSmall, 54), seconds(1'000));
  flood(seconds(1));
  for (int n = 0; n < 20; ++n) {
    flood(milliseconds(100));
    const auto kinds = driver.scheduler->KindReports(driver.clock.Now());
    cr_assert_geq(kinds[0].share, 0.9 * 0.30);
    cr_assert_geq(kinds[1].share, 0.9 * 0.25);
    cr_assert_geq(kinds[2].share, 0.9 * 0.15 - 1e-9, "gang share %f",
                  kinds[2].share);
  }
}

// Guards against capacity lent to batch work that is not returned when services
// need it, and against preemption that is not counted or that stops the
// longest-running tasks.
Test(policy_promises, lent_share_returns_within_a_second) {
  Driver driver;
  driver.AddWorkers(12);
  SubmitMany(driver, "b", Kind::kBatch, 96, seconds(1'000));
  driver.Run(seconds(5));
  cr_assert_eq(driver.RunningCount(Kind::kBatch), 96);
  SubmitMany(driver, "s", Kind::kService, 40, seconds(1'000));
  driver.Run(seconds(1));
  cr_assert_geq(driver.RunningCount(Kind::kService), 28);
  cr_assert_geq(driver.RunningCount(Kind::kBatch), 24);
  const auto kinds = driver.scheduler->KindReports(driver.clock.Now());
  const auto preempted = static_cast<std::int64_t>(driver.preempts.size());
  cr_assert_eq(kinds[1].preempted, preempted);
  cr_assert_leq(preempted, 40);
  cr_assert_geq(kinds[1].preempted_run_ms, preempted * 5'000);
}

// Guards against a gang that waits without end while small tasks take all
// capacity that becomes free, and against capacity that stays idle although
// short tasks would end before the gang can start.
Test(policy_promises, gang_starts_by_reservation_with_backfill) {
  Driver driver;
  driver.AddWorkers(4);
  SubmitMany(driver, "b", Kind::kBatch, 28, seconds(10));
  driver.Run(milliseconds(100));
  driver.Submit(MakeJob("g", Kind::kGang, kSmall, 24), seconds(10));
  driver.Run(seconds(1));
  SubmitMany(driver, "short", Kind::kBatch, 4, seconds(1));
  driver.Run(seconds(2));
  cr_assert_eq(driver.done_tasks, 4,
               "short tasks did not use the idle capacity");
  for (int n = 0; n < 200; ++n) {
    SubmitMany(driver, ("late" + std::to_string(n)).c_str(), Kind::kBatch, 1,
               seconds(30));
  }
  // The tasks that the gang waits for end ten seconds after their start.
  driver.Run(seconds(8));
  cr_assert_eq(driver.RunningCount(Kind::kGang), 24, "the gang did not start");
}

// Guards against a job that can never fit and blocks the jobs queued after it.
Test(policy_promises, impossible_work_is_refused_and_blocks_nothing) {
  Driver driver;
  JobRequest early = MakeJob("early", Kind::kBatch, {33'000, kGigabyte, 0, 1});
  cr_assert_eq(RefusalOf(driver.Submit(early)), ResultCode::kOk);
  driver.AddWorkers(3);
  JobRequest large = MakeJob("large", Kind::kBatch, {33'000, 0, 0, 1});
  cr_assert_eq(RefusalOf(driver.Submit(large)), ResultCode::kImpossible);
  cr_assert_eq(
      RefusalOf(driver.Submit(MakeJob("gang", Kind::kGang, kSmall, 25))),
      ResultCode::kImpossible);
  JobRequest elsewhere = MakeJob("elsewhere", Kind::kBatch, kSmall);
  elsewhere.constraint.require_region = "north";
  cr_assert_eq(RefusalOf(driver.Submit(elsewhere)), ResultCode::kImpossible);
  SubmitMany(driver, "b", Kind::kBatch, 5, seconds(1));
  driver.Run(seconds(3));
  cr_assert_eq(driver.done_tasks, 5);
  driver.Run(seconds(10));
  cr_assert_eq(driver.drops.size(), 1U);
  cr_assert_eq(driver.drops[0].code, ResultCode::kImpossible);
}

// Guards against a team that starves another one by submitting more jobs, and
// against jobs of a team that start out of order.
Test(policy_promises, teams_share_equally_in_order) {
  Driver driver;
  driver.AddWorkers(2);
  for (int n = 0; n < 200; ++n) {
    driver.Submit(MakeJob(Numbered("a", n), Kind::kBatch, kSmall, 1, "a"),
                  seconds(1));
  }
  driver.Run(milliseconds(500));
  for (int n = 0; n < 40; ++n) {
    driver.Submit(MakeJob(Numbered("b", n), Kind::kBatch, kSmall, 1, "b"),
                  seconds(1));
  }
  driver.Run(milliseconds(1'000));
  cr_assert_eq(driver.used_by_team["a"].slots, 8);
  cr_assert_eq(driver.used_by_team["b"].slots, 8);
  for (int n = 0; n < 8; ++n) {
    cr_assert_eq(driver.jobs.at(Numbered("b", n)).waits.size(), 1U);
  }
}

// Guards against queues that grow without bound in a flood, and against
// refusals without a time after which to retry.
Test(policy_promises, full_queues_refuse_with_a_time) {
  SchedulerOptions options;
  options.max_queued_tasks_per_team_and_kind = 10;
  options.max_queued_tasks_per_kind = 15;
  Driver driver(options);
  driver.AddWorkers(1);
  SubmitMany(driver, "b", Kind::kBatch, 11, seconds(1));
  cr_assert_eq(driver.jobs.size(), 10U);
  const auto refused =
      driver.Submit(MakeJob("other", Kind::kBatch, kSmall, 6, "other"));
  cr_assert_eq(RefusalOf(refused), ResultCode::kQueueFull);
  cr_assert_gt(std::get<Refused>(refused).retry_after.count(), 0);
  const auto kinds = driver.scheduler->KindReports(driver.clock.Now());
  cr_assert_eq(kinds[1].queued, 10);
  cr_assert_eq(kinds[1].refused, 2);
}

// Guards against a job that starts after its deadline or is dropped without a
// result, and against dropping jobs that have already started.
Test(policy_promises, deadlines_drop_queued_work_only) {
  Driver driver;
  driver.AddWorkers(1);
  SubmitMany(driver, "b", Kind::kBatch, 8, seconds(3));
  driver.Run(milliseconds(10));
  JobRequest late = MakeJob("late", Kind::kBatch, kSmall);
  late.deadline = driver.clock.Now() + seconds(1);
  driver.Submit(late);
  driver.Run(seconds(2));
  cr_assert_eq(driver.drops.size(), 1U);
  cr_assert_str_eq(driver.drops[0].job_id.c_str(), "late");
  cr_assert_eq(driver.drops[0].code, ResultCode::kDeadlinePassed);
  driver.Run(seconds(3));
  cr_assert_eq(driver.done_tasks, 8);
}

// Guards against quotas that limit only one kind of work, and against work that
// fails instead of waiting for its team's quota.
Test(policy_promises, quotas_hold_over_all_kinds) {
  Driver driver;
  driver.AddWorkers(4);
  driver.quotas["t"] = {12'000, 0, 0, 0};
  driver.scheduler->SetQuotas({{"t", {12'000, 0, 0, 0}}});
  SubmitMany(driver, "b", Kind::kBatch, 4, seconds(1));
  SubmitMany(driver, "s", Kind::kService, 4, seconds(1));
  cr_assert_eq(RefusalOf(driver.Submit(
                   MakeJob("large", Kind::kBatch, {13'000, 0, 0, 1}))),
               ResultCode::kQuotaExceeded);
  driver.Run(milliseconds(500));
  cr_assert_eq(driver.used_by_team["t"].milli_cpus, 12'000);
  driver.Run(seconds(4));
  cr_assert_eq(driver.done_tasks, 8);
}

// Guards against services whose tasks share a failure domain although others
// have free capacity, and against batch work that is spread over all workers
// and leaves none empty.
Test(policy_promises, services_spread_and_batch_packs) {
  Driver driver;
  driver.AddWorkers(48);
  driver.Submit(MakeJob("s", Kind::kService, kSmall, 6));
  driver.Run(milliseconds(10));
  std::map<std::string, int> racks;
  std::map<std::string, int> zones;
  for (const auto& [task, it] : driver.running_tasks) {
    ++racks[driver.workers.at(it.worker).rack];
    ++zones[driver.workers.at(it.worker).availability_zone];
  }
  cr_assert_eq(racks.size(), 6U);
  cr_assert_eq(zones.size(), 3U);
  SubmitMany(driver, "b", Kind::kBatch, 40, seconds(10));
  driver.Run(milliseconds(100));
  std::set<std::string> used;
  for (const auto& [task, it] : driver.running_tasks) {
    used.insert(it.worker);
  }
  // 46 tasks that each take an eighth of a worker.
  cr_assert_leq(used.size(), 6U);
}

// Guards against requests that are placed outside their preferred region
// without need, or that wait although another region has free capacity.
Test(policy_promises, interactive_prefers_its_region) {
  Driver driver;
  driver.AddWorkers(24);
  for (int n = 0; n < 192; ++n) {
    JobRequest job = MakeJob(Numbered("i", n), Kind::kInteractive, kRequest);
    job.constraint.prefer_region = "west";
    driver.Submit(job);
    driver.Run(milliseconds(10));
    const auto& worker = driver.running_tasks.at({job.job_id, 0}).worker;
    const bool local = driver.workers.at(worker).region == "west";
    cr_assert_eq(local, n < 64, "request %d", n);
    if (n == 7) {
      cr_assert_eq(driver.used_by_worker.size(), 8U,
                   "requests were not placed on the least loaded workers");
    }
  }
}

}  // namespace cranberryshunt::policy
