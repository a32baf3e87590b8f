// Use and limits of the client accounts whose tasks the graph planner places.
// Does no I/O and reads no clock.
#ifndef CRANBERRYSHUNT_POLICY_ACCOUNT_LEDGER_H_
#define CRANBERRYSHUNT_POLICY_ACCOUNT_LEDGER_H_

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cranberryshunt/policy/demand.h"

namespace cranberryshunt::policy {

// Accounts have numbers, so that look-ups in a planning round take constant
// time.
using AccountNumber = std::int32_t;
inline constexpr AccountNumber kNoAccount = 0;

// What the tasks of an account use on a worker, or on all workers together.
struct AccountUse {
  AccountNumber account = kNoAccount;
  Demand used;
  // Average resources that these tasks release per millisecond.
  double milli_cpus_per_ms = 0;
  double memory_mb_per_ms = 0;
  double accelerators_per_ms = 0;

  bool operator==(const AccountUse&) const = default;
};

// Adds a task of the account to `uses`, which has one entry for each account.
// Does nothing for kNoAccount.
void AddTask(std::vector<AccountUse>& uses,
             AccountNumber account,
             const Demand& demand,
             std::int64_t expected_run_ms);

class AccountLedger {
 public:
  // Amount that stands for "no limit".
  static constexpr std::int64_t kUnlimited =
      std::numeric_limits<std::int64_t>::max() / 4;

  AccountLedger();

  // Returns the number of the account, which it keeps for the life of the
  // ledger. An empty name gives kNoAccount.
  AccountNumber NumberOf(const std::string& name);
  const std::string& NameOf(AccountNumber account) const {
    return accounts_[Index(account)].name;
  }
  // One more than the highest number.
  AccountNumber end_number() const {
    return static_cast<AccountNumber>(accounts_.size());
  }

  // Replaces the limits of all accounts. 0 is no limit of that resource.
  // Accounts that are not listed have no limit.
  void SetLimits(const std::vector<std::pair<std::string, Demand>>& limits);
  const Demand& LimitOf(AccountNumber account) const {
    return accounts_[Index(account)].limit;
  }
  bool HasLimit(AccountNumber account) const {
    return LimitOf(account) != Demand();
  }

  // Replaces what the worker has of all accounts. Workers without an entry of
  // theirs are not kept.
  void SetWorkerUse(std::int64_t worker, const std::vector<AccountUse>& uses);
  const AccountUse& UseOf(AccountNumber account) const {
    return accounts_[Index(account)].total;
  }

  // Counts capacity that is held for a gang of the account, or that a gang
  // needs before less urgent tasks of the account: these may not start in it.
  void Hold(AccountNumber account, const Demand& amount);
  // Counts room under the limit that a waiting step is going to use. Further
  // steps may start in it, but may not ask for advice.
  void Claim(AccountNumber account, const Demand& amount);
  // Forgets all held and claimed amounts.
  void ClearHeld();

  // The limit less the use. Negative if the limit is below the use; kUnlimited
  // for a resource without a limit.
  Demand RoomOf(AccountNumber account) const;
  // Returns how many tasks of this size, up to `count`, keep the account within
  // its limit beside its use and what is held. A resource that the task does
  // not need is not considered.
  std::int64_t CountFitting(AccountNumber account,
                            const Demand& task,
                            std::int64_t count) const;
  // The same beside what is claimed too.
  std::int64_t CountUnclaimed(AccountNumber account,
                              const Demand& task,
                              std::int64_t count) const;
  // The same if the account has nothing else running.
  std::int64_t CountFittingAlone(AccountNumber account,
                                 const Demand& task,
                                 std::int64_t count) const;
  // Returns in how many waves `count` tasks run that need not run at the same
  // time, because the limit does not allow more of them together.
  std::int64_t WavesOf(AccountNumber account,
                       const Demand& task,
                       std::int64_t count) const;
  // Expected time until the account has released so much that `count` tasks
  // fit; kUnlimited if its tasks release nothing of what is missing.
  double ReleaseMs(AccountNumber account,
                   const Demand& task,
                   std::int64_t count) const;

 private:
  struct Account {
    std::string name;
    Demand limit;
    AccountUse total;
    Demand held;
    Demand claimed;
    bool touched = false;  // Whether `held` or `claimed` is not empty.
  };

  static std::size_t Index(AccountNumber account) {
    return static_cast<std::size_t>(account);
  }
  Account& Touch(AccountNumber account);

  std::vector<Account> accounts_;  // By number.
  std::unordered_map<std::string, AccountNumber> numbers_;
  std::unordered_map<std::int64_t, std::vector<AccountUse>> workers_;
  std::vector<AccountNumber> touched_;
  std::vector<AccountNumber> limited_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_ACCOUNT_LEDGER_H_
