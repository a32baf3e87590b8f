// A fake leader whose replies a test can set.
#ifndef CRANBERRYSHUNT_TESTS_ENTRY_FAKE_CONTROLLER_H_
#define CRANBERRYSHUNT_TESTS_ENTRY_FAKE_CONTROLLER_H_

#include <thrift/transport/TTransportException.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/base/result.h"
#include "cranberryshunt/wire/controller_server.h"

namespace cranberryshunt::entry {

// By default accepts every job, and orders its start at `target_address` if
// that is set.
class FakeController final : public wire::ControllerServiceNull {
 public:
  void Submit(wire::SubmitReply& reply,
              const wire::SubmitRequest& request) override {
    std::unique_lock lock(mutex_);
    submitted.push_back(request);
    changed_.notify_all();
    if (break_submit_calls) {
      throw apache::thrift::transport::TTransportException("broken");
    }
    if (transient_submit_errors > 0) {
      --transient_submit_errors;
      reply.status.code = static_cast<int>(ResultCode::kTimeout);
      return;
    }
    reply.status.code = submit_code;
    reply.job.job_id = request.job_id;
    if (submit_code == 0 && !target_address.empty()) {
      wire::Order order;
      order.__set_start(StartOf(request));
      AddOrder(order);
    }
    if (reply_after_result) {
      changed_.wait_for(lock, std::chrono::seconds(5),
                        [&] { return !results.empty(); });
    }
  }

  void Poll(wire::PollReply& reply, const wire::PollRequest& request) override {
    std::unique_lock lock(mutex_);
    polls.push_back(request);
    const bool current = request.session == session;
    const auto acknowledged_orders = current ? request.order_ack : 0;
    const auto wait = std::chrono::milliseconds(std::min(request.wait_ms, 20));
    changed_.wait_for(lock, wait, [&] {
      return !orders_.empty() && orders_.rbegin()->first > acknowledged_orders;
    });
    reply.rules_lease_ms = rules_lease_ms;
    reply.session = session;
    reply.rules_revision = rules_revision;
    reply.pressure = pressure;
    for (const auto& [sequence, order] : orders_) {
      if (sequence > acknowledged_orders) {
        reply.orders.emplace_back();
        reply.orders.back().sequence = sequence;
        reply.orders.back().order = order;
      }
    }
    const auto acknowledged_updates = current ? request.update_ack : 0;
    for (const auto& [sequence, job] : updates_) {
      if (sequence > acknowledged_updates) {
        reply.updates.emplace_back();
        reply.updates.back().sequence = sequence;
        reply.updates.back().job = job;
      }
    }
  }

  void Report(wire::ReportReply& reply,
              const wire::EntryReport& report) override {
    std::lock_guard lock(mutex_);
    if (break_report_calls) {
      throw apache::thrift::transport::TTransportException("broken");
    }
    if (refuse_reports) {
      refused_result_count += static_cast<int>(report.results.size());
      reply.status.code = static_cast<int>(ResultCode::kStorageFull);
      changed_.notify_all();
      return;
    }
    for (const auto& announcement : report.announcements) {
      reply.announcements.emplace_back();
      reply.announcements.back().identity = announcement.worker.identity;
      reply.announcements.back().clock_ms = announcement.clock_ms;
      reply.announcements.back().lease_ms = 10'000;
    }
    results.insert(results.end(), report.results.begin(), report.results.end());
    for (const auto& announcement : report.announcements) {
      announced_attempts.insert(announced_attempts.end(),
                                announcement.attempts.begin(),
                                announcement.attempts.end());
    }
    audit.insert(audit.end(), report.audit.begin(), report.audit.end());
    changed_.notify_all();
  }

  void GetRules(wire::RulesReply& reply, const std::int64_t) override {
    std::lock_guard lock(mutex_);
    reply.revision = rules_revision;
  }

  void GetJob(wire::GetJobReply& reply,
              const wire::GetJobRequest& request) override {
    std::lock_guard lock(mutex_);
    queries.push_back(request);
    reply.job.job_id = request.job_id.empty() ? "by-key" : request.job_id;
  }

  void GetCluster(wire::ClusterReply& reply) override {
    reply.leader_id = "c1";
  }

