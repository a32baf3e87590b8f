// Tests how many jobs of an account are within its rate.
#include "cranberryshunt/policy/account_rates.h"

#include <criterion/criterion.h>

using namespace cranberryshunt::policy;  // NOLINT

namespace {

// Returns how many of the jobs that are submitted each `gap_ms` are within the
// rate.
int CountWithinRate(AccountRates& rates,
                    AccountNumber account,
                    std::int64_t from_ms,
                    std::int64_t to_ms,
                    std::int64_t gap_ms) {
  int count = 0;
  for (auto now_ms = from_ms; now_ms < to_ms; now_ms += gap_ms) {
    if (rates.HasToken(account, now_ms)) {
      rates.TakeToken(account, now_ms);
      ++count;
    }
  }
  return count;
}

}  // namespace

// Guards against an account that gets more than its rate by submitting much, or
// less than its rate because of the fractions of tokens.
Test(account_rates, admits_a_burst_of_a_second_and_then_the_rate) {
  AccountRates rates;
  rates.SetWeights({{1, 6.0}, {2, 0.5}}, 0);
  cr_expect_eq(CountWithinRate(rates, 1, 0, 1, 1), 1);
  cr_expect_eq(CountWithinRate(rates, 1, 1, 10'002, 2), 65);
  cr_expect_eq(CountWithinRate(rates, 2, 0, 10'001, 100), 6);
}

// Guards against tokens that an idle account collects without bound.
Test(account_rates, collects_no_more_than_a_second) {
  AccountRates rates;
  rates.SetWeights({{1, 5.0}}, 0);
  cr_expect_eq(CountWithinRate(rates, 1, 3'600'000, 3'600'010, 1), 5);
}

// Guards against callers that are told to retry before they can be admitted, or
// long after.
Test(account_rates, tells_when_the_next_token_is_there) {
  AccountRates rates;
  rates.SetWeights({{1, 4.0}, {2, 0.01}, {3, 0.0}}, 0);
  for (int n = 0; n < 4; ++n) {
    rates.TakeToken(1, 0);
  }
  cr_expect_eq(rates.NextTokenMs(1, 0), 250);
  cr_expect_eq(rates.NextTokenMs(1, 100), 150);
  cr_expect_not(rates.HasToken(1, 249));
  cr_expect(rates.HasToken(1, 250));
  rates.TakeToken(2, 0);
  cr_expect_eq(rates.NextTokenMs(2, 0), 10'000);
  cr_expect_not(rates.HasToken(3, 100'000));
  cr_expect_eq(rates.NextTokenMs(3, 100'000), 10'000);
}

// Guards against limits for jobs without an account, or of one that the
// configuration has no more.
Test(account_rates, does_not_limit_unknown_accounts) {
  AccountRates rates;
  rates.SetWeights({{1, 1.0}}, 0);
  rates.SetWeights({{2, 1.0}}, 0);
  cr_expect_eq(CountWithinRate(rates, kNoAccount, 0, 100, 1), 100);
  cr_expect_eq(CountWithinRate(rates, 1, 0, 100, 1), 100);
  cr_expect_eq(CountWithinRate(rates, 77, 0, 100, 1), 100);
}

// Guards against buckets that a new configuration fills, so that an account
// could submit more by each of them.
Test(account_rates, keeps_tokens_across_configurations) {
  AccountRates rates;
  rates.SetWeights({{1, 10.0}}, 0);
  cr_expect_eq(CountWithinRate(rates, 1, 0, 100, 1), 10);
  rates.SetWeights({{1, 10.0}, {2, 1.0}}, 100);
  cr_expect_eq(CountWithinRate(rates, 1, 100, 200, 1), 1);
  rates.ReturnToken(1, 200);
  cr_expect(rates.HasToken(1, 200));
}
