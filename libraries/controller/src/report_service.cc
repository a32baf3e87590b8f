#include "report_service.h"

#include <utility>
#include <vector>

#include "conversions.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

namespace {

// A report whose results are not applied within this time is answered with a
// timeout. The entry sends it again.
constexpr std::chrono::milliseconds kMaxReportWait{2'000};
// A worker is removed this long after its leases expired.
constexpr std::chrono::minutes kLostWorkerRetention{10};

bool IsFinished(wire::AttemptState::type state) {
  return state == wire::AttemptState::kDone ||
         state == wire::AttemptState::kFailed ||
         state == wire::AttemptState::kStopped ||
         state == wire::AttemptState::kRefused;
}

}  // namespace

void ReportService::Report(ReportCall call, TimePoint now) {
  const std::uint64_t id = next_report_++;
  PendingReport& pending = pending_[id];
  pending.send_reply = std::move(call.reply);
  pending.deadline = now + kMaxReportWait;
  for (const auto& record : call.report.audit) {
    context_.commands.Record(record);
  }
  for (const auto& [regions, bytes] : call.report.bytes_between_regions) {
    bytes_between_regions_[regions] += bytes;
  }
  for (const auto& announcement : call.report.announcements) {
    pending.reply.announcements.push_back(
        Announce(announcement, call.report.entry_id, now));
  }
  for (const auto& result : call.report.results) {
    HandleResult(result, id, now);
  }
  if (pending.open_results == 0) {
    pending.send_reply(std::move(pending.reply));
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
  const WorkerChange change =
      context_.workers.Announce(announcement, entry_id, now);
  if (change == WorkerChange::kStale) {
    reply.status = wire::ToStatus(Error(
        ResultCode::kWrongIdentity, "a newer incarnation announced itself"));
    return reply;
  }
  PropagateWorkerChange(worker, change, now);
  for (const auto& report : announcement.attempts) {
    HandleAttempt(report, reply, now);
  }
  attempts_.EndUnlisted(worker.identity, announcement.clock_ms,
                        announcement.attempts, now);
  RecordUsage(announcement);
  reply.lease_ms = context_.options.worker_lease.count();
  return reply;
}

void ReportService::PropagateWorkerChange(const wire::Worker& worker,
                                          WorkerChange change,
                                          TimePoint now) {
  LiveWorker& live = *context_.workers.Find(worker.identity);
  if (change == WorkerChange::kRestarted) {
    attempts_.OnWorkerLost(worker.identity, "worker restarted", now);
  }
  if (change != WorkerChange::kSame) {
    context_.scheduler->UpsertWorker(ToWorkerInfo(live.identity));
    context_.commands.UpsertWorker(live.identity);
  }
  if (change == WorkerChange::kNew) {
    context_.scheduler->SetAccepting(worker.identity, false);
  }
  UpdateAccepting(live, now);
  if (live.identity.leaving && change != WorkerChange::kSame) {
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
    // An unknown attempt needs no result: its end is already applied, or no job
    // waits for it.
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
  // A worker reports only its total usage, so the usage of a task is known only
  // when the worker has a single attempt.
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
  it->second.send_reply(std::move(it->second.reply));
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
    auto& pending = pending_.begin()->second;
    pending.reply.status = wire::ToStatus(
        Error(ResultCode::kTimeout, "results are not committed yet"));
    pending.send_reply(std::move(pending.reply));
    pending_.erase(pending_.begin());
  }
}

void ReportService::RemoveLostWorkers(TimePoint now) {
  for (const auto& identity :
       context_.workers.LostForAtLeast(now, kLostWorkerRetention)) {
    // Keep a drained worker, so that the drain still applies when it returns.
    const bool draining = context_.workers.Find(identity)->identity.draining;
    if (draining || attempts_.table().HasWorker(identity)) {
      continue;
    }
    context_.scheduler->RemoveWorker(identity);
    context_.workers.Remove(identity);
    context_.commands.RemoveWorker(identity);
  }
}

void ReportService::FailPendingReports(const wire::Status& status) {
  for (auto& [id, pending] : pending_) {
    wire::ReportReply reply;
    reply.status = status;
    pending.send_reply(std::move(reply));
  }
  pending_.clear();
}

}  // namespace cranberryshunt::controller
