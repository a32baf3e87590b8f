// Decision core of a controller in a cell whose leader calls its workers. It
// applies committed entries to the replicated state on every member and makes
// the leader's decisions while this member leads. It has no threads and no
// clock.
#ifndef CRANBERRYSHUNT_CELL_ENGINE_H_
#define CRANBERRYSHUNT_CELL_ENGINE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/cell/calls.h"
#include "cranberryshunt/cell/worker_driver.h"
#include "cranberryshunt/consensus/replica.h"
#include "cranberryshunt/graph/graph_store.h"

namespace cranberryshunt::policy {
class FarFactors;
}  // namespace cranberryshunt::policy

namespace cranberryshunt::cell {

struct EngineOptions {
  std::string id;  // Id of this member.
  // The longest lease that workers accept.
  std::chrono::milliseconds max_worker_lease{10'000};
  std::chrono::milliseconds worker_lease{5'000};
  // How long a worker lets a member of a gang wait for the others.
  std::chrono::milliseconds gang_timeout{3'000};
  // Longest time in which a worker carries out a stop.
  std::chrono::milliseconds max_stop_time{400};
  // How long jobs are kept after their end.
  std::chrono::milliseconds job_retention{120'000};
  // How many times as long tasks run on a rack that they don't prefer. If it is
  // not above 1, tasks don't wait for the rack that they prefer.
  double far_run_factor = 1;
  // Number of voters in a complete cell.
  std::int64_t cell_size = 5;
  // Time after which a controller that was started or is back counts as whole:
  // then the cell must bear one loss more.
  std::chrono::milliseconds catch_up_time{4'000};
};

// The engine's access to the leader lease, the membership and the wall clock.
class EngineEnvironment {
 public:
  virtual ~EngineEnvironment() = default;
  // Whether this member leads in `term` and no other leader can exist now.
  virtual bool HasLease(std::int64_t term) const = 0;
  virtual consensus::MembershipStatus Members() const = 0;
  virtual std::int64_t WallMilliseconds() const = 0;
};

struct Proposal {
  std::uint64_t id = 0;
  std::string data;
};

// Actions that the caller of Advance() must carry out.
struct EngineOutput {
  std::vector<SentOrder> orders;
  std::vector<Proposal> proposals;
  std::optional<wire::MembershipChange> membership_change;
  // Controllers that relay orders to workers from now on. Without a value the
  // set stays as it is.
  std::optional<std::vector<std::string>> helpers;
  // Advance() must be called again after this time at the latest, even without
  // input.
  std::chrono::milliseconds max_wait{20};
  // Advance() need not be called before this time has passed, whatever input
  // arrives.
  std::chrono::milliseconds min_wait{0};
};

class AccessRefusals;
class AccountReport;
class Leader;
class RefusedRequests;
class RunTimes;

class Engine {
 public:
  Engine(EngineOptions options,
         EngineEnvironment& environment,
         MetricsRegistry& metrics);
  ~Engine();

  // Fails with kCorrupt if the entry or the snapshot cannot be decoded.
  Result<void> OnCommitted(const consensus::CommittedEntry& entry,
                           TimePoint now);
  Result<void> OnSnapshot(std::int64_t index, const std::string& data);
  void OnRoleChange(const consensus::RoleChange& change, TimePoint now);
  void OnProposalDone(std::int64_t term,
                      std::uint64_t id,
                      const Result<std::int64_t>& result,
                      TimePoint now);
  void OnWorkerReply(OrderId id, const WorkerReply& reply, TimePoint now);

  // Replies at once with kNotLeader unless this member leads and holds the
  // lease.
  void Handle(Call call, TimePoint now);
  // Answers a question for the state of a job from the committed state, and
  // refuses any call with a wrong key. Returns nothing if the call needs a
  // decision: Handle() answers it then. Unlike the other functions, this one is
  // safe for use by other threads, so that the most frequent calls and a flood
  // of unknown keys don't wait for a turn of the decision thread.
  std::optional<wire::GraphReply> ReadJob(
      const wire::GraphRequest& request) const;
  // Performs the work that is due. Must be called after each group of inputs,
  // and once the `max_wait` of the last output has passed.
  EngineOutput Advance(TimePoint now);
  // Rejects open and further calls with kNotLeader.
  void Stop();

  const graph::GraphStore& store() const { return store_; }
  std::int64_t applied_index() const { return applied_index_; }
  // Term of this leader's proposals and orders; 0 if this member does not lead.
  std::int64_t leading_term() const { return leader_ ? role_.term : 0; }

 private:
  void Refuse(Call& call, const Error& error) const;
  // Refuses an attempt to submit a request that was refused before, and returns
  // true. Otherwise remembers the refusal that the attempt may get.
  bool RefuseLateAttempt(GraphCall& call, TimePoint now);
  // Learns from the runs that end with this batch, which is applied next.
  void RecordRunTimes(const wire::GraphBatch& batch);
  void EndLeadership(const Error& error);
  // Records since when the registered workers are known.
  void RecordRegistrations(TimePoint now);

  EngineOptions options_;
  EngineEnvironment& environment_;
  MetricsRegistry& metrics_;
  graph::GraphStore store_;
  // Locked for changes of the store, and by other threads that read it.
  mutable std::shared_mutex store_mutex_;
  // RoutingTable::checks_keys of the store, which can be read without the lock.
  std::atomic<bool> checks_keys_ = false;
  // The term of this leader, once the store has all entries of earlier terms; 0
  // if this member does not lead.
  std::atomic<std::int64_t> serving_term_ = 0;
  std::int64_t applied_index_ = 0;
  // Local time in milliseconds at which each registration was applied, or later
  // after a snapshot. Hosts disagree on the time of day, so a new leader tells
  // by it how long a worker's incarnation has been known.
  std::map<graph::WorkerNumber, std::int64_t> registered_ms_;
  // Learned on every member, so that a new leader knows them.
  std::unique_ptr<RunTimes> run_times_;
  std::unique_ptr<policy::FarFactors> far_factors_;
  std::unique_ptr<RefusedRequests> refused_requests_;
  std::unique_ptr<AccessRefusals> access_refusals_;
  std::unique_ptr<AccountReport> account_report_;
  // Term of the last applied entry, and the time of the first batch of it. The
  // time of the batches stands still while there is no leader.
  std::int64_t applied_term_ = 0;
  std::int64_t applied_term_began_ms_ = 0;
  consensus::RoleChange role_;
  std::unique_ptr<Leader> leader_;
  bool stopped_ = false;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_ENGINE_H_
