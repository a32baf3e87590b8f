#include "pending_jobs.h"

#include <algorithm>
#include <utility>

namespace cranberryshunt::entry {

namespace {

constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(250);

bool AllFinal(const wire::JobStatus& status) {
  return status.outcome != wire::Outcome::kPending;
}

}  // namespace

bool PendingJobs::Add(const std::string& job_id, const wire::JobSpec& spec) {
  const bool interactive = spec.kind == wire::JobKind::kInteractive;
  const std::size_t bytes = interactive ? spec.payload.size() : 0;
  std::lock_guard lock(mutex_);
  if (jobs_.size() >= limits_.jobs ||
      payload_bytes_ + bytes > limits_.payload_bytes) {
    return false;
  }
  auto job = std::make_shared<Job>();
  if (interactive) {
    job->payload = std::make_shared<const std::string>(spec.payload);
    payload_bytes_ += bytes;
  }
  job->has_key = !spec.idempotency_key.empty();
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

void PendingJobs::EraseIfDone(const std::string& job_id) {
  const auto it = jobs_.find(job_id);
  if (it == jobs_.end() || it->second->waiters > 0) {
    return;
  }
  // A payload must stay until the job cannot be started any more.
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

void PendingJobs::Update(const wire::JobStatus& status) {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(status.job_id);
  if (it == jobs_.end()) {
    return;
  }
  Job& job = *it->second;
  job.checked_at = BootClock::now();
  // An answer that came straight from the target is whole; the leader's copy
  // may lack its bytes.
  if (!job.final) {
    job.status = status;
  }
  if (!AllFinal(status)) {
    return;
  }
  job.final = true;
  DropPayload(job);
  job.changed.notify_all();
  EraseIfDone(status.job_id);
}

bool PendingJobs::Deliver(const wire::AttemptReport& record,
                          const std::string& worker) {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(record.attempt.job_id);
  if (it == jobs_.end() || it->second->final) {
    return false;
  }
  Job& job = *it->second;
  wire::TaskStatus task;
  task.index = record.attempt.index;
  task.state = wire::TaskState::kFinal;
  task.outcome = wire::Outcome::kDone;
  task.reason = record.reason;
  task.attempt = record.attempt.attempt;
  task.worker = worker;
  task.answer = record.answer;
  job.direct[task.index] = std::move(task);
  if (static_cast<std::int32_t>(job.direct.size()) < job.task_count) {
    return false;
  }
  wire::JobStatus status;
  status.job_id = record.attempt.job_id;
  status.outcome = wire::Outcome::kDone;
  for (auto& [index, direct] : job.direct) {
    status.tasks.push_back(std::move(direct));
  }
  job.direct.clear();
  job.status = std::move(status);
  job.final = true;
  DropPayload(job);
  const bool relayed = job.waiters > 0 && !job.has_key && job.task_count == 1;
  job.changed.notify_all();
  EraseIfDone(record.attempt.job_id);
  return relayed;
}

void PendingJobs::WaitUntil(std::unique_lock<std::mutex>& lock,
                            Job& job,
                            const WaitOptions& options) {
  auto next_refresh = BootClock::now() + options.refresh_interval;
  while (!job.final) {
    const auto now = BootClock::now();
    const auto end = std::min(options.deadline, wait_limit_);
    if (now >= end) {
      return;
    }
    const Duration pause =
        std::min({end - now, kPeerCheckInterval,
                  std::max(next_refresh - now, Duration(1))});
    job.changed.wait_for(lock, pause);
    if (job.final || (options.peer_is_gone && options.peer_is_gone())) {
      return;
    }
    if (BootClock::now() < next_refresh) {
      continue;
    }
    lock.unlock();
    options.refresh();
    lock.lock();
    next_refresh = BootClock::now() + options.refresh_interval;
  }
}

std::optional<wire::JobStatus> PendingJobs::Wait(const std::string& job_id,
                                                 const WaitOptions& options) {
  std::unique_lock lock(mutex_);
  auto it = jobs_.find(job_id);
  if (it == jobs_.end()) {
    if (jobs_.size() >= limits_.jobs) {
      return std::nullopt;
    }
    // A job that was submitted elsewhere, or whose key was known.
    it = jobs_.emplace(job_id, std::make_shared<Job>()).first;
  }
  const JobPtr job = it->second;
  ++job->waiters;
  WaitUntil(lock, *job, options);
  --job->waiters;
  auto status = job->status;
  EraseIfDone(job_id);
  return status;
}

void PendingJobs::LimitWaits(TimePoint deadline) {
  std::lock_guard lock(mutex_);
  wait_limit_ = deadline;
  for (auto& [job_id, job] : jobs_) {
    job->changed.notify_all();
  }
}

std::vector<std::string> PendingJobs::OldJobs(Duration age, std::size_t limit) {
  std::lock_guard lock(mutex_);
  const auto now = BootClock::now();
  std::vector<std::string> old;
  for (auto& [job_id, job] : jobs_) {
    if (old.size() == limit) {
      break;
    }
    if (job->payload && now - job->checked_at >= age) {
      job->checked_at = now;
      old.push_back(job_id);
    }
  }
  return old;
}

std::size_t PendingJobs::payload_bytes() const {
  std::lock_guard lock(mutex_);
  return payload_bytes_;
}

}  // namespace cranberryshunt::entry
