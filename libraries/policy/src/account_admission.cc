#include "account_admission.h"

#include <algorithm>
#include <iterator>

namespace cranberryshunt::policy {

namespace {

// Steps of the search for the wait, which halve the interval that it is in.
constexpr int kSearchSteps = 16;

// The share of `demand` for which a resource suffices within `wait_ms`: what
// the limit leaves now, and what the account's tasks release meanwhile.
double ShareWithin(const AccountDimension& account,
                   double demand,
                   double wait_ms) {
  if (account.limit == 0 || demand <= 0) {
    return 1;
  }
  const double room =
      account.limit - account.used + account.released_per_ms * wait_ms;
  return std::clamp(room / demand, 0.0, 1.0);
}

// What an account with a limit can start of `demand` within `wait_ms`.
PrecedingDemand StartsWithin(const AccountLoad& account,
                             const PrecedingDemand& demand,
                             double wait_ms) {
  const double share = std::min(
      {ShareWithin(account.cpus, demand.cpus, wait_ms),
       ShareWithin(account.memory, demand.memory, wait_ms),
       ShareWithin(account.accelerators, demand.accelerators, wait_ms)});
  return {demand.cpus * share, demand.memory * share,
          demand.accelerators * share};
}

// Expected time until the limit leaves room for `demand`. An account that waits
// for its limit has used it up by then, so its present release rate is scaled
// to that. If nothing of it runs, its tasks are taken to run for as long as the
// new job.
double LimitWaitMs(const AccountDimension& account,
                   double demand,
                   std::int64_t critical_path_ms) {
  const double missing = demand - (account.limit - account.used);
  if (account.limit == 0 || missing <= 0) {
    return 0;
  }
  const double share = account.used / account.limit;
  double released_per_ms = 0;
  if (account.used > 0 && account.released_per_ms > 0) {
    released_per_ms = account.released_per_ms / std::min(share, 1.0);
  } else {
    released_per_ms =
        account.limit /
        static_cast<double>(std::max<std::int64_t>(1, critical_path_ms));
  }
  return missing / released_per_ms;
}

}  // namespace

PrecedingDemand& PrecedingDemand::operator+=(const PrecedingDemand& other) {
  cpus += other.cpus;
  memory += other.memory;
  accelerators += other.accelerators;
  return *this;
}

PrecedingDemand DemandOf(const WaitingDemand& waiting) {
  return {waiting.milli_cpus, waiting.memory_mb, waiting.accelerators};
}

AccountWaits::AccountWaits(const LoadSummary& load,
                           const NewJob& job,
                           Precedes precedes)
    : job_(job) {
  if (load.accounts.empty()) {
    return;
  }
  const auto own = load.accounts.find(job.account);
  own_load_ = own == load.accounts.end() ? nullptr : &own->second;
  // By account number, because there may be as many accounts as waiting steps.
  std::vector<LimitedAccount> others(
      static_cast<std::size_t>(load.accounts.rbegin()->first) + 1);
  for (const auto& [number, account] : load.accounts) {
    others[static_cast<std::size_t>(number)].load = &account;
  }
  for (const auto& it : load.waiting) {
    if (!precedes(it, job)) {
      continue;
    }
    if (it.account == job.account) {
      own_ += DemandOf(it);
      unlimited_ += DemandOf(it);
      continue;
    }
    const auto n = static_cast<std::size_t>(it.account);
    const bool limited = n < others.size() && others[n].load != nullptr;
    (limited ? others[n].demand : unlimited_) += DemandOf(it);
  }
  std::copy_if(
      others.begin(), others.end(), std::back_inserter(others_),
      [](const auto& it) {
        return it.demand.cpus + it.demand.memory + it.demand.accelerators > 0;
      });
}

PrecedingDemand AccountWaits::DemandWithin(double wait_ms) const {
  auto out = unlimited_;
  for (const auto& it : others_) {
    out += StartsWithin(*it.load, it.demand, wait_ms);
  }
  return out;
}

double AccountWaits::CellWaitMs(double full_wait_ms,
                                const CapacityWait& wait_ms) const {
  // The demand within a wait grows more slowly the longer the wait is, so there
  // is one wait in which just this demand is covered.
  double low_ms = 0;
  double high_ms = full_wait_ms;
  if (wait_ms(DemandWithin(0)) <= 0) {
    return 0;
  }
  for (int n = 0; n < kSearchSteps; ++n) {
    const double middle_ms = (low_ms + high_ms) / 2;
    if (wait_ms(DemandWithin(middle_ms)) <= middle_ms) {
      high_ms = middle_ms;
    } else {
      low_ms = middle_ms;
    }
  }
  return high_ms;
}

double AccountWaits::OwnWaitMs() const {
  if (own_load_ == nullptr) {
    return 0;
  }
  const auto& task = job_.first_demand;
  const auto wait_ms = [&](const AccountDimension& account, double preceding,
                           std::int64_t first) {
    // A resource that the job does not need does not hold it up.
    return first == 0
               ? 0
               : LimitWaitMs(account, preceding + static_cast<double>(first),
                             job_.critical_path_ms);
  };
  return std::max(
      {wait_ms(own_load_->cpus, own_.cpus, task.milli_cpus),
       wait_ms(own_load_->memory, own_.memory, task.memory_mb),
       wait_ms(own_load_->accelerators, own_.accelerators, task.accelerators)});
}

bool TakesFromOthers(const LoadSummary& load, const NewJob& job) {
  if (load.lacks_room || (job.needs_advice && load.idle_callers <= 0)) {
    return true;
  }
  // The job must be able to start at once, since its tasks would otherwise
  // start when others need the capacity. What waits counts as if it ran
  // already, so that tasks of different sizes find places in the rest.
  PrecedingDemand waiting;
  for (const auto& it : load.waiting) {
    if (it.over_rate) {
      waiting += DemandOf(it);
    }
  }
  const auto fits = [&](const RateDimension& part, double before,
                        std::int64_t first) {
    return part.peak_within_rate + part.used_over_rate + before +
               static_cast<double>(first) <=
           part.capacity;
  };
  return !fits(load.cpus_by_rate, waiting.cpus, job.first_demand.milli_cpus) ||
         !fits(load.memory_by_rate, waiting.memory, job.first_demand.memory_mb);
}

}  // namespace cranberryshunt::policy
