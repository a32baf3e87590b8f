// The thread that runs the decision core.
#ifndef CRANBERRYSHUNT_CONTROLLER_DECISION_THREAD_H_
#define CRANBERRYSHUNT_CONTROLLER_DECISION_THREAD_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "core.h"
#include "cranberryshunt/base/bounded_ring.h"
#include "cranberryshunt/consensus/replica.h"

namespace cranberryshunt::controller {

struct TickEvent {};
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
};
struct AuditEvent {
  wire::AuditRecord record;
};
struct StopServingEvent {
  std::promise<void> done;
};

using Event = std::variant<TickEvent,
                           CommittedEvent,
                           SnapshotEvent,
                           RoleEvent,
                           StorageFailureEvent,
                           ProposalDoneEvent,
                           CallEvent,
                           AuditEvent,
                           StopServingEvent>;

class DecisionThread final : public consensus::ReplicaObserver {
 public:
  DecisionThread(CoreOptions options,
                 std::int64_t snapshot_every_entries,
                 const Clock& clock,
                 CoreEnvironment& environment,
                 MetricsRegistry& metrics);
  ~DecisionThread() override;

  // Starts the thread, which processes events. `replica` must remain valid
  // until Stop() returns.
  void Start(consensus::Replica& replica);
  // Replies with an error to open calls and rejects later calls with
  // shutting_down.
  void StopServing();
  // Processes the queued events, replies with an error to open calls and joins
  // the thread.
  void Stop();

  // Queues `call`. Returns false and does not queue it if too many events are
  // queued.
  bool Post(Call call);
  // Queues an audit record. Discards it if too many events are queued.
  void Record(wire::AuditRecord record);

  void OnCommitted(std::vector<consensus::CommittedEntry> entries) override;
  void OnSnapshot(std::int64_t index, std::string data) override;
  void OnRoleChange(const consensus::RoleChange& change) override;
  void OnStorageFailure(const Error& error) override;

 private:
  void Run();
  void Process(Event& event);
  void Apply(const CommittedEvent& event);
  void StopOnError(const Result<void>& result);
  void Propose();
  void CompactIfDue();

  const Clock& clock_;
  MetricsRegistry& metrics_;
  std::int64_t snapshot_every_entries_;
  std::int64_t compacted_index_ = 0;
  Core core_;
  BoundedRing<Event> ring_;
  consensus::Replica* replica_ = nullptr;
  std::thread thread_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_DECISION_THREAD_H_
