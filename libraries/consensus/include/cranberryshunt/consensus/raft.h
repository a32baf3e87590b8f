// The Raft consensus algorithm as a state machine without I/O, threads or a
// clock. The caller passes in the messages and the time.
//
// Member identity: A member is identified by its id and its disk identity.
// Votes and acknowledgements count only when they come from the disk that the
// current membership names, so a replica whose disk was replaced cannot take
// part under the identity of the old disk.
//
// Bootstrap: The replicas of a new cluster do not know each other's disks, so
// the bootstrap membership lists voters without disk identities. A candidate
// whose membership has such voters needs the votes of all voters. The first
// leader takes the disk identities from these votes and writes the membership
// with these identities as the first entry of the log. From then on, a majority
// of these disks decides. Once that entry is committed, a majority of the
// replicas stores it and refuses every candidate whose log lacks it. A second
// bootstrap therefore cannot succeed, even when hosts are emptied and started
// with the bootstrap setting again. As a consequence, a new cluster starts only
// when all its voters are up.
//
// Learners: A replica whose disk the membership does not name is a learner that
// waits to be added. It accepts entries but neither campaigns nor votes. It may
// vote once it receives a membership that names its disk as a voter, either in
// its log or in the vote request of a candidate. Without the latter, a cluster
// that loses a host right after a promotion could not elect a leader.
#ifndef CRANBERRYSHUNT_CONSENSUS_RAFT_H_
#define CRANBERRYSHUNT_CONSENSUS_RAFT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/consensus/raft_log.h"
#include "cranberryshunt/storage/hard_state.h"
#include "wire_types.h"

namespace cranberryshunt::consensus {

enum class Role { kFollower, kCandidate, kLeader, kLearner };

// What a leader knows of the connection to another member.
struct MemberContact {
  std::string id;
  // Whether the member has replied to this leader at all.
  bool heard = false;
  // Time in milliseconds since the last reply. Without one, since the member or
  // its disk was added, or since this replica became the leader.
  std::int64_t silent_ms = 0;

  bool operator==(const MemberContact&) const = default;
};

struct RaftOptions {
  std::string id;
  std::string disk_identity;
  std::int64_t heartbeat_ms = 50;
  std::int64_t election_timeout_ms = 500;
  std::size_t max_batch_bytes = 1 << 20;
  // No further entries are sent to a follower while at least this many bytes
  // are not acknowledged.
  std::size_t max_inflight_bytes = 2 << 20;
  std::size_t snapshot_chunk_bytes = 128 << 10;
  // Number of log entries kept before the snapshot, so that a follower that is
  // slightly behind does not need the whole snapshot.
  std::int64_t trailing_entries = 4096;
  // Fewer are kept if they are larger than this together.
  std::size_t max_trailing_bytes = 512 << 10;
  std::uint64_t seed = 1;
};

struct SnapshotState {
  std::int64_t index = 0;
  std::int64_t term = 0;
  wire::Membership membership;
  std::string data;
};

// The state that a replica loads from its data folder.
struct RaftInitialState {
  storage::HardState hard_state;
  std::shared_ptr<const SnapshotState> snapshot;  // May be null.
  std::vector<storage::LogEntry> entries;
  // Initial membership of a new cluster. It has no members if the replica waits
  // to be added to an existing one.
  wire::Membership bootstrap;
  // Index of the last entry that was already delivered.
  std::int64_t applied = 0;
};

// The actions that the caller must take after input was handled, in this order:
// write the state and the entries, send `messages_before_sync`, make everything
// durable, call Raft::MarkPersisted() and send `messages_after_sync`.
struct RaftOutput {
  std::optional<storage::HardState> hard_state;
  std::shared_ptr<const SnapshotState> snapshot;  // Received, or null.
  // The log does not continue the snapshot and must be emptied.
  bool reset_log = false;
  std::optional<std::int64_t> truncate_from;
  std::vector<storage::LogEntry> entries;
  std::vector<wire::RaftMessage> messages_before_sync;
  std::vector<wire::RaftMessage> messages_after_sync;
};

// All times are in milliseconds of the replica's own boot clock.
class Raft {
 public:
  Raft(RaftOptions options, RaftInitialState start, std::int64_t now_ms);

  void Tick(std::int64_t now_ms);
  void Step(wire::RaftMessage message, std::int64_t now_ms);

