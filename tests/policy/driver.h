// Runs a Scheduler in virtual time and checks every decision against its own
// accounting of tasks and resources.
#ifndef CRANBERRYSHUNT_TESTS_POLICY_DRIVER_H_
#define CRANBERRYSHUNT_TESTS_POLICY_DRIVER_H_

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryshunt/policy/scheduler.h"

namespace cranberryshunt::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::int64_t kGigabyte = 1'000'000'000;

inline WorkerInfo MakeWorker(int number, const Resources& capacity) {
  const int rack = number / 8;
  const int zone = rack % 3;
  return {"w" + std::to_string(number), zone < 2 ? "east" : "west",
          "z" + std::to_string(zone), "r" + std::to_string(rack), capacity};
}

// Capacity of a worker when a test does not choose one.
inline constexpr Resources kDefaultWorkerCapacity = {32'000, 64 * kGigabyte, 0,
                                                     8};

inline JobRequest MakeJob(std::string id,
                          Kind kind,
                          const Resources& need,
                          int tasks = 1,
                          std::string team = "t") {
  JobRequest job;
  job.job_id = std::move(id);
  job.team = std::move(team);
  job.kind = kind;
  job.task_count = tasks;
  job.task_resources = need;
  return job;
}

class Driver {
 public:
  struct RunningTask {
    std::string worker;
    TimePoint ends_at;
    EndKind end_kind = EndKind::kDone;
    TimePoint started_at;
  };
  // The keys of the maps are indexes of tasks.
  struct JobState {
    JobRequest request;
    Duration run_time;
    std::set<std::int32_t> finished;
    std::map<std::int32_t, std::set<std::string>> failed_on;
    std::map<std::int32_t, ResultCode> result_codes;
    TimePoint submitted;
    std::map<std::int32_t, Duration> waits;
    bool dropped = false;
  };

  explicit Driver(SchedulerOptions options = {})
      : scheduler(*Scheduler::Create(options)) {}

  void AddWorkers(int count,
                  const Resources& capacity = kDefaultWorkerCapacity) {
    for (int n = 0; n < count; ++n) {
      AddWorker(MakeWorker(static_cast<int>(workers.size()), capacity));
    }
  }

  void AddWorker(const WorkerInfo& info) {
    workers[info.id] = info;
    scheduler->UpsertWorker(info);
  }

  Admission Submit(const JobRequest& request, Duration run = seconds(1000)) {
    Admission admission = scheduler->Submit(request, clock.Now());
    if (std::holds_alternative<Queued>(admission)) {
      jobs[request.job_id] = {request, run, {}, {}, {}, clock.Now(), {}, false};
    }
    return admission;
  }

  // Advances the clock by `time` in steps of `step`. After each step, ends the
  // tasks that are due and applies the decisions of the scheduler.
  void Run(Duration time, Duration step = milliseconds(10)) {
    for (Duration passed{}; passed < time; passed += step) {
      clock.Advance(step);
      EndDueTasks();
      Decide();
    }
  }

  void Decide() {
    for (;;) {
      const auto decisions = scheduler->Decide(clock.Now(), 64);
      if (decisions.empty()) {
        return;
      }
      for (const Decision& it : decisions) {
        std::visit([this](const auto& decision) { Handle(decision); }, it);
      }
    }
  }

  // Ends a running task now.
  EndOutcome End(const TaskId& task, EndKind end) {
    const RunningTask ended = running_tasks.at(task);
    JobState& job = jobs.at(task.job_id);
    UpdateUsage(task, ended.worker, -1);
    running_tasks.erase(task);
    if (end == EndKind::kFailed) {
      job.failed_on[task.index].insert(ended.worker);
    }
    EndOutcome end_outcome = scheduler->TaskEnded(task, end, clock.Now());
    if (const Ended* it = std::get_if<Ended>(&end_outcome)) {
      job.finished.insert(task.index);
      job.result_codes[task.index] = it->code;
      done_tasks += it->code == ResultCode::kOk ? 1 : 0;
    } else {
      cr_assert(job.request.idempotent || end == EndKind::kRefused,
                "a non-idempotent task was queued again");
    }
    return end_outcome;
  }

  void EndDueTasks() {
    std::vector<std::pair<TaskId, EndKind>> due;
    for (const auto& [task, it] : running_tasks) {
      if (it.ends_at <= clock.Now()) {
        due.emplace_back(task, it.end_kind);
      }
    }
    for (const auto& [task, end] : due) {
      if (!running_tasks.contains(task)) {
        continue;  // Its service was cancelled in this step.
      }
      const JobRequest& job = jobs.at(task.job_id).request;
      if (end == EndKind::kDone && job.kind == Kind::kService) {
        CancelService(task.job_id);
      } else {
        End(task, end);
      }
    }
  }

  // The scheduler restarts a task of a service whenever it ends. A service
  // therefore counts as done when it is cancelled.
  void CancelService(const std::string& job_id) {
    JobState& job = jobs.at(job_id);
    done_tasks +=
        job.request.task_count - static_cast<std::int64_t>(job.finished.size());
    for (const Assignment& it : scheduler->Cancel(job_id)) {
      End(it.task, EndKind::kCancelled);
    }
    job.dropped = true;
  }

  int RunningCount(Kind kind) const {
    return static_cast<int>(
        std::ranges::count_if(running_tasks, [&](const auto& it) {
          return jobs.at(it.first.job_id).request.kind == kind;
        }));
  }

