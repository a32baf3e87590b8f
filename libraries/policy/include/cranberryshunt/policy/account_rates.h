// Rates at which client accounts may submit jobs: a token bucket for each. Does
// no I/O and reads no clock; all times are in milliseconds of one clock.
#ifndef CRANBERRYSHUNT_POLICY_ACCOUNT_RATES_H_
#define CRANBERRYSHUNT_POLICY_ACCOUNT_RATES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cranberryshunt/policy/account_ledger.h"

namespace cranberryshunt::policy {

class AccountRates {
 public:
  // Replaces the weights of all accounts: jobs a second that are within the
  // rate. Accounts that are not listed have no rate. The bucket of a new
  // account is full.
  void SetWeights(const std::vector<std::pair<AccountNumber, double>>& weights,
                  std::int64_t now_ms);

  // Whether a job that the account submits now is within its rate.
  bool HasToken(AccountNumber account, std::int64_t now_ms) const;
  // Takes a token for a job that is within the rate.
  void TakeToken(AccountNumber account, std::int64_t now_ms);
  // Gives back the token of a job that was not stored.
  void ReturnToken(AccountNumber account, std::int64_t now_ms);
  // Time until the account has a token; 0 if it has one, and the longest wait
  // if it never gets one.
  std::int64_t NextTokenMs(AccountNumber account, std::int64_t now_ms) const;

 private:
  struct Bucket {
    bool has_rate = false;
    double weight = 0;
    double tokens = 0;
    std::int64_t filled_ms = 0;  // Time for which `tokens` holds.

    double Capacity() const;
    double TokensAt(std::int64_t now_ms) const;
  };

  // Null if the account has no rate.
  const Bucket* Find(AccountNumber account) const;
  void Add(AccountNumber account, double tokens, std::int64_t now_ms);

  std::vector<Bucket> buckets_;  // By account number.
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_ACCOUNT_RATES_H_
