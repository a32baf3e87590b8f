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
