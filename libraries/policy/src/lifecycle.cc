// State changes and usage reports of started tasks.
#include <algorithm>

#include "implementation.h"

namespace cranberryshunt::policy {

namespace {

// A job is faulty once one of its tasks has failed on this many distinct
// healthy workers.
constexpr int kFailedWorkersUntilFaulty = 3;
// Usage up to this percentage of the declaration is tolerated, since reports
// are sampled.
constexpr std::int64_t kToleratedUsagePercent = 110;
constexpr std::uint8_t kExcessReportsToThrottle = 1;
constexpr std::uint8_t kExcessReportsToStop = 4;
constexpr Duration kReclaimedRetryDelay = std::chrono::seconds(2);
constexpr std::int32_t kMinThrottlePercent = 10;

bool Exceeds(std::int64_t used, std::int64_t declared) {
  return used * 100 > declared * kToleratedUsagePercent;
}

}  // namespace

std::optional<TaskRef> Scheduler::Implementation::FindTask(
    const TaskId& id) const {
  const auto ref = jobs.Find(id.job_id);
  if (!ref || id.index < 0 ||
      static_cast<std::size_t>(id.index) >= jobs.at(*ref).tasks.size()) {
    return std::nullopt;
  }
  return TaskRef{*ref, id.index};
}

void Scheduler::Implementation::TaskRunning(const TaskId& id, TimePoint time) {
  SetNow(time);
  const auto ref = FindTask(id);
  if (!ref) {
    return;
  }
  Job& job = jobs.at(ref->job);
  Task& task = job.tasks[static_cast<std::size_t>(ref->index)];
  if (task.state != TaskState::kPlaced) {
    return;
  }
  task.state = TaskState::kRunning;
  job.may_have_run = true;
  state(job.kind).waits.Add(now - task.queued_at, now);
}

EndOutcome Scheduler::Implementation::TaskEnded(const TaskId& id,
                                                EndKind end,
                                                TimePoint time) {
  SetNow(time);
  const auto ref = FindTask(id);
  if (!ref) {
    return Ended{ResultCode::kNotFound, "the job is not known"};
  }
  Job& job = jobs.at(ref->job);
  Task& task = job.tasks[static_cast<std::size_t>(ref->index)];
  if (task.worker == kNone) {
    return Ended{ResultCode::kNotFound, "the task holds no reservation"};
  }
  const std::int32_t worker = task.worker;
  const Duration run = now - task.placed_at;
  const bool reclaimed = task.preempting && task.reclaimed;
  const bool stopped_for_excess = task.excess_reports >= kExcessReportsToStop;
  const bool never_ran = end == EndKind::kRefused || end == EndKind::kWithdrawn;
  if (task.state == TaskState::kPlaced && !never_ran) {
    state(job.kind).waits.Add(task.placed_at - task.queued_at, now);
  }
  job.may_have_run = job.may_have_run || !never_ran;
  RemoveTaskFromWorker(ref->job, ref->index);
  switch (end) {
    case EndKind::kDone:
      return OnDone(*ref, worker, run);
    case EndKind::kFailed:
      return OnFailed(*ref, worker);
    case EndKind::kRefused:
      CountWorkerFailure(worker, kNone);
      return Requeue(*ref, RetryBudget::Backoff(1, random));
    case EndKind::kWorkerLost:
      if (!job.idempotent) {
        return Finish(*ref, ResultCode::kWorkerLost,
                      "the worker was lost while the task ran");
      }
      return Requeue(*ref, Duration::zero());
    case EndKind::kPreempted:
      if (reclaimed) {
        ++state(job.kind).preempted;
        state(job.kind).preempted_run += run;
      }
      return stopped_for_excess ? OnFailed(*ref, worker)
                                : OnPreempted(*ref, reclaimed);
    case EndKind::kWithdrawn:
      return Requeue(*ref, Duration::zero());
    case EndKind::kCancelled:
      break;
  }
  return Finish(*ref, ResultCode::kCancelledByCaller, "the job was cancelled");
}

EndOutcome Scheduler::Implementation::OnDone(const TaskRef& ref,
                                             std::int32_t worker,
                                             Duration run) {
  const Job& job = jobs.at(ref.job);
  if (job.kind != Kind::kService) {
    run_estimator.Record(job.family, run, job.expected_run);
  }
  failure_tracker.OnDone(worker, job.family, now);
  Worker& worker_entry = workers.at(worker);
  if (worker_entry.on_probation &&
      failure_tracker.health(worker) == Health::kNormal) {
    worker_entry.on_probation = false;
  }
  UpdateStartLimit(worker);
  if (job.kind == Kind::kService && job.idempotent) {
    // A service is restarted until it is cancelled. The backoff keeps a service
    // that ends immediately from taking up all starts.
    return Requeue(ref, RetryBudget::Backoff(1, random));
  }
  return Finish(ref, ResultCode::kOk, "");
}

void Scheduler::Implementation::CountWorkerFailure(std::int32_t worker,
                                                   std::int32_t family) {
  if (!failure_tracker.OnFailed(worker, family, now)) {
    return;
  }
  workers.at(worker).quarantined = true;
  workers.at(worker).on_probation = false;
  workers.Refresh(worker);
  UpdateStartLimit(worker);
}

int Scheduler::Implementation::CountHealthyFailedWorkers(
    const Job& job,
    std::int32_t index) const {
  std::vector<std::int32_t> failed_workers;
  for (const Failure& it : job.failures) {
    if (it.index == index && it.worker != kNone &&
        failure_tracker.health(it.worker) == Health::kNormal &&
        std::ranges::find(failed_workers, it.worker) == failed_workers.end()) {
      failed_workers.push_back(it.worker);
    }
  }
  return static_cast<int>(failed_workers.size());
}

std::vector<std::int32_t> Scheduler::Implementation::FailedWorkers(
    const Job& job,
    std::int32_t index) const {
  std::vector<std::int32_t> failed;
  for (const Failure& it : job.failures) {
    if (it.index == index) {
      failed.push_back(it.worker);
    }
  }
  return failed;
}

bool Scheduler::Implementation::HasOtherWorker(const Job& job,
                                               std::int32_t index) const {
  const auto failed = FailedWorkers(job, index);
  for (std::size_t n = 0; n < workers.size(); ++n) {
    const auto number = static_cast<std::int32_t>(n);
    const Worker& worker = workers.at(number);
    if (worker.present && worker.accepting &&
        job.need.FitsIn(worker.capacity) &&
        (job.require_region == kNone || job.require_region == worker.region) &&
        (job.require_zone == kNone || job.require_zone == worker.zone) &&
        std::ranges::find(failed, number) == failed.end()) {
      return true;
    }
  }
  return false;
}

EndOutcome Scheduler::Implementation::OnFailed(const TaskRef& ref,
                                               std::int32_t worker) {
  Job& job = jobs.at(ref.job);
  Task& task = job.tasks[static_cast<std::size_t>(ref.index)];
  CountWorkerFailure(worker, job.family);
  job.failures.push_back({ref.index, worker});
  ++task.failures;
  if (job.faulty) {
    return Finish(ref, ResultCode::kJobFaulty, "the job is faulty");
  }
  if (job.cancelled || !job.idempotent) {
    return Finish(ref, ResultCode::kTaskFailed, "the task failed");
  }
  if (CountHealthyFailedWorkers(job, ref.index) >= kFailedWorkersUntilFaulty) {
    job.faulty = true;
    const bool has_queued_tasks = job.queued() + job.backing_off > 0;
    if (has_queued_tasks) {
      DropJob(ref.job, ResultCode::kJobFaulty,
              "a task failed on three sound workers");
    }
    return Finish(ref, ResultCode::kJobFaulty,
                  "a task failed on three sound workers");
  }
  if (job.kind == Kind::kService) {
    return Requeue(ref, RetryBudget::Backoff(task.failures, random));
  }
  if (!HasOtherWorker(job, ref.index)) {
    return Finish(ref, ResultCode::kTaskFailed,
                  "the task failed and no other worker can run it");
  }
  // Failures on an unhealthy worker do not count against the team's retry
  // budget.
  const bool is_exempt = failure_tracker.health(worker) != Health::kNormal;
  if (!is_exempt && !retry_budget.TryRetry(job.team, now)) {
    return Finish(ref, ResultCode::kRetryBudgetExhausted,
                  "the task failed and the team has used up its retries");
  }
  return Requeue(ref, RetryBudget::Backoff(task.failures, random));
}

EndOutcome Scheduler::Implementation::OnPreempted(const TaskRef& ref,
                                                  bool reclaimed) {
  if (!jobs.at(ref.job).idempotent) {
    return Finish(ref, ResultCode::kPreempted, "the task was preempted");
  }
  // Without a delay, a reclaimed task would often borrow the next free capacity
  // and lose its run time again.
  return Requeue(ref, reclaimed ? kReclaimedRetryDelay : Duration::zero());
}

EndOutcome Scheduler::Implementation::Finish(const TaskRef& ref,
                                             ResultCode code,
                                             std::string reason) {
  Job& job = jobs.at(ref.job);
  job.tasks[static_cast<std::size_t>(ref.index)].state = TaskState::kFinished;
  --job.unfinished;
  if (job.unfinished == 0) {
    jobs.Remove(ref.job);
  } else {
    EnqueueAtFront(ref.job);
  }
  return Ended{code, std::move(reason)};
}

EndOutcome Scheduler::Implementation::Requeue(const TaskRef& ref,
                                              Duration delay) {
  Job& job = jobs.at(ref.job);
  if (job.cancelled) {
    return Finish(ref, ResultCode::kCancelledByCaller, "the job was cancelled");
  }
  if (job.faulty) {
    return Finish(ref, ResultCode::kJobFaulty, "the job is faulty");
  }
  if (job.kind == Kind::kGang && job.idempotent) {
    StopGang(ref.job);
  }
  Task& task = job.tasks[static_cast<std::size_t>(ref.index)];
  queue(job.kind).AdjustQueuedTasks(job.team, 1);
  task.queued_at = now;
  if (delay > Duration::zero()) {
    task.state = TaskState::kBackingOff;
    ++job.backing_off;
    backoffs.Add(now + delay, ref);
  } else {
    task.state = TaskState::kQueued;
    job.Requeue(ref.index);
    EnqueueAtFront(ref.job);
  }
  // The original timer is discarded if it expires while the job holds a
  // reservation, so a deadline that has passed is added again.
  if (job.deadline && *job.deadline <= now && !job.may_have_run) {
    AddDeadline(ref.job);
  }
  return Requeued();
}

// Puts a job that was started before at the front of its queue, since it has
// already waited. A gang is queued only when none of its tasks holds a
// reservation or is backing off.
void Scheduler::Implementation::EnqueueAtFront(JobRef ref) {
  const Job& job = jobs.at(ref);
  if (job.cancelled || job.queued() == 0 ||
      (job.kind == Kind::kGang &&
       (job.reserved_tasks > 0 || job.backing_off > 0))) {
    return;
  }
  Enqueue(ref, true);
}

void Scheduler::Implementation::ThrottleOrStopExcessUsage(
    const TaskId& id,
    const Resources& used) {
  const auto ref = FindTask(id);
  if (!ref) {
    return;
  }
  Job& job = jobs.at(ref->job);
  Task& task = job.tasks[static_cast<std::size_t>(ref->index)];
  if (task.worker == kNone || task.preempting) {
    return;
  }
  const bool cpu_exceeds = Exceeds(used.milli_cpus, job.need.milli_cpus);
  if (!cpu_exceeds && !Exceeds(used.memory_bytes, job.need.memory_bytes)) {
    task.excess_reports = 0;
    return;
  }
  task.excess_reports = static_cast<std::uint8_t>(
      std::min<int>(task.excess_reports + 1, kExcessReportsToStop));
  if (task.excess_reports == kExcessReportsToThrottle) {
    excess_uses.Add(job.family, now);
    const std::int64_t percent =
        cpu_exceeds ? job.need.milli_cpus * 100 / used.milli_cpus
                    : job.need.memory_bytes * 100 / used.memory_bytes;
    const auto throttle_percent =
        std::max(kMinThrottlePercent, static_cast<std::int32_t>(percent));
    pending.push_back(
        {Throttle{id, workers.at(task.worker).id, throttle_percent}, *ref,
         task.attempts});
  } else if (task.excess_reports >= kExcessReportsToStop && job.idempotent) {
    if (job.kind == Kind::kGang) {
      StopGang(ref->job);
    } else {
      PreemptTask(*ref, false);
    }
  }
}

}  // namespace cranberryshunt::policy
