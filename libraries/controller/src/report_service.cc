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
  PendingReport& waiting = pending_[id];
  waiting.answer = std::move(call.reply);
  waiting.deadline = now + kMaxReportWait;
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
    HandleResult(result, id, now);
  }
  if (waiting.open_results == 0) {
    waiting.answer(std::move(waiting.reply));
    pending_.erase(id);
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
  const AnnouncementEffect arrival =
      context_.workers.Announce(announcement, entry_id, now);
  if (arrival == AnnouncementEffect::kStale) {
    reply.status = wire::ToStatus(Error(
        ResultCode::kWrongIdentity, "a newer incarnation announced itself"));
    return reply;
  }
  UpdateWorker(worker, arrival, now);
  for (const auto& report : announcement.attempts) {
    HandleAttempt(report, reply, now);
  }
  attempts_.EndUnlisted(worker.identity, announcement.clock_ms,
                        announcement.attempts, now);
  RecordUsage(announcement);
  reply.lease_ms = context_.options.worker_lease.count();
  return reply;
}

void ReportService::UpdateWorker(const wire::Worker& worker,
                                 AnnouncementEffect arrival,
                                 TimePoint now) {
  LiveWorker& live = *context_.workers.Find(worker.identity);
  if (arrival == AnnouncementEffect::kRestarted) {
    attempts_.OnWorkerLost(worker.identity, "worker restarted", now);
  }
  if (arrival != AnnouncementEffect::kSame) {
    context_.scheduler->UpsertWorker(ToWorkerInfo(live.identity));
    context_.commands.UpsertWorker(live.identity);
  }
  if (arrival == AnnouncementEffect::kNew) {
    context_.scheduler->SetAccepting(worker.identity, false);
  }
  UpdateAccepting(live, now);
  if (live.identity.leaving && arrival != AnnouncementEffect::kSame) {
    attempts_.OnWorkerLeaving(worker.identity, now);
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

void ReportService::HandleAttempt(const wire::AttemptReport& report,
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

void ReportService::RecordUsage(const wire::WorkerAnnouncement& announcement) {
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

void ReportService::HandleResult(const wire::AttemptReport& result,
                                 std::uint64_t report,
                                 TimePoint now) {
  if (attempts_.Report(result, now) != ReportEffect::kEnding) {
    return;
  }
  attempts_.table().Find(result.attempt)->waiting_reports.push_back(report);
  ++pending_[report].open_results;
}

void ReportService::OnEndApplied(std::uint64_t report) {
  auto it = pending_.find(report);
  if (it == pending_.end() || --it->second.open_results > 0) {
    return;
  }
  it->second.answer(std::move(it->second.reply));
  pending_.erase(it);
}

void ReportService::Tick(TimePoint now) {
  for (const auto& identity : context_.workers.MarkLost(now)) {
    attempts_.OnWorkerLost(identity, "lease of the worker ran out", now);
  }
  for (const auto& [identity, worker] : context_.workers.workers()) {
    UpdateAccepting(*context_.workers.Find(identity), now);
  }
  RemoveLostWorkers(now);
  while (!pending_.empty() && pending_.begin()->second.deadline <= now) {
    auto& waiting = pending_.begin()->second;
    waiting.reply.status = wire::ToStatus(
        Error(ResultCode::kTimeout, "results are not committed yet"));
    waiting.answer(std::move(waiting.reply));
    pending_.erase(pending_.begin());
  }
}

void ReportService::RemoveLostWorkers(TimePoint now) {
  for (const auto& identity :
       context_.workers.LostForAtLeast(now, kForgetAfter)) {
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
  for (auto& [id, waiting] : pending_) {
    wire::ReportReply reply;
    reply.status = status;
    waiting.answer(std::move(reply));
  }
  pending_.clear();
}

}  // namespace cranberryshunt::controller
