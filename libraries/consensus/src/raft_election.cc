#include <algorithm>
#include <functional>
#include <utility>

#include "cranberryshunt/consensus/raft.h"
#include "cranberryshunt/wire/codec.h"
#include "membership.h"

namespace cranberryshunt::consensus {

using wire::RaftMessageType;

namespace {

// Returns the name under which a vote is recorded. It includes the disk
// identity, because a host whose disk was emptied may request votes again under
// the same id.
std::string CandidateName(const std::string& id, const std::string& disk) {
  return id + "/" + disk;
}

}  // namespace

void Raft::BecomeFollower(std::int64_t term, const std::string& leader) {
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.vote.clear();
    hard_state_changed_ = true;
    leader_membership_ = {};
  }
  if (role_ == Role::kLeader || role_ == Role::kCandidate) {
    ResetElectionTimer();
  }
  role_ = Role::kFollower;
  leader_id_ = leader;
  pre_voting_ = false;
  transfer_until_ = 0;
  transfer_sent_ = false;
  progress_.clear();
  UpdateFollowerRole();
}

void Raft::UpdateFollowerRole() {
  if (role_ != Role::kFollower && role_ != Role::kLearner) {
    return;
  }
  const auto* self = FindMember(membership(), options_.id);
  // Only the bootstrap membership has voters without a disk identity.
  const bool voter = self != nullptr && self->voter &&
                     (self->disk_identity.empty() ||
                      self->disk_identity == options_.disk_identity);
  role_ = voter ? Role::kFollower : Role::kLearner;
}

void Raft::ResetElectionTimer() {
  std::uniform_int_distribution<std::int64_t> extra(
      0, options_.election_timeout_ms);
  election_deadline_ = now_ + options_.election_timeout_ms + extra(random_);
}

void Raft::StartPreVote() {
  role_ = Role::kCandidate;
  leader_id_.clear();
  pre_voting_ = true;
  votes_.clear();
  ResetElectionTimer();
  RequestVotes(RaftMessageType::kPreVote, false);
  CountVote(options_.id, options_.disk_identity);
}

void Raft::StartElection(bool forced) {
  role_ = Role::kCandidate;
  leader_id_.clear();
  pre_voting_ = false;
  votes_.clear();
  ++hard_state_.term;
  hard_state_.vote = CandidateName(options_.id, options_.disk_identity);
  hard_state_changed_ = true;
  leader_membership_ = {};
  ResetElectionTimer();
  RequestVotes(RaftMessageType::kVote, forced);
  CountVote(options_.id, options_.disk_identity);
}

void Raft::RequestVotes(RaftMessageType::type type, bool forced) {
  for (const auto& it : membership().members) {
    if (!it.voter || it.id == options_.id) {
      continue;
    }
    auto message = MakeMessage(type, it.id);
    if (type == RaftMessageType::kPreVote) {
      ++message.term;
    }
    message.log_index = log_.last_index();
    message.log_term = log_.last_term();
    message.membership = membership();
    message.accepted = forced;
    output_.messages_after_sync.push_back(std::move(message));
  }
}

void Raft::CountVote(const std::string& voter, const std::string& disk) {
  votes_[voter] = disk;
  std::size_t granted = 0;
  for (const auto& it : membership().members) {
    const auto vote = votes_.find(it.id);
    const bool counts =
        it.voter && vote != votes_.end() &&
        (it.disk_identity.empty() || it.disk_identity == vote->second);
    granted += counts ? 1 : 0;
  }
  if (granted < ElectionQuorum(membership())) {
    return;
  }
  if (pre_voting_) {
    StartElection(false);
  } else {
    BecomeLeader();
  }
}

void Raft::BecomeLeader() {
  role_ = Role::kLeader;
  leader_id_ = options_.id;
  leader_since_ = now_;
  leader_membership_ = {};
  term_first_index_ = log_.last_index() + 1;
  if (HasUnboundVoter(membership())) {
    auto bound = membership();
    for (auto& it : bound.members) {
      if (it.voter) {
        it.disk_identity = votes_.at(it.id);
      }
    }
    AppendEntry(kMembershipEntry, wire::Encode(bound));
  } else {
    AppendEntry(kEmptyEntry, {});
  }
  progress_.clear();
  SyncProgress();
}

bool Raft::HasRecentLeaderContact() const {
  const auto last_contact = role_ == Role::kLeader
                                ? QuorumAckTime(leader_since_)
                                : last_leader_contact_;
  return now_ - last_contact < options_.election_timeout_ms;
}

