#include "membership_manager.h"

#include <algorithm>
#include <utility>

namespace cranberryshunt::cell {

namespace {

// A member that asked to join within this time is considered alive. Members ask
// every second.
constexpr std::int64_t kAliveMs = 2'500;
// A change that the log has not taken up by then was refused.
constexpr std::int64_t kChangeTimeoutMs = 500;
// By then a new leader has heard from all members that can reply.
constexpr std::int64_t kFirstContactMs = 500;
// A voter that was silent for this part of the catch-up time is replaced. The
// rest is enough to elect another leader that has to notice the silence anew.
constexpr std::int64_t kSilentParts = 4;
// The same for a voter that has not replied at all to a leader, which may have
// been silent for the former leader as well.
constexpr std::int64_t kNeverHeardParts = 8;

const wire::Member* Find(const wire::Membership& membership,
                         const std::string& id) {
  const auto it =
      std::find_if(membership.members.begin(), membership.members.end(),
                   [&](const auto& member) { return member.id == id; });
  return it == membership.members.end() ? nullptr : &*it;
}

wire::MembershipChange MakeChange(const wire::Member& member) {
  wire::MembershipChange change;
  change.operator_name = "membership keeper";
  change.member = member;
  change.member.promote = false;
  return change;
}

}  // namespace

// The members by what they can do for the cell.
struct MembershipManager::Census {
  const wire::Membership* membership = nullptr;
  std::int64_t voters = 0;
  // Voters and members that are being promoted, less those that are silent or
  // leaving. Members that are being promoted count, because otherwise too many
  // would be promoted.
  std::int64_t lasting_voters = 0;
  // The one that is silent for longest comes first.
  std::vector<const wire::Member*> silent_voters;
  std::vector<const wire::Member*> leaving_voters;  // None of them is silent.
  // Silent members whose promotion was requested.
  std::vector<const wire::Member*> lost_candidates;
  // Members without a vote that reply, in the order of the membership.
  std::vector<const wire::Member*> spares;
  bool promotes = false;         // A promotion is under way.
  bool all_voters_reply = true;  // Within kFirstContactMs.
};

MembershipManager::MembershipManager(MembershipOptions options,
                                     std::int64_t now_ms)
    : options_(std::move(options)), started_ms_(now_ms) {}

void MembershipManager::OnJoinRequest(const wire::Member& member,
                                      std::int64_t now_ms) {
  join_requests_[member.id] = {member, now_ms};
  leaving_.erase(member.id);
}

LeaveProgress MembershipManager::OnLeaveRequest(
    const std::string& id,
    const consensus::MembershipStatus& status,
    std::int64_t now_ms) {
  leaving_.insert(id);
  join_requests_.erase(id);
  const auto* member = Find(status.membership, id);
  if (member == nullptr || !member->voter) {
    return status.committed ? LeaveProgress::kDone : LeaveProgress::kInProgress;
  }
  const auto census = Count(status);
  const bool joins = std::any_of(
      join_requests_.begin(), join_requests_.end(), [&](const auto& it) {
        return IsAlive(it.first, now_ms) &&
               Find(status.membership, it.first) == nullptr;
      });
  const bool may_be_replaced = !status.committed ||
                               census.voters > options_.cell_size ||
                               census.promotes || !census.spares.empty() ||
                               joins || now_ms - started_ms_ < kFirstContactMs;
  return may_be_replaced ? LeaveProgress::kInProgress
                         : LeaveProgress::kNoReplacement;
}

bool MembershipManager::IsAlive(const std::string& id,
                                std::int64_t now_ms) const {
  const auto it = join_requests_.find(id);
  return it != join_requests_.end() &&
         now_ms - it->second.received_ms < kAliveMs;
}

std::vector<std::string> MembershipManager::LivePeerAddresses(
    const wire::Membership& current,
    std::int64_t now_ms) const {
  const bool presume_alive = now_ms - started_ms_ < kAliveMs;
  std::vector<std::string> out;
  for (const auto& it : current.members) {
    if (it.id != options_.own_id && (presume_alive || IsAlive(it.id, now_ms))) {
      out.push_back(it.address);
    }
  }
  return out;
}

bool MembershipManager::HasAllVoters(const wire::Membership& current) const {
  return std::count_if(current.members.begin(), current.members.end(),
                       [](const auto& it) { return it.voter; }) >=
         options_.cell_size;
}

MembershipManager::Census MembershipManager::Count(
    const consensus::MembershipStatus& status) const {
  Census out;
  out.membership = &status.membership;
  std::map<std::string, consensus::MemberContact> contacts;
  for (const auto& it : status.contacts) {
    contacts[it.id] = it;
  }
  std::vector<std::pair<std::int64_t, const wire::Member*>> silent_voters;
  for (const auto& it : status.membership.members) {
    // The membership may be newer than the contacts.
    const auto known = contacts.find(it.id);
    const auto contact =
        known == contacts.end() ? consensus::MemberContact{} : known->second;
    const bool is_self = it.id == options_.own_id;
    const auto parts = contact.heard ? kSilentParts : kNeverHeardParts;
    const auto max_silence_ms =
        std::max(kFirstContactMs, options_.catch_up_ms / parts);
    const bool silent = !is_self && contact.silent_ms > max_silence_ms;
    const bool replies =
        is_self || (contact.heard && contact.silent_ms < kFirstContactMs);
    const bool leaving = !is_self && leaving_.contains(it.id);
    if (it.voter) {
      ++out.voters;
      out.all_voters_reply = out.all_voters_reply && replies;
      if (silent) {
        silent_voters.emplace_back(-contact.silent_ms, &it);
      } else if (leaving) {
        out.leaving_voters.push_back(&it);
      }
    } else if (it.promote) {
      out.promotes = out.promotes || !silent;
      // A member that is new may need some time for its first reply.
      if (contact.silent_ms > options_.catch_up_ms) {
        out.lost_candidates.push_back(&it);
      }
    } else if (replies && !leaving) {
      out.spares.push_back(&it);
    }
    const bool counts = it.voter || it.promote;
    out.lasting_voters += counts && !silent && !leaving ? 1 : 0;
  }
  std::sort(silent_voters.begin(), silent_voters.end());
  for (const auto& [silent_ms, member] : silent_voters) {
    out.silent_voters.push_back(member);
  }
  return out;
}

std::optional<wire::MembershipChange> MembershipManager::NextChange(
    const consensus::MembershipStatus& status,
    std::int64_t now_ms) {
  const bool pending = status.membership == before_change_ &&
                       now_ms - changed_ms_ < kChangeTimeoutMs;
  if (!status.committed || pending) {
    return std::nullopt;
  }
  const auto census = Count(status);
  auto change = RemoveMember(census);
  if (!change) {
    change = AddVoter(census);
  }
  if (!change) {
    change = AddMember(census, now_ms);
  }
  if (change) {
    changed_ms_ = now_ms;
    before_change_ = status.membership;
    if (change->remove) {
      // It is added again only if it asks after its removal.
      join_requests_.erase(change->member.id);
    }
  }
  return change;
}

// A silent voter is removed before another member gets a vote: that never takes
// more voters for a majority, and the next leader goes on with it without
// noticing the silence anew. It keeps its vote if that would leave less than a
// complete cell less one, since a majority of fewer voters stores fewer copies,
// or if no other member can take its place, since it may come back. A voter
// that is leaving is still alive, so it is removed afterwards.
std::optional<wire::MembershipChange> MembershipManager::RemoveMember(
    const Census& census) const {
  const bool surplus = census.voters > options_.cell_size;
  const bool complete = census.voters >= options_.cell_size;
  const bool replaceable = !census.spares.empty() || census.promotes;
  const wire::Member* removed = nullptr;
  if (!census.silent_voters.empty() && (surplus || (complete && replaceable))) {
    removed = census.silent_voters.front();
  } else if (!census.leaving_voters.empty() && surplus) {
    removed = census.leaving_voters.front();
  } else if (!census.lost_candidates.empty() && complete) {
    removed = census.lost_candidates.front();
  }
  if (removed != nullptr) {
    auto change = MakeChange(*removed);
    change.remove = true;
    return change;
  }
  // An even number of voters has no majority while it is split in halves.
  if (surplus && census.all_voters_reply && !census.promotes) {
    const auto& members = census.membership->members;
    const auto last = std::find_if(
        members.rbegin(), members.rend(),
        [&](const auto& it) { return it.voter && it.id != options_.own_id; });
    auto change = MakeChange(*last);
    change.member.voter = false;
    return change;
  }
  return std::nullopt;
}

std::optional<wire::MembershipChange> MembershipManager::AddVoter(
    const Census& census) const {
  if (census.lasting_voters >= options_.cell_size || census.spares.empty()) {
    return std::nullopt;
  }
  auto change = MakeChange(*census.spares.front());
  change.member.voter = true;
  return change;
}

std::optional<wire::MembershipChange> MembershipManager::AddMember(
    const Census& census,
    std::int64_t now_ms) const {
  for (const auto& [id, request] : join_requests_) {
    if (!IsAlive(id, now_ms) || id == options_.own_id) {
      continue;
    }
    const auto* member = Find(*census.membership, id);
    const bool same_disk =
        member != nullptr &&
        (member->disk_identity.empty() ||
         member->disk_identity == request.member.disk_identity);
    if (same_disk) {
      continue;
    }
    // A voter that returns with a new disk stays a voter. In a complete cell,
    // another one is removed first.
    const bool is_voter =
        member != nullptr && (member->voter || member->promote);
    auto change = MakeChange(request.member);
    change.member.voter =
        is_voter || (census.voters < options_.cell_size &&
                     census.lasting_voters < options_.cell_size);
    return change;
  }
  return std::nullopt;
}

}  // namespace cranberryshunt::cell
