// Test harness that drives a decision core with a manual clock and stands in
// for the replica, the entries and the workers.
#ifndef CRANBERRYSHUNT_TESTS_CONTROLLER_CORE_HARNESS_H_
#define CRANBERRYSHUNT_TESTS_CONTROLLER_CORE_HARNESS_H_

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core.h"
#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeHost final : public CoreEnvironment {
 public:
  bool HasLease(std::int64_t /*term*/) const override { return lease; }
  ReplicationStatus ReadReplicationStatus() const override { return {}; }
  std::int64_t WallMilliseconds() const override {
    return 1'700'000'000'000 + ToMilliseconds(clock.Now().time_since_epoch());
  }

  ManualClock clock;
  bool lease = true;
};

// Committed log entries. They outlive a core, so that another core can take
// over as leader.
struct SharedLog {
  std::vector<consensus::CommittedEntry> entries;
};

class Harness {
 public:
  Harness(FakeHost& shared_host, SharedLog& shared_log, std::string id)
      : host(shared_host), log(shared_log) {
    CoreOptions options;
    options.id = std::move(id);
    core = std::make_unique<Core>(options, host, metrics);
  }

  // Applies the log entries that are missing and makes the core the leader.
  void BecomeLeader(std::int64_t term) {
    while (applied < log.entries.size()) {
      Deliver(log.entries[applied]);
    }
    core->OnRoleChange({consensus::Role::kLeader, term, "self", "self:1"},
                       host.clock.Now());
    RunUntilIdle();
  }

  // Advances the core and, unless `hold_commits` is set, commits its proposals
  // until it makes no more, for at most 20 rounds.
  void RunUntilIdle() {
    for (int round = 0; round < 20; ++round) {
      core->Advance(host.clock.Now());
      bool progress = false;
      while (auto proposal = core->TakeProposal()) {
        pending_proposals.push_back(*proposal);
        progress = true;
      }
      if (hold_commits || !progress) {
        return;
      }
      Commit();
    }
  }

  // Commits the pending proposals.
  void Commit() {
    while (!pending_proposals.empty()) {
      const Proposal proposal = pending_proposals.front();
      pending_proposals.pop_front();
      const auto index = static_cast<std::int64_t>(log.entries.size()) + 1;
      log.entries.push_back(
          {index, core->leading_term(), wire::Encode(*proposal.batch)});
      Deliver(log.entries.back());
      core->OnProposalDone(core->leading_term(), proposal.id, index);
    }
  }

  // Fails the pending proposals with `code`.
  void FailProposals(ResultCode code) {
    while (!pending_proposals.empty()) {
      const Proposal proposal = pending_proposals.front();
      pending_proposals.pop_front();
      core->OnProposalDone(core->leading_term(), proposal.id,
                           Fail(code, "failed by the test"));
    }
  }

  // Advances the clock in steps. After each step, every entry and worker that
  // is up polls or announces itself.
  void Run(Duration duration, Duration step = milliseconds(100)) {
    for (Duration done{}; done < duration; done += step) {
      host.clock.Advance(step);
      PollAndAnnounce();
    }
  }

  void PollAndAnnounce() {
    for (const auto& [id, up] : entries_up) {
      if (up) {
        Poll(id);
      }
    }
    for (const auto& [id, worker] : workers) {
      if (worker.up) {
        Announce(id);
      }
    }
    RunUntilIdle();
  }

  struct FakeWorker {
    std::string incarnation = "i1";
    bool up = true;
    bool leaving = false;
    std::map<std::string, wire::AttemptReport> attempts;
  };

  wire::AnnouncementReply Announce(const std::string& id,
                                   const std::string& entry = "e1") {
    const FakeWorker& worker = workers[id];
    wire::WorkerAnnouncement announcement;
    announcement.worker.identity = id;
    announcement.worker.incarnation = worker.incarnation;
    announcement.worker.address = "127.0.0.1:1";
    announcement.worker.region = "r1";
    announcement.worker.availability_zone = "r1-a";
    announcement.worker.leaving = worker.leaving;
    announcement.worker.capacity.milli_cpus = 4'000;
    announcement.worker.capacity.memory_bytes = 1 << 30;
    announcement.worker.capacity.slots = 8;
    announcement.worker.connections = 64;
    announcement.clock_ms = ToMilliseconds(host.clock.Now().time_since_epoch());
    for (const auto& [key, report] : worker.attempts) {
      announcement.attempts.push_back(report);
    }
    wire::EntryReport report;
    report.entry_id = entry;
    report.announcements.push_back(announcement);
    return Report(report)->announcements.at(0);
  }

  std::shared_ptr<wire::ReportReply> Report(const wire::EntryReport& report) {
    auto reply = std::make_shared<wire::ReportReply>();
    Handle(ReportCall{report, Store(reply)});
    return reply;
  }

  // Reports the state of one attempt as a result from entry e1.
  std::shared_ptr<wire::ReportReply> Result(const wire::AttemptKey& attempt,
                                            wire::AttemptState::type state,
                                            const std::string& answer = {},
                                            bool looked_up = false) {
    wire::AttemptReport result;
    result.attempt = attempt;
    result.state = state;
    result.looked_up = looked_up;
    result.answer.bytes = answer;
    result.answer.length = static_cast<std::int64_t>(answer.size());
    result.answer.crc32 = Crc32(answer);
    result.answer.stored = !answer.empty();
    wire::EntryReport report;
    report.entry_id = "e1";
    report.results.push_back(result);
    return Report(report);
  }

