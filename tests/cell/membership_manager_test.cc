// Tests which members a leader considers alive.
#include "membership_manager.h"

#include <criterion/criterion.h>

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

// Load pattern: a takeover in a large cell. Guards against a leader that first
// calls all workers directly, because no member has asked to join yet.
Test(membership_manager, presumes_members_alive_right_after_a_takeover) {
  wire::Membership cell;
  for (const char* id : {"own", "b", "c"}) {
    auto& member = cell.members.emplace_back();
    member.id = id;
    member.address = std::string(id) + ":1";
  }
  constexpr std::int64_t kStartedMs = 10'000;
  MembershipManager manager(3, "own", kStartedMs);
  cr_expect_eq(manager.LivePeerAddresses(cell, kStartedMs).size(), 2);
  manager.OnJoinRequest(cell.members[2], kStartedMs + 2'000);
  const auto later = manager.LivePeerAddresses(cell, kStartedMs + 3'000);
  cr_assert_eq(later.size(), 1);
  cr_expect(later[0] == "c:1");
  cr_expect(manager.LivePeerAddresses(cell, kStartedMs + 6'000).empty());
}

namespace {

wire::Member MakeMember(const std::string& id, bool voter) {
  wire::Member member;
  member.id = id;
  member.address = id + ":1";
  member.disk_identity = "disk-" + id;
  member.voter = voter;
  return member;
}

}  // namespace

// Load pattern: machines of the cell are replaced one after another, some
// seconds apart, and one loses its disk. Guards against a voter that is gone
// and counts for so long that the next losses leave no majority.
Test(membership_manager, replaces_a_voter_that_is_gone_within_seconds) {
  wire::Membership cell;
  for (const char* id : {"own", "b", "c", "d", "gone"}) {
    cell.members.push_back(MakeMember(id, true));
  }
  cell.members.push_back(MakeMember("spare", false));
  MembershipManager manager(5, "own", 0);
  // A later leader starts to count the silence anew.
  constexpr std::int64_t kBoundMs = 4'000;
  std::int64_t now_ms = 0;
  std::optional<wire::MembershipChange> change;
  for (; now_ms <= kBoundMs && !change; now_ms += 500) {
    for (const auto& it : cell.members) {
      if (it.id != "gone" && it.id != "own") {
        manager.OnJoinRequest(it, now_ms);
      }
    }
    change = manager.NextChange(cell, now_ms);
  }
  cr_assert(change.has_value());
  cr_expect(change->member.id == "spare" && change->member.voter);
  cell.members.back().voter = true;
  for (const auto& it : cell.members) {
    if (it.id != "gone" && it.id != "own") {
      manager.OnJoinRequest(it, now_ms + 500);
    }
  }
  change = manager.NextChange(cell, now_ms + 500);
  cr_assert(change.has_value());
  cr_expect(change->member.id == "gone" && change->remove);
}

// Guards against removing a voter that is silent while no other member can take
// its place.
Test(membership_manager, keeps_a_silent_voter_without_a_spare) {
  wire::Membership cell;
  for (const char* id : {"own", "b", "c", "d", "silent"}) {
    cell.members.push_back(MakeMember(id, true));
  }
  MembershipManager manager(5, "own", 0);
  for (std::int64_t now_ms = 0; now_ms <= 30'000; now_ms += 500) {
    for (const auto& it : cell.members) {
      if (it.id != "silent" && it.id != "own") {
        manager.OnJoinRequest(it, now_ms);
      }
    }
    cr_assert_not(manager.NextChange(cell, now_ms).has_value());
  }
}
