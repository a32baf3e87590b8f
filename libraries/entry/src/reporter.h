// Sends targets' announcements, results of attempts and audit records to the
// leader in batches.
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

// Runs a thread that makes one Report call at a time. Safe for use by several
// threads.
class Reporter {
 public:
  // Returns the bytes sent between each pair of regions since its last call.
  using TakeTraffic = std::function<std::map<std::string, std::int64_t>()>;

  Reporter(wire::LeaderClient& leader,
           std::string entry_id,
           TakeTraffic take_traffic);
  ~Reporter();

  // Sends an announcement with the next batch and waits for the leader's reply.
  // Fails with kNoLeader after `timeout`, with kQueueFull when too many
  // announcements are queued, or with the error of the Report call.
  Result<wire::AnnouncementReply> Announce(
      const wire::WorkerAnnouncement& announcement,
      std::chrono::milliseconds timeout);

  // Queues a result, which is sent again until the leader accepts it. When too
  // many are queued, the oldest is dropped. The leader still gets that result
  // from an announcement, because targets keep records until they are
  // acknowledged.
  void AddResult(const wire::AttemptReport& result);

  // Queues an audit record. When too many are queued, the oldest is dropped.
  void AddAuditRecord(const wire::AuditRecord& record);

  // Waits until everything queued has been sent. Returns false after `timeout`.
  bool Flush(std::chrono::milliseconds timeout);

 private:
  struct PendingAnnouncement {
    wire::WorkerAnnouncement announcement;
    std::optional<Result<wire::AnnouncementReply>> reply;
    bool abandoned = false;  // Announce() has timed out.
  };
  using PendingAnnouncementPtr = std::shared_ptr<PendingAnnouncement>;

  struct Batch {
    wire::EntryReport report;
    std::vector<PendingAnnouncementPtr> announcements;
  };

  bool IsEmpty() const;
  // Moves what is queued, up to the limits of one report, into a batch.
  Batch TakeBatch();
  // Sends the batch and completes it. Returns whether the leader accepted it.
  bool SendBatch(Batch& batch);
  // Passes the leader's replies, or the error, to the threads in Announce().
  // After an error, results and audit records are queued again.
  void CompleteBatch(Batch& batch, const Result<wire::ReportReply>& reply);
  void Run();

  wire::LeaderClient& leader_;
  const std::string entry_id_;
  const TakeTraffic take_traffic_;
  std::map<std::string, std::int64_t> unsent_traffic_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<PendingAnnouncementPtr> announcements_;
  std::vector<wire::AttemptReport> results_;
  std::vector<wire::AuditRecord> audit_;
  bool sending_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_REPORTER_H_
