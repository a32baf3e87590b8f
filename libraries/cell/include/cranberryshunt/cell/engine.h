// The decision core of a controller of a cell with called workers: the
// replicated state on every member, and the leader's decisions while it leads.
// It has no threads and no clock.
#ifndef CRANBERRYSHUNT_CELL_ENGINE_H_
#define CRANBERRYSHUNT_CELL_ENGINE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/cell/calls.h"
#include "cranberryshunt/cell/worker_driver.h"
#include "cranberryshunt/consensus/replica.h"
#include "cranberryshunt/graph/graph_store.h"

namespace cranberryshunt::cell {

struct EngineOptions {
  std::string id;  // Of this member.
  // Longest lease that workers accept, and how long jobs are kept after their
  // end.
  std::chrono::milliseconds max_worker_lease{10'000};
  std::chrono::milliseconds worker_lease{5'000};
  std::chrono::milliseconds job_retention{120'000};
  // Voters of a complete cell.
  std::int64_t cell_size = 5;
};

// What the engine reads of its surroundings.
class EngineEnvironment {
 public:
  virtual ~EngineEnvironment() = default;
  virtual bool HasLease() const = 0;
  virtual wire::Membership Membership() const = 0;
  virtual std::int64_t WallMilliseconds() const = 0;
};

struct Proposal {
  std::uint64_t id = 0;
  std::string data;
};

// What is to be done after input was handled.
struct EngineOutput {
  std::vector<SentOrder> orders;
  std::vector<Proposal> proposals;
  std::optional<wire::MembershipChange> membership_change;
  // Controllers that are to carry out orders to workers from now on.
  std::optional<std::vector<std::string>> helpers;
  // Advance() is to be called again after this, also without input.
  std::chrono::milliseconds max_wait{20};
  // Advance() need not be called before this, whatever input comes.
  std::chrono::milliseconds min_wait{0};
};

class Leader;

class Engine {
 public:
  Engine(EngineOptions options,
         EngineEnvironment& environment,
         MetricsRegistry& metrics);
  ~Engine();

  // Fails with kCorrupt when the entry or the snapshot cannot be decoded.
  Result<void> OnCommitted(const consensus::CommittedEntry& entry,
                           TimePoint now);
  Result<void> OnSnapshot(std::int64_t index, const std::string& data);
  void OnRoleChange(const consensus::RoleChange& change, TimePoint now);
  void OnProposalDone(std::int64_t term,
                      std::uint64_t id,
                      const Result<std::int64_t>& result,
                      TimePoint now);
  void OnWorkerReply(OrderId id, const WorkerReply& reply, TimePoint now);

  // Answers at once with kNotLeader unless this member leads and holds the
  // lease.
  void Handle(Call call, TimePoint now);
  // Does what is due. Call after each group of inputs, and when the time has
  // passed that the last call named.
  EngineOutput Advance(TimePoint now);
  // Refuses open and further calls with kNotLeader.
  void Stop();

  const graph::GraphStore& store() const { return store_; }
  std::int64_t applied_index() const { return applied_index_; }
  // Term of the leader's proposals and orders; 0 when not leading.
  std::int64_t leading_term() const { return leader_ ? role_.term : 0; }

 private:
  void Refuse(Call& call, const Error& error) const;
  void EndLeadership(const Error& error);

  EngineOptions options_;
  EngineEnvironment& environment_;
  MetricsRegistry& metrics_;
  graph::GraphStore store_;
  std::int64_t applied_index_ = 0;
  consensus::RoleChange role_;
  std::unique_ptr<Leader> leader_;
  bool stopped_ = false;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_ENGINE_H_
