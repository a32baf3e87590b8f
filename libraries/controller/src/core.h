// The decision core of a controller. Applies committed entries to the
// replicated state and, while this controller leads, makes the scheduling
// decisions. Starts no threads and gets the time as a parameter.
#ifndef CRANBERRYSHUNT_CONTROLLER_CORE_H_
#define CRANBERRYSHUNT_CONTROLLER_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core_types.h"
#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/consensus/replica.h"
#include "cranberryshunt/state/state_machine.h"
#include "leader.h"

namespace cranberryshunt::controller {

class Core {
 public:
  Core(CoreOptions options,
       CoreEnvironment& environment,
       MetricsRegistry& metrics);

  // Fails with kCorrupt when the entry or the snapshot cannot be decoded; the
  // replica must then stop, because its state would differ from the others'.
  Result<void> OnCommitted(const consensus::CommittedEntry& entry,
                           TimePoint now);
  Result<void> OnSnapshot(std::int64_t index, const std::string& data);
  void OnRoleChange(const consensus::RoleChange& change, TimePoint now);
  void OnProposalDone(std::int64_t term,
                      std::uint64_t id,
                      const Result<std::int64_t>& result);

  // Passes `call` to the leader. Replies with not_leader at once if this
  // controller does not lead or does not hold the leader lease, and with
  // shutting_down after Stop().
  void Handle(Call call, TimePoint now);
  void Record(const wire::AuditRecord& record);
  // Runs periodic work and scheduling decisions of the leader. Call after each
  // group of inputs and at least every 50 ms.
  void Advance(TimePoint now);
  std::optional<Proposal> TakeProposal();

  // Replies with an error to all open calls and rejects later calls with
  // shutting_down.
  void Stop();

  const state::StateMachine& state() const { return state_; }
  bool is_leader() const { return leader_ != nullptr; }
  // Term in which this controller leads; 0 when it does not lead.
  std::int64_t leading_term() const { return leader_ ? role_.term : 0; }

 private:
  wire::Status NotLeaderStatus() const;
  void EndLeadership();

  CoreOptions options_;
  CoreEnvironment& environment_;
  MetricsRegistry& metrics_;
  state::StateMachine state_;
  consensus::RoleChange role_;
  std::unique_ptr<Leader> leader_;
  bool stopped_ = false;
};

// Replies to `call` with `status` and an otherwise empty reply.
void RefuseCall(Call& call, const wire::Status& status);

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_CORE_H_
