#include "cranberryshunt/consensus/raft.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "cranberryshunt/wire/codec.h"
#include "membership.h"

namespace cranberryshunt::consensus {

using wire::RaftMessageType;

Raft::Raft(RaftOptions options, RaftInitialState start, std::int64_t now_ms)
    : options_(std::move(options)), random_(options_.seed), now_(now_ms) {
  Restore(std::move(start));
  ResetElectionTimer();
  // The replica may have acknowledged a leader's message right before it
  // stopped, and that leader may rely on its lease.
  last_leader_contact_ =
      hard_state_.term > 0 ? now_ : now_ - options_.election_timeout_ms;
  UpdateFollowerRole();
}

void Raft::Restore(RaftInitialState start) {
  hard_state_ = std::move(start.hard_state);
  snapshot_ = std::move(start.snapshot);
  if (snapshot_) {
    log_.Reset(snapshot_->index, snapshot_->term);
    configs_.push_back({snapshot_->index, snapshot_->membership});
  } else {
    configs_.push_back({0, std::move(start.bootstrap)});
  }
  for (auto& it : start.entries) {
    if (it.index > log_.last_index()) {
      AddConfig(it);
      log_.Append(std::move(it));
    }
  }
  durable_index_ = log_.last_index();
  output_index_ = durable_index_;
  applied_index_ = std::max(start.applied, log_.base_index());
  commit_index_ =
      std::max(applied_index_,
               std::min(hard_state_.durable_commit_index, durable_index_));
}

const wire::Membership& Raft::membership() const {
  return configs_.back().membership;
}

wire::Membership Raft::KnownMembers() const {
  wire::Membership contacts = membership();
  for (const auto& it : leader_membership_.members) {
    if (FindMember(contacts, it.id) == nullptr) {
      contacts.members.push_back(it);
    }
  }
  return contacts;
}

std::string Raft::LeaderAddress() const {
  const auto contacts = KnownMembers();
  const auto* member = FindMember(contacts, leader_id_);
  return member == nullptr ? std::string() : member->address;
}

bool Raft::IsReadyLeader() const {
  return role_ == Role::kLeader && commit_index_ >= term_first_index_;
}

std::int64_t Raft::LeaseUntil() const {
  // Once this leader has asked another replica to start an election, it can be
  // replaced at any time.
  if (!IsReadyLeader() || transfer_sent_) {
    return 0;
  }
  const auto acknowledged = QuorumAckTime(0);
  const auto drift = options_.election_timeout_ms / 10;
  return acknowledged == 0
             ? 0
             : acknowledged + options_.election_timeout_ms - drift;
}

void Raft::Tick(std::int64_t now_ms) {
  now_ = std::max(now_, now_ms);
  if (role_ == Role::kLeader) {
    if (QuorumAckTime(leader_since_) + options_.election_timeout_ms < now_) {
      BecomeFollower(hard_state_.term, {});
      return;
    }
    TickTransfer();
    if (role_ == Role::kLeader) {
      PromoteLearners();
      SendHeartbeats();
    }
    return;
  }
  if (!leader_id_.empty() &&
      now_ - last_leader_contact_ > 2 * options_.election_timeout_ms) {
    leader_id_.clear();
  }
  UpdateFollowerRole();
  const bool is_only_voter = CountVoters(membership()) == 1;
  if (role_ != Role::kLearner &&
      (is_only_voter || now_ >= election_deadline_)) {
    StartPreVote();
  }
}

// Returns whether a message is from an older term. Requests of an older term
// are answered with the current term.
bool Raft::IsStale(const wire::RaftMessage& message) {
  if (message.term >= hard_state_.term) {
    return false;
  }
  switch (message.type) {
    case RaftMessageType::kAppend:
    case RaftMessageType::kSnapshotChunk:
      output_.messages_after_sync.push_back(
          MakeReply(RaftMessageType::kAppendReply, message));
      break;
    case RaftMessageType::kPreVote:
      output_.messages_after_sync.push_back(
          MakeReply(RaftMessageType::kPreVoteReply, message));
      break;
    case RaftMessageType::kVote:
      output_.messages_after_sync.push_back(
          MakeReply(RaftMessageType::kVoteReply, message));
      break;
    default:
      break;
  }
  return true;
}

// Returns whether this replica adopts the higher term of `message` before it
// handles the message.
bool Raft::AdoptsTerm(const wire::RaftMessage& message) const {
  switch (message.type) {
    case RaftMessageType::kAppend:
    case RaftMessageType::kSnapshotChunk:
      return true;
    case RaftMessageType::kPreVoteReply:
      if (message.accepted) {
        return false;
      }
      break;
    case RaftMessageType::kVoteReply:
    case RaftMessageType::kAppendReply:
    case RaftMessageType::kSnapshotReply:
      break;
    default:
      return false;
  }
  const auto* member = FindMember(membership(), message.sender);
  return member != nullptr && (member->disk_identity.empty() ||
                               member->disk_identity == message.sender_disk);
}

void Raft::Step(wire::RaftMessage message, std::int64_t now_ms) {
  now_ = std::max(now_, now_ms);
  if (message.receiver != options_.id || IsStale(message)) {
    return;
  }
  if (message.term > hard_state_.term && AdoptsTerm(message)) {
    BecomeFollower(message.term, {});
  }
  Dispatch(message);
}

void Raft::Dispatch(wire::RaftMessage& message) {
  switch (message.type) {
    case RaftMessageType::kPreVote:
      return OnPreVote(message);
    case RaftMessageType::kVote:
      return OnVote(message);
    case RaftMessageType::kPreVoteReply:
    case RaftMessageType::kVoteReply:
      return OnVoteReply(message);
    case RaftMessageType::kAppend:
      return OnAppend(message);
    case RaftMessageType::kAppendReply:
      return OnAppendReply(message);
    case RaftMessageType::kSnapshotChunk:
      return OnSnapshotChunk(message);
    case RaftMessageType::kSnapshotReply:
      return OnSnapshotReply(message);
    case RaftMessageType::kTimeoutNow:
      return OnTimeoutNow(message);
  }
}

wire::RaftMessage Raft::MakeMessage(RaftMessageType::type type,
                                    const std::string& receiver) const {
  wire::RaftMessage message;
  message.type = type;
  message.sender = options_.id;
  message.sender_disk = options_.disk_identity;
  message.receiver = receiver;
  message.term = hard_state_.term;
  message.sent_at_ms = now_;
  return message;
}

wire::RaftMessage Raft::MakeReply(RaftMessageType::type type,
                                  const wire::RaftMessage& message) const {
  auto reply = MakeMessage(type, message.sender);
  reply.sent_at_ms = message.sent_at_ms;
  reply.log_index = message.log_index;
  // Asks the leader to replace the disk identity of this replica, because the
  // known membership lacks this replica or names another disk for it.
  const auto& known =
      leader_membership_.members.empty() ? membership() : leader_membership_;
  const auto* self = FindMember(known, options_.id);
  reply.last =
      self == nullptr || (!self->disk_identity.empty() &&
                          self->disk_identity != options_.disk_identity);
  return reply;
}

Result<std::int64_t> Raft::Propose(std::string data) {
  if (role_ != Role::kLeader || transfer_until_ != 0) {
    return Fail(ResultCode::kNotLeader, "this controller is not the leader");
  }
  AppendEntry(kCommandEntry, std::move(data));
  return log_.last_index();
}

void Raft::AppendEntry(std::int32_t type, std::string data) {
  storage::LogEntry entry;
  entry.index = log_.last_index() + 1;
  entry.term = hard_state_.term;
  entry.type = type;
  entry.data = std::move(data);
  AddConfig(entry);
  log_.Append(std::move(entry));
}

void Raft::AddConfig(const storage::LogEntry& entry) {
  if (entry.type != kMembershipEntry) {
    return;
  }
  auto membership = wire::Decode<wire::Membership>(entry.data);
  // The checksum of the entry was verified, so decoding always succeeds.
  assert(membership.has_value());
  configs_.push_back({entry.index, std::move(*membership)});
}

void Raft::TruncateFrom(std::int64_t index) {
  assert(index > commit_index_);
  log_.TruncateFrom(index);
  while (configs_.back().index >= index) {
    configs_.pop_back();
  }
  if (index <= output_index_) {
    output_.truncate_from =
        std::min(output_.truncate_from.value_or(index), index);
    output_index_ = index - 1;
    durable_index_ = std::min(durable_index_, output_index_);
  }
}

std::shared_ptr<const SnapshotState> Raft::MakeSnapshot(
    std::int64_t index,
    std::string data) const {
  const bool exists = snapshot_ && snapshot_->index >= index;
  if (exists || index > applied_index_ || !log_.TermAt(index)) {
    return nullptr;
  }
  auto snapshot = std::make_shared<SnapshotState>();
  snapshot->index = index;
  snapshot->term = *log_.TermAt(index);
  snapshot->data = std::move(data);
  for (const auto& it : configs_) {
    if (it.index <= index) {
      snapshot->membership = it.membership;
    }
  }
  return snapshot;
}

// Returns the last entry that need not be kept beside a snapshot through
// `index`.
std::int64_t Raft::LastDroppedEntry(std::int64_t index) const {
  const auto oldest =
      std::max(index - options_.trailing_entries, log_.base_index());
  std::size_t kept_bytes = 0;
  while (index > oldest) {
    kept_bytes += log_.At(index).data.size();
    if (kept_bytes > options_.max_trailing_bytes) {
      break;
    }
    --index;
  }
  return index;
}

void Raft::Compact(std::shared_ptr<const SnapshotState> snapshot) {
  // A newer snapshot may have been received while this one was being stored.
  if (snapshot_ && snapshot_->index >= snapshot->index) {
    return;
  }
  snapshot_ = std::move(snapshot);
  const auto through = LastDroppedEntry(snapshot_->index);
  if (through > log_.base_index()) {
    log_.DropThrough(through);
  }
  while (configs_.size() > 1 && configs_[1].index <= snapshot_->index) {
    configs_.erase(configs_.begin());
  }
}

RaftOutput Raft::TakeOutput() {
  if (role_ == Role::kLeader) {
    SendAppends();
  }
  if (hard_state_changed_) {
    output_.hard_state = CurrentHardState();
    hard_state_changed_ = false;
    // A leader that was elected by its own vote alone must not send messages
    // before its term is durable.
    std::move(output_.messages_before_sync.begin(),
              output_.messages_before_sync.end(),
              std::back_inserter(output_.messages_after_sync));
    output_.messages_before_sync.clear();
  }
  if (output_index_ < log_.last_index()) {
    output_.entries = log_.Slice(output_index_ + 1, SIZE_MAX);
    output_index_ = log_.last_index();
  }
  return std::exchange(output_, {});
}

storage::HardState Raft::CurrentHardState() const {
  auto state = hard_state_;
  state.durable_commit_index = std::min(commit_index_, durable_index_);
  return state;
}

bool Raft::HasOutput() const {
  return hard_state_changed_ || output_index_ < log_.last_index() ||
         output_.snapshot || output_.truncate_from ||
         !output_.messages_before_sync.empty() ||
         !output_.messages_after_sync.empty();
}

void Raft::MarkPersisted() {
  durable_index_ = output_index_;
  if (role_ == Role::kLeader) {
    MaybeCommit();
  }
}

std::vector<storage::LogEntry> Raft::TakeCommitted() {
  std::vector<storage::LogEntry> entries;
  const auto through = std::min(commit_index_, durable_index_);
  while (applied_index_ < through) {
    entries.push_back(log_.At(++applied_index_));
  }
  return entries;
}

}  // namespace cranberryshunt::consensus
