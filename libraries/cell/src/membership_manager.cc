#include "membership_manager.h"

#include <algorithm>

namespace cranberryshunt::cell {

namespace {

// A member that asked to join within this time is considered alive. Members ask
// every second.
constexpr std::int64_t kAliveMs = 2'500;
// A voter that was silent for this long is replaced if another member can take
// its place. Until then, one loss less can be borne, and machines may be
// replaced some seconds after each other. A voter that returns after a restart
// or a freeze stays a member.
constexpr std::int64_t kReplaceSilentVoterMs = 3'000;
constexpr std::int64_t kMinChangeIntervalMs = 500;

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
         now_ms - it->second.received_ms < kAliveMs;
}

bool MembershipManager::IsSilent(const std::string& id,
                                 std::int64_t now_ms) const {
  const auto it = join_requests_.find(id);
  const auto last_contact_ms =
      it == join_requests_.end() ? started_ms_ : it->second.received_ms;
  return id != own_id_ && now_ms - last_contact_ms > kReplaceSilentVoterMs;
}

std::vector<std::string> MembershipManager::LivePeerAddresses(
    const wire::Membership& current,
    std::int64_t now_ms) const {
  const bool presume_alive = now_ms - started_ms_ < kAliveMs;
  std::vector<std::string> out;
  for (const auto& it : current.members) {
    if (it.id != own_id_ && (presume_alive || IsAlive(it.id, now_ms))) {
      out.push_back(it.address);
    }
  }
  return out;
}

bool MembershipManager::HasAllVoters(const wire::Membership& current) const {
  return std::count_if(current.members.begin(), current.members.end(),
                       [](const auto& it) { return it.voter; }) >= cell_size_;
}

std::optional<wire::MembershipChange> MembershipManager::NextChange(
    const wire::Membership& current,
    std::int64_t now_ms) {
  if (now_ms - changed_ms_ < kMinChangeIntervalMs) {
    return std::nullopt;
  }
  std::int64_t voters = 0;
  std::int64_t live_voters = 0;
  std::string silent_voter;
  for (const auto& it : current.members) {
    // Learners that are being promoted count as voters, because otherwise too
    // many would be promoted.
    if (!it.voter && !it.promote) {
      continue;
    }
    ++voters;
    if (IsSilent(it.id, now_ms)) {
      silent_voter = it.id;
    } else {
      ++live_voters;
    }
  }
  wire::MembershipChange change;
  change.operator_name = "membership keeper";
  // If enough voters are alive, a silent voter only raises the quorum, so it is
  // removed.
  if (!silent_voter.empty() && live_voters >= cell_size_) {
    change.member = *Find(current, silent_voter);
    change.remove = true;
    changed_ms_ = now_ms;
    return change;
  }
  for (const auto& [id, request] : join_requests_) {
    if (!IsAlive(id, now_ms) || id == own_id_) {
      continue;
    }
    const auto* member = Find(current, id);
    const bool needs_voter = live_voters < cell_size_;
    const bool same_disk =
        member != nullptr &&
        (member->disk_identity.empty() ||
         member->disk_identity == request.member.disk_identity);
    const bool is_voter =
        member != nullptr && (member->voter || member->promote);
    if (same_disk && (is_voter || !needs_voter)) {
      continue;
    }
    // A voter that returns with a new disk stays a voter.
    change.member = request.member;
    change.member.voter = needs_voter || is_voter;
    change.member.promote = false;
    changed_ms_ = now_ms;
    return change;
  }
  return std::nullopt;
}

}  // namespace cranberryshunt::cell
