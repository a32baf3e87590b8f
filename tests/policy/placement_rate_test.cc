// Tests the rate at which the work of a queue is placed.
#include <criterion/criterion.h>

#include <cmath>

#include "cranberryshunt/policy/placement_rate.h"

using namespace cranberryshunt::policy;  // NOLINT

// Guards against a new leader that takes a queue for slow because it has not
// seen it for long.
Test(placement_rate, is_right_from_the_beginning_and_follows_changes) {
  PlacementRate rate(10'000);
  for (std::int64_t ms = 1; ms <= 1'000; ++ms) {
    rate.Add(5, 10'000 + ms);
  }
  cr_expect_not(rate.PerMs(11'000).has_value());
  for (std::int64_t ms = 1'001; ms <= 2'000; ++ms) {
    rate.Add(5, 10'000 + ms);
  }
  cr_assert(rate.PerMs(12'000).has_value());
  cr_expect_lt(std::fabs(*rate.PerMs(12'000) - 5), 0.1);
  for (std::int64_t ms = 2'001; ms <= 20'000; ++ms) {
    rate.Add(1, 10'000 + ms);
  }
  cr_expect_lt(std::fabs(*rate.PerMs(30'000) - 1), 0.1);
  cr_expect_lt(*rate.PerMs(60'000), 0.01);
}
