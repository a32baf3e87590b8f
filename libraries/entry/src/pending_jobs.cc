#include "pending_jobs.h"

#include <algorithm>
#include <utility>

namespace cranberryshunt::entry {

namespace {

constexpr Duration kRefreshInterval = std::chrono::seconds(1);
constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(250);

bool IsFinal(const wire::JobStatus& status) {
  return status.outcome != wire::Outcome::kPending;
}

}  // namespace

bool PendingJobs::Add(const std::string& job_id, const wire::JobSpec& spec) {
  const std::size_t bytes = spec.payload.size();
  std::lock_guard lock(mutex_);
  if (jobs_.size() >= limits_.jobs ||
      payload_bytes_ + bytes > limits_.payload_bytes) {
    return false;
  }
  auto job = std::make_shared<Job>();
  job->payload = std::make_shared<const std::string>(spec.payload);
  payload_bytes_ += bytes;
  job->has_idempotency_key = !spec.idempotency_key.empty();
  job->task_count = spec.task_count;
  job->checked_at = BootClock::now();
  jobs_.emplace(job_id, std::move(job));
  return true;
}

void PendingJobs::Remove(const std::string& job_id) {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end()) {
    return;
  }
  DropPayload(*it->second);
  it->second->final = true;
  it->second->changed.notify_all();
  jobs_.erase(it);
}

void PendingJobs::DropPayload(Job& job) {
  if (job.payload) {
    payload_bytes_ -= job.payload->size();
    job.payload.reset();
  }
}

void PendingJobs::EraseIfUnused(const std::string& job_id) {
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end() || !it->second->waiters.empty()) {
    return;
  }
  // The payload must be kept until the job is final, because the leader may
  // order another start.
  if (it->second->final || !it->second->payload) {
    jobs_.erase(it);
  }
}

std::shared_ptr<const std::string> PendingJobs::PayloadOf(
    const std::string& job_id) const {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(job_id);
  return it == jobs_.end() ? nullptr : it->second->payload;
}

void PendingJobs::UpdateStatus(const wire::JobStatus& status) {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(status.job_id);
  if (it == jobs_.end()) {
    return;
  }
  Job& job = *it->second;
  job.checked_at = BootClock::now();
  if (AwaitsAnswer(job, status)) {
    return;
  }
  // A status that is already final stays: it may have been built from the
  // target's complete answer, and the leader's copy may lack the answer's
  // bytes.
  if (!job.final) {
    job.status = status;
  }
  if (!IsFinal(status)) {
    return;
  }
  job.final = true;
  DropPayload(job);
  job.changed.notify_all();
  EraseIfUnused(status.job_id);
}

// The leader may learn of the end of a job from the worker's announcement
// before the target's answer arrives at this entry. An answer that is too large
// to be stored comes only from the target.
bool PendingJobs::AwaitsAnswer(Job& job, const wire::JobStatus& status) {
  constexpr std::chrono::seconds kAnswerWait{5};
  const bool lacks_answer = std::any_of(
      status.tasks.begin(), status.tasks.end(), [](const auto& task) {
        return task.outcome == wire::Outcome::kDone &&
               task.answer.length >
                   static_cast<std::int64_t>(task.answer.bytes.size());
      });
  if (job.final || !job.payload || !lacks_answer) {
    return false;
  }
  const auto now = BootClock::now();
  job.answer_deadline = job.answer_deadline.value_or(now + kAnswerWait);
  return now < *job.answer_deadline;
}

