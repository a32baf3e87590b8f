// AttemptManager: starts, stops and lookups of attempts.
#include <algorithm>

#include "attempt_manager.h"
#include "conversions.h"
#include "cranberryshunt/base/log.h"

namespace cranberryshunt::controller {

namespace {

// Retry interval for an attempt whose start is not assigned to an entry.
constexpr std::chrono::milliseconds kAssignInterval{100};
// Resend intervals of lookups and stops. A resend may go through another entry.
constexpr std::chrono::milliseconds kLookupInterval{1'000};
constexpr std::chrono::milliseconds kStopInterval{2'000};
// A worker lists its running tasks in each announcement. A running attempt that
// has not been listed for this long is looked up.
constexpr std::chrono::milliseconds kMaxUnlisted{4'000};
// Time allowed for the report of a start that took effect just before its
// expiry.
constexpr std::chrono::milliseconds kReportDelay{500};

}  // namespace

Attempt& AttemptManager::Track(const state::JobRecord& job,
                               const state::TaskRecord& task) {
  Attempt attempt;
  attempt.key = state::AttemptOf(job, task);
  attempt.worker = task.worker;
  attempt.incarnation = task.incarnation;
  attempt.fence = task.fence;
  return table_.Add(std::move(attempt));
}

void AttemptManager::OnPlaced(const state::JobRecord& job,
                              const state::TaskRecord& task,
                              TimePoint now) {
  AssignStart(Track(job, task), now);
}

void AttemptManager::Restore(const state::JobRecord& job,
                             const state::TaskRecord& task,
                             TimePoint now) {
  Attempt& attempt = Track(job, task);
  attempt.start_may_be_sent = true;
  // The earlier leader may have sent the start to several entries, so a report
  // that one delivery failed is not conclusive.
  attempt.deliveries = 2;
  attempt.start_expiry = now + WithClockMargin(context_.options.start_window);
  attempt.last_listed = now;
  if (job.cancelled) {
    attempt.stop = StopReason::kCancelled;
  }
  if (task.state == wire::TaskState::kRunning) {
    attempt.stage = Stage::kRunning;
    attempt.ran = true;
  }
  table_.SetTimer(attempt, now + kAssignInterval);
}

std::string AttemptManager::ChooseEntry(const Attempt& attempt) {
  const LiveWorker* worker = context_.workers.Find(attempt.worker);
  if (worker == nullptr) {
    return context_.entries.Choose("", "", next_entry_++);
  }
  // A repeated lookup does not prefer the entry of the newest announcement,
  // because the path through it may be broken.
  const bool repeated = attempt.lookups > 1;
  return context_.entries.Choose(repeated ? "" : worker->via_entry,
                                 worker->identity.region, next_entry_++);
}

void AttemptManager::AssignStart(Attempt& attempt, TimePoint now) {
  const auto* job = context_.state.jobs().Find(attempt.key.job_id);
  const LiveWorker* worker = context_.workers.Find(attempt.worker);
  attempt.stage = Stage::kUnassigned;
  table_.SetTimer(attempt, now + kAssignInterval);
  if (job == nullptr || worker == nullptr ||
      worker->identity.incarnation != attempt.incarnation ||
      worker->identity.leaving || attempt.stop != StopReason::kNone) {
    Withdraw(attempt, "worker is not available", now);
    return;
  }
  // Wait while the worker is silent. It either announces itself again or loses
  // its leases, which ends the attempt.
  if (context_.workers.IsSilent(*worker, now)) {
    return;
  }
  std::string entry;
  if (PayloadAtEntry(job->spec)) {
    if (context_.entries.IsLost(job->entry_id, now)) {
      Withdraw(attempt, "entry with the payload is gone", now);
      return;
    }
    entry = context_.entries.IsLive(job->entry_id) ? job->entry_id : "";
  } else {
    entry = ChooseEntry(attempt);
  }
  if (entry.empty()) {
    return;
  }
  attempt.entry = entry;
  attempt.stage = Stage::kStartQueued;
  table_.SetTimer(attempt, now + context_.options.entry_lease);
  context_.orders.Add(entry, StartReference{attempt.key});
}

StartDecision AttemptManager::DecideStart(const wire::AttemptKey& key,
                                          TimePoint now) {
  Attempt* attempt = table_.Find(key);
  const auto* job = context_.state.jobs().Find(key.job_id);
  if (attempt == nullptr || job == nullptr ||
      (attempt->stage != Stage::kStartQueued &&
       attempt->stage != Stage::kStartSent)) {
    return DropStart{};
  }
  const LiveWorker* worker = context_.workers.Find(attempt->worker);
  const bool usable = worker != nullptr && !worker->lost &&
                      !context_.workers.IsSilent(*worker, now) &&
                      !worker->identity.leaving &&
                      worker->identity.incarnation == attempt->incarnation &&
                      attempt->stop == StopReason::kNone;
  if (!usable) {
    Withdraw(*attempt, "worker is not available", now);
    return DropStart{};
  }
  if (attempt->stage == Stage::kStartQueued) {
    attempt->stage = Stage::kStartSent;
    ++attempt->deliveries;
    ++context_.metrics.Counter("starts_total");
  }
  attempt->start_may_be_sent = true;
  attempt->start_expiry = now + WithClockMargin(context_.options.start_window);
  table_.SetTimer(*attempt, attempt->start_expiry + kReportDelay);
  const auto order = MakeStart(*job, *attempt, *worker, now);
  attempt->expiry_clock_ms =
      std::max(attempt->expiry_clock_ms, order.start_expiry_clock_ms);
  return SendStart{order};
}

wire::StartOrder AttemptManager::MakeStart(const state::JobRecord& job,
                                           const Attempt& attempt,
                                           const LiveWorker& worker,
                                           TimePoint now) const {
  wire::StartOrder order;
  order.attempt = attempt.key;
  order.fence = attempt.fence;
  order.worker = attempt.worker;
  order.incarnation = attempt.incarnation;
  order.address = worker.identity.address;
  order.lease_until_clock_ms = context_.workers.LeaseEndClock(worker);
  // A start that takes effect after the end of the lease could overlap with the
  // next attempt.
  order.start_expiry_clock_ms = std::min(
      WorkerTable::ClockAfter(worker, now, context_.options.start_window),
      order.lease_until_clock_ms);
  order.valid_ms = context_.options.start_window.count();
  order.kind = job.spec.kind;
  order.resources = job.spec.task_resources;
  order.payload = job.spec.payload;
  order.payload_at_entry = PayloadAtEntry(job.spec);
  order.idempotent = job.spec.idempotent;
  order.connections = worker.identity.connections;
  order.region = worker.identity.region;
  return order;
}

void AttemptManager::Withdraw(Attempt& attempt,
                              const std::string& reason,
                              TimePoint now) {
  context_.orders.RemoveStart(attempt.entry, attempt.key);
  if (attempt.start_may_be_sent) {
    StartLookup(attempt, now);
    return;
  }
  const bool cancelled = attempt.stop == StopReason::kCancelled;
  End(attempt,
      {.kind =
           cancelled ? policy::EndKind::kCancelled : policy::EndKind::kRefused,
       .reason = reason},
      now);
}

void AttemptManager::StartLookup(Attempt& attempt, TimePoint now) {
  context_.orders.RemoveStart(attempt.entry, attempt.key);
  attempt.stage = Stage::kLookup;
  ++attempt.lookups;
  table_.SetTimer(attempt, now + kLookupInterval);
  const LiveWorker* worker = context_.workers.Find(attempt.worker);
  const std::string entry = ChooseEntry(attempt);
  if (worker == nullptr || entry.empty()) {
    return;
  }
  wire::LookupOrder order;
  order.attempt = attempt.key;
  order.worker = attempt.worker;
  order.address = worker->identity.address;
  order.bar = true;
  context_.orders.Add(entry, order);
}

void AttemptManager::SendStop(Attempt& attempt, TimePoint now) {
  table_.SetTimer(attempt, now + kStopInterval);
  const LiveWorker* worker = context_.workers.Find(attempt.worker);
  const std::string entry = ChooseEntry(attempt);
  if (worker == nullptr || entry.empty()) {
    return;
  }
  wire::StopOrder order;
  order.attempt = attempt.key;
  order.worker = attempt.worker;
  order.address = worker->identity.address;
  order.checkpoint = attempt.checkpoint;
  context_.orders.Add(entry, order);
}

void AttemptManager::RequestStop(const policy::TaskId& task,
                                 StopReason reason,
                                 bool checkpoint,
                                 TimePoint now) {
  Attempt* attempt = table_.Find(task);
  if (attempt == nullptr || attempt->stage == Stage::kEnding) {
    return;
  }
  // A preemption does not replace an earlier cancellation.
  if (attempt->stop != StopReason::kCancelled) {
    attempt->stop = reason;
  }
  attempt->checkpoint = checkpoint;
  if (attempt->stage == Stage::kRunning) {
    SendStop(*attempt, now);
  } else if (attempt->stage != Stage::kLookup) {
    Withdraw(*attempt, "stopped before its start", now);
  }
}

void AttemptManager::Throttle(const policy::TaskId& task,
                              std::int32_t percent) {
  Attempt* attempt = table_.Find(task);
  const LiveWorker* worker =
      attempt == nullptr ? nullptr : context_.workers.Find(attempt->worker);
  if (worker == nullptr || attempt->stage != Stage::kRunning) {
    return;
  }
  const std::string entry = ChooseEntry(*attempt);
  if (entry.empty()) {
    return;
  }
  wire::ThrottleOrder order;
  order.attempt = attempt->key;
  order.worker = attempt->worker;
  order.address = worker->identity.address;
  order.percent = percent;
  context_.orders.Add(entry, order);
}

void AttemptManager::OnWorkerLeaving(const std::string& worker, TimePoint now) {
  for (const auto& task : table_.OnWorker(worker)) {
    Attempt* attempt = table_.Find(task);
    const bool starting = attempt->stage == Stage::kUnassigned ||
                          attempt->stage == Stage::kStartQueued ||
                          attempt->stage == Stage::kStartSent;
    if (starting) {
      Withdraw(*attempt, "worker is leaving", now);
    }
  }
}

void AttemptManager::OnEntryLost(const std::string& entry, TimePoint now) {
  context_.orders.Clear(entry);
  for (const auto& task : table_.WithEntry(entry)) {
    Attempt* attempt = table_.Find(task);
    // The target deduplicates the attempt if both entries deliver the start.
    if (attempt->stage == Stage::kStartQueued || now < attempt->start_expiry) {
      AssignStart(*attempt, now);
    } else {
      StartLookup(*attempt, now);
    }
  }
}

void AttemptManager::Tick(TimePoint now) {
  for (const auto& task : table_.TakeExpired(now)) {
    OnTimer(*table_.Find(task), now);
  }
}

void AttemptManager::OnTimer(Attempt& attempt, TimePoint now) {
  switch (attempt.stage) {
    case Stage::kUnassigned:
      AssignStart(attempt, now);
      return;
    case Stage::kStartQueued:
      // The entry is live, otherwise OnEntryLost() would have moved the start.
      table_.SetTimer(attempt, now + context_.options.entry_lease);
      return;
    case Stage::kStartSent:
    case Stage::kLookup:
      StartLookup(attempt, now);
      return;
    case Stage::kRunning:
      if (attempt.stop != StopReason::kNone) {
        SendStop(attempt, now);
      } else if (now - attempt.last_listed > kMaxUnlisted) {
        StartLookup(attempt, now);
      } else {
        table_.SetTimer(attempt, now + kMaxUnlisted);
      }
      return;
    case Stage::kEnding:
      return;
  }
}

}  // namespace cranberryshunt::controller
