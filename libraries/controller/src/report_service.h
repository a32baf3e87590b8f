// Handles reports from entries: worker announcements and task results.
#ifndef CRANBERRYSHUNT_CONTROLLER_REPORT_SERVICE_H_
#define CRANBERRYSHUNT_CONTROLLER_REPORT_SERVICE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "attempt_manager.h"
#include "leader_context.h"

namespace cranberryshunt::controller {

class ReportService {
 public:
  ReportService(LeaderContext& context, AttemptManager& attempts)
      : context_(context), attempts_(attempts) {}

  // Processes a report. Replies at once if the report ends no attempt,
  // otherwise when the ends are applied, because the entry then acknowledges
  // the results to the targets.
  void Report(ReportCall call, TimePoint now);
  // Called when the end of an attempt that the report contained is applied.
  void OnEndApplied(std::uint64_t report);
  // Expires worker leases, updates which workers accept tasks, removes workers
  // that were lost long ago and times out pending reports.
  void Tick(TimePoint now);
  // Updates in the scheduler whether the worker accepts tasks.
  void UpdateAccepting(LiveWorker& worker, TimePoint now);
  // Fails all pending reports with `status`.
  void FailPendingReports(const wire::Status& status);

  const std::map<std::string, std::int64_t>& bytes_between_regions() const {
    return bytes_between_regions_;
  }

 private:
  struct PendingReport {
    wire::ReportReply reply;
    Reply<wire::ReportReply> send_reply;
    std::int64_t open_results = 0;
    TimePoint deadline{};
  };

  wire::AnnouncementReply Announce(const wire::WorkerAnnouncement& announcement,
                                   const std::string& entry_id,
                                   TimePoint now);
  // Brings the scheduler, the replicated state and the attempts of the worker
  // up to date after `change` was made to it in the worker table.
  void PropagateWorkerChange(const wire::Worker& worker,
                             WorkerChange change,
                             TimePoint now);
  void HandleAttempt(const wire::AttemptReport& report,
                     wire::AnnouncementReply& reply,
                     TimePoint now);
  void HandleResult(const wire::AttemptReport& result,
                    std::uint64_t report,
                    TimePoint now);
  void RecordUsage(const wire::WorkerAnnouncement& announcement);
  void RemoveLostWorkers(TimePoint now);

  LeaderContext& context_;
  AttemptManager& attempts_;
  std::map<std::uint64_t, PendingReport> pending_;
  std::uint64_t next_report_ = 1;
  std::map<std::string, std::int64_t> bytes_between_regions_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_REPORT_SERVICE_H_