bool Raft::MayVoteFor(const wire::RaftMessage& message) const {
  const auto* self = FindMember(membership(), options_.id);
  if (self != nullptr && self->voter && self->disk_identity.empty()) {
    return true;
  }
  return IsBoundVoter(membership(), options_.id, options_.disk_identity) ||
         IsBoundVoter(message.membership, options_.id, options_.disk_identity);
}

bool Raft::IsUpToDate(const wire::RaftMessage& message) const {
  return std::pair(message.log_term, message.log_index) >=
         std::pair(log_.last_term(), log_.last_index());
}

void Raft::OnPreVote(const wire::RaftMessage& message) {
  if (!MayVoteFor(message)) {
    return;
  }
  auto reply = MakeReply(RaftMessageType::kPreVoteReply, message);
  reply.accepted = message.term > hard_state_.term &&
                   !HasRecentLeaderContact() && IsUpToDate(message);
  if (reply.accepted) {
    reply.term = message.term;
  }
  output_.messages_after_sync.push_back(std::move(reply));
}

void Raft::OnVote(const wire::RaftMessage& message) {
  const bool forced = message.accepted;
  if (!MayVoteFor(message) || (HasRecentLeaderContact() && !forced)) {
    return;
  }
  if (message.term > hard_state_.term) {
    BecomeFollower(message.term, {});
  }
  const auto candidate = CandidateName(message.sender, message.sender_disk);
  auto reply = MakeReply(RaftMessageType::kVoteReply, message);
  const auto& vote = hard_state_.vote;
  reply.accepted = (vote.empty() || vote == candidate) && IsUpToDate(message);
  if (reply.accepted && vote.empty()) {
    hard_state_.vote = candidate;
    hard_state_changed_ = true;
    ResetElectionTimer();
  }
  output_.messages_after_sync.push_back(std::move(reply));
}

void Raft::OnVoteReply(const wire::RaftMessage& message) {
  const bool for_pre_vote = message.type == RaftMessageType::kPreVoteReply;
  const auto term = hard_state_.term + (for_pre_vote ? 1 : 0);
  if (role_ != Role::kCandidate || pre_voting_ != for_pre_vote ||
      !message.accepted || message.term != term) {
    return;
  }
  CountVote(message.sender, message.sender_disk);
}

void Raft::OnTimeoutNow(const wire::RaftMessage& message) {
  if (message.term == hard_state_.term && role_ == Role::kFollower) {
    StartElection(true);
  }
}

Result<void> Raft::TransferLeadership(std::int64_t timeout_ms) {
  if (role_ != Role::kLeader) {
    return Fail(ResultCode::kNotLeader, "this controller is not the leader");
  }
  if (CountVoters(membership()) < 2) {
    return Fail(ResultCode::kUnavailable, "there is no other voter");
  }
  transfer_until_ = now_ + timeout_ms;
  TickTransfer();
  return {};
}

void Raft::TickTransfer() {
  if (transfer_until_ == 0) {
    return;
  }
  if (now_ >= transfer_until_) {
    // The other replica may still start an election, so this leader must not
    // use its lease again in this term.
    if (transfer_sent_) {
      BecomeFollower(hard_state_.term, {});
    }
    transfer_until_ = 0;
    return;
  }
  if (transfer_sent_) {
    return;
  }
  for (const auto& it : membership().members) {
    const auto progress = progress_.find(it.id);
    if (!it.voter || progress == progress_.end() ||
        progress->second.match < log_.last_index() ||
        now_ - progress->second.last_acked_sent_at >
            options_.election_timeout_ms) {
      continue;
    }
    output_.messages_after_sync.push_back(
        MakeMessage(RaftMessageType::kTimeoutNow, it.id));
    transfer_sent_ = true;
    return;
  }
}

std::int64_t Raft::QuorumAckTime(std::int64_t fallback_time) const {
  std::vector<std::int64_t> times;
  for (const auto& it : membership().members) {
    if (!it.voter) {
      continue;
    }
    const auto progress = progress_.find(it.id);
    if (it.id == options_.id) {
      times.push_back(now_);
    } else if (progress == progress_.end()) {
      times.push_back(fallback_time);
    } else {
      times.push_back(
          std::max(fallback_time, progress->second.last_acked_sent_at));
    }
  }
  if (times.empty()) {
    return fallback_time;
  }
  const auto quorum = times.size() / 2;
  std::nth_element(times.begin(), times.begin() + static_cast<long>(quorum),
                   times.end(), std::greater<>());
  return times[quorum];
}

}  // namespace cranberryshunt::consensus
