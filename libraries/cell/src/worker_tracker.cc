#include "worker_tracker.h"

#include <algorithm>
#include <utility>

#include "cranberryshunt/base/log.h"

namespace cranberryshunt::cell {

namespace {

// Lowest assumed rate of a worker's clock relative to the local one.
constexpr double kMinClockRate = 0.98;
// A clock that is further ahead of the last sample than the time since then by
// more than this is not the same clock. Samples are as old as their replies.
constexpr std::int64_t kMaxClockErrorMs = 20'000;
// A clock in a reply that is further behind than this is not the same clock.
constexpr std::int64_t kMaxClockLagMs = 100;
// Added to the computed end of a lease for rounding and the transit time of an
// answer.
constexpr std::int64_t kLeaseMarginMs = 300;
// Interval at which leases are renewed, and the longest time for which a worker
// waits for a run to end before it answers a hold. A short wait detects a
// silent worker sooner, but the holds of idle workers would cost too much in a
// large cell.
constexpr std::int64_t kHoldWaitMs = 1'000;
constexpr std::int64_t kLongHoldWaitMs = 2'000;
constexpr std::size_t kLargeCellWorkers = 150;
// Timeout of an order beyond the wait of a hold. Covers round trips between
// regions and a busy worker.
constexpr std::int64_t kAnswerTimeoutMs = 1'000;
// A stop is repeated after this time, and later after multiples of it, whether
// or not the earlier one was answered: several must fit into the time within
// which a cancelled task must be gone.
constexpr std::int64_t kStopRetryMs = 700;
constexpr std::int32_t kMaxStopBackoff = 4;
// A worker that has not answered for this long beyond the wait of a hold gets
// no starts.
constexpr std::int64_t kMaxSilenceMs = 1'600;
// Holds in a row without an answer up to which the lease is renewed because
// other orders are carried out.
constexpr std::int32_t kMaxUnansweredRenewals = 3;
// A worker that neither answered nor reported for this long counts as dead, and
// its ends as lost. It reports several times within this time.
constexpr std::int64_t kPresumedDeadMs = 6'000;
// Limit of the wait for the list of a worker that reports but cannot be
// reached.
constexpr std::int64_t kMaxListWaitMs = 20'000;
// Interval at which workers are checked for due holds and expired leases. A
// check on each turn of the decision thread would take most of the processor
// time in a large cell.
constexpr std::int64_t kWorkerScanIntervalMs = 2;
constexpr std::int64_t kLargeCellWorkerScanIntervalMs = 10;
// How long after the registration of an incarnation orders for the former one
// may be carried out: until the reply to a hold names it, and some seconds for
// orders that are late.
constexpr std::int64_t kMaxStaleOrderMs = 10'000;
// The term is stored in an order id above this many bits.
constexpr int kOrderCounterBits = 32;
// A fence consists of the term and, in this many bits, the number of the
// worker's earlier incarnations in that term.
constexpr int kIncarnationBits = 16;
constexpr std::int64_t kMaxIncarnations = std::int64_t{1} << kIncarnationBits;

// Returns the end of the lease that a worker may have taken from an order with
// this answer, on the worker's clock; 0 if none.
std::int64_t GrantedLease(const WorkerOrder& order, WorkerAnswer answer) {
  switch (answer) {
    case WorkerAnswer::kFenced:
    case WorkerAnswer::kTooLate:
    case WorkerAnswer::kOverloaded:
    case WorkerAnswer::kNotSent:
    case WorkerAnswer::kNoListener:
    case WorkerAnswer::kOtherWorker:
      return 0;
    default:
      break;
  }
  if (const auto* hold = std::get_if<HoldOrder>(&order)) {
    return hold->lease_until_ms;
  }
  const auto* start = std::get_if<StartOrder>(&order);
  return start == nullptr ? 0 : start->lease_until_ms;
}

}  // namespace

const char* RunPhaseName(RunPhase phase) {
  switch (phase) {
    case RunPhase::kProposed:
      return "proposed";
    case RunPhase::kSending:
      return "sending";
    case RunPhase::kRunning:
      return "running";
    case RunPhase::kUncertain:
      return "uncertain";
    case RunPhase::kStopConfirmed:
      return "stop confirmed";
    case RunPhase::kInherited:
      return "inherited";
    case RunPhase::kLeaseExpired:
      return "lease expired";
  }
  return "unknown";
}

WorkerTracker::WorkerTracker(WorkerTrackerOptions options, std::int64_t now_ms)
    : options_(options),
      started_ms_(now_ms),
      // Order ids are unique across terms, so that a late answer never matches
      // another order.
      next_order_((static_cast<OrderId>(options.term) << kOrderCounterBits) +
                  1),
      scanned_ms_(now_ms - kLargeCellWorkerScanIntervalMs) {}

const TrackedWorker* WorkerTracker::Find(WorkerNumber number) const {
  const auto it = workers_.find(number);
  return it == workers_.end() ? nullptr : &it->second;
}

const TrackedWorker* WorkerTracker::FindWorkerOf(const TaskKey& task,
                                                 std::int32_t run) const {
  const auto runs = runs_by_job_.find(task.job);
  if (runs == runs_by_job_.end()) {
    return nullptr;
  }
  const auto it = std::find_if(
      runs->second.begin(), runs->second.end(),
      [&](const auto& entry) { return entry.second == RunKey(task, run); });
  return it == runs->second.end() ? nullptr : Find(it->first);
}

TrackedWorker* WorkerTracker::FindById(const std::string& id) {
  const auto it = numbers_by_id_.find(id);
  return it == numbers_by_id_.end() ? nullptr : &workers_.at(it->second);
}

void WorkerTracker::AddRun(TrackedWorker& worker, const RunKey& key, Run run) {
  changed_workers_.insert(worker.number);
  if (run.stop_requested || run.phase == RunPhase::kUncertain) {
    stop_candidates_.insert({worker.number, key});
  }
  worker.runs[key] = std::move(run);
  runs_by_job_[key.first.job].insert({worker.number, key});
}

void WorkerTracker::RequestStop(TrackedWorker& worker,
                                const RunKey& key,
                                Run& run) {
  run.stop_requested = true;
  stop_candidates_.insert({worker.number, key});
}

std::map<RunKey, Run>::iterator WorkerTracker::EraseRun(
    TrackedWorker& worker,
    std::map<RunKey, Run>::iterator it) {
  changed_workers_.insert(worker.number);
  stop_candidates_.erase({worker.number, it->first});
  const auto job = runs_by_job_.find(it->first.first.job);
  if (job != runs_by_job_.end()) {
    job->second.erase({worker.number, it->first});
    if (job->second.empty()) {
      runs_by_job_.erase(job);
    }
  }
  return worker.runs.erase(it);
}

void WorkerTracker::RecordStop(const Run& run,
                               std::int64_t now_ms,
                               FinishedRun& finished) {
  finished.stops_sent = run.stops_sent;
  if (run.stop_requested_ms > 0 && now_ms > 0) {
    finished.stop_ms = now_ms - run.stop_requested_ms;
  }
}

void WorkerTracker::FinishRun(TrackedWorker& worker,
                              std::map<RunKey, Run>::iterator it,
                              wire::RunEnd::type how,
                              std::string reason,
                              std::int64_t now_ms,
                              WorkerTrackerOutput& out) {
  FinishedRun finished;
  finished.task = it->first.first;
  finished.run = it->first.second;
  finished.how = how;
  finished.worker = worker.number;
  // The run time stays unknown if the current time is unknown, as when a worker
  // is removed.
  if (it->second.start_time_known && now_ms > 0) {
    finished.run_ms = now_ms - it->second.started_ms;
  }
  RecordStop(it->second, now_ms, finished);
  finished.reason = std::move(reason);
  finished.checkpoint = it->second.checkpoint;
  out.finished.push_back(std::move(finished));
  EraseRun(worker, it);
}

void WorkerTracker::FinishAllRuns(TrackedWorker& worker,
                                  const std::string& reason,
                                  std::int64_t now_ms,
                                  WorkerTrackerOutput& out) {
  auto it = worker.runs.begin();
  while (it != worker.runs.end()) {
    const auto next = std::next(it);
    // A run whose start is not committed yet is finished when the result of the
    // commit is known.
    if (it->second.phase == RunPhase::kProposed) {
      RequestStop(worker, it->first, it->second);
    } else {
      FinishRun(worker, it, wire::RunEnd::kLost, reason, now_ms, out);
    }
    it = next;
  }
}

void WorkerTracker::ExpireRuns(TrackedWorker& worker,
                               std::int64_t now_ms,
                               WorkerTrackerOutput& out) {
  auto it = worker.runs.begin();
  while (it != worker.runs.end()) {
    const auto next = std::next(it);
    auto& run = it->second;
    if (run.long_running && run.phase != RunPhase::kProposed) {
      FinishRun(worker, it, wire::RunEnd::kLost, "lease ran out", now_ms, out);
    } else if (run.phase != RunPhase::kProposed &&
               run.phase != RunPhase::kLeaseExpired) {
      run.phase = RunPhase::kLeaseExpired;
      run.phase_confirmed_ms = now_ms;
      worker.has_expired_runs = true;
    }
    it = next;
  }
}

void WorkerTracker::GiveUpExpiredRuns(TrackedWorker& worker,
                                      std::int64_t now_ms,
                                      WorkerTrackerOutput& out) {
  const auto last_contact_ms =
      std::max(worker.last_answer_ms, worker.last_report_ms);
  const bool presumed_dead = now_ms - last_contact_ms >= kPresumedDeadMs;
  worker.has_expired_runs = false;
  auto it = worker.runs.begin();
  while (it != worker.runs.end()) {
    const auto next = std::next(it);
    if (it->second.phase == RunPhase::kLeaseExpired) {
      if (presumed_dead ||
          now_ms - it->second.phase_confirmed_ms >= kMaxListWaitMs) {
        FinishRun(worker, it, wire::RunEnd::kLost, "lease ran out", now_ms,
                  out);
      } else {
        worker.has_expired_runs = true;
      }
    }
    it = next;
  }
}

void WorkerTracker::MarkUncertain(TrackedWorker& worker,
                                  const RunKey& key,
                                  Run& run) {
  run.phase = RunPhase::kUncertain;
  stop_candidates_.insert({worker.number, key});
  uncertain_starts_.push_back(key);
}

void WorkerTracker::MarkStartsUncertain(TrackedWorker& worker) {
  for (auto& [key, run] : worker.runs) {
    if (run.phase == RunPhase::kSending) {
      MarkUncertain(worker, key, run);
    }
  }
}

void WorkerTracker::Register(WorkerNumber number,
                             const wire::CalledWorker& record,
                             std::int64_t now_ms,
                             std::optional<std::int64_t> registered_ms) {
  auto* previous = FindById(record.id);
  changed_workers_.insert(number);
  if (previous != nullptr && previous->number == number) {
    // Replies from another address are ignored, so orders to it stay open.
    if (previous->record.address != record.address) {
      previous->hold_order = 0;
      previous->next_hold_ms = now_ms;
      previous->synced = false;
      MarkStartsUncertain(*previous);
      numbers_by_address_.erase({previous->record.address, number});
      numbers_by_address_.emplace(record.address, number);
    }
    previous->record = record;
    previous->full_capacity =
        policy::Max(previous->full_capacity, CapacityOf(record));
    return;
  }
  TrackedWorker worker;
  worker.number = number;
  worker.record = record;
  worker.fence = NextFence(record.id);
  worker.reported_capacity = CapacityOf(record);
  worker.full_capacity = worker.reported_capacity;
  worker.last_report_ms = now_ms;
  worker.next_hold_ms = now_ms;
  // Until it is synchronized, this incarnation carries out orders that were
  // meant for the previous one.
  const bool replaced =
      previous != nullptr || departed_workers_.contains(record.id);
  const bool registered_shortly_before =
      registered_ms &&
      started_ms_ - *registered_ms < options_.max_lease_ms + kMaxStaleOrderMs;
  worker.may_have_former_lease = replaced || registered_shortly_before;
  worker.inherited_lease_end_ms =
      LongestLeaseEnd(replaced ? now_ms : started_ms_);
  workers_[number] = std::move(worker);
  auto& added = workers_[number];
  MoveDepartedRuns(added);
  if (previous != nullptr) {
    LogReplacement(*previous, record, now_ms);
    // Orders to the previous incarnation may still be carried out.
    added.unproven_order_end_ms = previous->unproven_order_end_ms;
    added.reused_order_ms = previous->reused_order_ms;
    added.unproven_connection_ms = previous->unproven_connection_ms;
    // Orders to the previous incarnation may still reach the new one, so the
    // runs that the new one lists decide whether a run has ended.
    auto runs = std::move(previous->runs);
    for (auto& [key, run] : runs) {
      runs_by_job_[key.first.job].erase({previous->number, key});
      stop_candidates_.erase({previous->number, key});
      if (run.phase == RunPhase::kSending) {
        uncertain_starts_.push_back(key);
      }
      const bool start_may_arrive =
          run.phase == RunPhase::kSending || run.phase == RunPhase::kUncertain;
      if (run.phase != RunPhase::kProposed) {
        run.phase =
            start_may_arrive ? RunPhase::kUncertain : RunPhase::kInherited;
        run.phase_confirmed_ms = 0;
        run.stop_sent_ms = 0;
        run.stops_sent = 0;
      }
      AddRun(added, key, run);
    }
    ended_workers_.push_back(previous->number);
    numbers_by_address_.erase({previous->record.address, previous->number});
    workers_.erase(previous->number);
  }
  numbers_by_id_[record.id] = number;
  numbers_by_address_.emplace(record.address, number);
}

// The new incarnation takes orders that were meant for the previous one, and
// knows neither its clock nor its numbers of ends.
void WorkerTracker::LogReplacement(const TrackedWorker& previous,
                                   const wire::CalledWorker& record,
                                   std::int64_t now_ms) {
  const auto open_starts = std::count_if(
      previous.runs.begin(), previous.runs.end(), [](const auto& it) {
        return it.second.phase == RunPhase::kSending ||
               it.second.phase == RunPhase::kUncertain;
      });
  Log(LogLevel::kInfo, "workers", "worker has a new incarnation",
      {{"worker", record.id},
       {"former_born_ms", previous.record.born_ms},
       {"born_ms", record.born_ms},
       {"former_clock_ms", previous.clock_ms},
       {"clock_age_ms", now_ms - previous.clock_sampled_ms},
       {"former_lease_until_ms", previous.lease_until_ms},
       {"acknowledged_end", previous.acknowledged_end},
       {"open_starts", open_starts},
       {"open_hold", previous.hold_order != 0}});
}

void WorkerTracker::SetDeparted(WorkerNumber number, bool departed) {
  const auto worker = workers_.find(number);
  if (worker != workers_.end()) {
    worker->second.departed = departed;
    changed_workers_.insert(number);
  }
}

std::int64_t WorkerTracker::NextFence(const std::string& id) {
  const auto [it, added] =
      fences_.try_emplace(id, options_.term * kMaxIncarnations);
  if (!added && it->second % kMaxIncarnations < kMaxIncarnations - 1) {
    ++it->second;
  }
  return it->second;
}

std::int64_t WorkerTracker::LongestLeaseEnd(std::int64_t now_ms) const {
  return now_ms +
         static_cast<std::int64_t>(static_cast<double>(options_.max_lease_ms) /
                                   kMinClockRate) +
         kLeaseMarginMs;
}

std::int64_t WorkerTracker::StartExpiry(std::int64_t now_ms) const {
  return now_ms +
         static_cast<std::int64_t>(static_cast<double>(options_.lease_ms) /
                                   kMinClockRate) +
         kLeaseMarginMs;
}

std::int64_t WorkerTracker::LatestStartExpiry(std::int64_t now_ms) const {
  return LongestLeaseEnd(now_ms + kAnswerTimeoutMs);
}

void WorkerTracker::AddInheritedRun(WorkerNumber number,
                                    const TaskKey& task,
                                    std::int32_t run,
                                    const policy::Demand& demand,
                                    std::int64_t expected_run_ms,
                                    std::int64_t now_ms,
                                    WorkerTrackerOutput& out,
                                    InheritedRun how) {
  Run it;
  it.phase = RunPhase::kInherited;
  it.demand = demand;
  it.started_ms = now_ms;
  it.expected_run_ms = expected_run_ms;
  it.long_running = how.long_running;
  it.percent = how.resumed ? -1 : 0;
  it.account = how.account;
  it.over_rate = how.over_rate;
  it.account_demand = demand;
  const auto worker = workers_.find(number);
  if (worker != workers_.end()) {
    AddRun(worker->second, {task, run}, it);
    return;
  }
  const auto departed = std::find_if(
      departed_workers_.begin(), departed_workers_.end(),
      [&](const auto& entry) { return entry.second.number == number; });
  if (departed != departed_workers_.end()) {
    departed->second.runs[{task, run}] = {it, departed->second.until_ms};
    uncertain_starts_.emplace_back(task, run);
    return;
  }
  // That incarnation of the worker has ended.
  FinishedRun finished;
  finished.task = task;
  finished.run = run;
  finished.worker = number;
  finished.reason = "worker is not registered any more";
  out.finished.push_back(std::move(finished));
}

void WorkerTracker::RecordClock(TrackedWorker& worker,
                                std::int64_t clock_ms,
                                std::int64_t now_ms) {
  if (clock_ms < 0) {
    return;
  }
  // Replies to starts and stops don't name the incarnation that sends them.
  if (worker.clock_ms >= 0 && clock_ms > worker.clock_ms + now_ms -
                                             worker.clock_sampled_ms +
                                             kMaxClockErrorMs) {
    Log(LogLevel::kWarning, "workers",
        "reply with the clock of another incarnation",
        {{"worker", worker.record.id},
         {"clock_ms", clock_ms},
         {"known_clock_ms", worker.clock_ms},
         {"clock_age_ms", now_ms - worker.clock_sampled_ms}});
    return;
  }
  // A lower sample than the stored one is ignored, because the clock was
  // already at least at the stored value.
  if (worker.clock_ms < 0 || clock_ms >= EstimateWorkerClock(worker, now_ms) ||
      clock_ms >= worker.clock_ms) {
    worker.clock_ms = clock_ms;
    worker.clock_sampled_ms = now_ms;
  }
}

std::int64_t WorkerTracker::EstimateWorkerClock(const TrackedWorker& worker,
                                                std::int64_t now_ms) const {
  return worker.clock_ms +
         static_cast<std::int64_t>(
             static_cast<double>(now_ms - worker.clock_sampled_ms) *
             kMinClockRate);
}

bool WorkerTracker::IsClockBehind(const TrackedWorker& worker,
                                  std::int64_t clock_ms,
                                  std::int64_t sent_ms) const {
  if (worker.clock_ms < 0 || clock_ms < 0) {
    return false;
  }
  // Lowest value of the clock when the order was sent.
  const auto lowest_ms =
      sent_ms >= worker.clock_sampled_ms
          ? EstimateWorkerClock(worker, sent_ms)
          : worker.clock_ms - (worker.clock_sampled_ms - sent_ms);
  return clock_ms < lowest_ms - kMaxClockLagMs;
}

std::int64_t WorkerTracker::GrantLease(TrackedWorker& worker,
                                       std::int64_t now_ms) {
  const auto until = EstimateWorkerClock(worker, now_ms) + options_.lease_ms;
  worker.lease_until_ms = std::max(worker.lease_until_ms, until);
  worker.leases_expired = false;
  return until;
}

std::int64_t WorkerTracker::LeaseEnd(const TrackedWorker& worker) const {
  std::int64_t end_ms = worker.unregistered_lease_end_ms;
  if (worker.unproven_order_end_ms != 0) {
    end_ms = std::max(end_ms, LongestLeaseEnd(worker.unproven_order_end_ms));
  }
  const bool granted = worker.clock_ms >= 0 && worker.lease_until_ms != 0;
  if (!granted || !worker.synced || worker.may_have_former_lease) {
    end_ms = std::max(end_ms, worker.inherited_lease_end_ms);
  }
  if (granted) {
    const auto left_ms =
        static_cast<double>(worker.lease_until_ms - worker.clock_ms);
    end_ms = std::max(end_ms,
                      worker.clock_sampled_ms +
                          static_cast<std::int64_t>(left_ms / kMinClockRate) +
                          kLeaseMarginMs);
  }
  return end_ms;
}

void WorkerTracker::RecordUnregisteredLease(TrackedWorker& worker,
                                            const SentOrder& sent,
                                            std::int64_t sent_ms,
                                            const WorkerReply& reply,
                                            std::int64_t now_ms) {
  const auto fence =
      std::visit([](const auto& it) { return it.fence; }, sent.order);
  const bool from_other =
      reply.clock_ms >= 0 &&
      (fence != worker.fence || IsClockBehind(worker, reply.clock_ms, sent_ms));
  // An order that has opened a connection may have reached another incarnation.
  // If its relayed reply was lost, later orders reuse that connection.
  const bool opened_connection = reply.clock_ms < 0 &&
                                 !reply.reused_connection &&
                                 !WasNotSent(reply.answer);
  worker.other_incarnation_answers |= from_other;
  if (from_other || opened_connection) {
    worker.unproven_connection_ms =
        std::max(worker.unproven_connection_ms,
                 opened_connection ? now_ms + kAnswerTimeoutMs : now_ms);
    // Replies overtake each other, so an order that was given up before may
    // have been written to that connection.
    if (sent_ms <= worker.reused_order_ms) {
      worker.unproven_order_end_ms =
          std::max(worker.unproven_order_end_ms,
                   worker.reused_order_ms + kAnswerTimeoutMs);
    }
  }
  const auto until_ms = GrantedLease(sent.order, reply.answer);
  if (until_ms == 0) {
    return;
  }
  if (from_other) {
    const auto left_ms = static_cast<double>(std::clamp<std::int64_t>(
        until_ms - reply.clock_ms, 0, options_.max_lease_ms));
    worker.unregistered_lease_end_ms =
        std::max(worker.unregistered_lease_end_ms,
                 now_ms + static_cast<std::int64_t>(left_ms / kMinClockRate) +
                     kLeaseMarginMs);
  }
  // The process at the other end of a reused connection has answered before,
  // with a clock that was checked.
  if (reply.clock_ms < 0) {
    if (reply.reused_connection && worker.unproven_connection_ms == 0) {
      worker.reused_order_ms = now_ms;
    } else {
      worker.unproven_order_end_ms = now_ms + kAnswerTimeoutMs;
    }
  }
}

void WorkerTracker::OnReport(WorkerNumber number,
                             std::int64_t sequence,
                             std::int64_t clock_ms,
                             std::int64_t now_ms) {
  const auto worker = workers_.find(number);
  if (worker == workers_.end() || sequence <= worker->second.report_sequence) {
    return;
  }
  auto& it = worker->second;
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
  return workers_.size() < kLargeCellWorkers ? kHoldWaitMs : kLongHoldWaitMs;
}

std::int64_t WorkerTracker::WorkerScanIntervalMs() const {
  return workers_.size() < kLargeCellWorkers ? kWorkerScanIntervalMs
                                             : kLargeCellWorkerScanIntervalMs;
}

bool WorkerTracker::IsUsable(const TrackedWorker& worker,
                             std::int64_t now_ms) const {
  return worker.synced && !worker.record.leaving && !worker.departed &&
         !worker.removed && !worker.leases_expired && worker.clock_ms >= 0 &&
         now_ms - worker.last_answer_ms < HoldWaitMs() + kMaxSilenceMs &&
         worker.hold_failures == 0 && now_ms >= worker.avoid_until_ms;
}

void WorkerTracker::Reserve(WorkerNumber number,
                            const TaskKey& task,
                            std::int32_t run,
                            const policy::Demand& demand,
                            std::int64_t expected_run_ms,
                            bool long_running,
                            policy::AccountNumber account,
                            bool over_rate) {
  const auto worker = workers_.find(number);
  if (worker == workers_.end()) {
    return;
  }
  Run it;
  it.demand = demand;
  it.expected_run_ms = expected_run_ms;
  it.long_running = long_running;
  it.account = account;
  it.account_demand = demand;
  it.over_rate = over_rate;
  AddRun(worker->second, {task, run}, it);
}

OrderId WorkerTracker::AddOrder(TrackedWorker& worker,
                                WorkerOrder order,
                                std::int64_t timeout_ms,
                                WorkerTrackerOutput& out,
                                bool fresh_connection) {
  SentOrder sent;
  sent.id = next_order_++;
  sent.worker = worker.Address();
  sent.order = std::move(order);
  sent.timeout = std::chrono::milliseconds(timeout_ms);
  sent.fresh_connection = fresh_connection || worker.hold_failures > 0;
  out.orders.push_back(std::move(sent));
  return out.orders.back().id;
}

std::string WorkerTracker::FindObstacle(WorkerNumber number,
                                        const TaskKey& task,
                                        std::int32_t run,
                                        std::int64_t now_ms) const {
  const auto found = FindRun(number, task, run);
  if (!found) {
    return "worker left before the start was sent";
  }
  const auto& worker = workers_.at(*found);
  const auto& it = worker.runs.at({task, run});
  if (it.stop_requested) {
    return "stopped before the start was sent";
  }
  if (*found != number || !IsUsable(worker, now_ms)) {
    return "worker is not usable any more";
  }
  // The capacity may have shrunk while the start was being committed.
  return HasRoomFor(worker, it) ? "" : "worker has no room any more";
}

void WorkerTracker::SendStart(WorkerNumber number,
                              const TaskKey& task,
                              std::int32_t run,
                              StartOrder order,
                              std::int64_t now_ms,
                              WorkerTrackerOutput& out) {
  auto obstacle = FindObstacle(number, task, run, now_ms);
  if (!obstacle.empty()) {
    RejectStart(number, task, run, std::move(obstacle), now_ms, out);
    return;
  }
  auto& worker = workers_.at(number);
  auto& it = worker.runs.at({task, run});
  it.phase = RunPhase::kSending;
  it.started_ms = now_ms;
  it.start_time_known = true;
  it.percent = order.checkpoint.empty() ? 0 : -1;
  order.fence = worker.fence;
  order.lease_until_ms = GrantLease(worker, now_ms);
  AddOrder(worker, std::move(order), kAnswerTimeoutMs, out);
}

void WorkerTracker::RejectStart(WorkerNumber number,
                                const TaskKey& task,
                                std::int32_t run,
                                std::string reason,
                                std::int64_t now_ms,
                                WorkerTrackerOutput& out) {
  if (const auto found = FindRun(number, task, run)) {
    auto& worker = workers_.at(*found);
    FinishRun(worker, worker.runs.find({task, run}), wire::RunEnd::kNotStarted,
              std::move(reason), now_ms, out);
    return;
  }
  FinishedRun finished;
  finished.task = task;
  finished.run = run;
  finished.how = wire::RunEnd::kNotStarted;
  finished.worker = number;
  finished.reason = std::move(reason);
  out.finished.push_back(std::move(finished));
}

std::optional<WorkerNumber> WorkerTracker::FindRun(WorkerNumber number,
                                                   const TaskKey& task,
                                                   std::int32_t run) const {
  const RunKey key(task, run);
  if (const auto* first = Find(number);
      first != nullptr && first->runs.contains(key)) {
    return number;
  }
  const auto* worker = FindWorkerOf(task, run);
  return worker == nullptr ? std::nullopt : std::optional(worker->number);
}

void WorkerTracker::CancelReservation(const TaskKey& task, std::int32_t run) {
  const auto job_runs = runs_by_job_.find(task.job);
  if (job_runs == runs_by_job_.end()) {
    return;
  }
  for (const auto& [number, key] : job_runs->second) {
    if (key == RunKey(task, run)) {
      auto& worker = workers_.at(number);
      EraseRun(worker, worker.runs.find(key));
      return;
    }
  }
}

void WorkerTracker::StopTask(const TaskKey& task, std::int32_t keep_run) {
  const auto job_runs = runs_by_job_.find(task.job);
  if (job_runs == runs_by_job_.end()) {
    return;
  }
  for (const auto& [number, key] : job_runs->second) {
    if (key.first == task && key.second != keep_run) {
      auto& worker = workers_.at(number);
      RequestStop(worker, key, worker.runs.at(key));
    }
  }
}

std::size_t WorkerTracker::StopJob(graph::JobId job) {
  const auto job_runs = runs_by_job_.find(job);
  if (job_runs == runs_by_job_.end()) {
    return 0;
  }
  for (const auto& [number, key] : job_runs->second) {
    auto& worker = workers_.at(number);
    RequestStop(worker, key, worker.runs.at(key));
  }
  return job_runs->second.size();
}

void WorkerTracker::AcknowledgeEnds(WorkerNumber number,
                                    std::int64_t end_number) {
  const auto worker = workers_.find(number);
  if (worker != workers_.end()) {
    worker->second.acknowledged_end =
        std::max(worker->second.acknowledged_end, end_number);
    worker->second.ends_commit_pending = false;
  }
}

void WorkerTracker::ReprocessEnds(WorkerNumber number) {
  const auto worker = workers_.find(number);
  if (worker != workers_.end()) {
    worker->second.seen_end = worker->second.acknowledged_end;
    worker->second.ends_commit_pending = false;
  }
}

void WorkerTracker::SendHold(TrackedWorker& worker,
                             std::int64_t now_ms,
                             WorkerTrackerOutput& out) {
  HoldOrder order;
  order.fence = worker.fence;
  order.acknowledged_end = worker.acknowledged_end;
  // A worker that answers nothing gets no further lease, so that its runs have
  // ended once the current lease has expired. One that answers other orders
  // keeps its runs, because only the hold or its reply was lost.
  const bool answers = worker.hold_failures == 0 ||
                       (worker.hold_failures <= kMaxUnansweredRenewals &&
                        worker.last_done_ms > worker.hold_sent_ms);
  if (worker.clock_ms >= 0 && answers && !worker.removed) {
    order.lease_until_ms = GrantLease(worker, now_ms);
  }
  const bool wait =
      worker.synced && worker.hold_failures == 0 && !worker.list_due;
  worker.list_due = false;
  order.wait = std::chrono::milliseconds(wait ? HoldWaitMs() : 0);
  worker.hold_sent_ms = now_ms;
  worker.hold_order =
      AddOrder(worker, order, order.wait.count() + kAnswerTimeoutMs, out);
}

void WorkerTracker::SendStops(std::int64_t now_ms, WorkerTrackerOutput& out) {
  if (stop_candidates_.empty()) {
    return;
  }
  // An overloaded cell answers late, and must not be sent more stops for that.
  const auto retry_ms =
      std::clamp(static_cast<std::int64_t>(MedianStartAnswerMs(now_ms)),
                 kStopRetryMs, kAnswerTimeoutMs);
  auto it = stop_candidates_.begin();
  while (it != stop_candidates_.end()) {
    const auto current = it++;
    const auto& [number, key] = *current;
    auto& worker = workers_.at(number);
    auto& run = worker.runs.at(key);
    if (run.phase != RunPhase::kUncertain && !run.stop_requested) {
      stop_candidates_.erase(current);
      continue;
    }
    if (run.stop_requested_ms == 0) {
      run.stop_requested_ms = now_ms;
    }
    // A run is stopped even while its start is being sent, because the reply to
    // the start may be lost. A stop that arrives first bars the run.
    const bool may_send = run.phase != RunPhase::kProposed &&
                          run.phase != RunPhase::kLeaseExpired;
    const auto since_last_ms = now_ms - run.stop_sent_ms;
    if (!may_send ||
        since_last_ms < retry_ms * std::min(run.stops_sent, kMaxStopBackoff)) {
      continue;
    }
    const bool fresh_connection =
        run.phase == RunPhase::kUncertain ||
        (run.stops_sent > 0 && since_last_ms >= kAnswerTimeoutMs);
    run.stop_sent_ms = now_ms;
    ++run.stops_sent;
    AddOrder(worker, StopOrder{worker.fence, key.first, key.second},
             kAnswerTimeoutMs, out, fresh_connection);
  }
}

void WorkerTracker::Advance(std::int64_t now_ms, WorkerTrackerOutput& out) {
  SendStops(now_ms, out);
  worker_scan_skipped_ = now_ms < next_worker_scan_ms();
  if (worker_scan_skipped_) {
    return;
  }
  scanned_ms_ = now_ms;
  ExpireDepartedRuns(now_ms, out);
  std::vector<WorkerNumber> ended;
  for (auto& [number, worker] : workers_) {
    if (worker.hold_order == 0 && !worker.ends_commit_pending &&
        now_ms >= worker.next_hold_ms) {
      SendHold(worker, now_ms, out);
    }
    if (!worker.leases_expired && now_ms > LeaseEnd(worker)) {
      worker.leases_expired = true;
      changed_workers_.insert(number);
      Log(LogLevel::kWarning, "workers", "all leases of a worker expired",
          {{"worker", worker.record.id},
           {"born_ms", worker.record.born_ms},
           {"listed_ms", now_ms - worker.last_list_ms},
           {"silent_ms", now_ms - worker.last_answer_ms},
           {"reported_ms", now_ms - worker.last_report_ms},
           {"hold_failures", worker.hold_failures},
           {"hold_sent_ms", now_ms - worker.hold_sent_ms},
           {"lease_until_ms", worker.lease_until_ms},
           {"clock_ms", worker.clock_ms},
           {"clock_age_ms", now_ms - worker.clock_sampled_ms},
           {"runs", worker.runs.size()}});
      ExpireRuns(worker, now_ms, out);
    }
    if (worker.has_expired_runs) {
      GiveUpExpiredRuns(worker, now_ms, out);
    }
    if (worker.removed && (worker.runs.empty() || worker.leases_expired)) {
      ended.push_back(number);
    }
  }
  for (const auto it : ended) {
    Retire(workers_.at(it), out);
  }
}

}  // namespace cranberryshunt::cell
