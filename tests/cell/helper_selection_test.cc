// Tests which controllers execute the leader's orders.
#include "helper_selection.h"

#include <criterion/criterion.h>

using namespace cranberryshunt::cell;  // NOLINT

// Guards against orders to a helper that has failed.
Test(helper_selection, leaves_out_a_silent_helper) {
  using Indices = std::vector<std::size_t>;
  cr_expect(UsableHelpers({false, true, false, false}) == Indices({0, 2, 3}));
  cr_expect(UsableHelpers({false, false, true}) == Indices({0, 1}));
  cr_expect(UsableHelpers({true}).empty());
  cr_expect(UsableHelpers({}).empty());
}

// Load pattern: a takeover, after which the leader reads replies late. Guards
// against moving the load of half of the helpers to the others, which then
// answer late as well.
Test(helper_selection, uses_all_helpers_if_half_of_them_are_silent) {
  using Indices = std::vector<std::size_t>;
  cr_expect(UsableHelpers({false, true, false, true}) == Indices({0, 1, 2, 3}));
  cr_expect(UsableHelpers({true, true, true}) == Indices({0, 1, 2}));
  cr_expect(UsableHelpers({true, false}) == Indices({0, 1}));
}
