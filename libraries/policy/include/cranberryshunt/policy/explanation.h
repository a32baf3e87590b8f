// Explains where the tasks of a step would go now, and why not elsewhere.
#ifndef CRANBERRYSHUNT_POLICY_EXPLANATION_H_
#define CRANBERRYSHUNT_POLICY_EXPLANATION_H_

#include <cstdint>
#include <vector>

#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::policy {

// The workers of the step's service. Each counts once, by the first cause in
// this order that keeps it from getting a task of the step now.
struct WorkerCauses {
  std::int64_t not_usable = 0;   // Lost, draining, quarantined or exclusive.
  std::int64_t label = 0;        // Lacks the required label.
  std::int64_t too_small = 0;    // Has no room even when it is idle.
  std::int64_t not_allowed = 0;  // Advice does not allow it, or was not asked.
  std::int64_t avoided = 0;      // A task of the step failed on it.
  std::int64_t limit_per_worker = 0;
  std::int64_t no_room = 0;
  std::int64_t held = 0;  // Has room, which is held for gangs.
  std::int64_t no_ticket = 0;
  std::int64_t fit = 0;  // None of these.

  bool operator==(const WorkerCauses&) const = default;
};

struct StepExplanation {
  WorkerCauses workers;
  // The starts of the step if all steps were planned now.
  std::vector<PlannedStart> starts;
  std::int64_t waiting = 0;  // Tasks that would go on waiting.
  // Of these, the tasks that would leave far room for a near place.
  std::int64_t near_waiting = 0;
};

// `step` need not be known to the planner. The planner is not changed: the same
// decision runs on a copy of its state.
StepExplanation ExplainStep(const GraphPlanner& planner,
                            const PlanStep& step,
                            std::int64_t now_ms);

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_EXPLANATION_H_
