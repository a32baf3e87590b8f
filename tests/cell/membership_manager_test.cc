// Which members a leader takes for alive.
#include "membership_manager.h"

#include <criterion/criterion.h>

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

// Load pattern: a takeover in a large cell. Guards against a leader that makes
// its first calls to all workers itself, because no member has spoken up yet.
Test(membership_manager, presumes_members_alive_right_after_a_takeover) {
  wire::Membership cell;
  for (const char* id : {"own", "b", "c"}) {
    auto& member = cell.members.emplace_back();
    member.id = id;
    member.address = std::string(id) + ":1";
  }
  constexpr std::int64_t kBeganMs = 10'000;
  MembershipManager keeper(3, "own", kBeganMs);
  cr_expect_eq(keeper.LivePeerAddresses(cell, kBeganMs).size(), 2);
  keeper.OnJoinRequest(cell.members[2], kBeganMs + 2'000);
  const auto later = keeper.LivePeerAddresses(cell, kBeganMs + 3'000);
  cr_assert_eq(later.size(), 1);
  cr_expect(later[0] == "c:1");
  cr_expect(keeper.LivePeerAddresses(cell, kBeganMs + 6'000).empty());
}