  void CancelJobs(wire::CancelReply& reply,
                  const std::string&,
                  const std::vector<std::string>& job_ids,
                  const std::string&) override {
    if (job_ids.front() != "none") {
      reply.jobs.emplace_back();
      reply.jobs.back().job_id = job_ids.front();
      reply.jobs.back().outcome = wire::Outcome::kCancelled;
    }
  }

  // Accepts only a publication that is based on revision 1.
  void Publish(wire::PublishReply& reply,
               const wire::PublishRequest& request,
               const std::int32_t) override {
    const bool accepted = request.publication.base_revision == 1;
    reply.status.code =
        accepted ? 0 : static_cast<int>(ResultCode::kRevisionConflict);
    reply.revision = accepted ? 2 : 1;
    reply.in_force = accepted;
    reply.winner = accepted ? "" : "ann/p1";
  }

  void Drain(wire::Status&, const wire::DrainWorker& request) override {
    std::lock_guard lock(mutex_);
    drained = request;
  }

  void ChangeMembership(wire::Status&,
                        const wire::MembershipChange& change) override {
    std::lock_guard lock(mutex_);
    membership = change;
  }

  // Adds an order to the poll replies. The caller must hold the lock.
  void AddOrder(const wire::Order& order) {
    orders_[++sequence_] = order;
    changed_.notify_all();
  }

  // Acts as a new leader: the sequence numbers of orders and updates start
  // again from 1.
  void StartSession(std::int64_t new_session) {
    std::lock_guard lock(mutex_);
    session = new_session;
    sequence_ = 0;
    orders_.clear();
    updates_.clear();
  }

  void AddUpdate(const wire::JobStatus& job) {
    std::lock_guard lock(mutex_);
    updates_[++sequence_] = job;
    changed_.notify_all();
  }

  // Adds a start order for a job that was not submitted here.
  void OrderStart(const wire::StartOrder& start) {
    std::lock_guard lock(mutex_);
    wire::Order order;
    order.__set_start(start);
    AddOrder(order);
  }

  // Waits until `condition` holds; returns false after 20 s. `condition` runs
  // under the lock and may read every public member.
  bool WaitFor(const std::function<bool()>& condition) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(20), condition);
  }

  // Runs `function` under the lock, so that it may read and change members.
  template <typename F>
  auto Locked(F function) {
    std::lock_guard lock(mutex_);
    return function();
  }

  wire::StartOrder StartOf(const wire::SubmitRequest& request) const {
    wire::StartOrder start;
    start.attempt.job_id = request.job_id;
    start.attempt.attempt = 1;
    start.fence = 7;
    start.worker = "w1";
    start.address = target_address;
    start.connections = 64;
    start.valid_ms = 2'000;
    start.kind = request.spec.kind;
    start.payload = request.spec.payload;
    start.payload_at_entry = start.kind == wire::JobKind::kInteractive;
    return start;
  }

  std::string target_address;
  int submit_code = 0;
  // How many of the next Submit calls fail with kTimeout.
  int transient_submit_errors = 0;
  // Fail calls with a transport error.
  bool break_submit_calls = false;
  bool break_report_calls = false;
  // Refuse reports with kStorageFull.
  bool refuse_reports = false;
  int refused_result_count = 0;
  // Delay replies to Submit until a result was reported.
  bool reply_after_result = false;
  std::int64_t rules_lease_ms = 3'000;
  std::int64_t rules_revision = 1;
  std::int64_t session = 1;
  std::vector<wire::KindPressure> pressure;
  std::vector<wire::SubmitRequest> submitted;
  std::vector<wire::PollRequest> polls;
  std::vector<wire::GetJobRequest> queries;
  wire::DrainWorker drained;
  wire::MembershipChange membership;
  std::vector<wire::AttemptReport> results;
  std::vector<wire::AttemptReport> announced_attempts;
  std::vector<wire::AuditRecord> audit;

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::int64_t, wire::Order> orders_;
  std::map<std::int64_t, wire::JobStatus> updates_;
  std::int64_t sequence_ = 0;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_TESTS_ENTRY_FAKE_CONTROLLER_H_
