#include "decision_thread.h"

#include <algorithm>
#include <utility>

#include "cranberryshunt/base/log.h"

namespace cranberryshunt::cell {

namespace {

constexpr std::size_t kQueueCapacity = 16'384;
// Calls are refused when the queue is half full, so that a flood of calls
// never keeps committed entries out.
constexpr std::size_t kMaxQueuedEventsForCalls = kQueueCapacity / 2;
constexpr std::size_t kMaxEventsPerTurn = 2'048;

}  // namespace

DecisionThread::DecisionThread(EngineOptions options,
                               std::int64_t snapshot_every_entries,
                               const Clock& clock,
                               EngineEnvironment& host,
                               MetricsRegistry& metrics)
    : clock_(clock),
      snapshot_schedule_(snapshot_every_entries),
      engine_(std::move(options), host, metrics),
      events_(kQueueCapacity) {}

DecisionThread::~DecisionThread() {
  Stop();
}

void DecisionThread::Start(consensus::Replica& replica, Relay& relay) {
  replica_ = &replica;
  relay_ = &relay;
  thread_ = std::thread([this] { Run(); });
}

void DecisionThread::StopServing() {
  if (!thread_.joinable()) {
    return;
  }
  StopServingEvent event;
  auto done = event.done.get_future();
  if (events_.Push(std::move(event))) {
    done.wait();
  }
}

void DecisionThread::Stop() {
  events_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool DecisionThread::Post(Call call) {
  return events_.size() < kMaxQueuedEventsForCalls &&
         events_.TryPush(CallEvent{std::move(call), clock_.Now()});
}

void DecisionThread::OnWorkerReply(OrderId id, WorkerReply reply) {
  events_.Push(WorkerReplyEvent{id, std::move(reply)});
}

void DecisionThread::OnCommitted(
    std::vector<consensus::CommittedEntry> entries) {
  events_.Push(CommittedEvent{std::move(entries)});
}

void DecisionThread::OnSnapshot(std::int64_t index, std::string data) {
  events_.Push(SnapshotEvent{index, std::move(data)});
}

void DecisionThread::OnRoleChange(const consensus::RoleChange& change) {
  events_.Push(RoleEvent{change});
}

void DecisionThread::OnStorageFailure(const Error& error) {
  events_.Push(StorageFailureEvent{error.message()});
}

void DecisionThread::Run() {
  std::vector<Event> events;
  std::chrono::milliseconds idle{0};
  for (;;) {
    if (!events_.PopMany(events, kMaxEventsPerTurn, idle)) {
      break;
    }
    const auto popped_at = clock_.Now();
    for (auto& event : events) {
      Process(event);
    }
    auto out = engine_.Advance(clock_.Now());
    idle = out.max_wait;
    const auto turn = out.min_wait;
    Execute(std::move(out));
    CompactIfDue();
    CountTurn(events, popped_at, clock_.Now());
    events.clear();
    if (turn.count() > 0) {
      // Events that arrive meanwhile are processed in one turn.
      std::this_thread::sleep_for(turn);
    }
  }
  engine_.Stop();
}

void DecisionThread::CountTurn(const std::vector<Event>& events,
                               TimePoint popped_at,
                               TimePoint done_at) {
  std::int64_t calls = 0;
  Duration longest_wait{0};
  for (const auto& it : events) {
    if (const auto* call = std::get_if<CallEvent>(&it)) {
      ++calls;
      longest_wait = std::max(longest_wait, popped_at - call->queued_at);
    }
  }
  const std::lock_guard lock(counts_mutex_);
  ++counts_.turns;
  counts_.calls += calls;
  counts_.other_events += static_cast<std::int64_t>(events.size()) - calls;
  counts_.longest_wait = std::max(counts_.longest_wait, longest_wait);
  counts_.longest_turn = std::max(counts_.longest_turn, done_at - popped_at);
}

DecisionCounts DecisionThread::TakeCounts() {
  const std::lock_guard lock(counts_mutex_);
  return std::exchange(counts_, {});
}

void DecisionThread::Process(Event& event) {
  struct Visitor {
    DecisionThread& thread;

    void operator()(WakeEvent&) const {}
    void operator()(CommittedEvent& it) const {
      for (const auto& entry : it.entries) {
        thread.StopOnApplyError(
            thread.engine_.OnCommitted(entry, thread.clock_.Now()));
        thread.snapshot_schedule_.OnApplied(entry.index, entry.data.size());
      }
    }
    void operator()(SnapshotEvent& it) const {
      thread.snapshot_schedule_.OnSnapshot(it.index, it.data.size());
      thread.StopOnApplyError(thread.engine_.OnSnapshot(it.index, it.data));
    }
    void operator()(RoleEvent& it) const {
      thread.engine_.OnRoleChange(it.change, thread.clock_.Now());
    }
    void operator()(StorageFailureEvent& it) const {
      Log(LogLevel::kError, "cell", "data folder failed",
          {{"message", it.message}});
    }
    void operator()(ProposalDoneEvent& it) const {
      thread.engine_.OnProposalDone(it.term, it.id, it.result,
                                    thread.clock_.Now());
    }
    void operator()(CallEvent& it) const {
      thread.engine_.Handle(std::move(it.call), thread.clock_.Now());
    }
    void operator()(WorkerReplyEvent& it) const {
      thread.engine_.OnWorkerReply(it.id, it.reply, thread.clock_.Now());
    }
    void operator()(StopServingEvent& it) const {
      thread.engine_.Stop();
      it.done.set_value();
    }
  };
  std::visit(Visitor{*this}, event);
}

void DecisionThread::StopOnApplyError(const Result<void>& result) {
  if (result) {
    return;
  }
  // Continuing without this entry would make the states of the replicas
  // diverge.
  Log(LogLevel::kError, "cell", "committed data is not readable",
      {{"message", result.error().message()}});
  engine_.Stop();
}

void DecisionThread::Execute(EngineOutput out) {
  const std::int64_t term = engine_.leading_term();
  for (auto& it : out.proposals) {
    replica_->Propose(
        term, std::move(it.data),
        [this, term, id = it.id](Result<std::int64_t> result) {
          events_.Push(ProposalDoneEvent{term, id, std::move(result)});
        });
  }
  // Set the helpers before sending orders, because the first batch of a new
  // leader is its largest.
  if (out.helpers) {
    relay_->SetHelpers(std::move(*out.helpers));
  }
  if (!out.orders.empty()) {
    relay_->Send(std::move(out.orders));
  }
  if (out.membership_change) {
    const auto& change = *out.membership_change;
    Log(LogLevel::kInfo, "cell", "membership is being changed",
        {{"member", change.member.id},
         {"remove", change.remove ? "yes" : "no"},
         {"voter", change.member.voter ? "yes" : "no"}});
    replica_->ChangeMembership(change, [](const Result<std::int64_t>& result) {
      if (!result) {
        Log(LogLevel::kInfo, "cell", "membership was not changed",
            {{"error", result.error().message()}});
      }
    });
  }
}

void DecisionThread::CompactIfDue() {
  if (!snapshot_schedule_.IsDue()) {
    return;
  }
  const std::int64_t index = engine_.applied_index();
  auto snapshot = engine_.store().Snapshot();
  snapshot_schedule_.OnSnapshot(index, snapshot.size());
  Log(LogLevel::kInfo, "cell", "snapshot taken",
      {{"index", index}, {"bytes", snapshot.size()}});
  replica_->Compact(index, std::move(snapshot));
}

}  // namespace cranberryshunt::cell
