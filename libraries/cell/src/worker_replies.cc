// Handling of workers' replies in WorkerTracker.
#include <algorithm>
#include <set>
#include <utility>

#include "cranberryshunt/base/log.h"
#include "worker_tracker.h"

namespace cranberryshunt::cell {

namespace {

// Replies in a row that list only ends which were read before, from which holds
// pause. A hold on a new connection acknowledges nothing, and so has one.
constexpr std::int32_t kMaxRepeatedLists = 3;
// Ends that a worker lists at a time.
constexpr std::size_t kEndsPerPage = 500;
// A worker that confirmed a stop no longer lists the run after this time.
constexpr std::int64_t kMaxStopMs = 1'000;
// Pause before the next hold of a worker that did not answer. It grows with the
// number of failures up to the maximum.
constexpr std::int64_t kHoldRetryMs = 300;
constexpr std::int64_t kMaxHoldRetryMs = 2'000;
// A worker gets no starts for this long after it refused one for overload or
// lack of capacity, or could not be reached.
constexpr std::int64_t kAvoidWorkerMs = 1'500;
// Answers to starts from which the current response time is computed. These are
// the answers of about a tenth of a second in a large cell.
constexpr std::size_t kMaxStartAnswers = 64;
constexpr std::int64_t kStartAnswerMaxAgeMs = 1'000;
constexpr std::size_t kMinStartAnswers = 8;
// A worker numbers its ends from 1 on and lists some hundred at a time. An end
// whose number is further from the first in its list, or from the last that
// was read, is not an end of this worker.
constexpr std::int64_t kMaxListedEndSpan = 1'000'000;
constexpr std::int64_t kMaxUnreadEnds = std::int64_t{1} << 31;

// Returns the highest number of an end in `rows` that may be read after the end
// `seen`.
std::int64_t HighestReadableEnd(const std::vector<EndedRow>& rows,
                                std::int64_t seen) {
  std::int64_t out = seen + kMaxUnreadEnds;
  for (const auto& it : rows) {
    if (it.number > seen) {
      out = std::min(out, it.number + kMaxListedEndSpan);
    }
  }
  return out;
}

}  // namespace

void WorkerTracker::OnReply(const SentOrder& sent,
                            std::int64_t sent_ms,
                            const WorkerReply& reply,
                            std::int64_t now_ms,
                            WorkerTrackerOutput& out) {
  auto* worker = FindById(sent.worker.id);
  if (worker == nullptr) {
    OnDepartedReply(sent, sent_ms, reply, out);
    return;
  }
  if (worker->record.address != sent.worker.address) {
    return;
  }
  changed_workers_.insert(worker->number);
  RecordUnregisteredLease(*worker, sent, sent_ms, reply, now_ms);
  const auto fence =
      std::visit([](const auto& it) { return it.fence; }, sent.order);
  const bool was_for_former = fence < worker->fence;
  fenced_ =
      fenced_ || (reply.answer == WorkerAnswer::kFenced && !was_for_former);
  const bool other_incarnation =
      was_for_former || (reply.born_ms != 0 && worker->record.born_ms != 0 &&
                         reply.born_ms != worker->record.born_ms);
  const bool answered =
      reply.answer != WorkerAnswer::kNoAnswer && !WasNotSent(reply.answer);
  if (answered && !other_incarnation &&
      reply.answer != WorkerAnswer::kOtherWorker) {
    worker->last_answer_ms = now_ms;
    if (reply.answer == WorkerAnswer::kDone) {
      worker->last_done_ms = now_ms;
    }
    if (IsClockBehind(*worker, reply.clock_ms, sent_ms)) {
      Log(LogLevel::kWarning, "workers",
          "reply with a clock behind that of the registered incarnation",
          {{"worker", worker->record.id},
           {"kind", sent.order.index()},
           {"born_ms", worker->record.born_ms},
           {"clock_ms", reply.clock_ms},
           {"known_clock_ms", worker->clock_ms},
           {"clock_age_ms", now_ms - worker->clock_sampled_ms},
           {"reused_connection", reply.reused_connection}});
    }
    RecordClock(*worker, reply.clock_ms, now_ms);
  }
  if (reply.answer == WorkerAnswer::kOtherWorker && !was_for_former) {
    Log(LogLevel::kWarning, "workers", "another worker answers at the address",
        {{"worker", worker->record.id}, {"address", worker->record.address}});
    worker->synced = false;
    FinishAllRuns(*worker, "another worker answers at its address", now_ms,
                  out);
  }
  if (const auto* hold = std::get_if<HoldOrder>(&sent.order)) {
    if (worker->hold_order == sent.id) {
      worker->hold_order = 0;
      if (!other_incarnation) {
        OnHoldReply(*worker, *hold, sent_ms, reply, now_ms, out);
      } else {
        Log(LogLevel::kWarning, "workers", "another incarnation answers a hold",
            {{"worker", worker->record.id},
             {"born_ms", worker->record.born_ms},
             {"answering_born_ms", reply.born_ms},
             {"answering_clock_ms", reply.clock_ms},
             {"lease_until_ms", hold->lease_until_ms},
             {"acknowledged_end", hold->acknowledged_end}});
        // The worker has restarted, and will be registered as a new incarnation
        // after its report.
        worker->synced = false;
        worker->next_hold_ms = now_ms + kHoldRetryMs;
        // An incarnation that has ended can't answer a hold for its successor,
        // so somebody else has reported that one. The true one registers with
        // its next report.
        if (!was_for_former && !worker->removed && reply.born_ms != 0 &&
            reply.born_ms < worker->record.born_ms) {
          out.workers_to_remove.push_back(worker->number);
        }
      }
    }
  } else if (other_incarnation) {
    // Says nothing about the runs of the registered incarnation. The other one
    // may have carried out a start, and gets its runs once it is registered.
    if (const auto* start = std::get_if<StartOrder>(&sent.order)) {
      const auto run = worker->runs.find({start->task, start->run});
      if (run != worker->runs.end() &&
          run->second.phase == RunPhase::kSending) {
        MarkUncertain(*worker, run->first, run->second);
      }
    }
  } else if (const auto* start = std::get_if<StartOrder>(&sent.order)) {
    OnStartReply(*worker, *start, sent_ms, reply, now_ms, out);
  } else if (const auto* stop = std::get_if<StopOrder>(&sent.order)) {
    OnStopReply(*worker, *stop, reply, now_ms);
  }
  if (HasEnded(*worker, sent, reply)) {
    Retire(*worker, out);
  }
}

void WorkerTracker::OnHoldReply(TrackedWorker& worker,
                                const HoldOrder& order,
                                std::int64_t sent_ms,
                                const WorkerReply& reply,
                                std::int64_t now_ms,
                                WorkerTrackerOutput& out) {
  if (reply.answer != WorkerAnswer::kDone) {
    if (worker.hold_failures == 0) {
      Log(LogLevel::kWarning, "workers", "worker does not answer holds",
          {{"worker", worker.record.id}, {"detail", reply.detail}});
    }
    // The hold that was open when a worker left fails as the worker ends, so
    // the next one follows at once.
    const auto earlier_failures =
        worker.removed ? worker.hold_failures : worker.hold_failures + 1;
    ++worker.hold_failures;
    worker.next_hold_ms =
        now_ms + std::min(kHoldRetryMs * earlier_failures, kMaxHoldRetryMs);
    return;
  }
  if (worker.hold_failures > 0) {
    Log(LogLevel::kInfo, "workers", "worker answers holds again",
        {{"worker", worker.record.id}});
  }
  worker.hold_failures = 0;
  worker.last_list_ms = now_ms;
  // A list that was sent before such a sign may have been overtaken by it.
  if (sent_ms > worker.unproven_connection_ms) {
    worker.unproven_connection_ms = 0;
    worker.other_incarnation_answers = false;
  }
  // This incarnation was there after all such orders had ended.
  if (sent_ms >= worker.unproven_order_end_ms) {
    worker.unproven_order_end_ms = 0;
  }
  worker.next_hold_ms = now_ms;
  if (!worker.synced) {
    Log(LogLevel::kInfo, "workers", "worker is synchronized",
        {{"worker", worker.record.id},
         {"fence", order.fence},
         {"born_ms", worker.record.born_ms},
         {"clock_ms", reply.clock_ms},
         {"running", reply.running.size()},
         {"ended", reply.ended.size()}});
    worker.synced = true;
    out.synchronized = true;
    ReplaceWorkers(worker, now_ms, out);
    // Its fence bars orders for earlier incarnations from now on.
    if (worker.may_have_former_lease) {
      worker.inherited_lease_end_ms = LongestLeaseEnd(now_ms);
    }
  }
  ReadEnds(worker, reply, now_ms, out);
  ReadRunning(worker, sent_ms, reply, now_ms, out);
}

void WorkerTracker::ReadEnds(TrackedWorker& worker,
                             const WorkerReply& reply,
                             std::int64_t now_ms,
                             WorkerTrackerOutput& out) {
  std::int64_t last = worker.seen_end;
  const auto highest = HighestReadableEnd(reply.ended, worker.seen_end);
  bool unreadable_number = false;
  for (const auto& it : reply.ended) {
    unreadable_number = unreadable_number || it.number > highest;
    if (it.number <= worker.seen_end || it.number > highest) {
      continue;
    }
    last = std::max(last, it.number);
    FinishedRun finished;
    finished.task = it.task;
    finished.run = it.run;
    finished.how = it.how;
    finished.checkpoint = it.checkpoint;
    finished.worker = worker.number;
    const auto run = worker.runs.find({it.task, it.run});
    if (run != worker.runs.end()) {
      if (run->second.start_time_known) {
        finished.run_ms = now_ms - run->second.started_ms;
      }
      RecordStop(run->second, now_ms, finished);
      EraseRun(worker, run);
    }
    out.finished.push_back(std::move(finished));
  }
  if (last > worker.seen_end) {
    worker.seen_end = last;
    worker.ends_commit_pending = true;
    out.ends_to_acknowledge.emplace_back(worker.number, last);
    worker.repeated_lists = 0;
    return;
  }
  worker.repeated_lists = reply.ended.empty() ? 0 : worker.repeated_lists + 1;
  if (worker.repeated_lists == kMaxRepeatedLists) {
    Log(LogLevel::kWarning, "workers",
        "worker lists ends again that were acknowledged",
        {{"worker", worker.record.id},
         {"acknowledged_end", worker.acknowledged_end}});
  }
  // The worker answers at once while it lists an end that is not acknowledged.
  if (reply.unreadable_rows > 0 || unreadable_number ||
      worker.repeated_lists >= kMaxRepeatedLists) {
    worker.next_hold_ms = now_ms + kHoldRetryMs;
  }
}

void WorkerTracker::ReadRunning(TrackedWorker& worker,
                                std::int64_t sent_ms,
                                const WorkerReply& reply,
                                std::int64_t now_ms,
                                WorkerTrackerOutput& out) {
  std::set<RunKey> listed;
  for (const auto& row : reply.running) {
    const RunKey key(row.task, row.run);
    listed.insert(key);
    const auto it = worker.runs.find(key);
    if (it == worker.runs.end()) {
      // The run is unknown. It is stopped, and takes the whole capacity of the
      // worker until it has ended.
      Log(LogLevel::kWarning, "workers", "worker lists an unknown run",
          {{"worker", worker.record.id},
           {"task", graph::FormatTask(row.task)},
           {"run", row.run}});
      Run run;
      run.phase = RunPhase::kRunning;
      run.phase_confirmed_ms = now_ms;
      run.demand = {worker.record.milli_cpus, worker.record.memory_mb,
                    worker.record.accelerators};
      run.started_ms = now_ms;
      run.stop_requested = true;
      AddRun(worker, key, run);
      out.unknown_runs.push_back(key);
      continue;
    }
    auto& run = it->second;
    if (run.percent < 0) {
      run.percent = row.percent;
    }
    if (row.percent > run.percent && !run.has_progress) {
      run.has_progress = true;
      out.progressing_runs.push_back(key);
    }
    if (!row.checkpoint.empty()) {
      run.checkpoint = row.checkpoint;
    }
    if (run.phase == RunPhase::kSending || run.phase == RunPhase::kInherited ||
        run.phase == RunPhase::kLeaseExpired) {
      run.phase = RunPhase::kRunning;
      run.phase_confirmed_ms = now_ms;
      out.started_runs.push_back(key);
    }
    if (run.phase == RunPhase::kStopConfirmed &&
        run.phase_confirmed_ms + kMaxStopMs < sent_ms) {
      Log(LogLevel::kWarning, "workers", "stopped run goes on",
          {{"worker", worker.record.id},
           {"task", graph::FormatTask(row.task)},
           {"run", row.run},
           {"confirmed_ms", now_ms - run.phase_confirmed_ms}});
      run.phase = RunPhase::kRunning;
      run.phase_confirmed_ms = now_ms;
      RequestStop(worker, key, run);
    }
  }
  // The run may be in a row that is unreadable or on the next page.
  if (reply.unreadable_rows > 0 || reply.ended.size() >= kEndsPerPage) {
    return;
  }
  auto it = worker.runs.begin();
  while (it != worker.runs.end()) {
    const auto next = std::next(it);
    const auto& run = it->second;
    const bool ended_unless_listed = (run.phase == RunPhase::kRunning ||
                                      run.phase == RunPhase::kStopConfirmed ||
                                      run.phase == RunPhase::kInherited ||
                                      run.phase == RunPhase::kLeaseExpired) &&
                                     run.phase_confirmed_ms < sent_ms;
    if (ended_unless_listed && !listed.contains(it->first)) {
      FinishRun(worker, it,
                run.phase == RunPhase::kRunning ||
                        run.phase == RunPhase::kLeaseExpired
                    ? wire::RunEnd::kLost
                    : wire::RunEnd::kNotStarted,
                "worker does not list it", now_ms, out);
    }
    it = next;
  }
}

double WorkerTracker::MedianStartAnswerMs(std::int64_t now_ms) const {
  std::vector<std::int64_t> recent;
  for (const auto& [at_ms, response_ms] : start_answers_) {
    if (now_ms - at_ms <= kStartAnswerMaxAgeMs) {
      recent.push_back(response_ms);
    }
  }
  if (recent.size() < kMinStartAnswers) {
    return 0;
  }
  const auto middle =
      recent.begin() + static_cast<std::ptrdiff_t>(recent.size() / 2);
  std::nth_element(recent.begin(), middle, recent.end());
  return static_cast<double>(*middle);
}

void WorkerTracker::OnStartReply(TrackedWorker& worker,
                                 const StartOrder& order,
                                 std::int64_t sent_ms,
                                 const WorkerReply& reply,
                                 std::int64_t now_ms,
                                 WorkerTrackerOutput& out) {
  start_answers_.emplace_back(now_ms, now_ms - sent_ms);
  if (start_answers_.size() > kMaxStartAnswers) {
    start_answers_.pop_front();
  }
  const auto it = worker.runs.find({order.task, order.run});
  if (it == worker.runs.end() ||
      (it->second.phase != RunPhase::kSending &&
       it->second.phase != RunPhase::kStopConfirmed)) {
    return;
  }
  const bool stopped = it->second.phase == RunPhase::kStopConfirmed;
  switch (reply.answer) {
    case WorkerAnswer::kStaleRun:
      if (stopped) {
        return;
      }
      // An earlier delivery of the start may have run to its end. The list
      // tells.
      it->second.phase = RunPhase::kRunning;
      it->second.phase_confirmed_ms = now_ms;
      return;
    case WorkerAnswer::kDone:
      if (stopped) {
        return;
      }
      it->second.phase = RunPhase::kRunning;
      it->second.phase_confirmed_ms = now_ms;
      out.started_runs.push_back(it->first);
      return;
    case WorkerAnswer::kNoAnswer:
      if (stopped) {
        return;
      }
      Log(LogLevel::kWarning, "workers", "start was not answered",
          {{"task", graph::FormatTask(order.task)},
           {"run", order.run},
           {"worker", worker.record.id},
           {"reused_connection", reply.reused_connection},
           {"detail", reply.detail}});
      MarkUncertain(worker, it->first, it->second);
      return;
    case WorkerAnswer::kOverloaded:
    case WorkerAnswer::kNotSent:
    case WorkerAnswer::kNoListener:
    case WorkerAnswer::kNoCapacity:
      worker.avoid_until_ms = now_ms + kAvoidWorkerMs;
      break;
    default:
      break;
  }
  FinishRun(worker, it, wire::RunEnd::kNotStarted,
            "worker refused the start: " + reply.detail, now_ms, out);
}

void WorkerTracker::OnStopReply(TrackedWorker& worker,
                                const StopOrder& order,
                                const WorkerReply& reply,
                                std::int64_t now_ms) {
  const auto it = worker.runs.find({order.task, order.run});
  if (it == worker.runs.end()) {
    return;
  }
  if (reply.answer != WorkerAnswer::kDone) {
    Log(LogLevel::kWarning, "workers", "stop was not confirmed",
        {{"task", graph::FormatTask(order.task)},
         {"run", order.run},
         {"worker", worker.record.id},
         {"stops", it->second.stops_sent},
         {"stop_ms", now_ms - it->second.stop_requested_ms},
         {"detail", reply.detail}});
    return;
  }
  if (it->second.phase == RunPhase::kLeaseExpired) {
    return;
  }
  // A hold that waits would list a run that never began only when its wait is
  // over.
  if (it->second.phase == RunPhase::kUncertain ||
      it->second.phase == RunPhase::kSending) {
    worker.hold_order = 0;
    worker.next_hold_ms = now_ms + 1;
    worker.list_due = true;
  }
  it->second.phase = RunPhase::kStopConfirmed;
  it->second.phase_confirmed_ms = now_ms;
  // The next hold whose reply does not list the run finishes it.
  it->second.stop_requested = false;
}

}  // namespace cranberryshunt::cell
