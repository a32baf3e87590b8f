#include "report_service.h"

#include <utility>
#include <vector>

#include "conversions.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

namespace {

// A report whose results are not committed by then is answered with a timeout;
// the entry sends it again.
constexpr std::chrono::milliseconds kMaxReportWait{2'000};
// A worker that stayed away for this long after its leases ended is forgotten.
constexpr std::chrono::minutes kForgetAfter{10};

bool IsFinished(wire::AttemptState::type state) {
  return state == wire::AttemptState::kDone ||
         state == wire::AttemptState::kFailed ||
         state == wire::AttemptState::kStopped ||
         state == wire::AttemptState::kRefused;
}

}  // namespace

void ReportService::Report(ReportCall call, TimePoint now) {
  const std::uint64_t id = next_report_++;
  Waiting& waiting = waiting_[id];
  waiting.answer = std::move(call.reply);
  waiting.until = now + kMaxReportWait;
  for (const auto& record : call.report.audit) {
    context_.commands.Record(record);
  }
  for (const auto& [regions, bytes] : call.report.bytes_between_regions) {
    bytes_between_regions_[regions] += bytes;
  }
  for (const auto& announcement : call.report.announcements) {
    waiting.reply.announcements.push_back(
        Announce(announcement, call.report.entry_id, now));
  }
  for (const auto& result : call.report.results) {
    TakeResult(result, id, now);
  }
  if (waiting.open_results == 0) {
    waiting.answer(std::move(waiting.reply));
    waiting_.erase(id);
  }
}

wire::AnnouncementReply ReportService::Announce(
    const wire::WorkerAnnouncement& announcement,
    const std::string& entry_id,
    TimePoint now) {
  const auto& worker = announcement.worker;
  wire::AnnouncementReply reply;
  reply.identity = worker.identity;
  reply.clock_ms = announcement.clock_ms;
  if (worker.identity.empty() || worker.incarnation.empty()) {
    reply.status = wire::ToStatus(Error(
        ResultCode::kMissingField, "identity and incarnation are required"));
    return reply;
  }
  const Arrival arrival =
      context_.workers.Announce(announcement, entry_id, now);
  if (arrival == Arrival::kStale) {
    reply.status = wire::ToStatus(Error(
        ResultCode::kWrongIdentity, "a newer incarnation announced itself"));
    return reply;
  }
  TakeIdentity(worker, arrival, now);
  for (const auto& report : announcement.attempts) {
    TakeAttempt(report, reply, now);
  }
  attempts_.OnListed(worker.identity, announcement.clock_ms,
                     announcement.attempts, now);
  TakeUsage(announcement);
  reply.lease_ms = context_.options.worker_lease.count();
  return reply;
}

void ReportService::TakeIdentity(const wire::Worker& worker,
                                 Arrival arrival,
                                 TimePoint now) {
  LiveWorker& live = *context_.workers.Find(worker.identity);
  if (arrival == Arrival::kRestarted) {
    attempts_.WorkerLost(worker.identity, "worker restarted", now);
  }
  if (arrival != Arrival::kSame) {
    context_.scheduler->UpsertWorker(ToWorkerInfo(live.identity));
    context_.commands.UpsertWorker(live.identity);
  }
  if (arrival == Arrival::kNew) {
    context_.scheduler->SetAccepting(worker.identity, false);
  }
  UpdateAccepting(live, now);
  if (live.identity.leaving && arrival != Arrival::kSame) {
    attempts_.WorkerLeaving(worker.identity, now);
  }
}

void ReportService::UpdateAccepting(LiveWorker& worker, TimePoint now) {
  const bool accepting = !worker.identity.leaving &&
                         !worker.identity.draining && !worker.lost &&
                         !context_.workers.IsSilent(worker, now);
  if (accepting != worker.accepting) {
    worker.accepting = accepting;
    context_.scheduler->SetAccepting(worker.identity.identity, accepting);
  }
}

void ReportService::TakeAttempt(const wire::AttemptReport& report,
                                wire::AnnouncementReply& reply,
                                TimePoint now) {
  const ReportEffect effect = attempts_.Report(report, now);
  if (effect == ReportEffect::kEnding) {
    return;
  }
  const bool unknown = effect == ReportEffect::kUnknownAttempt;
  if (IsFinished(report.state)) {
    // Its end is committed, or nobody waits for it.
    if (unknown) {
      reply.acknowledge.push_back(report.attempt);
    }
    return;
  }
  const Attempt* attempt = attempts_.table().Find(report.attempt);
  if (unknown || (attempt != nullptr && attempt->stop != StopReason::kNone)) {
    reply.stop.push_back(report.attempt);
  }
}

void ReportService::TakeUsage(const wire::WorkerAnnouncement& announcement) {
  // The use of a worker is known only as a sum; it tells about a task when
  // there is just one.
  if (announcement.attempts.size() != 1 ||
      announcement.attempts.front().state != wire::AttemptState::kRunning) {
    return;
  }
  const auto& key = announcement.attempts.front().attempt;
  if (attempts_.table().Find(key) != nullptr) {
    context_.scheduler->TaskUsage(
        ToTaskId(key),
        {announcement.used_milli_cpus, announcement.used_memory_bytes, 0, 0});
  }
}

void ReportService::TakeResult(const wire::AttemptReport& result,
                               std::uint64_t report,
                               TimePoint now) {
  if (attempts_.Report(result, now) != ReportEffect::kEnding) {
    return;
  }
  attempts_.table().Find(result.attempt)->waiting_reports.push_back(report);
  ++waiting_[report].open_results;
}

void ReportService::OnSettled(std::uint64_t report) {
  auto it = waiting_.find(report);
  if (it == waiting_.end() || --it->second.open_results > 0) {
    return;
  }
  it->second.answer(std::move(it->second.reply));
  waiting_.erase(it);
}

void ReportService::Tick(TimePoint now) {
  for (const auto& identity : context_.workers.TakeLost(now)) {
    attempts_.WorkerLost(identity, "lease of the worker ran out", now);
  }
  for (const auto& [identity, worker] : context_.workers.workers()) {
    UpdateAccepting(*context_.workers.Find(identity), now);
  }
  RemoveLostWorkers(now);
  while (!waiting_.empty() && waiting_.begin()->second.until <= now) {
    auto& waiting = waiting_.begin()->second;
    waiting.reply.status = wire::ToStatus(
        Error(ResultCode::kTimeout, "results are not committed yet"));
    waiting.answer(std::move(waiting.reply));
    waiting_.erase(waiting_.begin());
  }
}

void ReportService::RemoveLostWorkers(TimePoint now) {
  for (const auto& identity : context_.workers.LostSince(now, kForgetAfter)) {
    // An operator's drain order must survive until the worker comes back.
    const bool draining = context_.workers.Find(identity)->identity.draining;
    if (draining || attempts_.table().HasWorker(identity)) {
      continue;
    }
    context_.scheduler->RemoveWorker(identity);
    context_.workers.Remove(identity);
    context_.commands.RemoveWorker(identity);
  }
}

void ReportService::Abandon(const wire::Status& status) {
  for (auto& [id, waiting] : waiting_) {
    wire::ReportReply reply;
    reply.status = status;
    waiting.answer(std::move(reply));
  }
  waiting_.clear();
}

}  // namespace cranberryshunt::controller
