#include <algorithm>
#include <utility>

#include "cranberryshunt/consensus/raft.h"
#include "cranberryshunt/wire/codec.h"
#include "membership.h"

namespace cranberryshunt::consensus {

bool Raft::IsMembershipCommitted() const {
  return configs_.back().index <= commit_index_;
}

std::vector<MemberContact> Raft::Contacts() const {
  std::vector<MemberContact> out;
  if (role_ != Role::kLeader) {
    return out;
  }
  for (const auto& [id, progress] : progress_) {
    const bool heard = progress.last_reply_at != 0;
    const auto since = heard ? progress.last_reply_at : progress.known_since;
    out.push_back({id, heard, now_ - since});
  }
  return out;
}

Result<void> Raft::CheckMembershipChange() const {
  if (role_ != Role::kLeader) {
    return Fail(ResultCode::kNotLeader, "this controller is not the leader");
  }
  // Until an entry of its own term is committed, a leader may not know the last
  // membership change that its predecessor committed.
  if (!IsReadyLeader() || transfer_until_ != 0) {
    return Fail(ResultCode::kNotReady, "the leader is not ready yet");
  }
  if (!IsMembershipCommitted()) {
    return Fail(ResultCode::kNotReady,
                "another membership change is not committed yet");
  }
  return {};
}

Result<wire::Membership> Raft::ApplyChange(
    const wire::MembershipChange& change) const {
  auto next = membership();
  auto* old = FindMember(next, change.member.id);
  if (change.member.id.empty()) {
    return Fail(ResultCode::kInvalidField, "the member has no id", "member.id");
  }
  const bool same_disk =
      old != nullptr && (change.member.disk_identity.empty() ||
                         change.member.disk_identity == old->disk_identity);
  const bool keeps_vote =
      same_disk && !change.remove && (change.member.voter || !old->voter);
  if (change.member.id == options_.id && !keeps_vote) {
    return Fail(ResultCode::kInvalidField,
                "transfer leadership before changing the leader", "member.id");
  }
  if (change.remove) {
    std::erase_if(next.members,
                  [&](const auto& it) { return it.id == change.member.id; });
    return next;
  }
  if (change.member.address.empty()) {
    return Fail(ResultCode::kInvalidField, "the member has no address",
                "member.address");
  }
  if (old == nullptr) {
    next.members.emplace_back();
    old = &next.members.back();
  }
  const std::string disk = old->disk_identity;
  const bool was_voter = old->voter;
  *old = change.member;
  old->disk_identity = same_disk ? disk : change.member.disk_identity;
  // A new member or a member with a new disk starts as a learner and is
  // promoted once it has caught up.
  old->voter = change.member.voter && was_voter && same_disk;
  old->promote = change.member.voter && !old->voter;
  return next;
}

Result<std::int64_t> Raft::ChangeMembership(
    const wire::MembershipChange& change) {
  if (auto ready = CheckMembershipChange(); !ready) {
    return tl::unexpected(ready.error());
  }
  auto next = ApplyChange(change);
  if (!next) {
    return tl::unexpected(next.error());
  }
  if (*next == membership()) {
    return 0;
  }
  AppendEntry(kMembershipEntry, wire::Encode(*next));
  SyncProgress();
  return log_.last_index();
}

void Raft::SyncProgress() {
  std::map<std::string, Progress> next;
  for (const auto& it : membership().members) {
    if (it.id == options_.id) {
      continue;
    }
    const auto old = progress_.find(it.id);
    if (old != progress_.end() && old->second.disk == it.disk_identity) {
      next[it.id] = std::move(old->second);
      continue;
    }
    auto& progress = next[it.id];
    progress.disk = it.disk_identity;
    progress.known_since = now_;
    progress.next = log_.last_index() + 1;
  }
  progress_ = std::move(next);
}

// Returns the progress of the sender of a reply. Returns null when the reply
// does not count: this replica is not the leader of the message's term, or the
// membership does not name the sender's id and disk.
Raft::Progress* Raft::FindProgress(const wire::RaftMessage& message) {
  if (role_ != Role::kLeader || message.term != hard_state_.term) {
    return nullptr;
  }
  const auto* member = FindMember(membership(), message.sender);
  const auto progress = progress_.find(message.sender);
  if (member == nullptr || progress == progress_.end()) {
    return nullptr;
  }
  if (member->disk_identity != message.sender_disk) {
    OnDiskMismatch(message, *member);
    return nullptr;
  }
  return &progress->second;
}

// Handles a reply from a member whose disk is not the one that the membership
// names. If the membership names no disk for the member yet, the sender's disk
// becomes the member's disk. Otherwise the sender's disk replaces the named one
// only if the sender asks for it (`last` is set) and this leader has received
// no acknowledgement from the member for more than an election timeout. The
// membership stays as it is if the member is the only voter, or while no
// membership change is possible.
void Raft::OnDiskMismatch(const wire::RaftMessage& message,
                          const wire::Member& member) {
  auto& progress = progress_.at(member.id);
  const bool unbound = member.disk_identity.empty();
  const bool silent =
      now_ - std::max(leader_since_, progress.last_acked_sent_at) >
      options_.election_timeout_ms;
  if (silent && progress.state == ProgressState::kReplicate) {
    // Probes carry the membership, which shows the sender that its disk is not
    // the disk of a member.
    EnterProbeState(progress);
  }
  const bool is_replaced = silent && message.last;
  const bool last_voter = member.voter && CountVoters(membership()) == 1;
  if ((!unbound && !is_replaced) || last_voter || !CheckMembershipChange()) {
    return;
  }
  auto next = membership();
  auto* changed = FindMember(next, member.id);
  changed->disk_identity = message.sender_disk;
  changed->promote = member.voter || member.promote;
  changed->voter = false;
  AppendEntry(kMembershipEntry, wire::Encode(next));
  SyncProgress();
}

// Returns whether a learner has caught up: it received all entries that were in
// the log at the start of the round. If its vote enlarges the majority, commits
// will wait for it, so it must have received them within an election timeout;
// the next call starts a new round when this one took longer.
bool Raft::HasCaughtUp(Progress& progress) {
  if (progress.catch_up_target == 0) {
    progress.catch_up_target = log_.last_index();
    progress.catch_up_started_at = now_;
  }
  if (progress.match < progress.catch_up_target) {
    return false;
  }
  const bool in_time =
      now_ - progress.catch_up_started_at <= options_.election_timeout_ms;
  progress.catch_up_target = 0;
  return in_time || !NextVoteEnlargesMajority();
}

bool Raft::NextVoteEnlargesMajority() const {
  return CountVoters(membership()) % 2 == 1;
}

// When a learner was last known to be alive. Commits and the lease of the
// leader wait for a learner whose vote enlarges the majority, so it must answer
// in time; late replies of any other show that it is alive.
std::int64_t Raft::LastContact(const Progress& progress) const {
  return NextVoteEnlargesMajority() ? progress.last_acked_sent_at
                                    : progress.last_reply_at;
}

void Raft::PromoteLearners() {
  for (const auto& it : membership().members) {
    if (!it.promote || it.voter || it.disk_identity.empty()) {
      continue;
    }
    const auto progress = progress_.find(it.id);
    if (progress == progress_.end() || !CheckMembershipChange() ||
        now_ - LastContact(progress->second) > options_.election_timeout_ms ||
        !HasCaughtUp(progress->second)) {
      continue;
    }
    auto next = membership();
    auto* member = FindMember(next, it.id);
    member->voter = true;
    member->promote = false;
    AppendEntry(kMembershipEntry, wire::Encode(next));
    SyncProgress();
    return;
  }
}

}  // namespace cranberryshunt::consensus
