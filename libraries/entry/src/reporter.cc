#include "reporter.h"

#include <algorithm>
#include <utility>

#include "ControllerService.h"
#include "cranberryshunt/wire/codec.h"
#include "cranberryshunt/wire/controller_client.h"
#include "leader_calls.h"

namespace cranberryshunt::entry {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kBatchInterval{20};
// With the batch interval and the pause after a failure, below the 2 s that a
// target's announcement waits for its reply.
constexpr milliseconds kReportDeadline{1'500};
constexpr milliseconds kReportAttemptTimeout{700};
constexpr milliseconds kPauseAfterFailure{100};
constexpr std::size_t kMaxAnnouncements = 1'024;
constexpr std::size_t kMaxResults = 8'192;
constexpr std::size_t kMaxAudit = 1'024;
constexpr std::size_t kMaxBatchResults = 1'024;
// Well below the frame limit of the transport.
constexpr std::size_t kMaxBatchBytes = 4 << 20;

template <typename T>
void DropOldest(std::vector<T>& items, std::size_t limit) {
  if (items.size() > limit) {
    items.erase(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(
                                                   items.size() - limit));
  }
}

}  // namespace

Reporter::Reporter(wire::LeaderClient& leader,
                   std::string entry_id,
                   TakeTraffic take_traffic)
    : leader_(leader),
      entry_id_(std::move(entry_id)),
      take_traffic_(std::move(take_traffic)),
      thread_([this] { Run(); }) {}

Reporter::~Reporter() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  thread_.join();
}

Result<wire::AnnouncementReply> Reporter::Announce(
    const wire::WorkerAnnouncement& announcement,
    milliseconds timeout) {
  auto pending = std::make_shared<PendingAnnouncement>();
  pending->announcement = announcement;
  std::unique_lock lock(mutex_);
  if (announcements_.size() >= kMaxAnnouncements) {
    return Fail(ResultCode::kQueueFull, "too many announcements wait");
  }
  announcements_.push_back(pending);
  changed_.notify_all();
  const bool replied =
      changed_.wait_until(lock, steady_clock::now() + timeout,
                          [&] { return pending->reply.has_value(); });
  if (!replied) {
    pending->abandoned = true;
    return Fail(ResultCode::kNoLeader, "the leader did not answer in time");
  }
  return *pending->reply;
}

void Reporter::AddResult(const wire::AttemptReport& result) {
  std::lock_guard lock(mutex_);
  results_.push_back(result);
  DropOldest(results_, kMaxResults);
  changed_.notify_all();
}

void Reporter::AddAuditRecord(const wire::AuditRecord& record) {
  std::lock_guard lock(mutex_);
  audit_.push_back(record);
  DropOldest(audit_, kMaxAudit);
  changed_.notify_all();
}

bool Reporter::Flush(milliseconds timeout) {
  std::unique_lock lock(mutex_);
  return changed_.wait_until(lock, steady_clock::now() + timeout,
                             [this] { return IsEmpty() && !sending_; });
}

bool Reporter::IsEmpty() const {
  return announcements_.empty() && results_.empty() && audit_.empty();
}

Reporter::Batch Reporter::TakeBatch() {
  Batch batch;
  batch.report.entry_id = entry_id_;
  for (auto& pending : announcements_) {
    if (!pending->abandoned) {
      batch.report.announcements.push_back(std::move(pending->announcement));
      batch.announcements.push_back(std::move(pending));
    }
  }
  announcements_.clear();
  std::size_t bytes = 0;
  std::size_t count = 0;
  while (count < std::min(results_.size(), kMaxBatchResults) &&
         bytes < kMaxBatchBytes) {
    bytes += results_[count].answer.bytes.size();
    ++count;
  }
  const auto end = results_.begin() + static_cast<std::ptrdiff_t>(count);
  batch.report.results.assign(std::make_move_iterator(results_.begin()),
                              std::make_move_iterator(end));
  results_.erase(results_.begin(), end);
  batch.report.audit = std::exchange(audit_, {});
  return batch;
}

void Reporter::CompleteBatch(Batch& batch,
                             const Result<wire::ReportReply>& reply) {
  std::lock_guard lock(mutex_);
  for (std::size_t i = 0; i < batch.announcements.size(); ++i) {
    if (reply) {
      batch.announcements[i]->reply = reply->announcements[i];
    } else {
      batch.announcements[i]->reply = tl::unexpected(reply.error());
    }
  }
  if (!reply) {
    auto& results = batch.report.results;
    results_.insert(results_.begin(), std::make_move_iterator(results.begin()),
                    std::make_move_iterator(results.end()));
    DropOldest(results_, kMaxResults);
    auto& audit = batch.report.audit;
    audit_.insert(audit_.begin(), audit.begin(), audit.end());
    DropOldest(audit_, kMaxAudit);
  }
  sending_ = false;
  changed_.notify_all();
}

bool Reporter::SendBatch(Batch& batch) {
  for (const auto& [regions, bytes] : take_traffic_()) {
    unsent_traffic_[regions] += bytes;
  }
  batch.report.bytes_between_regions = unsent_traffic_;
  wire::ReportReply reply;
  const auto call_result =
      leader_.Run(kReportDeadline, kReportAttemptTimeout, [&](auto& client) {
        client.Report(reply, batch.report);
        return ToCallStatus(reply.status);
      });
  if (!call_result) {
    CompleteBatch(batch, tl::unexpected(call_result.error()));
    return false;
  }
  if (reply.status.code != 0) {
    CompleteBatch(batch, tl::unexpected(wire::ToError(reply.status)));
    return false;
  }
  if (reply.announcements.size() != batch.announcements.size()) {
    CompleteBatch(batch,
                  Fail(ResultCode::kUnavailable,
                       "the leader answered another number of announcements"));
    return false;
  }
  unsent_traffic_.clear();
  CompleteBatch(batch, std::move(reply));
  return true;
}

void Reporter::Run() {
  auto next_send = steady_clock::now();
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return stopping_ || !IsEmpty(); });
    if (stopping_) {
      return;
    }
    // Collects what is queued until the batch interval since the previous
    // report has passed.
    changed_.wait_until(lock, next_send, [this] { return stopping_; });
    next_send = steady_clock::now() + kBatchInterval;
    Batch batch = TakeBatch();
    sending_ = true;
    lock.unlock();
    // A report may fail at once; the pause keeps it from being sent again in a
    // busy loop.
    if (!SendBatch(batch)) {
      next_send = steady_clock::now() + kPauseAfterFailure;
    }
    lock.lock();
  }
}

}  // namespace cranberryshunt::entry
