#include <array>

#include "cranberryshunt/state/job_store.h"

namespace cranberryshunt::state {

namespace {

// Outcomes from the highest precedence to the lowest. The outcome of a job is
// derived from the task outcome with the highest precedence.
constexpr std::array kOutcomePrecedence = {
    wire::Outcome::kUnknown, wire::Outcome::kFailed, wire::Outcome::kCancelled,
    wire::Outcome::kNotRun, wire::Outcome::kDone};

wire::TaskStatus StatusOfTask(const TaskRecord& task) {
  wire::TaskStatus status;
  status.index = task.index;
  status.state = task.state;
  status.outcome = task.outcome;
  status.code = task.code;
  status.reason = task.reason;
  status.attempt = task.attempt;
  status.worker = task.worker;
  status.answer = task.answer;
  return status;
}

const TaskRecord* FindOutcome(const JobRecord& job,
                              wire::Outcome::type outcome) {
  for (const auto& task : job.tasks) {
    if (task.outcome == outcome) {
      return &task;
    }
  }
  return nullptr;
}

// Returns whether a task has the outcome kDone. Such a job must not be reported
// as kNotRun.
bool HasDoneTask(const JobRecord& job) {
  return FindOutcome(job, wire::Outcome::kDone) != nullptr;
}

}  // namespace

wire::JobStatus StatusOf(const JobRecord& job) {
  wire::JobStatus status;
  status.job_id = job.job_id;
  status.outcome = wire::Outcome::kPending;
  for (const auto& task : job.tasks) {
    status.tasks.push_back(StatusOfTask(task));
  }
  if (job.open_tasks > 0) {
    return status;
  }
  for (const auto outcome : kOutcomePrecedence) {
    const TaskRecord* task = FindOutcome(job, outcome);
    if (task == nullptr) {
      continue;
    }
    const bool partly_run =
        outcome == wire::Outcome::kNotRun && HasDoneTask(job);
    status.outcome = partly_run ? wire::Outcome::kFailed : outcome;
    status.code = task->code;
    status.reason = task->reason;
    status.retryable = IsRetryable(static_cast<ResultCode>(task->code));
    break;
  }
  return status;
}

}  // namespace cranberryshunt::state
