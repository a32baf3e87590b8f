// Limits and rates of client accounts.
#include <algorithm>
#include <utility>

#include "leader.h"

namespace cranberryshunt::cell {

namespace {

policy::Demand LimitOf(const wire::ClientAccount& account) {
  return {account.limit.milli_cpus, account.limit.memory_mb,
          account.limit.accelerators};
}

}  // namespace

void Leader::SyncAccounts() {
  std::vector<std::pair<std::string, policy::Demand>> limits;
  std::vector<std::pair<policy::AccountNumber, double>> weights;
  for (const auto& it : store_.table().accounts) {
    limits.emplace_back(it.name, LimitOf(it));
    weights.emplace_back(planner_.accounts().NumberOf(it.name), it.weight);
  }
  planner_.accounts().SetLimits(limits);
  account_rates_.SetWeights(weights, now_ms_);
}

policy::AccountNumber Leader::AccountOf(const graph::Job& job) {
  return planner_.accounts().NumberOf(job.account());
}

void Leader::CountUnknownRuns(const std::vector<RunKey>& runs) {
  for (const auto& [task, run] : runs) {
    const auto* job = store_.FindJob(task.job);
    if (job != nullptr && job->FindTask(task) != nullptr) {
      workers_.SetAccount(task, run, AccountOf(*job),
                          DemandOf(job->step(task.step)));
    }
  }
}

bool Leader::ExceedsLimit(policy::AccountNumber account,
                          const wire::GraphJob& job) const {
  return std::any_of(job.steps.begin(), job.steps.end(), [&](const auto& step) {
    const std::int64_t count = step.gang ? step.task_count : 1;
    return planner_.accounts().CountFittingAlone(account, DemandOf(step),
                                                 count) < count;
  });
}

void Leader::SetAccountFields(const wire::GraphJob& job,
                              const wire::JobQueue& queue,
                              policy::NewJob& new_job) const {
  new_job.over_rate = !account_rates_.HasToken(new_job.account, now_ms_);
  new_job.next_token_ms = account_rates_.NextTokenMs(new_job.account, now_ms_);
  new_job.needs_advice = queue.needs_advice;
  for (const auto& step : job.steps) {
    const std::int32_t together = step.gang ? step.task_count : 1;
    for (std::int32_t n = 0; step.depends_on.empty() && n < together; ++n) {
      new_job.first_demand += DemandOf(step);
    }
  }
}

// Starts are planned by the limits of that time, and several batches of them
// may be on their way to the log when a table with lower limits is committed.
bool Leader::ExceedsLoweredLimit(
    const std::vector<PendingStart>& starts) const {
  const auto account = starts.front().account;
  if (starts.front().table_version == store_.table().version ||
      !planner_.accounts().HasLimit(account)) {
    return false;
  }
  const auto& limit = planner_.accounts().LimitOf(account);
  auto used = workers_.SentUseOf(account);
  policy::Demand added;
  for (const auto& it : starts) {
    added += it.demand;
  }
  used += added;
  const auto exceeds = [](std::int64_t part, std::int64_t more,
                          std::int64_t whole) {
    return whole > 0 && more > 0 && part > whole;
  };
  return exceeds(used.milli_cpus, added.milli_cpus, limit.milli_cpus) ||
         exceeds(used.memory_mb, added.memory_mb, limit.memory_mb) ||
         exceeds(used.accelerators, added.accelerators, limit.accelerators);
}

}  // namespace cranberryshunt::cell
