// What the parts of the graph planner share: the state of one round, and the
// measures by which workers and steps are compared.
#ifndef CRANBERRYSHUNT_POLICY_PLAN_ROUND_H_
#define CRANBERRYSHUNT_POLICY_PLAN_ROUND_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::policy {

// State of one call of Decide().
struct GraphPlanner::Round {
  std::int64_t now_ms = 0;
  bool full = false;
  // Share of the usable capacity that is held for gangs so far.
  double held_share = 0;
  std::int64_t idle_callers = 0;
  // Whether a gang that can still meet its objective waits for capacity.
  bool gang_waits = false;
  // Share of the usable capacity that tasks of late steps use.
  double late_share = 0;
  // Whether the step at hand is planned with all its workers, and whether it
  // may ask for advice.
  bool plan_fully = false;
  bool may_ask = true;
  // The tasks of the steps planned so far that wait for a near place, by rack.
  struct NearTasks {
    Demand demand;
    std::size_t count = 0;
  };
  std::map<std::string, std::vector<NearTasks>> near_tasks;
  // All workers by rack, once a step has needed them.
  std::map<std::string, Candidates> racks;
  Plan plan;
};

// The advice service accepts up to this many workers in one question.
inline constexpr std::size_t kMaxWorkersPerQuestion = 100;
// Added to the service's own time until its answer can be used.
inline constexpr std::int64_t kAnswerTransitMs = 60;

// Expected time in which the service answers a question about `n` workers.
inline std::int64_t AnswerMs(const PlanStep& step, std::size_t n) {
  return static_cast<std::int64_t>(
      step.advice.base_ms + step.advice.per_worker_ms * static_cast<double>(n));
}

// The larger of the processor share and the memory share of `part` in `whole`.
inline double ShareOf(const Demand& part, const Demand& whole) {
  const auto share = [](std::int64_t a, std::int64_t b) {
    return b > 0 ? static_cast<double>(a) / static_cast<double>(b) : 0.0;
  };
  return std::max(share(part.milli_cpus, whole.milli_cpus),
                  share(part.memory_mb, whole.memory_mb));
}

// Larger of the processor and memory shares of the worker that would stay free
// after a task of this size is placed on it. Workers with the smallest share
// are preferred, which packs tasks tightly and keeps whole workers free for
// wide steps.
inline double LeftoverShare(const PlanWorker& worker, const Demand& demand) {
  return ShareOf(worker.FreeCapacity() - demand, worker.capacity);
}

// How many further tasks of the step the worker may run, according to
// `max_per_worker`.
inline std::int64_t PerWorkerLimit(const PlanStep& step,
                                   const PlanWorker& worker) {
  if (step.max_per_worker <= 0) {
    return std::numeric_limits<std::int32_t>::max();
  }
  const auto running = step.running.find(worker.number);
  return step.max_per_worker -
         (running == step.running.end() ? 0 : running->second);
}

// Whether the step's job is expected to end after its objective even if the
// step started now.
inline bool IsLate(const PlanStep& step, std::int64_t now_ms) {
  return now_ms > LatestStartMs(step);
}

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_PLAN_ROUND_H_