  // Appends a command. Returns the index of the new entry, or kNotLeader.
  Result<std::int64_t> Propose(std::string data);
  // Appends a membership entry. Returns its index, 0 when there is nothing to
  // change, or kNotLeader, kNotReady (for example, while another change is in
  // progress) or kInvalidField.
  Result<std::int64_t> ChangeMembership(const wire::MembershipChange& change);
  // Asks a voter that has all entries of the log to start an election, and
  // refuses proposals meanwhile. When this replica is still the leader after
  // `timeout_ms`, it steps down if the request was sent, and otherwise accepts
  // proposals again.
  Result<void> TransferLeadership(std::int64_t timeout_ms);
  // Returns a snapshot with `data` as the state after `index`, or null when a
  // snapshot at this or a later index exists or the entry was not delivered
  // yet. The caller stores the snapshot and then calls Compact().
  std::shared_ptr<const SnapshotState> MakeSnapshot(std::int64_t index,
                                                    std::string data) const;
  void Compact(std::shared_ptr<const SnapshotState> snapshot);

  RaftOutput TakeOutput();
  // Must be called once everything in the last output is durable.
  void MarkPersisted();
  // Returns the entries that are committed, durable on this replica and were
  // not returned before.
  std::vector<storage::LogEntry> TakeCommitted();
  bool HasOutput() const;

  Role role() const { return role_; }
  std::int64_t term() const { return hard_state_.term; }
  const std::string& leader_id() const { return leader_id_; }
  std::string LeaderAddress() const;
  // Returns whether this is the leader and an entry of its own term is
  // committed.
  bool IsReadyLeader() const;
  // Returns when the leader lease ends, or 0 without a lease.
  std::int64_t LeaseUntil() const;
  std::int64_t commit_index() const { return commit_index_; }
  std::int64_t applied_index() const { return applied_index_; }
  std::int64_t durable_index() const { return durable_index_; }
  const RaftLog& log() const { return log_; }
  const std::shared_ptr<const SnapshotState>& snapshot() const {
    return snapshot_;
  }
  // Returns the hard state. Its `durable_commit_index` is the index of the last
  // entry that is both committed and durable on this replica.
  storage::HardState CurrentHardState() const;
  const wire::Membership& membership() const;
  bool IsMembershipCommitted() const;
  // Returns the contacts to all other members; empty unless this is the leader.
  std::vector<MemberContact> Contacts() const;
  // Returns the members of the current membership, followed by the members that
  // only the membership received from the leader contains.
  wire::Membership KnownMembers() const;

 private:
  enum class ProgressState { kProbe, kReplicate, kSnapshot };

  struct Inflight {
    std::int64_t last = 0;
    std::size_t bytes = 0;
  };

  // The replication state of a peer, as known to the leader.
  struct Progress {
    std::string disk;
    std::int64_t known_since = 0;
    ProgressState state = ProgressState::kProbe;
    std::int64_t match = 0;
    std::int64_t next = 1;
    std::vector<Inflight> inflight;
    std::size_t inflight_bytes = 0;
    // When a chunk or append was last sent.
    std::int64_t last_sent_at = 0;
    // When a chunk was last sent.
    std::int64_t last_chunk_sent_at = 0;
    // Send time of the newest acknowledged message.
    std::int64_t last_acked_sent_at = 0;
    // When the last reply arrived. The peer is silent only if none arrives: on
    // a slow link, steady replies answer messages that were sent long ago.
    std::int64_t last_reply_at = 0;
    bool awaiting_reply = false;  // To a probe or a snapshot chunk.
    std::shared_ptr<const SnapshotState> snapshot;
    std::size_t offset = 0;
    // Last index of the log and time at the start of the current round of
    // HasCaughtUp(). The target is 0 between rounds.
    std::int64_t catch_up_target = 0;
    std::int64_t catch_up_started_at = 0;
  };

  struct Config {
    std::int64_t index = 0;
    wire::Membership membership;
  };

  struct IncomingSnapshot {
    std::int64_t index = 0;
    std::int64_t term = 0;
    std::string data;
  };

