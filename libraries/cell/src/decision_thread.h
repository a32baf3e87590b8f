// Thread that owns the engine of a controller and processes its events.
#ifndef CRANBERRYSHUNT_CELL_DECISION_THREAD_H_
#define CRANBERRYSHUNT_CELL_DECISION_THREAD_H_

#include <cstdint>
#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "cranberryshunt/base/bounded_ring.h"
#include "cranberryshunt/cell/engine.h"
#include "cranberryshunt/consensus/replica.h"
#include "relay.h"
#include "snapshot_schedule.h"

namespace cranberryshunt::cell {

struct WakeEvent {};
struct CommittedEvent {
  std::vector<consensus::CommittedEntry> entries;
};
struct SnapshotEvent {
  std::int64_t index = 0;
  std::string data;
};
struct RoleEvent {
  consensus::RoleChange change;
};
struct StorageFailureEvent {
  std::string message;
};
struct ProposalDoneEvent {
  std::int64_t term = 0;
  std::uint64_t id = 0;
  Result<std::int64_t> result;
};
struct CallEvent {
  Call call;
  TimePoint queued_at{};
};
struct WorkerReplyEvent {
  OrderId id = 0;
  WorkerReply reply;
};
struct StopServingEvent {
  std::promise<void> done;
};

using Event = std::variant<WakeEvent,
                           CommittedEvent,
                           SnapshotEvent,
                           RoleEvent,
                           StorageFailureEvent,
                           ProposalDoneEvent,
                           CallEvent,
                           WorkerReplyEvent,
                           StopServingEvent>;

// What the decision thread has done since the last call of TakeCounts().
struct DecisionCounts {
  std::int64_t turns = 0;
  std::int64_t calls = 0;
  std::int64_t other_events = 0;
  // The longest time that a call has waited in the queue, and the longest turn.
  Duration longest_wait{0};
  Duration longest_turn{0};
};

class DecisionThread final : public consensus::ReplicaObserver {
 public:
  DecisionThread(EngineOptions options,
                 std::int64_t snapshot_every_entries,
                 const Clock& clock,
                 EngineEnvironment& host,
                 MetricsRegistry& metrics);
  ~DecisionThread() override;

  // Starts to process events. `replica` and `relay` must stay valid until
  // Stop() returns.
  void Start(consensus::Replica& replica, Relay& relay);
  // Fails open calls and refuses further ones.
  void StopServing();
  void Stop();

  // Queues a call. Returns false, without queuing the call, if too many events
  // are queued.
  bool Post(Call call);
  // See Engine::ReadJob().
  std::optional<wire::GraphReply> ReadJob(
      const wire::GraphRequest& request) const {
    return engine_.ReadJob(request);
  }
  void OnWorkerReply(OrderId id, WorkerReply reply);
  DecisionCounts TakeCounts();

  void OnCommitted(std::vector<consensus::CommittedEntry> entries) override;
  void OnSnapshot(std::int64_t index, std::string data) override;
  void OnRoleChange(const consensus::RoleChange& change) override;
  void OnStorageFailure(const Error& error) override;

 private:
  void Run();
  void Process(Event& event);
  void CountTurn(const std::vector<Event>& events,
                 TimePoint popped_at,
                 TimePoint done_at);
  void StopOnApplyError(const Result<void>& result);
  void Execute(EngineOutput out);
  void CompactIfDue();

  const Clock& clock_;
  SnapshotSchedule snapshot_schedule_;
  Engine engine_;
  BoundedRing<Event> events_;
  consensus::Replica* replica_ = nullptr;
  Relay* relay_ = nullptr;
  std::mutex counts_mutex_;
  DecisionCounts counts_;
  std::thread thread_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_DECISION_THREAD_H_
