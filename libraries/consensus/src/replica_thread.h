// The consensus thread, which runs the Raft state machine of a replica.
#ifndef CRANBERRYSHUNT_CONSENSUS_REPLICA_THREAD_H_
#define CRANBERRYSHUNT_CONSENSUS_REPLICA_THREAD_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "cranberryshunt/base/bounded_ring.h"
#include "cranberryshunt/consensus/raft.h"
#include "cranberryshunt/consensus/replica.h"
#include "replica_storage.h"

namespace cranberryshunt::consensus {

struct Proposal {
  std::int64_t term = 0;
  std::string data;
  Replica::ProposalCallback callback;
};

struct ChangeRequest {
  wire::MembershipChange change;
  Replica::ProposalCallback callback;
};

struct TransferRequest {
  std::int64_t timeout_ms = 0;
};

struct CompactRequest {
  std::int64_t index = 0;
  std::string snapshot;
};

// The snapshot thread has stored a snapshot or failed to store it.
struct SnapshotWritten {
  std::shared_ptr<const SnapshotState> snapshot;
  Result<void> result;
};

using Messages = std::vector<wire::RaftMessage>;
using QueueItem = std::variant<std::monostate,
                               Messages,
                               Proposal,
                               ChangeRequest,
                               TransferRequest,
                               CompactRequest,
                               SnapshotWritten>;

class ReplicaThread {
 public:
  ReplicaThread(const ReplicaOptions& options,
                std::unique_ptr<ReplicaStorage> storage,
                const Clock& clock,
                PeerTransport& transport,
                ReplicaObserver& observer);
  ~ReplicaThread();

  void Propose(Proposal proposal);
  // Returns false and leaves `item` unchanged when the queue is full or closed.
  bool Post(QueueItem&& item) { return queue_.TryPush(std::move(item)); }

  bool HasLease() const;
  bool HasLease(std::int64_t term) const;
  RoleChange role() const;
  wire::Membership membership() const;
  MembershipStatus membership_status() const;
  ReplicaStats stats() const;
  const std::string& disk_identity() const { return disk_identity_; }
  bool WaitForOtherLeader(std::chrono::milliseconds timeout) const;

 private:
  struct PendingProposal {
    std::int64_t term = 0;
    std::size_t bytes = 0;
    bool counted = false;  // Counts towards the limits of open proposals.
    Replica::ProposalCallback callback;
  };

  void Run();
  void StartRaft(std::int64_t applied);
  void Handle(QueueItem& item);
  void HandleProposal(Proposal& proposal);
  void HandleChange(ChangeRequest& request);
  void HandleCompact(CompactRequest& request);
  void HandleSnapshotWritten(SnapshotWritten& written);
  void WriteSnapshots();
  void Flush();
  bool FlushOnce();
  void Deliver();
  void FinishProposal(PendingProposal& pending, Result<std::int64_t> result);
  void FailStaleProposals();
  void FailAllProposals(const Error& error);
  void HandleStorageFailure(const Error& error, const RaftOutput* unwritten);
  void Refuse(QueueItem& item, const Error& error);
  void TryRecover();
  void PublishStatus();
  void LogMembership() const;
  void PublishRole();
  void SetRole(const RoleChange& change);
  std::int64_t NowMs() const;

  const ReplicaOptions options_;
  const std::unique_ptr<ReplicaStorage> storage_;
  const Clock& clock_;
  PeerTransport& transport_;
  ReplicaObserver& observer_;
  const std::string disk_identity_;
  BoundedRing<QueueItem> queue_;
  std::atomic<std::size_t> open_proposals_ = 0;
  std::atomic<std::size_t> open_proposal_bytes_ = 0;
  // Term of `lease_until_us_`. Changes only while `lease_until_us_` is 0.
  std::atomic<std::int64_t> lease_term_ = 0;
  std::atomic<std::int64_t> lease_until_us_ = 0;

  // Used only on the consensus thread.
  std::optional<Raft> raft_;
  std::map<std::int64_t, PendingProposal> pending_;
  std::optional<Error> failure_;
  TimePoint next_recovery_{};
  bool writing_snapshot_ = false;
  wire::Membership known_members_;

  mutable std::mutex mutex_;
  mutable std::condition_variable role_changed_;
  RoleChange role_;
  MembershipStatus membership_;
  ReplicaStats stats_;

  std::atomic<bool> stopping_ = false;
  // Syncing a large snapshot takes longer than an election timeout, so
  // snapshots are written on a separate thread.
  BoundedRing<std::shared_ptr<const SnapshotState>> snapshots_to_write_{1};
  std::thread snapshot_thread_;
  std::thread thread_;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_CONSENSUS_REPLICA_THREAD_H_
