#include "membership_manager.h"

#include <algorithm>

namespace cranberryshunt::cell {

namespace {

// A member that asked to join within this time is alive; members ask each
// second.
constexpr std::int64_t kAliveMs = 2'500;
// A voter that was silent for this long is replaced. Longer than a restart or a
// freeze, which the voter survives with its disk.
constexpr std::int64_t kGoneMs = 10'000;
constexpr std::int64_t kChangePauseMs = 500;

const wire::Member* Find(const wire::Membership& membership,
                         const std::string& id) {
  const auto it =
      std::find_if(membership.members.begin(), membership.members.end(),
                   [&](const auto& member) { return member.id == id; });
  return it == membership.members.end() ? nullptr : &*it;
}

}  // namespace

void MembershipManager::OnJoinRequest(const wire::Member& member,
                                      std::int64_t now_ms) {
  join_requests_[member.id] = {member, now_ms};
}

bool MembershipManager::IsAlive(const std::string& id,
                                std::int64_t now_ms) const {
  const auto it = join_requests_.find(id);
  return it != join_requests_.end() &&
         now_ms - it->second.last_join_ms < kAliveMs;
}

bool MembershipManager::IsGone(const std::string& id,
                               std::int64_t now_ms) const {
  const auto it = join_requests_.find(id);
  const auto heard =
      it == join_requests_.end() ? started_ms_ : it->second.last_join_ms;
  return id != own_id_ && now_ms - heard > kGoneMs;
}

std::vector<std::string> MembershipManager::LivePeerAddresses(
    const wire::Membership& current,
    std::int64_t now_ms) const {
  const bool presumed = now_ms - started_ms_ < kAliveMs;
  std::vector<std::string> out;
  for (const auto& it : current.members) {
    if (it.id != own_id_ && (presumed || IsAlive(it.id, now_ms))) {
      out.push_back(it.address);
    }
  }
  return out;
}

std::optional<wire::MembershipChange> MembershipManager::NextChange(
    const wire::Membership& current,
    std::int64_t now_ms) {
  if (now_ms - changed_ms_ < kChangePauseMs) {
    return std::nullopt;
  }
  std::int64_t voters = 0;
  std::int64_t live_voters = 0;
  std::string gone_voter;
  for (const auto& it : current.members) {
    // A learner on its way to a vote counts, or too many would be promoted.
    if (!it.voter && !it.promote) {
      continue;
    }
    ++voters;
    if (IsGone(it.id, now_ms)) {
      gone_voter = it.id;
    } else {
      ++live_voters;
    }
  }
  wire::MembershipChange change;
  change.operator_name = "membership keeper";
  // With a full set of live voters, one that is gone only raises the quorum.
  if (!gone_voter.empty() && live_voters >= cell_size_) {
    change.member = *Find(current, gone_voter);
    change.remove = true;
    changed_ms_ = now_ms;
    return change;
  }
  for (const auto& [id, known] : join_requests_) {
    if (!IsAlive(id, now_ms) || id == own_id_) {
      continue;
    }
    const auto* member = Find(current, id);
    const bool wants_vote = live_voters < cell_size_;
    const bool same_disk =
        member != nullptr &&
        (member->disk_identity.empty() ||
         member->disk_identity == known.member.disk_identity);
    const bool votes = member != nullptr && (member->voter || member->promote);
    if (same_disk && (votes || !wants_vote)) {
      continue;
    }
    // A host with a new disk keeps its place among the voters.
    change.member = known.member;
    change.member.voter = wants_vote || votes;
    change.member.promote = false;
    changed_ms_ = now_ms;
    return change;
  }
  return std::nullopt;
}

}  // namespace cranberryshunt::cell
