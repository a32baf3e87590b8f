#include "cranberryshunt/state/job_store.h"

#include <algorithm>

namespace cranberryshunt::state {

namespace {

// Returns whether a queued task may finish with `outcome` without a new
// attempt.
bool MayEndQueuedTask(wire::Outcome::type outcome) {
  return outcome == wire::Outcome::kNotRun ||
         outcome == wire::Outcome::kCancelled ||
         outcome == wire::Outcome::kFailed;
}

bool IsActive(const TaskRecord& task) {
  return task.state == wire::TaskState::kPlaced ||
         task.state == wire::TaskState::kRunning;
}

TaskRecord NewTask(std::int32_t index) {
  TaskRecord task;
  task.index = index;
  task.state = wire::TaskState::kQueued;
  task.outcome = wire::Outcome::kPending;
  return task;
}

}  // namespace

SubmitResult JobStore::Submit(const wire::SubmitJob& command) {
  const auto& spec = command.spec;
  const JobRecord* known = Find(command.job_id);
  if (known == nullptr && !spec.idempotency_key.empty()) {
    known = FindByKey(spec.team, spec.idempotency_key);
  }
  if (known != nullptr) {
    const bool same = known->spec_digest == command.spec_digest;
    return {same ? ResultCode::kOk : ResultCode::kKeyConflict, known->job_id,
            true};
  }
  JobRecord job;
  job.job_id = command.job_id;
  job.spec = spec;
  job.spec_digest = command.spec_digest;
  job.entry_id = command.entry_id;
  job.submitted_ms = command.submitted_ms;
  job.open_tasks = std::max(spec.task_count, 1);
  for (std::int32_t index = 0; index < job.open_tasks; ++index) {
    job.tasks.push_back(NewTask(index));
  }
  AddToIndexes(job);
  jobs_.emplace(command.job_id, std::move(job));
  return {ResultCode::kOk, command.job_id, false};
}

TasksResult JobStore::Place(
    const wire::PlaceTasks& command,
    const std::map<std::string, wire::Worker>& workers) {
  TasksResult applied;
  for (const auto& placement : command.placements) {
    applied.codes.push_back(PlaceOne(placement, workers, command.placed_ms));
  }
  return applied;
}

ResultCode JobStore::PlaceOne(
    const wire::Placement& placement,
    const std::map<std::string, wire::Worker>& workers,
    std::int64_t placed_ms) {
  const auto [job, task] =
      FindTask(placement.attempt.job_id, placement.attempt.index);
  if (task == nullptr || !workers.contains(placement.worker)) {
    return ResultCode::kNotFound;
  }
  if (job->cancelled) {
    return ResultCode::kCancelledByCaller;
  }
  if (task->state != wire::TaskState::kQueued || placement.fence <= fence_ ||
      placement.attempt.attempt != task->attempt + 1) {
    return ResultCode::kRevisionConflict;
  }
  fence_ = placement.fence;
  task->state = wire::TaskState::kPlaced;
  task->attempt = placement.attempt.attempt;
  task->fence = placement.fence;
  task->worker = placement.worker;
  task->incarnation = placement.incarnation;
  task->placed_ms = placed_ms;
  return ResultCode::kOk;
}

TasksResult JobStore::Finish(const wire::FinishTasks& command) {
  TasksResult applied;
  for (const auto& result : command.results) {
    applied.codes.push_back(
        FinishOne(result, command.finished_ms, applied.finished_jobs));
  }
  return applied;
}

ResultCode JobStore::FinishOne(const wire::TaskResult& result,
                               std::int64_t now_ms,
                               std::vector<std::string>& finished_jobs) {
  const auto [job, task] =
      FindTask(result.attempt.job_id, result.attempt.index);
  if (task == nullptr) {
    return ResultCode::kNotFound;
  }
  const bool current = result.attempt.attempt == task->attempt;
  const bool ends_queued = task->state == wire::TaskState::kQueued &&
                           MayEndQueuedTask(result.outcome);
  if (!current || result.outcome == wire::Outcome::kPending ||
      !(IsActive(*task) || ends_queued)) {
    return ResultCode::kRevisionConflict;
  }
  Finalize(*job, *task, result, now_ms, finished_jobs);
  return ResultCode::kOk;
}

void JobStore::Finalize(JobRecord& job,
                        TaskRecord& task,
                        const wire::TaskResult& result,
                        std::int64_t now_ms,
                        std::vector<std::string>& finished_jobs) {
  task.state = wire::TaskState::kFinal;
  task.outcome = result.outcome;
  // An earlier attempt may have run, so kNotRun would be wrong.
  if (result.outcome == wire::Outcome::kNotRun && task.may_have_run) {
    task.outcome = wire::Outcome::kFailed;
  }
  task.code = result.code;
  task.reason = result.reason;
  task.answer = result.answer;
  if (--job.open_tasks > 0) {
    return;
  }
  job.finished_ms = now_ms;
  open_jobs_.erase(job.job_id);
  finished_jobs_.emplace(now_ms, job.job_id);
  finished_jobs.push_back(job.job_id);
}

void JobStore::FinalizeCancelled(JobRecord& job,
                                 TaskRecord& task,
                                 std::int64_t now_ms,
                                 std::vector<std::string>& finished_jobs) {
  wire::TaskResult result;
  result.outcome = wire::Outcome::kCancelled;
  result.code = static_cast<int>(ResultCode::kCancelledByCaller);
  result.reason = job.cancel_reason;
  Finalize(job, task, result, now_ms, finished_jobs);
}

TasksResult JobStore::Requeue(const wire::RequeueTasks& command,
                              std::int64_t now_ms) {
  TasksResult applied;
  for (const auto& attempt : command.attempts) {
    const auto [job, task] = FindTask(attempt.job_id, attempt.index);
    if (task == nullptr) {
      applied.codes.push_back(ResultCode::kNotFound);
      continue;
    }
    if (!IsActive(*task) || attempt.attempt != task->attempt) {
      applied.codes.push_back(ResultCode::kRevisionConflict);
      continue;
    }
    task->may_have_run = task->may_have_run || !command.never_started;
    task->reason = command.reason;
    if (job->cancelled) {
      FinalizeCancelled(*job, *task, now_ms, applied.finished_jobs);
      applied.codes.push_back(ResultCode::kCancelledByCaller);
      continue;
    }
    task->state = wire::TaskState::kQueued;
    task->worker.clear();
    task->incarnation.clear();
    applied.codes.push_back(ResultCode::kOk);
  }
  return applied;
}

TasksResult JobStore::MarkRunning(const wire::MarkRunning& command) {
  TasksResult applied;
  for (const auto& attempt : command.attempts) {
    const auto [job, task] = FindTask(attempt.job_id, attempt.index);
    if (task == nullptr) {
      applied.codes.push_back(ResultCode::kNotFound);
    } else if (task->state != wire::TaskState::kPlaced ||
               attempt.attempt != task->attempt) {
      applied.codes.push_back(ResultCode::kRevisionConflict);
    } else {
      task->state = wire::TaskState::kRunning;
      applied.codes.push_back(ResultCode::kOk);
    }
  }
  return applied;
}

CancelResult JobStore::Cancel(const wire::CancelJobs& command) {
  CancelResult applied;
  for (const auto& job_id : command.job_ids) {
    auto it = jobs_.find(job_id);
    if (it == jobs_.end()) {
      applied.codes.push_back(ResultCode::kNotFound);
      continue;
    }
    JobRecord& job = it->second;
    applied.codes.push_back(ResultCode::kOk);
    if (job.cancelled || job.open_tasks == 0) {
      continue;
    }
    job.cancelled = true;
    job.cancel_reason = command.reason;
    for (auto& task : job.tasks) {
      if (task.state == wire::TaskState::kQueued) {
        FinalizeCancelled(job, task, command.cancelled_ms,
                          applied.finished_jobs);
      } else if (IsActive(task)) {
        applied.active.push_back(AttemptOf(job, task));
      }
    }
  }
  return applied;
}

ExpireResult JobStore::Expire(const wire::ExpireKeys& command) {
  ExpireResult applied;
  while (!finished_jobs_.empty() &&
         finished_jobs_.begin()->first < command.finished_before_ms) {
    auto it = jobs_.find(finished_jobs_.begin()->second);
    const auto& spec = it->second.spec;
    if (!spec.idempotency_key.empty()) {
      job_ids_by_key_.erase({spec.team, spec.idempotency_key});
    }
    jobs_.erase(it);
    finished_jobs_.erase(finished_jobs_.begin());
    ++applied.dropped_jobs;
  }
  return applied;
}

JobStore::TaskLocation JobStore::FindTask(const std::string& job_id,
                                          std::int32_t index) {
  auto it = jobs_.find(job_id);
  if (it == jobs_.end() || index < 0 ||
      static_cast<std::size_t>(index) >= it->second.tasks.size()) {
    return {};
  }
  return {&it->second, &it->second.tasks[static_cast<std::size_t>(index)]};
}

const JobRecord* JobStore::Find(const std::string& job_id) const {
  auto it = jobs_.find(job_id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const JobRecord* JobStore::FindByKey(const std::string& team,
                                     const std::string& key) const {
  auto it = job_ids_by_key_.find({team, key});
  return it == job_ids_by_key_.end() ? nullptr : Find(it->second);
}

void JobStore::AddToIndexes(const JobRecord& job) {
  if (!job.spec.idempotency_key.empty()) {
    job_ids_by_key_[{job.spec.team, job.spec.idempotency_key}] = job.job_id;
  }
  if (job.open_tasks > 0) {
    open_jobs_.insert(job.job_id);
  } else {
    finished_jobs_.emplace(job.finished_ms, job.job_id);
  }
}

void JobStore::Restore(std::int64_t fence, std::vector<JobRecord> jobs) {
  jobs_.clear();
  job_ids_by_key_.clear();
  open_jobs_.clear();
  finished_jobs_.clear();
  fence_ = fence;
  for (auto& job : jobs) {
    AddToIndexes(job);
    jobs_.emplace(job.job_id, std::move(job));
  }
}

wire::AttemptKey AttemptOf(const JobRecord& job, const TaskRecord& task) {
  wire::AttemptKey key;
  key.job_id = job.job_id;
  key.index = task.index;
  key.attempt = task.attempt;
  return key;
}

}  // namespace cranberryshunt::state
