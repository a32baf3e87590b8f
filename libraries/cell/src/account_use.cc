// What the tracked runs use of the limits of their accounts.
#include "worker_tracker.h"

namespace cranberryshunt::cell {

void WorkerTracker::SetAccount(const TaskKey& task,
                               std::int32_t run,
                               policy::AccountNumber account,
                               const policy::Demand& demand) {
  const auto* found = FindWorkerOf(task, run);
  if (found == nullptr) {
    return;
  }
  auto& worker = workers_.at(found->number);
  auto& it = worker.runs.at({task, run});
  it.account = account;
  it.account_demand = demand;
  changed_workers_.insert(worker.number);
}

std::vector<policy::AccountUse> WorkerTracker::DepartedUse() const {
  std::vector<policy::AccountUse> out;
  for (const auto& [id, departed] : departed_workers_) {
    for (const auto& [key, it] : departed.runs) {
      policy::AddTask(out, it.run.account, it.run.account_demand,
                      it.run.expected_run_ms);
    }
  }
  return out;
}

policy::Demand WorkerTracker::SentUseOf(policy::AccountNumber account) const {
  policy::Demand out;
  const auto add = [&](const Run& run) {
    if (run.account == account && run.phase != RunPhase::kProposed) {
      out += run.account_demand;
    }
  };
  for (const auto& [number, worker] : workers_) {
    for (const auto& [key, run] : worker.runs) {
      add(run);
    }
  }
  for (const auto& [id, departed] : departed_workers_) {
    for (const auto& [key, it] : departed.runs) {
      add(it.run);
    }
  }
  return out;
}

}  // namespace cranberryshunt::cell
