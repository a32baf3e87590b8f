// Handling of workers that have left in WorkerTracker.
#include <algorithm>
#include <utility>

#include "cranberryshunt/base/log.h"
#include "worker_tracker.h"

namespace cranberryshunt::cell {

void WorkerTracker::MoveDepartedRuns(TrackedWorker& worker) {
  auto departed = departed_workers_.extract(worker.record.id);
  if (departed.empty()) {
    return;
  }
  for (auto& [key, it] : departed.mapped().runs) {
    auto& run = it.run;
    run.phase = RunPhase::kUncertain;
    run.phase_confirmed_ms = 0;
    run.stop_sent_ms = 0;
    run.stops_sent = 0;
    AddRun(worker, key, run);
  }
}

void WorkerTracker::ExpireDepartedRuns(std::int64_t now_ms,
                                       WorkerTrackerOutput& out) {
  for (auto it = departed_workers_.begin(); it != departed_workers_.end();) {
    auto& departed = it->second;
    std::erase_if(departed.runs, [&](const auto& entry) {
      const auto& [key, run] = entry;
      if (now_ms < run.until_ms) {
        return false;
      }
      FinishedRun finished;
      finished.task = key.first;
      finished.run = key.second;
      finished.worker = departed.number;
      finished.reason = "worker left and did not return";
      out.finished.push_back(std::move(finished));
      return true;
    });
    it = now_ms < departed.until_ms ? std::next(it)
                                    : departed_workers_.erase(it);
  }
}

void WorkerTracker::OnDepartedReply(const SentOrder& sent,
                                    std::int64_t sent_ms,
                                    const WorkerReply& reply,
                                    WorkerTrackerOutput& out) {
  const auto* start = std::get_if<StartOrder>(&sent.order);
  const auto departed = departed_workers_.find(sent.worker.id);
  if (departed == departed_workers_.end()) {
    return;
  }
  if (!reply.reused_connection && !WasNotSent(reply.answer)) {
    departed->second.unproven_connection = true;
  }
  if (start == nullptr) {
    return;
  }
  auto& runs = departed->second.runs;
  const auto it = runs.find({start->task, start->run});
  if (it == runs.end() || it->second.run.phase != RunPhase::kSending) {
    return;
  }
  if (WasNotSent(reply.answer)) {
    FinishedRun finished;
    finished.task = start->task;
    finished.run = start->run;
    finished.how = wire::RunEnd::kNotStarted;
    finished.worker = departed->second.number;
    finished.reason = "worker left before the start was sent";
    out.finished.push_back(std::move(finished));
    runs.erase(it);
    return;
  }
  // The order could reach only the process that has left.
  if (reply.answer == WorkerAnswer::kNoAnswer && reply.reused_connection &&
      !departed->second.unproven_connection) {
    it->second.until_ms = StartExpiry(sent_ms);
  }
}

void WorkerTracker::AddDeparted(WorkerNumber number,
                                const std::string& id,
                                std::int64_t now_ms) {
  departed_workers_[id] = {number, LatestStartExpiry(now_ms), {}};
}

bool WorkerTracker::IsOpenAtDeparted(const TaskKey& task,
                                     std::int32_t run) const {
  return std::any_of(departed_workers_.begin(), departed_workers_.end(),
                     [&](const auto& it) {
                       return it.second.runs.contains({task, run});
                     });
}

void WorkerTracker::Remove(WorkerNumber number,
                           std::int64_t now_ms,
                           WorkerTrackerOutput& out) {
  const auto found = workers_.find(number);
  if (found == workers_.end() || found->second.removed) {
    return;
  }
  auto& worker = found->second;
  worker.removed = true;
  worker.removed_ms = now_ms;
  changed_workers_.insert(number);
  for (auto it = worker.runs.begin(); it != worker.runs.end();) {
    const auto next = std::next(it);
    if (it->second.phase == RunPhase::kProposed) {
      FinishRun(worker, it, wire::RunEnd::kNotStarted, "worker left", 0, out);
    }
    it = next;
  }
  if (worker.runs.empty() || worker.leases_expired) {
    Retire(worker, out);
    return;
  }
  Log(LogLevel::kInfo, "workers", "worker has left and may still run tasks",
      {{"worker", worker.record.id},
       {"runs", worker.runs.size()},
       {"lease_ms", LeaseEnd(worker) - now_ms}});
  worker.next_hold_ms = std::min(worker.next_hold_ms, now_ms);
}

void WorkerTracker::ReplaceWorkers(const TrackedWorker& worker,
                                   std::int64_t now_ms,
                                   WorkerTrackerOutput& out) {
  const auto& address = worker.record.address;
  for (auto entry = numbers_by_address_.lower_bound({address, 0});
       entry != numbers_by_address_.end() && entry->first == address; ++entry) {
    auto& it = workers_.at(entry->second);
    if (!it.removed && graph::IsReplacedBy(it.record, worker.record)) {
      Log(LogLevel::kInfo, "workers", "worker was replaced at its address",
          {{"worker", it.record.id},
           {"address", it.record.address},
           {"next", worker.record.id},
           {"runs", it.runs.size()}});
      it.synced = false;
      FinishAllRuns(it, "another worker answers at its address", now_ms, out);
      out.workers_to_remove.push_back(it.number);
    }
  }
}

bool WorkerTracker::HasEnded(const TrackedWorker& worker,
                             const SentOrder& sent,
                             const WorkerReply& reply) {
  if (!worker.removed) {
    return false;
  }
  // Holds follow each other, so the connection of the one before has ended,
  // too. A worker that has closed only its port answers on that connection.
  const bool nothing_listens = reply.answer == WorkerAnswer::kNoListener &&
                               std::holds_alternative<HoldOrder>(sent.order);
  return worker.runs.empty() || nothing_listens ||
         reply.answer == WorkerAnswer::kOtherWorker;
}

void WorkerTracker::Retire(TrackedWorker& worker, WorkerTrackerOutput& out) {
  const auto number = worker.number;
  DepartedWorker departed{number,
                          LatestStartExpiry(worker.removed_ms),
                          {},
                          worker.unproven_connection_ms != 0};
  for (auto it = worker.runs.begin(); it != worker.runs.end();) {
    const auto next = std::next(it);
    const auto phase = it->second.phase;
    if (phase == RunPhase::kSending) {
      uncertain_starts_.push_back(it->first);
    }
    if (!worker.leases_expired &&
        (phase == RunPhase::kSending || phase == RunPhase::kUncertain)) {
      departed.runs[it->first] = {it->second, departed.until_ms};
      EraseRun(worker, it);
    }
    it = next;
  }
  FinishAllRuns(worker, "worker left", 0, out);
  // Kept without runs, too: a hold may still reach the next incarnation, which
  // then has a lease on the former clock.
  departed_workers_[worker.record.id] = std::move(departed);
  numbers_by_id_.erase(worker.record.id);
  numbers_by_address_.erase({worker.record.address, number});
  ended_workers_.push_back(number);
  workers_.erase(number);
}

}  // namespace cranberryshunt::cell
