// A replica of the log, with its storage and its consensus thread.
#ifndef CRANBERRYSHUNT_CONSENSUS_REPLICA_H_
#define CRANBERRYSHUNT_CONSENSUS_REPLICA_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/base/result.h"
#include "cranberryshunt/consensus/raft.h"
#include "wire_types.h"

namespace cranberryshunt::storage {
class FileSystem;
}

namespace cranberryshunt::consensus {

struct RoleChange {
  Role role = Role::kFollower;
  std::int64_t term = 0;
  std::string leader_id;       // Empty when unknown.
  std::string leader_address;  // "ip:port"; empty when unknown.

  bool operator==(const RoleChange&) const = default;
};

struct MembershipStatus {
  wire::Membership membership;
  bool committed = false;
  // The leader's contacts to the other members; empty on other replicas.
  std::vector<MemberContact> contacts;
};

struct CommittedEntry {
  std::int64_t index = 0;
  std::int64_t term = 0;
  std::string data;

  bool operator==(const CommittedEntry&) const = default;
};

// Receives events in order on the consensus thread. Calls must not block for
// long; an observer usually pushes the event to a queue.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;

  // Delivers committed commands. Membership entries and empty entries are not
  // delivered, so the indexes have gaps. After a restart, delivery starts after
  // the snapshot.
  virtual void OnCommitted(std::vector<CommittedEntry> entries) = 0;
  // Replaces the state by a snapshot that covers the log up to and including
  // `index`. Also called at startup when the data folder has a snapshot.
  virtual void OnSnapshot(std::int64_t index, std::string data) = 0;
  // Reports a new role, term or leader. A replica that was elected is reported
  // as leader only after an entry of its own term was committed, so that its
  // state is complete.
  virtual void OnRoleChange(const RoleChange& change) = 0;
  // Reports that access to the data folder failed. The replica has stopped
  // voting and proposing. After kStorageFull it resumes by itself once there is
  // free space again, which a later OnRoleChange() reports. Other failures need
  // a restart.
  virtual void OnStorageFailure(const Error& error) = 0;
};

// Sends messages to peers without blocking. Messages may be lost, repeated or
// reordered.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  virtual void Send(std::vector<wire::RaftMessage> messages) = 0;
  // Sets the current members and their addresses.
  virtual void SetMembers(const wire::Membership& membership) = 0;
  // Returns the total size of the messages that were handed to the network.
  virtual std::int64_t bytes_sent() const { return 0; }
};

struct ReplicaOptions {
  std::string id;
  std::string address;  // "ip:port" of this controller's Thrift server.
  std::string data_directory;
  // Used only when `bootstrap` is true and the data folder is empty, to start a
  // new cluster. With an empty folder and without `bootstrap`, the replica
  // becomes a learner that waits to be added.
  wire::Membership initial_members;
  bool bootstrap = false;
  std::chrono::milliseconds heartbeat_interval{50};
  // An election starts after a random time between one and two election
  // timeouts. The leader lease is 10% shorter than the election timeout to
  // allow for clock drift.
  std::chrono::milliseconds election_timeout{500};
  std::size_t max_batch_bytes = 1 << 20;
  std::size_t max_proposals_in_flight = 16'384;
  std::size_t max_proposal_bytes_in_flight = 64 << 20;
  // Limit of the queue items (such as proposals and messages) that are handled
  // before one sync.
  std::size_t max_batch_items = 4'096;
};

struct ReplicaStats {
  std::int64_t term = 0;
  std::int64_t commit_index = 0;
  std::int64_t last_index = 0;
  std::int64_t first_index = 0;
  std::int64_t syncs = 0;
  std::int64_t bytes_sent = 0;
};

class Replica {
 public:
  // Called once with the index of the entry, or with an error. On success it is
  // called on the consensus thread after OnCommitted() of the entry. After
  // kTimeout, kNotLeader, kIoError or kShuttingDown the entry may still be
  // committed later; after kStorageFull or kQueueFull it is never committed.
  // Errors are reported on the consensus thread too, with two exceptions that
  // are reported on the calling thread: kQueueFull, and kShuttingDown once the
  // consensus thread has ended.
  using ProposalCallback = std::function<void(Result<std::int64_t>)>;

  // Opens the data folder and starts the consensus thread. Fails with kCorrupt,
  // kWrongIdentity or kIoError and a message that names the file.
  static Result<std::unique_ptr<Replica>> Start(
      const ReplicaOptions& options,
      storage::FileSystem& file_system,
      const Clock& clock,
      PeerTransport& transport,
      ReplicaObserver& observer);
  // Stops the consensus thread. Open proposals fail with kShuttingDown.
  ~Replica();

  // Queues messages from peers for the consensus thread. They are dropped if
  // the queue is full.
  void Receive(std::vector<wire::RaftMessage> messages);
  // Proposes an entry that was decided on as the leader of `term`. In any other
  // term it fails with kNotLeader and is never committed, because other leaders
  // may have committed entries that the decision did not know.
  void Propose(std::int64_t term, std::string data, ProposalCallback callback);

  // Returns whether this replica is the leader and currently holds a lease, so
  // that no other leader can exist. May be called on any thread.
  bool HasLease() const;
  // The same for the leader of this term. Code that is behind the role changes
  // of this replica must not take the lease of a later term for its own.
  bool HasLease(std::int64_t term) const;
  RoleChange role() const;
  wire::Membership membership() const;
  MembershipStatus membership_status() const;
  std::string disk_identity() const;
  ReplicaStats stats() const;

  // Adds a member as a learner, requests the promotion of a learner
  // (`member.voter`) or removes a member. The leader promotes a learner with a
  // requested promotion once it has caught up. An empty disk identity is filled
  // in at the first contact. The result is 0 when there was nothing to change.
  // The leader cannot remove itself; transfer leadership first.
  //
  // A member whose disk was replaced needs no call. When the old disk has not
  // acknowledged anything for an election timeout, the leader makes the member
  // a learner with the new disk identity. A former voter is promoted again once
  // it has caught up.
  void ChangeMembership(const wire::MembershipChange& change,
                        ProposalCallback callback);

  // Transfers leadership to a voter that has all entries of the log. Returns
  // true when another leader is known within `timeout`.
  bool TransferLeadership(std::chrono::milliseconds timeout);

  // Stores a snapshot of the state after applying `index` on a separate thread
  // and then drops the log before it, except for some thousand entries that are
  // kept for slow followers. Ignored while an earlier snapshot is still being
  // stored.
  void Compact(std::int64_t index, std::string snapshot);

 private:
  struct Implementation;

  explicit Replica(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_CONSENSUS_REPLICA_H_
