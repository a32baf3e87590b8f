#include "cranberryshunt/policy/explanation.h"

#include <algorithm>

#include "plan_round.h"

namespace cranberryshunt::policy {

namespace {

// Returns the counter of the first cause that excludes the worker.
std::int64_t& CauseOf(const GraphPlanner& planner,
                      const PlanStep& step,
                      const PlanWorker& worker,
                      std::int64_t now_ms,
                      WorkerCauses& causes) {
  if (!IsOpen(worker)) {
    return causes.not_usable;
  }
  if (!HasLabel(worker, step.required_label)) {
    return causes.label;
  }
  if (!step.demand.FitsIn(worker.capacity)) {
    return causes.too_small;
  }
  if (!step.advice.Allows(worker.number)) {
    return causes.not_allowed;
  }
  if (step.avoided.contains(worker.number)) {
    return causes.avoided;
  }
  if (PerWorkerLimit(step, worker) <= 0) {
    return causes.limit_per_worker;
  }
  if (!step.demand.FitsIn(worker.FreeCapacity())) {
    return causes.no_room;
  }
  if (!step.demand.FitsIn(worker.AvailableCapacity())) {
    return causes.held;
  }
  if (!step.advice.HasTicket(worker.number,
                             now_ms + planner.options().ticket_margin_ms)) {
    return causes.no_ticket;
  }
  return causes.fit;
}

}  // namespace

StepExplanation ExplainStep(const GraphPlanner& planner,
                            const PlanStep& step,
                            std::int64_t now_ms) {
  StepExplanation out;
  for (const auto& [number, worker] : planner.workers()) {
    if (worker.service_name == step.service_name) {
      ++CauseOf(planner, step, worker, now_ms, out.workers);
    }
  }
  // A GraphPlanner holds pointers to its steps, so it is built anew.
  GraphPlanner copy(planner.options());
  copy.workers() = planner.workers();
  copy.accounts() = planner.accounts();
  for (const auto& [id, known] : planner.steps()) {
    copy.AddStep(known);
  }
  copy.AddStep(step);
  for (const auto& it : copy.Decide(now_ms).starts) {
    if (it.step == step.id) {
      out.starts.push_back(it);
    }
  }
  const auto& planned = copy.steps().at(step.id);
  const auto waiting = planned.waiting.size();
  out.waiting = static_cast<std::int64_t>(waiting);
  out.near_waiting = static_cast<std::int64_t>(
      planned.leaves_far_room ? waiting
                              : std::min(planned.near_waiting, waiting));
  return out;
}

}  // namespace cranberryshunt::policy