  // raft.cc
  void Restore(RaftInitialState start);
  bool IsStale(const wire::RaftMessage& message);
  bool AdoptsTerm(const wire::RaftMessage& message) const;
  void Dispatch(wire::RaftMessage& message);
  wire::RaftMessage MakeMessage(wire::RaftMessageType::type type,
                                const std::string& receiver) const;
  wire::RaftMessage MakeReply(wire::RaftMessageType::type type,
                              const wire::RaftMessage& message) const;
  void AppendEntry(std::int32_t type, std::string data);
  void AddConfig(const storage::LogEntry& entry);
  void TruncateFrom(std::int64_t index);
  std::int64_t LastDroppedEntry(std::int64_t index) const;

  // raft_election.cc
  void BecomeFollower(std::int64_t term, const std::string& leader);
  void UpdateFollowerRole();
  void ResetElectionTimer();
  void StartPreVote();
  void StartElection(bool forced);
  void BecomeLeader();
  void RequestVotes(wire::RaftMessageType::type type, bool forced);
  void CountVote(const std::string& voter, const std::string& disk);
  bool HasRecentLeaderContact() const;
  bool MayVoteFor(const wire::RaftMessage& message) const;
  bool IsUpToDate(const wire::RaftMessage& message) const;
  void OnPreVote(const wire::RaftMessage& message);
  void OnVote(const wire::RaftMessage& message);
  void OnVoteReply(const wire::RaftMessage& message);
  void OnTimeoutNow(const wire::RaftMessage& message);
  void TickTransfer();
  std::int64_t QuorumAckTime(std::int64_t fallback_time) const;

  // raft_replication.cc
  void SendHeartbeats();
  void SendAppends();
  void SendAppend(const std::string& id, Progress& progress, bool heartbeat);
  void SendToPeer(const std::string& id, Progress& progress);
  void Acknowledge(Progress& progress, std::int64_t match);
  void EnterProbeState(Progress& progress);
  void OnAppend(wire::RaftMessage& message);
  void AppendFrom(std::vector<wire::LogEntry>& entries, std::size_t first);
  void RecordReply(Progress& progress, const wire::RaftMessage& message);
  void OnAppendReply(const wire::RaftMessage& message);
  void MaybeCommit();

  // raft_snapshot.cc
  void EnterSnapshotState(Progress& progress);
  void SendChunk(const std::string& id, Progress& progress);
  void OnSnapshotChunk(wire::RaftMessage& message);
  void OnSnapshotReply(const wire::RaftMessage& message);
  void InstallSnapshot(std::shared_ptr<const SnapshotState> snapshot);

  // raft_membership.cc
  Result<void> CheckMembershipChange() const;
  Result<wire::Membership> ApplyChange(
      const wire::MembershipChange& change) const;
  void SyncProgress();
  void OnDiskMismatch(const wire::RaftMessage& message,
                      const wire::Member& member);
  void PromoteLearners();
  bool HasCaughtUp(Progress& progress);
  bool NextVoteEnlargesMajority() const;
  std::int64_t LastContact(const Progress& progress) const;
  Progress* FindProgress(const wire::RaftMessage& message);

  const RaftOptions options_;
  std::mt19937_64 random_;
  std::int64_t now_ = 0;

  storage::HardState hard_state_;
  RaftLog log_;
  std::vector<Config> configs_;
  std::shared_ptr<const SnapshotState> snapshot_;
  std::int64_t commit_index_ = 0;
  std::int64_t applied_index_ = 0;
  std::int64_t durable_index_ = 0;  // Last entry that is synced.
  std::int64_t output_index_ = 0;   // Last entry that TakeOutput() returned.

  Role role_ = Role::kFollower;
  std::string leader_id_;
  wire::Membership leader_membership_;
  // Time of the last message of a leader.
  std::int64_t last_leader_contact_ = 0;
  std::int64_t election_deadline_ = 0;
  bool pre_voting_ = false;
  std::map<std::string, std::string> votes_;  // Disk identities by voter id.

  std::map<std::string, Progress> progress_;
  std::int64_t leader_since_ = 0;
  std::int64_t term_first_index_ = 0;  // First index of the leader's term.
  std::int64_t transfer_until_ = 0;    // Deadline; 0 without a transfer.
  bool transfer_sent_ = false;
  IncomingSnapshot incoming_snapshot_;

  RaftOutput output_;
  bool hard_state_changed_ = false;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_CONSENSUS_RAFT_H_
