#include "pending_jobs.h"

#include <algorithm>
#include <utility>

namespace cranberryshunt::entry {

namespace {

constexpr Duration kRefreshInterval = std::chrono::seconds(1);
constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(250);

bool AllFinal(const wire::JobStatus& status) {
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
  if (it == jobs_.end() || !it->second->waiters.empty()) {
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
  if (AwaitsAnswer(job, status)) {
    return;
  }
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

// Whether the answer of a finished job is still on its way from the target to
// this entry: the worker's announcement can be faster, and an answer that is
// too large to be stored comes only this way.
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
  job.answer_due = job.answer_due.value_or(now + kAnswerWait);
  return now < *job.answer_due;
}

bool PendingJobs::Deliver(const wire::AttemptReport& record,
                          const std::string& worker) {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(record.attempt.job_id);
  if (it == jobs_.end() || it->second->final) {
    return false;
  }
  Job& job = *it->second;
  if (!job.payload) {
    // Callers only wait here for a job that was not added: its size and key are
    // unknown, and other callers read its answer from the leader.
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
  job.direct[task.index] = task;
  if (static_cast<std::int32_t>(job.direct.size()) < job.task_count) {
    return false;
  }
  wire::JobStatus status;
  status.job_id = record.attempt.job_id;
  status.outcome = wire::Outcome::kDone;
  for (auto& [index, direct] : job.direct) {
    status.tasks.push_back(direct);
  }
  job.direct.clear();
  job.status = status;
  job.final = true;
  DropPayload(job);
  const bool relayed =
      !job.has_key && job.task_count == 1 && HasLiveWaiter(job);
  job.changed.notify_all();
  EraseIfDone(record.attempt.job_id);
  return relayed;
}

bool PendingJobs::HasLiveWaiter(const Job& job) const {
  return std::any_of(
      job.waiters.begin(), job.waiters.end(),
      [](const Waiter* waiter) { return !waiter->peer_is_gone_(); });
}

PendingJobs::Waiter::Waiter(PendingJobs& jobs,
                            std::string job_id,
                            std::function<bool()> peer_is_gone)
    : jobs_(jobs),
      job_id_(std::move(job_id)),
      peer_is_gone_(std::move(peer_is_gone)) {
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
  jobs_.EraseIfDone(job_id_);
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
    if (now >= end || peer_is_gone_()) {
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
