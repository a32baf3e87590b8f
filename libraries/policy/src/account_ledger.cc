#include "cranberryshunt/policy/account_ledger.h"

#include <algorithm>

namespace cranberryshunt::policy {

namespace {

void Add(AccountUse& total, const AccountUse& part, int sign) {
  if (sign > 0) {
    total.used += part.used;
  } else {
    total.used -= part.used;
  }
  total.milli_cpus_per_ms += sign * part.milli_cpus_per_ms;
  total.memory_mb_per_ms += sign * part.memory_mb_per_ms;
  total.accelerators_per_ms += sign * part.accelerators_per_ms;
  // Rates are sums of fractions, which do not cancel out exactly.
  if (total.used == Demand()) {
    total.milli_cpus_per_ms = 0;
    total.memory_mb_per_ms = 0;
    total.accelerators_per_ms = 0;
  }
}

// How many tasks fit into the room. A resource that they do not need does not
// matter, even if the account has more of it than its limit.
std::int64_t CountIn(const Demand& room,
                     const Demand& task,
                     std::int64_t count) {
  const auto limit = [&](std::int64_t available, std::int64_t needed) {
    if (needed > 0) {
      count = std::min(count, std::max<std::int64_t>(available, 0) / needed);
    }
  };
  limit(room.milli_cpus, task.milli_cpus);
  limit(room.memory_mb, task.memory_mb);
  limit(room.accelerators, task.accelerators);
  return count;
}

Demand RoomIn(const Demand& limit, const Demand& used) {
  const auto room = [](std::int64_t whole, std::int64_t part) {
    return whole == 0 ? AccountLedger::kUnlimited : whole - part;
  };
  return {room(limit.milli_cpus, used.milli_cpus),
          room(limit.memory_mb, used.memory_mb),
          room(limit.accelerators, used.accelerators)};
}

}  // namespace

void AddTask(std::vector<AccountUse>& uses,
             AccountNumber account,
             const Demand& demand,
             std::int64_t expected_run_ms) {
  if (account == kNoAccount) {
    return;
  }
  auto it = std::find_if(uses.begin(), uses.end(), [&](const auto& entry) {
    return entry.account == account;
  });
  if (it == uses.end()) {
    it = uses.insert(it, {account, {}});
  }
  const auto run_ms =
      static_cast<double>(std::max<std::int64_t>(1, expected_run_ms));
  it->used += demand;
  it->milli_cpus_per_ms += static_cast<double>(demand.milli_cpus) / run_ms;
  it->memory_mb_per_ms += static_cast<double>(demand.memory_mb) / run_ms;
  it->accelerators_per_ms += static_cast<double>(demand.accelerators) / run_ms;
}

AccountLedger::AccountLedger() : accounts_(1) {}

AccountNumber AccountLedger::NumberOf(const std::string& name) {
  if (name.empty()) {
    return kNoAccount;
  }
  const auto [it, added] = numbers_.try_emplace(name, end_number());
  if (added) {
    auto& account = accounts_.emplace_back();
    account.name = name;
    account.total.account = it->second;
  }
  return it->second;
}

void AccountLedger::SetLimits(
    const std::vector<std::pair<std::string, Demand>>& limits) {
  for (const auto it : limited_) {
    accounts_[Index(it)].limit = {};
  }
  limited_.clear();
  for (const auto& [name, limit] : limits) {
    const auto number = NumberOf(name);
    if (number != kNoAccount && limit != Demand()) {
      accounts_[Index(number)].limit = limit;
      limited_.push_back(number);
    }
  }
}

void AccountLedger::SetWorkerUse(std::int64_t worker,
                                 const std::vector<AccountUse>& uses) {
  const auto known = workers_.find(worker);
  if (known == workers_.end()) {
    if (uses.empty()) {
      return;
    }
  } else if (known->second == uses) {
    return;
  } else {
    for (const auto& it : known->second) {
      Add(accounts_[Index(it.account)].total, it, -1);
    }
  }
  for (const auto& it : uses) {
    Add(accounts_[Index(it.account)].total, it, 1);
  }
  if (uses.empty()) {
    workers_.erase(known);
  } else if (known == workers_.end()) {
    workers_.emplace(worker, uses);
  } else {
    known->second = uses;
  }
}

AccountLedger::Account& AccountLedger::Touch(AccountNumber account) {
  auto& it = accounts_[Index(account)];
  if (!it.touched) {
    it.touched = true;
    touched_.push_back(account);
  }
  return it;
}

void AccountLedger::Hold(AccountNumber account, const Demand& amount) {
  if (account != kNoAccount) {
    Touch(account).held += amount;
  }
}

void AccountLedger::Claim(AccountNumber account, const Demand& amount) {
  if (account != kNoAccount) {
    Touch(account).claimed += amount;
  }
}

void AccountLedger::ClearHeld() {
  for (const auto it : touched_) {
    auto& account = accounts_[Index(it)];
    account.held = {};
    account.claimed = {};
    account.touched = false;
  }
  touched_.clear();
}

Demand AccountLedger::RoomOf(AccountNumber account) const {
  const auto& it = accounts_[Index(account)];
  return RoomIn(it.limit, it.total.used);
}

std::int64_t AccountLedger::CountFitting(AccountNumber account,
                                         const Demand& task,
                                         std::int64_t count) const {
  return CountIn(RoomOf(account) - accounts_[Index(account)].held, task, count);
}

std::int64_t AccountLedger::CountUnclaimed(AccountNumber account,
                                           const Demand& task,
                                           std::int64_t count) const {
  const auto& it = accounts_[Index(account)];
  return CountIn(RoomOf(account) - it.held - it.claimed, task, count);
}

std::int64_t AccountLedger::CountFittingAlone(AccountNumber account,
                                              const Demand& task,
                                              std::int64_t count) const {
  return CountIn(RoomIn(LimitOf(account), {}), task, count);
}

std::int64_t AccountLedger::WavesOf(AccountNumber account,
                                    const Demand& task,
                                    std::int64_t count) const {
  if (!HasLimit(account)) {
    return 1;
  }
  const auto together =
      std::max<std::int64_t>(1, CountFittingAlone(account, task, count));
  return std::max<std::int64_t>(1, (count + together - 1) / together);
}

double AccountLedger::ReleaseMs(AccountNumber account,
                                const Demand& task,
                                std::int64_t count) const {
  const auto& it = accounts_[Index(account)];
  const auto room = RoomOf(account) - it.held;
  double out = 0;
  const auto wait = [&](std::int64_t available, std::int64_t needed,
                        double released_per_ms) {
    const auto missing = static_cast<double>(needed * count - available);
    if (needed > 0 && missing > 0) {
      out =
          std::max(out, released_per_ms > 0 ? missing / released_per_ms
                                            : static_cast<double>(kUnlimited));
    }
  };
  wait(room.milli_cpus, task.milli_cpus, it.total.milli_cpus_per_ms);
  wait(room.memory_mb, task.memory_mb, it.total.memory_mb_per_ms);
  wait(room.accelerators, task.accelerators, it.total.accelerators_per_ms);
  return out;
}

}  // namespace cranberryshunt::policy
