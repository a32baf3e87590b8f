// Estimates which workers the waiting steps will use, so that their questions
// to the advice service spread over the fleet.
#include <algorithm>

#include "plan_round.h"

namespace cranberryshunt::policy {

namespace {

// Expected use of each worker if the waiting tasks of the step spread evenly
// over `workers` of them.
double UseOfEach(const PlanStep& step, std::size_t workers) {
  return static_cast<double>(step.waiting.size()) *
         static_cast<double>(step.demand.milli_cpus) /
         static_cast<double>(std::max<std::size_t>(1, workers));
}

}  // namespace

// Without this estimate all steps that ask at about the same time ask about the
// same workers, those that are free now. These are full when the answers come,
// so the steps have to ask again.
void GraphPlanner::UpdateExpectedUse() {
  for (const auto& [id, step] : waiting_steps_) {
    if (step->at_limit) {
      continue;
    }
    const auto& advice = step->advice;
    const auto& pending = advice.pending_workers;
    const auto allowed = advice.allowed.size();
    const auto use = UseOfEach(*step, pending.size() + allowed);
    const auto add = [&](std::int64_t number) {
      if (auto* worker = FindIndexed(number); worker != nullptr) {
        worker->expected_milli_cpus += use;
      }
    };
    for (const auto number : pending) {
      add(number);
    }
    for (const auto& [number, ticket] : advice.allowed) {
      add(number);
    }
  }
}

void GraphPlanner::AddExpectedUse(const PlanStep& step,
                                  const std::vector<std::int64_t>& workers) {
  const auto& advice = step.advice;
  const auto use =
      UseOfEach(step, workers.size() + advice.pending_workers.size() +
                          advice.allowed.size());
  for (const auto number : workers) {
    if (auto* worker = FindIndexed(number); worker != nullptr) {
      worker->expected_milli_cpus += use;
    }
  }
}

}  // namespace cranberryshunt::policy