  // Polls as the entry and stores the orders and updates in the reply. The next
  // poll acknowledges them.
  void Poll(const std::string& id) {
    wire::PollRequest request;
    request.entry_id = id;
    request.incarnation = incarnations[id];
    request.region = "r1";
    request.rules_revision = revisions[id];
    request.order_ack = order_acks[id];
    request.update_ack = update_acks[id];
    request.session = core->leading_term();
    auto reply = std::make_shared<wire::PollReply>();
    Handle(PollCall{request, Store(reply)});
    rules_lease_ms[id] = reply->rules_lease_ms;
    for (const auto& order : reply->orders) {
      order_acks[id] = order.sequence;
      orders.push_back({id, order.order});
    }
    for (const auto& update : reply->updates) {
      update_acks[id] = update.sequence;
      updates.push_back(update.job);
    }
  }

  // Submits a job. The code of the reply is -1 until the core replies.
  std::shared_ptr<wire::SubmitReply> Submit(
      const wire::SubmitRequest& request) {
    auto reply = std::make_shared<wire::SubmitReply>();
    reply->status.code = -1;
    Handle(SubmitCall{request, Store(reply)});
    return reply;
  }

  wire::JobStatus Job(const std::string& job_id) {
    wire::GetJobRequest request;
    request.job_id = job_id;
    auto reply = std::make_shared<wire::GetJobReply>();
    Handle(GetJobCall{request, Store(reply)});
    return reply->job;
  }

  std::shared_ptr<wire::PublishReply> Publish(const std::string& id,
                                              std::int64_t base,
                                              const std::string& content,
                                              milliseconds wait) {
    wire::PublishRequest request;
    request.publication.publication_id = id;
    request.publication.base_revision = base;
    request.publication.operator_name = "operator of " + id;
    request.publication.files.resize(1);
    request.publication.files[0].path = "a.rules.yaml";
    request.publication.files[0].content = content;
    auto reply = std::make_shared<wire::PublishReply>();
    reply->status.code = -1;
    Handle(PublishCall{request, wait, Store(reply)});
    return reply;
  }

  void Handle(Call call) {
    core->Handle(std::move(call), host.clock.Now());
    RunUntilIdle();
  }

  template <typename T>
  static Reply<T> Store(std::shared_ptr<T> target) {
    return [target](T value) { *target = std::move(value); };
  }

  // Return the orders of one type that entries have received, oldest first.
  std::vector<wire::StartOrder> Starts() const {
    std::vector<wire::StartOrder> starts;
    for (const auto& [entry, order] : orders) {
      if (order.__isset.start) {
        starts.push_back(order.start);
      }
    }
    return starts;
  }
  std::vector<wire::LookupOrder> Lookups() const {
    std::vector<wire::LookupOrder> lookups;
    for (const auto& [entry, order] : orders) {
      if (order.__isset.lookup) {
        lookups.push_back(order.lookup);
      }
    }
    return lookups;
  }

  FakeHost& host;
  SharedLog& log;
  MetricsRegistry metrics;
  std::unique_ptr<Core> core;
  bool hold_commits = false;
  std::deque<Proposal> pending_proposals;
  std::size_t applied = 0;
  std::map<std::string, bool> entries_up;
  std::map<std::string, std::string> incarnations;
  std::map<std::string, std::int64_t> revisions;
  std::map<std::string, std::int64_t> rules_lease_ms;
  std::map<std::string, std::int64_t> order_acks;
  std::map<std::string, std::int64_t> update_acks;
  std::map<std::string, FakeWorker> workers;
  std::vector<std::pair<std::string, wire::Order>> orders;
  std::vector<wire::JobStatus> updates;

 private:
  void Deliver(const consensus::CommittedEntry& entry) {
    ++applied;
    cr_assert(core->OnCommitted(entry, host.clock.Now()).has_value());
  }
};

inline wire::SubmitRequest MakeSubmit(const std::string& job_id,
                                      wire::JobKind::type kind) {
  wire::SubmitRequest request;
  request.entry_id = "e1";
  request.region = "r1";
  request.job_id = job_id;
  request.watch = true;
  request.spec.team = "team";
  request.spec.kind = kind;
  request.spec.task_count = 1;
  request.spec.task_resources.milli_cpus = 1'000;
  request.spec.task_resources.memory_bytes = 1 << 20;
  request.spec.task_resources.slots = 1;
  request.spec.idempotent = true;
  if (kind != wire::JobKind::kInteractive) {
    request.spec.payload = "payload of " + job_id;
  }
  return request;
}

// One controller that leads in term 1, with two entries and two workers.
struct Cell {
  Cell() : harness(std::make_unique<Harness>(host, log, "c1")) {
    harness->entries_up = {{"e1", true}, {"e2", true}};
    harness->workers["w1"];
    harness->workers["w2"];
    harness->BecomeLeader(1);
    harness->PollAndAnnounce();
  }

  // Replaces the leader by another controller, with the same entries and
  // workers.
  void ChangeLeader(std::int64_t term) {
    auto next = std::make_unique<Harness>(host, log, "c2");
    next->entries_up = harness->entries_up;
    next->workers = harness->workers;
    next->revisions = harness->revisions;
    harness = std::move(next);
    harness->BecomeLeader(term);
  }

  FakeHost host;
  SharedLog log;
  std::unique_ptr<Harness> harness;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_TESTS_CONTROLLER_CORE_HARNESS_H_
