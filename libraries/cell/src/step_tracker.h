// Keeps the planner's steps in line with the jobs of the replicated state: adds
// steps that are ready to run, updates their waiting tasks and removes steps
// that are done.
#ifndef CRANBERRYSHUNT_CELL_STEP_TRACKER_H_
#define CRANBERRYSHUNT_CELL_STEP_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "cranberryshunt/graph/graph_store.h"
#include "cranberryshunt/policy/far_factor.h"
#include "cranberryshunt/policy/graph_planner.h"
#include "run_times.h"

namespace cranberryshunt::cell {

policy::Demand DemandOf(const wire::GraphStep& step);

// Expected time of an answer of the advice service to a typical question; 0 if
// the queue needs no advice.
std::int64_t ExpectedAdviceMs(const wire::JobQueue& queue);

// Whether tasks are taken to run for as long as expected, or as those that run
// for a short time.
enum class RunLength { kExpected, kShort };

// For each step, the time from its start to the end of its occurrence. A step
// that is wider than the limit of the job's account runs in several waves.
std::vector<std::int64_t> RemainingTimes(const wire::JobQueue& queue,
                                         const wire::GraphJob& job,
                                         const RunTimes& times,
                                         RunLength length,
                                         const policy::AccountLedger& accounts,
                                         policy::AccountNumber account);

class StepTracker {
 public:
  StepTracker(const graph::GraphStore& store,
              policy::GraphPlanner& planner,
              const RunTimes& times,
              const policy::FarFactors& far_factors)
      : store_(store),
        planner_(planner),
        run_times_(times),
        far_factors_(far_factors) {}

  // Sets the leader's time at which the job was accepted, less the time that
  // its caller had waited before.
  void RecordAcceptance(graph::JobId job, std::int64_t accepted_ms);
  // Adds the first steps of an accepted job that is being committed, so that
  // the advice service is asked meanwhile. If the commit fails, Refresh()
  // removes them.
  void AddUncommitted(const wire::AcceptedGraphJob& accepted,
                      std::int64_t now_ms);
  // Updates the waiting tasks of all steps of a job. `wall_ms` is Unix time.
  void Refresh(graph::JobId job, std::int64_t now_ms, std::int64_t wall_ms);
  void RefreshStep(const graph::StepKey& key,
                   std::int64_t now_ms,
                   std::int64_t wall_ms);
  // Updates the expected times of steps with waiting tasks to what was learned
  // since they were added.
  void RefreshEstimates();
  // Returns the jobs of which an occurrence became due.
  std::vector<graph::JobId> TakeDueJobs(std::int64_t wall_ms);

  // Keeps the task from being planned while a start or a result of it on
  // `worker` is being committed.
  void Reserve(const graph::TaskKey& task, graph::WorkerNumber worker);
  void EndReservation(const graph::TaskKey& task);

  // Counts a run of a task against the limit of its step on `worker`, also once
  // the task is done, until EndStoppingRun() is called. If the run is counted
  // already, sets its worker.
  void AddStoppingRun(const graph::TaskKey& task,
                      std::int32_t run,
                      graph::WorkerNumber worker);
  // Returns whether the run was counted.
  bool EndStoppingRun(const graph::TaskKey& task, std::int32_t run);
  bool IsStopping(const graph::TaskKey& task, std::int32_t run) const {
    return stopping_.contains({task, run});
  }

  const graph::StepKey& KeyOf(policy::StepId id) const { return keys_.at(id); }
  bool Has(policy::StepId id) const { return keys_.contains(id); }
  policy::PlanStep* Find(const graph::StepKey& key);
  // Returns the steps that were removed since the last call.
  std::vector<policy::StepId> TakeRemovedSteps();

 private:
  void Remove(const graph::StepKey& key);
  policy::PlanStep& Add(const graph::Job& job,
                        const graph::StepKey& key,
                        std::int64_t now_ms);
  void SetEstimates(const graph::Job& job,
                    const graph::StepKey& key,
                    policy::PlanStep& step) const;
  std::int64_t StartedWavesMs(const graph::Job& job,
                              const graph::StepKey& key,
                              const policy::PlanStep& step) const;
  void UpdateWaitingTasks(const graph::Job& job,
                          const graph::StepKey& key,
                          policy::PlanStep& step,
                          std::int64_t now_ms) const;

  const graph::GraphStore& store_;
  policy::GraphPlanner& planner_;
  const RunTimes& run_times_;
  const policy::FarFactors& far_factors_;
  std::map<graph::StepKey, policy::StepId> ids_;
  std::map<policy::StepId, graph::StepKey> keys_;
  std::map<graph::JobId, std::int64_t> accepted_ms_;
  std::map<graph::TaskKey, graph::WorkerNumber> reserved_;
  std::map<std::pair<graph::TaskKey, std::int32_t>, graph::WorkerNumber>
      stopping_;
  std::set<std::pair<std::int64_t, graph::JobId>> due_jobs_;
  std::vector<policy::StepId> removed_steps_;
  policy::StepId next_id_ = 1;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_STEP_TRACKER_H_
