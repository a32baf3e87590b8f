// Reports of entries: worker announcements and results.
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

  // Takes in a report. The reply is sent at once, or after the commit of the
  // results that the entry will acknowledge to the targets.
  void Report(ReportCall call, TimePoint now);
  // The end of an attempt that the report told of is applied.
  void OnEndApplied(std::uint64_t report);
  // Ends leases, tells the scheduler which workers may get work, and answers
  // reports that waited too long.
  void Tick(TimePoint now);
  // Tells the scheduler whether the worker may get work now.
  void UpdateAccepting(LiveWorker& worker, TimePoint now);
  void Abandon(const wire::Status& status);

  const std::map<std::string, std::int64_t>& bytes_between_regions() const {
    return bytes_between_regions_;
  }

 private:
  struct PendingReport {
    wire::ReportReply reply;
    Reply<wire::ReportReply> answer;
    std::int64_t open_results = 0;
    TimePoint deadline{};
  };

  wire::AnnouncementReply Announce(const wire::WorkerAnnouncement& announcement,
                                   const std::string& entry_id,
                                   TimePoint now);
  void UpdateWorker(const wire::Worker& worker,
                    AnnouncementEffect arrival,
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