bool PendingJobs::DeliverResult(const wire::AttemptReport& record,
                                const std::string& worker) {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(record.attempt.job_id);
  if (it == jobs_.end() || it->second->final) {
    return false;
  }
  Job& job = *it->second;
  if (!job.payload) {
    // The job was not added here; a caller only waits for it. Its task count
    // and idempotency key are unknown, and other callers read the answer from
    // the leader.
    return false;
  }
  wire::TaskStatus task;
  task.index = record.attempt.index;
  task.state = wire::TaskState::kFinal;
  task.outcome = wire::Outcome::kDone;
  task.reason = record.reason;
  task.attempt = record.attempt.attempt;
  task.worker = worker;
  task.answer = record.answer;
  job.delivered_tasks[task.index] = task;
  if (static_cast<std::int32_t>(job.delivered_tasks.size()) < job.task_count) {
    return false;
  }
  wire::JobStatus status;
  status.job_id = record.attempt.job_id;
  status.outcome = wire::Outcome::kDone;
  for (auto& [index, delivered] : job.delivered_tasks) {
    status.tasks.push_back(delivered);
  }
  job.delivered_tasks.clear();
  job.status = status;
  job.final = true;
  DropPayload(job);
  const bool relayed = !job.has_idempotency_key && job.task_count == 1 &&
                       HasConnectedWaiter(job);
  job.changed.notify_all();
  EraseIfUnused(record.attempt.job_id);
  return relayed;
}

bool PendingJobs::HasConnectedWaiter(const Job& job) const {
  return std::any_of(
      job.waiters.begin(), job.waiters.end(),
      [](const Waiter* waiter) { return !waiter->caller_disconnected_(); });
}

PendingJobs::Waiter::Waiter(PendingJobs& jobs,
                            std::string job_id,
                            std::function<bool()> caller_disconnected)
    : jobs_(jobs),
      job_id_(std::move(job_id)),
      caller_disconnected_(std::move(caller_disconnected)) {
  std::lock_guard lock(jobs_.mutex_);
  auto it = jobs_.jobs_.find(job_id_);
  if (it == jobs_.jobs_.end()) {
    if (jobs_.jobs_.size() >= jobs_.limits_.jobs) {
      return;
    }
    it = jobs_.jobs_.emplace(job_id_, std::make_shared<Job>()).first;
  }
  job_ = it->second;
  job_->waiters.push_back(this);
}

PendingJobs::Waiter::~Waiter() {
  if (!job_) {
    return;
  }
  std::lock_guard lock(jobs_.mutex_);
  std::erase(job_->waiters, this);
  jobs_.EraseIfUnused(job_id_);
}

std::optional<wire::JobStatus> PendingJobs::Waiter::Wait(
    TimePoint deadline,
    const std::function<void()>& refresh) {
  if (!job_) {
    return std::nullopt;
  }
  std::unique_lock lock(jobs_.mutex_);
  auto next_refresh = BootClock::now() + kRefreshInterval;
  while (!job_->final) {
    const auto now = BootClock::now();
    const auto end = std::min(deadline, jobs_.wait_limit_);
    if (now >= end || caller_disconnected_()) {
      break;
    }
    if (now >= next_refresh) {
      lock.unlock();
      refresh();
      lock.lock();
      next_refresh = BootClock::now() + kRefreshInterval;
      continue;
    }
    job_->changed.wait_for(
        lock, std::min({end - now, kPeerCheckInterval, next_refresh - now}));
  }
  return job_->status;
}

void PendingJobs::LimitWaits(TimePoint deadline) {
  std::lock_guard lock(mutex_);
  wait_limit_ = deadline;
  for (auto& [job_id, job] : jobs_) {
    job->changed.notify_all();
  }
}

std::vector<std::string> PendingJobs::TakeStaleJobs(Duration age,
                                                    std::size_t limit) {
  std::lock_guard lock(mutex_);
  const auto now = BootClock::now();
  std::vector<std::string> stale;
  for (auto& [job_id, job] : jobs_) {
    if (stale.size() == limit) {
      break;
    }
    if (job->payload && now - job->checked_at >= age) {
      job->checked_at = now;
      stale.push_back(job_id);
    }
  }
  return stale;
}

std::size_t PendingJobs::payload_bytes() const {
  std::lock_guard lock(mutex_);
  return payload_bytes_;
}

}  // namespace cranberryshunt::entry
