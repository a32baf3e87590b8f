#include <algorithm>

#include "driver.h"

namespace cranberryshunt::policy {

namespace {

constexpr Resources kSmall = {4'000, 8 * kGigabyte, 0, 1};

std::string Numbered(const char* name, int number) {
  return name + std::to_string(number);
}

void SubmitMany(Driver& driver, const char* name, int count, Duration run) {
  for (int n = 0; n < count; ++n) {
    JobRequest job = MakeJob(Numbered(name, n), Kind::kBatch, kSmall);
    job.family = name;
    driver.Submit(job, run);
  }
}

// Makes every task on the first `count` workers fail after three milliseconds.
void FailWorkers(Driver& driver, int count) {
  driver.outcome = [count](const Driver::JobState& job, const Assignment& it) {
    if (std::stoi(it.worker.substr(1)) < count) {
      return std::pair(EndKind::kFailed, Duration(milliseconds(3)));
    }
    return std::pair(EndKind::kDone, job.run_time);
  };
}

}  // namespace

// Guards against two effects of workers that fail every task immediately: they
// have free capacity again at once and thereby receive most of the work, and
// jobs end as failed because of them.
Test(policy_faults, failing_workers_leave_throughput) {
  std::int64_t done[2] = {};
  for (const int failing : {0, 5}) {
    Driver driver;
    driver.AddWorkers(48);
    FailWorkers(driver, failing);
    for (int n = 0; n < 200; ++n) {
      // This load needs every healthy worker, so that each failing worker
      // receives tasks.
      SubmitMany(driver, ("v" + std::to_string(n) + "-").c_str(), 32,
                 seconds(1));
      driver.Run(milliseconds(100));
    }
    done[failing > 0 ? 1 : 0] = driver.done_tasks;
    const auto report = driver.scheduler->Report(driver.clock.Now());
    for (const WorkerReport& it : report.workers) {
      cr_assert(!it.quarantined || std::stoi(it.id.substr(1)) < failing,
                "healthy worker %s was quarantined", it.id.c_str());
    }
    const auto reported_workers = std::ranges::count_if(
        report.culprits,
        [](const auto& it) { return it.starts_with("worker w"); });
    cr_assert_eq(reported_workers, failing);
    for (const auto& [id, job] : driver.jobs) {
      for (const auto& [index, code] : job.result_codes) {
        cr_assert_eq(code, ResultCode::kOk, "job %s", id.c_str());
      }
    }
  }
  cr_assert_geq(done[1] * 100, done[0] * 85);
}

// Guards against a worker that stays quarantined after its fault is gone, and
// against several tasks at a time on a worker on probation.
Test(policy_faults, quarantined_worker_returns_by_probation) {
  Driver driver;
  driver.AddWorkers(4);
  FailWorkers(driver, 1);
  SubmitMany(driver, "v", 60, milliseconds(300));
  driver.Run(seconds(3));
  const auto is_quarantined = [&driver] {
    return driver.scheduler->Report(driver.clock.Now()).workers[0].quarantined;
  };
  cr_assert(is_quarantined());
  FailWorkers(driver, 0);
  driver.Run(seconds(10));
  cr_assert_not(is_quarantined());
  SubmitMany(driver, "x", 600, milliseconds(300));
  driver.Run(milliseconds(300));
  cr_assert_eq(driver.used_by_worker["w0"].slots, 1);
  driver.Run(seconds(2));
  cr_assert_gt(driver.used_by_worker["w0"].slots, 1);
}

// Guards against a faulty job that is retried without end, and against healthy
// workers that are quarantined because of it.
Test(policy_faults, faulty_job_ends_and_workers_stay) {
  Driver driver;
  driver.AddWorkers(12);
  driver.outcome = [](const Driver::JobState& job, const Assignment&) {
    const bool faulty = job.request.family == "bad";
    return std::pair(faulty ? EndKind::kFailed : EndKind::kDone,
                     Duration(milliseconds(50)));
  };
  for (int n = 0; n < 10; ++n) {
    SubmitMany(driver, ("v" + std::to_string(n) + "-").c_str(), 20, seconds(1));
    JobRequest faulty =
        MakeJob(Numbered("bad", n), Kind::kBatch, kSmall, 1, Numbered("t", n));
    faulty.family = "bad";
    driver.Submit(faulty, seconds(1));
    driver.Run(seconds(1));
  }
  driver.Run(seconds(5));
  for (int n = 0; n < 10; ++n) {
    const auto& job = driver.jobs.at(Numbered("bad", n));
    cr_assert_eq(job.result_codes.at(0), ResultCode::kJobFaulty);
    cr_assert_eq(job.failed_on.at(0).size(), 3U);
  }
  const auto report = driver.scheduler->Report(driver.clock.Now());
  for (const WorkerReport& it : report.workers) {
    cr_assert_not(it.quarantined, "worker %s", it.id.c_str());
  }
  cr_assert(std::ranges::find(report.culprits, "family bad") !=
            report.culprits.end());
}

// Guards against retries that multiply the load of a team whose tasks fail.
Test(policy_faults, retries_stay_within_the_budget) {
  Driver driver;
  driver.AddWorkers(48);
  std::int64_t attempts = 0;
  driver.outcome = [&attempts](const Driver::JobState&, const Assignment&) {
    ++attempts;
    return std::pair(EndKind::kFailed, Duration(milliseconds(20)));
  };
  SubmitMany(driver, "f", 1'000, seconds(1));
  driver.Run(seconds(30));
  // The 1,000 first attempts, and the tokens of the retry budget: a tenth of
  // the starts, one per second for 30 seconds, and the 50 of a full bucket.
  cr_assert_leq(attempts, 1'000 + 100 + 30 + 50);
  const auto exhausted = std::ranges::count_if(driver.jobs, [](const auto& it) {
    return it.second.result_codes.at(0) == ResultCode::kRetryBudgetExhausted;
  });
  cr_assert_gt(exhausted, 800);
}

// Guards against a non-idempotent task that starts again after it may have run.
Test(policy_faults, non_idempotent_work_starts_once) {
  Driver driver;
  driver.AddWorkers(4);
  const std::map<std::string, EndKind> ends = {{"failed", EndKind::kFailed},
                                               {"lost", EndKind::kWorkerLost}};
  for (const auto& [id, end] : ends) {
    JobRequest job = MakeJob(id, Kind::kInteractive, kSmall);
    job.idempotent = false;
    driver.Submit(job);
    driver.Decide();
    cr_assert(std::holds_alternative<Ended>(driver.End({id, 0}, end)));
  }
  cr_assert_eq(driver.jobs.at("lost").result_codes.at(0),
               ResultCode::kWorkerLost);
  JobRequest job = MakeJob("refused", Kind::kInteractive, kSmall);
  job.idempotent = false;
  driver.Submit(job);
  driver.Decide();
  cr_assert(std::holds_alternative<Requeued>(
      driver.End({"refused", 0}, EndKind::kRefused)));
  driver.Run(seconds(1));
  cr_assert_eq(driver.running_tasks.size(), 1U);
}

// Guards against a burst of cancellations that stalls decisions or leaves stale
// entries in the queues.
Test(policy_faults, fifty_thousand_cancellations) {
  SchedulerOptions options;
  options.max_queued_tasks_per_team_and_kind = 60'000;
  Driver driver(options);
  driver.AddWorkers(2);
  SubmitMany(driver, "c", 50'000, seconds(1));
  SubmitMany(driver, "after", 16, seconds(1));
  const auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < 50'000; ++n) {
    cr_assert(driver.scheduler->Cancel(Numbered("c", n)).empty());
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  cr_assert_lt(elapsed.count(), std::chrono::nanoseconds(seconds(1)).count());
  driver.Run(milliseconds(50));
  cr_assert_eq(driver.running_tasks.size(), 16U);
  cr_assert_eq(driver.scheduler->KindReports(driver.clock.Now())[1].queued, 0);
}

// Guards against reservations that are counted twice, and against a queue order
// that is lost, when a controller becomes leader and restores the jobs.
Test(policy_faults, restore_counts_once_and_keeps_order) {
  Driver driver;
  driver.AddWorkers(1, {8'000, 16 * kGigabyte, 0, 2});
  const JobRequest running = MakeJob("running", Kind::kBatch, kSmall, 2);
  Scheduler& scheduler = *driver.scheduler;
  const std::vector<Scheduler::RestoredTask> tasks = {
      {0, "w0", 1, false}, {1, std::nullopt, 1, true}};
  for (int n = 0; n < 2; ++n) {
    scheduler.Restore(running, tasks, driver.clock.Now());
  }
  for (const char* id : {"second", "first", "third"}) {
    scheduler.Restore(MakeJob(id, Kind::kBatch, kSmall), {},
                      driver.clock.Now());
  }
  const auto report = scheduler.Report(driver.clock.Now());
  cr_assert(report.workers[0].reserved == kSmall);
  cr_assert_eq(report.kinds[1].running, 1);
  cr_assert_eq(report.kinds[1].queued, 3);
  std::vector<std::string> order;
  for (int n = 0; n < 3; ++n) {
    for (const Decision& it : scheduler.Decide(driver.clock.Now(), 10)) {
      const TaskId task = std::get<Place>(it).assignments[0].task;
      order.push_back(task.job_id);
      scheduler.TaskEnded(task, EndKind::kDone, driver.clock.Now());
    }
  }
  cr_assert(order == std::vector<std::string>({"second", "first", "third"}));
  scheduler.TaskEnded({"running", 0}, EndKind::kDone, driver.clock.Now());
  cr_assert(scheduler.Report(driver.clock.Now()).workers[0].reserved ==
            Resources());
}

// Guards against a gang that continues with some of its tasks after one failed.
Test(policy_faults, gang_restarts_as_a_whole) {
  Driver driver;
  driver.AddWorkers(4);
  driver.Submit(MakeJob("g", Kind::kGang, kSmall, 6));
  driver.Decide();
  cr_assert_eq(driver.running_tasks.size(), 6U);
  driver.End({"g", 2}, EndKind::kFailed);
  driver.Run(milliseconds(20));
  cr_assert_eq(driver.preempts.size(), 5U);
  driver.Run(seconds(2));
  cr_assert_eq(driver.running_tasks.size(), 6U);
}

// Guards against a task that uses more resources than it declared and thereby
// takes them from other tasks of the worker.
Test(policy_faults, excess_use_is_throttled_then_stopped) {
  Driver driver;
  driver.AddWorkers(2);
  driver.Submit(MakeJob("b", Kind::kBatch, kSmall));
  driver.Decide();
  for (int n = 0; n < 10; ++n) {
    if (driver.running_tasks.contains({"b", 0})) {
      driver.scheduler->TaskUsage({"b", 0}, {8'000, kGigabyte, 0, 0});
    }
    driver.Decide();
  }
  cr_assert_eq(driver.throttles.size(), 1U);
  cr_assert_eq(driver.throttles[0].percent, 50);
  cr_assert_eq(driver.preempts.size(), 1U);
}

// Guards against a report that does not name the families whose declared run
// times are wrong and the teams that submit impossible jobs.
Test(policy_faults, sources_of_wrong_declarations_are_reported) {
  Driver driver;
  driver.AddWorkers(2);
  for (int n = 0; n < 8; ++n) {
    driver.Submit(MakeJob(Numbered("huge", n), Kind::kBatch, {99'000, 0, 0, 1},
                          1, "dreamers"));
    JobRequest job = MakeJob(Numbered("b", n), Kind::kBatch, kSmall);
    job.family = n % 2 == 0 ? "short" : "right";
    job.expected_run = n % 2 == 0 ? milliseconds(100) : seconds(1);
    for (int repetition = 0; repetition < 2; ++repetition) {
      job.job_id += "+";
      driver.Submit(job, seconds(1));
    }
  }
  driver.Run(seconds(3));
  const auto culprits = driver.scheduler->Report(driver.clock.Now()).culprits;
  cr_assert(culprits == std::vector<std::string>(
                            {"family short (declared run times are wrong)",
                             "team dreamers (8 impossible jobs)"}));
}

}  // namespace cranberryshunt::policy
