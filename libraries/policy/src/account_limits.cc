// Keeps the starts, the held capacity and the questions of steps within the
// limits of their accounts.
#include <algorithm>
#include <cmath>

#include "plan_round.h"

namespace cranberryshunt::policy {

namespace {

// Stands for the workers that have left, of which some runs may go on. The
// numbers of workers are positive.
constexpr std::int64_t kDepartedWorkers = -1;

// Time in which the recent peak of jobs within their rate falls by half. It is
// longer than most tasks run, so that the tasks of jobs beyond their rate end
// sooner than the capacity that they were given is needed again.
constexpr double kPeakHalfLifeMs = 5'000;

// How many tasks of the step must start together.
std::int64_t StartsTogether(const PlanStep& step) {
  return step.gang ? static_cast<std::int64_t>(step.waiting.size()) : 1;
}

Demand Times(const Demand& task, std::int64_t count) {
  return {task.milli_cpus * count, task.memory_mb * count,
          task.accelerators * count};
}

}  // namespace

void GraphPlanner::SetDepartedUse(const std::vector<AccountUse>& uses) {
  accounts_.SetWorkerUse(kDepartedWorkers, uses);
}

void GraphPlanner::UpdateAccounts(bool full) {
  accounts_.ClearHeld();
  if (accounts_.end_number() == kNoAccount + 1) {
    return;
  }
  if (full) {
    for (const auto& it : all_workers_) {
      accounts_.SetWorkerUse(it.number, it.worker->accounts);
    }
    return;
  }
  for (const auto* it : changed_candidates_) {
    accounts_.SetWorkerUse(it->number, it->accounts);
  }
}

bool GraphPlanner::IsAtLimit(const PlanStep& step) const {
  const auto count = StartsTogether(step);
  return accounts_.HasLimit(step.account) &&
         accounts_.CountFitting(step.account, step.demand, count) < count;
}

bool GraphPlanner::MayAskForAdvice(const PlanStep& step) const {
  const auto count = StartsTogether(step);
  return !accounts_.HasLimit(step.account) ||
         accounts_.CountUnclaimed(step.account, step.demand, count) >= count;
}

void GraphPlanner::ClaimRoom(const PlanStep& step) {
  // What is held for a gang is counted already.
  if (!accounts_.HasLimit(step.account) || step.waiting.empty() ||
      step.at_limit || !step.held.empty()) {
    return;
  }
  const auto count =
      accounts_.CountUnclaimed(step.account, step.demand,
                               static_cast<std::int64_t>(step.waiting.size()));
  if (count >= StartsTogether(step)) {
    accounts_.Claim(step.account, Times(step.demand, count));
  }
}

// Less urgent tasks of the account would keep taking the room that becomes
// free, so a gang would wait for as long as there are any. They wait for it
// under the same conditions under which capacity of workers is held.
void GraphPlanner::WaitAtLimit(PlanStep& step, Round& round) {
  const auto now_ms = round.now_ms;
  step.held.clear();
  step.held_ready_ms = 0;
  step.held_since_ms = 0;
  step.held_room_free = false;
  step.lacks_room = false;
  step.planned_ms = now_ms;
  EndNearWait(step);
  const bool may_start = !IsLate(step, now_ms) || MayStartLate(step, round);
  if (!step.gang || step.uncommitted || !may_start) {
    return;
  }
  const auto count = StartsTogether(step);
  const auto max_wait_ms =
      options_.max_hold_ms + now_ms - step.waiting_since_ms;
  const bool can_ever_start =
      accounts_.CountFittingAlone(step.account, step.demand, count) >= count;
  if (can_ever_start && accounts_.ReleaseMs(step.account, step.demand, count) <=
                            static_cast<double>(max_wait_ms)) {
    accounts_.Hold(step.account, Times(step.demand, count));
  }
}

// Jobs beyond their rate would otherwise fill the cell up to what the others
// use at the moment, and these would wait whenever they need more.
void GraphPlanner::UpdateRateUse(std::int64_t now_ms) {
  if (accounts_.end_number() == kNoAccount + 1) {
    return;
  }
  Demand capacity;
  Demand within_rate;
  Demand over_rate;
  for (const auto& it : all_workers_) {
    const auto& worker = *it.worker;
    if (worker.usable) {
      capacity += worker.capacity;
    }
    within_rate += worker.used - worker.used_over_rate;
    over_rate += worker.used_over_rate;
  }
  for (const auto& [id, step] : waiting_steps_) {
    if (!step->over_rate && !step->at_limit) {
      const auto tasks = static_cast<std::int64_t>(step->waiting.size());
      within_rate +=
          Times(step->demand,
                accounts_.CountFitting(step->account, step->demand, tasks));
    }
  }
  const double decay =
      std::exp2(-static_cast<double>(now_ms - peak_ms_) / kPeakHalfLifeMs);
  peak_ms_ = now_ms;
  const auto update = [&](RateDimension& part, std::int64_t whole,
                          std::int64_t level, std::int64_t used) {
    part.capacity = static_cast<double>(whole);
    part.used_over_rate = static_cast<double>(used);
    part.peak_within_rate = std::min(
        part.capacity,
        std::max(static_cast<double>(level), part.peak_within_rate * decay));
  };
  update(cpus_by_rate_, capacity.milli_cpus, within_rate.milli_cpus,
         over_rate.milli_cpus);
  update(memory_by_rate_, capacity.memory_mb, within_rate.memory_mb,
         over_rate.memory_mb);
}

void GraphPlanner::SummarizeAccounts(std::int64_t now_ms,
                                     LoadSummary& load) const {
  load.cpus_by_rate = cpus_by_rate_;
  load.memory_by_rate = memory_by_rate_;
  if (accounts_.end_number() == kNoAccount + 1) {
    return;
  }
  std::vector<bool> added(static_cast<std::size_t>(accounts_.end_number()));
  auto waiting = load.waiting.begin();
  for (const auto& [id, step] : waiting_steps_) {
    waiting->account = step->account;
    waiting->over_rate = step->over_rate;
    waiting->accelerators = static_cast<double>(step->demand.accelerators) *
                            static_cast<double>(step->waiting.size());
    // Steps that are too late to be of use come after jobs beyond their rate.
    load.lacks_room =
        load.lacks_room ||
        (step->lacks_room && !step->over_rate && !step->waiting.empty() &&
         LatenessOf(*step, now_ms) != Lateness::kTooLate);
    const auto n = static_cast<std::size_t>(step->account);
    if (!added[n] && accounts_.HasLimit(step->account)) {
      added[n] = true;
      load.accounts.emplace(step->account, LoadOf(accounts_, step->account));
    }
    ++waiting;
  }
}

AccountLoad LoadOf(const AccountLedger& accounts, AccountNumber account) {
  const auto& limit = accounts.LimitOf(account);
  const auto& use = accounts.UseOf(account);
  const auto part = [](std::int64_t limit, std::int64_t used,
                       double released_per_ms) {
    return AccountDimension{static_cast<double>(limit),
                            static_cast<double>(used), released_per_ms};
  };
  return {
      part(limit.milli_cpus, use.used.milli_cpus, use.milli_cpus_per_ms),
      part(limit.memory_mb, use.used.memory_mb, use.memory_mb_per_ms),
      part(limit.accelerators, use.used.accelerators, use.accelerators_per_ms)};
}

}  // namespace cranberryshunt::policy