  // Returns the 99th percentile of the waits of a kind's tasks that were
  // submitted at `from` or later. A task that still waits counts with its wait
  // so far, and the tasks of dropped jobs do not count.
  Duration WaitP99(Kind kind, TimePoint from) const {
    std::vector<Duration> waits;
    for (const auto& [id, job] : jobs) {
      if (job.request.kind != kind || job.submitted < from || job.dropped) {
        continue;
      }
      for (std::int32_t n = 0; n < job.request.task_count; ++n) {
        const auto it = job.waits.find(n);
        waits.push_back(it != job.waits.end() ? it->second
                                              : clock.Now() - job.submitted);
      }
    }
    cr_assert_not(waits.empty());
    std::ranges::sort(waits);
    return waits[(waits.size() - 1) * 99 / 100];
  }

  ManualClock clock;
  std::unique_ptr<Scheduler> scheduler;
  std::map<std::string, WorkerInfo> workers;
  std::map<std::string, JobState> jobs;
  std::map<TaskId, RunningTask> running_tasks;
  std::map<std::string, Resources> quotas;
  std::map<std::string, Resources> used_by_worker;
  std::map<std::string, Resources> used_by_team;
  std::vector<Preempt> preempts;
  std::vector<Throttle> throttles;
  std::vector<Drop> drops;
  std::int64_t done_tasks = 0;
  Duration stop_delay = milliseconds(200);
  // Returns how the next attempt of a task ends and after what time.
  std::function<std::pair<EndKind, Duration>(const JobState&,
                                             const Assignment&)>
      outcome = [](const JobState& job, const Assignment&) {
        return std::pair(EndKind::kDone, job.run_time);
      };

 private:
  void UpdateUsage(const TaskId& task, const std::string& worker, int sign) {
    const JobRequest& job = jobs.at(task.job_id).request;
    used_by_worker[worker] = used_by_worker[worker] + job.task_resources * sign;
    used_by_team[job.team] = used_by_team[job.team] + job.task_resources * sign;
  }

  void Handle(const Place& place) {
    cr_assert_not(place.assignments.empty());
    const auto& id = place.assignments.front().task.job_id;
    const JobState& job = jobs.at(id);
    const bool is_gang = job.request.kind == Kind::kGang;
    cr_assert(is_gang || place.assignments.size() == 1);
    for (const Assignment& it : place.assignments) {
      cr_assert_str_eq(it.task.job_id.c_str(), id.c_str());
      Start(it);
    }
    if (is_gang) {
      std::size_t started_tasks = job.finished.size();
      for (const auto& [task, it] : running_tasks) {
        started_tasks += task.job_id == id ? 1 : 0;
      }
      cr_assert_eq(started_tasks,
                   static_cast<std::size_t>(job.request.task_count),
                   "gang %s holds a partial allocation", id.c_str());
    }
  }

  void Start(const Assignment& it) {
    JobState& job = jobs.at(it.task.job_id);
    const WorkerInfo& worker = workers.at(it.worker);
    const auto& constraint = job.request.constraint;
    cr_assert_not(job.dropped || job.finished.contains(it.task.index));
    cr_assert_not(running_tasks.contains(it.task), "a task was placed twice");
    cr_assert_not(
        job.failed_on[it.task.index].contains(it.worker),
        "a retry was placed on a worker on which the task had failed");
    cr_assert(constraint.require_region.empty() ||
              constraint.require_region == worker.region);
    cr_assert(constraint.require_availability_zone.empty() ||
              constraint.require_availability_zone == worker.availability_zone);
    UpdateUsage(it.task, it.worker, 1);
    cr_assert(used_by_worker[it.worker].FitsIn(worker.capacity),
              "worker %s was assigned more than its capacity",
              it.worker.c_str());
    CheckQuota(job.request.team);
    const auto [end, after] = outcome(job, it);
    running_tasks[it.task] = {it.worker, clock.Now() + after, end, clock.Now()};
    job.waits.try_emplace(it.task.index, clock.Now() - job.submitted);
    scheduler->TaskRunning(it.task, clock.Now());
  }

  void CheckQuota(const std::string& team) {
    const auto quota = quotas.find(team);
    if (quota == quotas.end()) {
      return;
    }
    const Resources& used = used_by_team[team];
    const Resources& limit = quota->second;
    cr_assert(limit.milli_cpus == 0 || used.milli_cpus <= limit.milli_cpus);
    cr_assert(limit.memory_bytes == 0 ||
              used.memory_bytes <= limit.memory_bytes);
    cr_assert(limit.slots == 0 || used.slots <= limit.slots);
  }

  void Handle(const Preempt& preempt) {
    const auto it = running_tasks.find(preempt.task);
    cr_assert(it != running_tasks.end(),
              "a task that is not running was preempted");
    cr_assert(jobs.at(preempt.task.job_id).request.idempotent,
              "a non-idempotent task was preempted");
    preempts.push_back(preempt);
    const TimePoint stops_at = clock.Now() + stop_delay;
    if (stops_at < it->second.ends_at) {
      it->second.ends_at = stops_at;
      it->second.end_kind = EndKind::kPreempted;
    }
  }

  void Handle(const Throttle& throttle) { throttles.push_back(throttle); }

  void Handle(const Drop& drop) {
    jobs.at(drop.job_id).dropped = true;
    drops.push_back(drop);
  }
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_TESTS_POLICY_DRIVER_H_
