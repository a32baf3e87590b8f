// Sends announcements, results and audit records to the leader in batches.
#ifndef CRANBERRYSHUNT_ENTRY_REPORTER_H_
#define CRANBERRYSHUNT_ENTRY_REPORTER_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::wire {
class LeaderClient;
}

namespace cranberryshunt::entry {

// One thread with one Report call in flight. Safe for use by several threads.
class Reporter {
 public:
  using TakeTraffic = std::function<std::map<std::string, std::int64_t>()>;

  Reporter(wire::LeaderClient& leader,
           std::string entry_id,
           TakeTraffic take_traffic);
  ~Reporter();

  // Waits for the leader's reply. Fails with kTimeout, kQueueFull or the
  // leader's error.
  Result<wire::AnnouncementReply> Announce(
      const wire::WorkerAnnouncement& announcement,
      std::chrono::milliseconds timeout);

  // Queues a result; it is sent again until the leader has taken it. The oldest
  // is dropped when too many wait: targets keep records until acknowledged, so
  // the leader gets it by an announcement.
  void AddResult(const wire::AttemptReport& result);

  void AddAudit(const wire::AuditRecord& record);

  // Waits until everything queued has been sent. Returns false after `timeout`.
  bool Flush(std::chrono::milliseconds timeout);

 private:
  struct Waiting {
    wire::WorkerAnnouncement announcement;
    std::optional<Result<wire::AnnouncementReply>> reply;
    bool abandoned = false;
  };
  using WaitingPtr = std::shared_ptr<Waiting>;

  struct Batch {
    wire::EntryReport report;
    std::vector<WaitingPtr> waiting;
  };

  bool IsEmpty() const;
  Batch TakeBatch();
  bool Send(Batch& batch);
  void Answer(Batch& batch, const Result<wire::ReportReply>& reply);
  void Run();

  wire::LeaderClient& leader_;
  const std::string entry_id_;
  const TakeTraffic take_traffic_;
  std::map<std::string, std::int64_t> unsent_traffic_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<WaitingPtr> announcements_;
  std::vector<wire::AttemptReport> results_;
  std::vector<wire::AuditRecord> audit_;
  bool sending_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_REPORTER_H_
