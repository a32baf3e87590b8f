#include "worker_tracker.h"

#include <algorithm>
#include <utility>

#include "cranberryshunt/base/log.h"

namespace cranberryshunt::cell {

namespace {

// A worker's clock may be this much slower than ours.
constexpr double kSlowestClock = 0.98;
// Added to every conclusion from time alone: rounding and the way of an answer.
constexpr std::int64_t kLeaseMarginMs = 300;
// How often a lease is renewed, and the longest wait for an end in one hold. A
// silent worker is noticed sooner with a short wait; in a large cell the holds
// of workers without news would cost too much.
constexpr std::int64_t kHoldWaitMs = 1'000;
constexpr std::int64_t kLongHoldWaitMs = 2'000;
constexpr std::size_t kLargeCell = 150;
// Beyond the wait: round trips between regions and a busy worker.
constexpr std::int64_t kAnswerTimeoutMs = 1'000;
// Shorter than the time within which a cancelled task must be gone.
constexpr std::int64_t kStopRetryMs = 700;
// Without an answer for this long beyond the wait of a hold a worker gets no
// starts.
constexpr std::int64_t kSilenceMs = 1'600;
// Workers are looked at for due holds and lost leases this often. Each turn of
// the decision thread would cost a large cell most of its processor time.
constexpr std::int64_t kAdvanceIntervalMs = 2;
// Order ids hold the fence above these bits.
constexpr int kOrderBits = 32;

}  // namespace

WorkerTracker::WorkerTracker(WorkerTrackerOptions options, std::int64_t now_ms)
    : options_(options),
      began_ms_(now_ms),
      // Unique over all terms, so that a late answer meets no other order.
      next_order_((static_cast<OrderId>(options.fence) << kOrderBits) + 1),
      advanced_ms_(now_ms - kAdvanceIntervalMs) {}

const WorkerSlot* WorkerTracker::Find(WorkerNumber number) const {
  const auto it = slots_.find(number);
  return it == slots_.end() ? nullptr : &it->second;
}

WorkerSlot* WorkerTracker::FindById(const std::string& id) {
  const auto it = numbers_by_id_.find(id);
  return it == numbers_by_id_.end() ? nullptr : &slots_.at(it->second);
}

void WorkerTracker::AddRun(WorkerSlot& slot, const RunKey& key, Run run) {
  changed_workers_.insert(slot.number);
  if (run.stop_requested || run.phase == RunPhase::kUncertain) {
    stop_candidates_.insert({slot.number, key});
  }
  slot.runs[key] = std::move(run);
  runs_by_job_[key.first.job].insert({slot.number, key});
}

void WorkerTracker::RequestStop(WorkerSlot& slot, const RunKey& key, Run& run) {
  run.stop_requested = true;
  stop_candidates_.insert({slot.number, key});
}

std::map<RunKey, Run>::iterator WorkerTracker::EraseRun(
    WorkerSlot& slot,
    std::map<RunKey, Run>::iterator it) {
  changed_workers_.insert(slot.number);
  stop_candidates_.erase({slot.number, it->first});
  const auto job = runs_by_job_.find(it->first.first.job);
  if (job != runs_by_job_.end()) {
    job->second.erase({slot.number, it->first});
    if (job->second.empty()) {
      runs_by_job_.erase(job);
    }
  }
  return slot.runs.erase(it);
}

void WorkerTracker::FinishRun(WorkerSlot& slot,
                          std::map<RunKey, Run>::iterator it,
                          wire::RunEnd::type how,
                          std::string reason,
                          std::int64_t now_ms,
                          WorkerTrackerOutput& out) {
  FinishedRun finished;
  finished.task = it->first.first;
  finished.run = it->first.second;
  finished.how = how;
  finished.worker = slot.number;
  // Without a time, as when a worker is removed, the length stays unknown.
  if (it->second.start_time_known && now_ms > 0) {
    finished.run_ms = now_ms - it->second.started_ms;
  }
  finished.reason = std::move(reason);
  finished.checkpoint = it->second.checkpoint;
  out.finished.push_back(std::move(finished));
  EraseRun(slot, it);
}

void WorkerTracker::FinishAllRuns(WorkerSlot& slot,
                           const std::string& reason,
                           std::int64_t now_ms,
                           WorkerTrackerOutput& out) {
  auto it = slot.runs.begin();
  while (it != slot.runs.end()) {
    const auto next = std::next(it);
    // What is not committed yet is ended when the commit is known.
    if (it->second.phase == RunPhase::kProposed) {
      RequestStop(slot, it->first, it->second);
    } else {
      FinishRun(slot, it, wire::RunEnd::kLost, reason, now_ms, out);
    }
    it = next;
  }
}

void WorkerTracker::Register(WorkerNumber number,
                          const wire::CalledWorker& record,
                          std::int64_t now_ms) {
  auto* old = FindById(record.id);
  changed_workers_.insert(number);
  if (old != nullptr && old->number == number) {
    old->record = record;
    return;
  }
  WorkerSlot slot;
  slot.number = number;
  slot.record = record;
  slot.last_report_ms = now_ms;
  slot.next_hold_ms = now_ms;
  slot.inherited_lease_end_ms =
      began_ms_ +
      static_cast<std::int64_t>(static_cast<double>(options_.max_lease_ms) /
                                kSlowestClock) +
      kLeaseMarginMs;
  slots_[number] = std::move(slot);
  auto& added = slots_[number];
  if (old != nullptr) {
    // Orders to the old life may still reach the new one, so its runs are
    // settled by what the new life shows.
    auto runs = std::move(old->runs);
    for (auto& [key, run] : runs) {
      runs_by_job_[key.first.job].erase({old->number, key});
      stop_candidates_.erase({old->number, key});
      const bool may_arrive =
          run.phase == RunPhase::kSending || run.phase == RunPhase::kUncertain;
      if (run.phase != RunPhase::kProposed) {
        run.phase = may_arrive ? RunPhase::kUncertain : RunPhase::kInherited;
        run.phase_confirmed_ms = 0;
        run.stop_order = 0;
      }
      AddRun(added, key, run);
    }
    slots_.erase(old->number);
  }
  numbers_by_id_[record.id] = number;
}

void WorkerTracker::Remove(WorkerNumber number, WorkerTrackerOutput& out) {
  const auto slot = slots_.find(number);
  if (slot == slots_.end()) {
    return;
  }
  FinishAllRuns(slot->second, "worker left", 0, out);
  auto it = slot->second.runs.begin();
  while (it != slot->second.runs.end()) {
    FinishRun(slot->second, it, wire::RunEnd::kNotStarted, "worker left", 0,
             out);
    it = slot->second.runs.begin();
  }
  numbers_by_id_.erase(slot->second.record.id);
  slots_.erase(slot);
}

void WorkerTracker::Inherit(WorkerNumber number,
                         const TaskKey& task,
                         std::int32_t run,
                         const policy::Demand& demand,
                         std::int64_t expected_run_ms,
                         std::int64_t now_ms,
                         WorkerTrackerOutput& out) {
  const auto slot = slots_.find(number);
  if (slot == slots_.end()) {
    // That life of the worker is over.
    FinishedRun finished;
    finished.task = task;
    finished.run = run;
    finished.worker = number;
    finished.reason = "worker is not registered any more";
    out.finished.push_back(std::move(finished));
    return;
  }
  Run it;
  it.phase = RunPhase::kInherited;
  it.demand = demand;
  it.started_ms = now_ms;
  it.expected_run_ms = expected_run_ms;
  AddRun(slot->second, {task, run}, it);
}

void WorkerTracker::RecordClock(WorkerSlot& slot,
                           std::int64_t clock_ms,
                           std::int64_t now_ms) {
  if (clock_ms < 0) {
    return;
  }
  // Keeps the sample that says most: the clock was at least this far.
  if (slot.clock_ms < 0 || clock_ms >= EstimateClock(slot, now_ms) ||
      clock_ms >= slot.clock_ms) {
    slot.clock_ms = clock_ms;
    slot.clock_sampled_ms = now_ms;
  }
}

std::int64_t WorkerTracker::EstimateClock(const WorkerSlot& slot,
                                  std::int64_t now_ms) const {
  return slot.clock_ms +
         static_cast<std::int64_t>(
             static_cast<double>(now_ms - slot.clock_sampled_ms) * kSlowestClock);
}

std::int64_t WorkerTracker::GrantLease(WorkerSlot& slot, std::int64_t now_ms) {
  const auto until = EstimateClock(slot, now_ms) + options_.lease_ms;
  slot.lease_until_ms = std::max(slot.lease_until_ms, until);
  slot.leases_expired = false;
  return until;
}

std::int64_t WorkerTracker::LeaseEnd(const WorkerSlot& slot) const {
  if (slot.clock_ms < 0 || slot.lease_until_ms == 0) {
    return slot.inherited_lease_end_ms;
  }
  const auto left = static_cast<double>(slot.lease_until_ms - slot.clock_ms);
  return std::max(slot.synced ? std::int64_t{0} : slot.inherited_lease_end_ms,
                  slot.clock_sampled_ms +
                      static_cast<std::int64_t>(left / kSlowestClock) +
                      kLeaseMarginMs);
}

void WorkerTracker::OnReport(WorkerNumber number,
                       std::int64_t sequence,
                       std::int64_t clock_ms,
                       std::int64_t now_ms) {
  const auto slot = slots_.find(number);
  if (slot == slots_.end() || sequence <= slot->second.report_sequence) {
    return;
  }
  auto& it = slot->second;
  it.report_sequence = sequence;
  it.last_report_ms = now_ms;
  if (it.clock_ms < 0) {
    RecordClock(it, clock_ms, now_ms);
  }
  if (it.hold_failures > 0 && it.hold_order == 0) {
    it.next_hold_ms = std::min(it.next_hold_ms, now_ms);
  }
}

std::int64_t WorkerTracker::HoldWaitMs() const {
  return slots_.size() < kLargeCell ? kHoldWaitMs : kLongHoldWaitMs;
}

bool WorkerTracker::IsUsable(const WorkerSlot& slot, std::int64_t now_ms) const {
  return slot.synced && !slot.record.leaving && !slot.leases_expired &&
         slot.clock_ms >= 0 &&
         now_ms - slot.last_answer_ms < HoldWaitMs() + kSilenceMs &&
         slot.hold_failures == 0 && now_ms >= slot.avoid_until_ms;
}

void WorkerTracker::Reserve(WorkerNumber number,
                         const TaskKey& task,
                         std::int32_t run,
                         const policy::Demand& demand,
                         std::int64_t expected_run_ms) {
  const auto slot = slots_.find(number);
  if (slot == slots_.end()) {
    return;
  }
  Run it;
  it.demand = demand;
  it.expected_run_ms = expected_run_ms;
  AddRun(slot->second, {task, run}, it);
}

OrderId WorkerTracker::AddOrder(WorkerSlot& slot,
                         WorkerOrder order,
                         std::int64_t timeout_ms,
                         WorkerTrackerOutput& out,
                         bool fresh_connection) {
  SentOrder sent;
  sent.id = next_order_++;
  sent.worker = slot.Address();
  sent.order = std::move(order);
  sent.timeout = std::chrono::milliseconds(timeout_ms);
  sent.fresh_connection = fresh_connection || slot.hold_failures > 0;
  out.orders.push_back(std::move(sent));
  return out.orders.back().id;
}

void WorkerTracker::SendStart(WorkerNumber number,
                      const TaskKey& task,
                      std::int32_t run,
                      StartOrder order,
                      std::int64_t now_ms,
                      WorkerTrackerOutput& out) {
  auto slot = slots_.find(number);
  if (slot == slots_.end()) {
    // The worker came back as a new life while the start was committed.
    const auto& places = runs_by_job_[task.job];
    const auto place = std::find_if(
        places.begin(), places.end(),
        [&](const auto& it) { return it.second == RunKey(task, run); });
    slot = place == places.end() ? slots_.end() : slots_.find(place->first);
  }
  if (slot == slots_.end()) {
    return;
  }
  const auto it = slot->second.runs.find({task, run});
  if (it == slot->second.runs.end()) {
    return;
  }
  if (it->second.stop_requested || slot->second.number != number ||
      !IsUsable(slot->second, now_ms)) {
    FinishRun(slot->second, it, wire::RunEnd::kNotStarted,
             it->second.stop_requested ? "stopped before the start was sent"
                                    : "worker is not usable any more",
             now_ms, out);
    return;
  }
  it->second.phase = RunPhase::kSending;
  it->second.started_ms = now_ms;
  it->second.start_time_known = true;
  order.fence = options_.fence;
  order.lease_until_ms = GrantLease(slot->second, now_ms);
  AddOrder(slot->second, std::move(order), kAnswerTimeoutMs, out);
}

void WorkerTracker::CancelReservation(const TaskKey& task, std::int32_t run) {
  const auto places = runs_by_job_.find(task.job);
  if (places == runs_by_job_.end()) {
    return;
  }
  for (const auto& [number, key] : places->second) {
    if (key == RunKey(task, run)) {
      auto& slot = slots_.at(number);
      EraseRun(slot, slot.runs.find(key));
      return;
    }
  }
}

void WorkerTracker::StopTask(const TaskKey& task, std::int32_t keep_run) {
  const auto places = runs_by_job_.find(task.job);
  if (places == runs_by_job_.end()) {
    return;
  }
  for (const auto& [number, key] : places->second) {
    if (key.first == task && key.second != keep_run) {
      auto& slot = slots_.at(number);
      RequestStop(slot, key, slot.runs.at(key));
    }
  }
}

void WorkerTracker::StopJob(graph::JobId job) {
  const auto places = runs_by_job_.find(job);
  if (places == runs_by_job_.end()) {
    return;
  }
  for (const auto& [number, key] : places->second) {
    auto& slot = slots_.at(number);
    RequestStop(slot, key, slot.runs.at(key));
  }
}

void WorkerTracker::Acknowledge(WorkerNumber number, std::int64_t number_of_end) {
  const auto slot = slots_.find(number);
  if (slot != slots_.end()) {
    slot->second.acknowledged_end =
        std::max(slot->second.acknowledged_end, number_of_end);
    slot->second.ends_commit_pending = false;
  }
}

void WorkerTracker::ReprocessEnds(WorkerNumber number) {
  const auto slot = slots_.find(number);
  if (slot != slots_.end()) {
    slot->second.seen_end = slot->second.acknowledged_end;
    slot->second.ends_commit_pending = false;
  }
}

void WorkerTracker::SendHold(WorkerSlot& slot,
                          std::int64_t now_ms,
                          WorkerTrackerOutput& out) {
  HoldOrder order;
  order.fence = options_.fence;
  order.acknowledged_end = slot.acknowledged_end;
  // A worker that does not answer gets no further lease, so that the end of its
  // runs can be concluded from time.
  if (slot.clock_ms >= 0 && slot.hold_failures == 0) {
    order.lease_until_ms = GrantLease(slot, now_ms);
  }
  const bool wait = slot.synced && slot.hold_failures == 0;
  order.wait = std::chrono::milliseconds(wait ? HoldWaitMs() : 0);
  slot.hold_sent_ms = now_ms;
  slot.hold_order =
      AddOrder(slot, order, order.wait.count() + kAnswerTimeoutMs, out);
}

void WorkerTracker::SendStops(std::int64_t now_ms, WorkerTrackerOutput& out) {
  auto it = stop_candidates_.begin();
  while (it != stop_candidates_.end()) {
    const auto current = it++;
    const auto& [number, key] = *current;
    auto& slot = slots_.at(number);
    auto& run = slot.runs.at(key);
    if (run.phase != RunPhase::kUncertain && !run.stop_requested) {
      stop_candidates_.erase(current);
      continue;
    }
    const bool in_time =
        run.phase == RunPhase::kUncertain ||
        (run.phase != RunPhase::kProposed && run.phase != RunPhase::kSending);
    if (!in_time || run.stop_order != 0 ||
        now_ms < run.stop_sent_ms + kStopRetryMs) {
      continue;
    }
    run.stop_sent_ms = now_ms;
    run.stop_order =
        AddOrder(slot, StopOrder{options_.fence, key.first, key.second},
             kAnswerTimeoutMs, out, run.phase == RunPhase::kUncertain);
  }
}

void WorkerTracker::Advance(std::int64_t now_ms, WorkerTrackerOutput& out) {
  SendStops(now_ms, out);
  advance_skipped_ = now_ms < advanced_ms_ + kAdvanceIntervalMs;
  if (advance_skipped_) {
    return;
  }
  advanced_ms_ = now_ms;
  for (auto& [number, slot] : slots_) {
    if (slot.hold_order == 0 && !slot.ends_commit_pending &&
        now_ms >= slot.next_hold_ms) {
      SendHold(slot, now_ms, out);
    }
    if (!slot.leases_expired && now_ms > LeaseEnd(slot)) {
      slot.leases_expired = true;
      changed_workers_.insert(number);
      Log(LogLevel::kWarning, "workers", "every lease of a worker ran out",
          {{"worker", slot.record.id},
           {"silent_ms", now_ms - slot.last_answer_ms},
           {"runs", slot.runs.size()}});
      FinishAllRuns(slot, "lease ran out", now_ms, out);
    }
  }
}

}  // namespace cranberryshunt::cell
