#include <algorithm>
#include <random>

#include "driver.h"

namespace cranberryshunt::policy {

namespace {

constexpr int kSteps = 3'000;

class RandomRun {
 private:
  int Below(int bound) { return static_cast<int>(engine_() % bound); }

  template <typename T>
  auto Pick(T& map) {
    return std::next(map.begin(), Below(static_cast<int>(map.size())));
  }

 public:
  explicit RandomRun(std::uint64_t seed) : engine_(seed) {
    driver_.AddWorkers(24, {16'000, 32 * kGigabyte, 2, 8});
    driver_.outcome = [this](const Driver::JobState& job, const Assignment&) {
      const int kind = Below(20);
      const EndKind end = kind == 0   ? EndKind::kFailed
                          : kind == 1 ? EndKind::kRefused
                          : kind == 2 ? EndKind::kWorkerLost
                                      : EndKind::kDone;
      return std::pair(end, end == EndKind::kDone ? job.run_time
                                                  : Duration(milliseconds(5)));
    };
  }

  void Step() {
    const int action = Below(100);
    if (action < 60) {
      Submit();
    } else if (action < 64 && !driver_.jobs.empty()) {
      Cancel();
    } else if (action < 68) {
      ToggleAccepting();
    } else if (action < 70) {
      ChangeQuota();
    } else if (action < 74 && !driver_.running_tasks.empty()) {
      const auto it = Pick(driver_.running_tasks);
      driver_.scheduler->TaskUsage(it->first,
                                   {1'000'000, 1000 * kGigabyte, 0, 0});
    }
    driver_.Run(milliseconds(Below(30) + 1), milliseconds(7));
  }

  Driver& driver() { return driver_; }

 private:
  void Submit() {
    const auto kind = static_cast<Kind>(Below(4));
    const Resources need = {std::int64_t{200} * Below(40),
                            Below(32) * kGigabyte / 2, Below(6) == 0 ? 1 : 0,
                            Below(3)};
    const int tasks = kind == Kind::kInteractive ? 1 : 1 + Below(12);
    JobRequest job = MakeJob("j" + std::to_string(next_++), kind, need, tasks,
                             "t" + std::to_string(Below(5)));
    job.idempotent = Below(3) > 0;
    job.family = "f" + std::to_string(Below(4));
    job.expected_run = milliseconds(Below(2) * 300);
    if (Below(4) == 0) {
      job.deadline = driver_.clock.Now() + milliseconds(Below(5'000));
    }
    if (Below(5) == 0) {
      job.constraint.require_availability_zone = "z" + std::to_string(Below(3));
    } else if (Below(5) == 0) {
      job.constraint.require_region = "west";
    } else if (Below(2) == 0) {
      job.constraint.prefer_region = "east";
    }
    driver_.Submit(job, milliseconds(1 + Below(3'000)));
  }

  void Cancel() {
    const auto job = Pick(driver_.jobs);
    const auto to_stop = driver_.scheduler->Cancel(job->first);
    std::size_t running = 0;
    for (const auto& [task, it] : driver_.running_tasks) {
      running += task.job_id == job->first ? 1 : 0;
    }
    cr_assert_eq(to_stop.size(), running);
    for (const Assignment& it : to_stop) {
      driver_.End(it.task, EndKind::kCancelled);
    }
    job->second.dropped = true;
  }

  void ToggleAccepting() {
    const std::string worker = "w" + std::to_string(Below(24));
    driver_.scheduler->SetAccepting(worker, Below(3) > 0);
  }

  // Sets a team's quota above its current usage, so that its running tasks stay
  // within the quota.
  void ChangeQuota() {
    const std::string team = "t" + std::to_string(Below(2));
    const Resources used = driver_.used_by_team[team];
    driver_.quotas[team] = {used.milli_cpus + 40'000, 0, 0, used.slots + 30};
    std::vector<Quota> quotas;
    for (const auto& [name, limit] : driver_.quotas) {
      quotas.push_back({name, limit});
    }
    driver_.scheduler->SetQuotas(quotas);
  }

  Driver driver_;
  std::mt19937_64 engine_;
  int next_ = 0;
};

}  // namespace

// Guards against decisions that break capacity, quotas, gang atomicity, single
// placement, constraints, retry rules or the rule that non-idempotent work is
// never preempted, in any order of events. The driver checks each decision.
Test(policy_random, decisions_keep_the_invariants) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    cr_log_info("seed %d", static_cast<int>(seed));
    RandomRun run(seed);
    for (int n = 0; n < kSteps; ++n) {
      run.Step();
    }
    Driver& driver = run.driver();
    cr_assert_gt(driver.done_tasks, kSteps / 2,
                 "seed %d: too few tasks were done", static_cast<int>(seed));
    // Guards against leaked reservations: once all work has ended, no resources
    // are reserved and every queue is empty.
    for (int n = 0; n < 24; ++n) {
      driver.scheduler->SetAccepting("w" + std::to_string(n), true);
    }
    driver.scheduler->SetQuotas({});
    driver.quotas.clear();
    driver.outcome = [](const Driver::JobState&, const Assignment&) {
      return std::pair(EndKind::kDone, Duration(milliseconds(20)));
    };
    driver.Run(seconds(400), milliseconds(50));
    const auto report = driver.scheduler->Report(driver.clock.Now());
    for (const KindReport& it : report.kinds) {
      cr_assert_eq(it.running, 0);
      cr_assert_eq(it.queued, 0, "seed %d: %d tasks are stuck",
                   static_cast<int>(seed), static_cast<int>(it.queued));
      cr_assert_float_eq(it.share, 0, 1e-12);
    }
    for (const WorkerReport& it : report.workers) {
      cr_assert(it.reserved == Resources());
    }
  }
}

// Guards against decisions that depend on addresses or hash order, which would
// make a fault impossible to reproduce.
Test(policy_random, equal_seeds_give_equal_decisions) {
  RandomRun first(7);
  RandomRun second(7);
  for (int n = 0; n < 500; ++n) {
    first.Step();
    second.Step();
  }
  cr_assert_eq(first.driver().running_tasks.size(),
               second.driver().running_tasks.size());
  for (const auto& [task, it] : first.driver().running_tasks) {
    cr_assert_str_eq(it.worker.c_str(),
                     second.driver().running_tasks.at(task).worker.c_str());
  }
}

}  // namespace cranberryshunt::policy
