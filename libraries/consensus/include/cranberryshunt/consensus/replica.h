// A member of the replicated log.
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

struct CommittedEntry {
  std::int64_t index = 0;
  std::int64_t term = 0;
  std::string data;

  bool operator==(const CommittedEntry&) const = default;
};

// Receives events in order, on the consensus thread. Calls must not block for
// long; an observer usually posts to a ring.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;

  // Only commands are delivered; membership and empty entries leave gaps in the
  // indexes. After a restart delivery starts after the snapshot.
  virtual void OnCommitted(std::vector<CommittedEntry> entries) = 0;
  // The state is to be replaced by a snapshot that covers the log up to and
  // including `index`. Also called at the start when the folder has one.
  virtual void OnSnapshot(std::int64_t index, std::string data) = 0;
  // A new leader is announced only after an entry of its own term was
  // committed, so that its state is complete.
  virtual void OnRoleChange(const RoleChange& change) = 0;
  // The data folder failed; the replica has stopped voting and proposing. After
  // kStorageFull it continues by itself once there is space again, which a
  // later OnRoleChange() tells; other failures need a restart.
  virtual void OnStorageFailure(const Error& error) = 0;
};

// Sends messages to peers without blocking; messages may be lost, repeated or
// reordered.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  virtual void Send(std::vector<wire::RaftMessage> messages) = 0;
  // Tells the transport the addresses of the current members.
  virtual void SetMembers(const wire::Membership& membership) = 0;
  // Bytes of the messages that were handed to the network.
  virtual std::int64_t bytes_sent() const { return 0; }
};

struct ReplicaOptions {
  std::string id;
  std::string address;  // "ip:port" of this controller's Thrift server.
  std::string data_directory;
  // Used only to format an empty folder as part of a new cluster. A folder that
  // is empty while `bootstrap` is false becomes a learner that waits to be
  // added.
  wire::Membership initial_members;
  bool bootstrap = false;
  std::chrono::milliseconds heartbeat_interval{50};
  // An election starts after a random time between this and twice this. The
  // leader lease is this less 10% for drift.
  std::chrono::milliseconds election_timeout{500};
  std::size_t max_batch_bytes = 1 << 20;
  std::size_t max_proposals_in_flight = 16'384;
  std::size_t max_proposal_bytes_in_flight = 64 << 20;
  // Proposals and messages that one sync covers.
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
  // Called once, on the consensus thread, after OnCommitted() of the entry: its
  // index, or an error. With kTimeout, kNotLeader, kIoError or kShuttingDown
  // the entry may still be committed later; with kStorageFull or kQueueFull it
  // never will. kQueueFull, and kShuttingDown after the end of the thread, are
  // reported on the calling thread.
  using ProposalCallback = std::function<void(Result<std::int64_t>)>;

  // Opens the data folder and starts the consensus thread. Fails with kCorrupt,
  // kWrongIdentity or kIoError and a message that names the file.
  static Result<std::unique_ptr<Replica>> Start(
      const ReplicaOptions& options,
      storage::FileSystem& file_system,
      const Clock& clock,
      PeerTransport& transport,
      ReplicaObserver& observer);
  // Stops the thread; open proposals end with kShuttingDown.
  ~Replica();

  void Receive(std::vector<wire::RaftMessage> messages);
  void Propose(std::string data, ProposalCallback callback);

  // Whether this replica is the leader and holds a lease now: no other leader
  // can exist. Safe from any thread.
  bool HasLease() const;
  RoleChange role() const;
  wire::Membership membership() const;
  std::string disk_identity() const;
  ReplicaStats stats() const;

  // Adds a member as a learner, promotes a learner that has caught up
  // (member.voter) or removes one. The leader promotes a learner itself when it
  // has caught up if `member.voter` was asked for. An empty disk identity is
  // filled in at first contact. The result is 0 when there was nothing to
  // change. The leader cannot remove itself; transfer leadership first.
  //
  // A member whose disk was replaced needs no call: when its old disk has not
  // been heard of for an election timeout, the leader makes it a learner under
  // the new identity and promotes it once it has caught up.
  void ChangeMembership(const wire::MembershipChange& change,
                        ProposalCallback callback);

  // Hands leadership to the most advanced voter. Returns true when another
  // leader is known within `timeout`.
  bool TransferLeadership(std::chrono::milliseconds timeout);

  // Stores a snapshot of the state after applying `index`, on a thread of its
  // own, and drops the log before it but for some thousand entries for slow
  // followers. Ignored while an earlier snapshot is still being stored.
  void Compact(std::int64_t index, std::string snapshot);

 private:
  struct Implementation;

  explicit Replica(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_CONSENSUS_REPLICA_H_
