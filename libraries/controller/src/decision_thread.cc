#include "decision_thread.h"

#include <utility>

#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

namespace {

constexpr std::size_t kRingCapacity = 65'536;
// Calls may use half of the ring, so that committed entries find space even
// when calls arrive faster than they are processed.
constexpr std::size_t kMaxQueuedEventsForCalls = kRingCapacity / 2;
constexpr std::size_t kMaxEventsPerTurn = 4'096;
constexpr std::chrono::milliseconds kMaxEventWait{20};

}  // namespace

DecisionThread::DecisionThread(CoreOptions options,
                               std::int64_t snapshot_every_entries,
                               const Clock& clock,
                               CoreEnvironment& environment,
                               MetricsRegistry& metrics)
    : clock_(clock),
      metrics_(metrics),
      snapshot_every_entries_(snapshot_every_entries),
      core_(std::move(options), environment, metrics),
      ring_(kRingCapacity) {}

DecisionThread::~DecisionThread() {
  Stop();
}

void DecisionThread::Start(consensus::Replica& replica) {
  replica_ = &replica;
  thread_ = std::thread([this] { Run(); });
}

void DecisionThread::StopServing() {
  if (!thread_.joinable()) {
    return;
  }
  StopServingEvent event;
  auto done = event.done.get_future();
  if (ring_.Push(std::move(event))) {
    done.wait();
  }
}

void DecisionThread::Stop() {
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool DecisionThread::Post(Call call) {
  return ring_.size() < kMaxQueuedEventsForCalls &&
         ring_.TryPush(CallEvent{std::move(call)});
}

void DecisionThread::Record(wire::AuditRecord record) {
  if (ring_.size() < kMaxQueuedEventsForCalls) {
    ring_.TryPush(AuditEvent{std::move(record)});
  }
}

void DecisionThread::OnCommitted(
    std::vector<consensus::CommittedEntry> entries) {
  ring_.Push(CommittedEvent{std::move(entries)});
}

void DecisionThread::OnSnapshot(std::int64_t index, std::string data) {
  ring_.Push(SnapshotEvent{index, std::move(data)});
}

void DecisionThread::OnRoleChange(const consensus::RoleChange& change) {
  ring_.Push(RoleEvent{change});
}

void DecisionThread::OnStorageFailure(const Error& error) {
  ring_.Push(StorageFailureEvent{error.message()});
}

void DecisionThread::Run() {
  std::vector<Event> events;
  while (ring_.PopMany(events, kMaxEventsPerTurn, kMaxEventWait)) {
    for (auto& event : events) {
      Process(event);
    }
    events.clear();
    core_.Advance(clock_.Now());
    Propose();
    CompactIfDue();
  }
  core_.Stop();
}

void DecisionThread::Process(Event& event) {
  struct Visitor {
    DecisionThread& thread;

    void operator()(TickEvent&) const {}
    void operator()(CommittedEvent& it) const { thread.Apply(it); }
    void operator()(SnapshotEvent& it) const {
      thread.compacted_index_ = it.index;
      thread.StopOnError(thread.core_.OnSnapshot(it.index, it.data));
    }
    void operator()(RoleEvent& it) const {
      thread.core_.OnRoleChange(it.change, thread.clock_.Now());
    }
    void operator()(StorageFailureEvent& it) const {
      Log(LogLevel::kError, "controller", "storage failed",
          {{"message", it.message}});
    }
    void operator()(ProposalDoneEvent& it) const {
      thread.core_.OnProposalDone(it.term, it.id, it.result);
    }
    void operator()(CallEvent& it) const {
      thread.core_.Handle(std::move(it.call), thread.clock_.Now());
    }
    void operator()(AuditEvent& it) const { thread.core_.Record(it.record); }
    void operator()(StopServingEvent& it) const {
      thread.core_.Stop();
      it.done.set_value();
    }
  };
  std::visit(Visitor{*this}, event);
}

void DecisionThread::Apply(const CommittedEvent& event) {
  for (const auto& entry : event.entries) {
    StopOnError(core_.OnCommitted(entry, clock_.Now()));
  }
}

void DecisionThread::StopOnError(const Result<void>& result) {
  if (result) {
    return;
  }
  // Continuing without this data would make the state differ from that of the
  // other replicas.
  Log(LogLevel::kError, "controller", "cannot decode committed data",
      {{"message", result.error().message()}});
  core_.Stop();
}

void DecisionThread::Propose() {
  const std::int64_t term = core_.leading_term();
  while (auto proposal = core_.TakeProposal()) {
    ++metrics_.Counter("proposals_total");
    replica_->Propose(
        term, wire::Encode(*proposal->batch),
        [this, term, id = proposal->id](Result<std::int64_t> result) {
          ring_.Push(ProposalDoneEvent{term, id, std::move(result)});
        });
  }
}

void DecisionThread::CompactIfDue() {
  const std::int64_t index = core_.state().index();
  if (index - compacted_index_ < snapshot_every_entries_) {
    return;
  }
  compacted_index_ = index;
  replica_->Compact(index, core_.state().Snapshot());
}

}  // namespace cranberryshunt::controller
