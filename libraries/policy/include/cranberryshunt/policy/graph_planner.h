// Placement of step-graph tasks on called workers: which waiting task starts
// where now, and which questions to ask the advice service. No I/O and no
// clock; all times are milliseconds of the leader's boot clock.
#ifndef CRANBERRYSHUNT_POLICY_GRAPH_PLANNER_H_
#define CRANBERRYSHUNT_POLICY_GRAPH_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryshunt::policy {

// Sizes of a task, or of what a worker has or has reserved.
struct Demand {
  std::int64_t milli_cpus = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Demand&) const = default;
  Demand& operator+=(const Demand& other);
  Demand& operator-=(const Demand& other);
  bool FitsIn(const Demand& room) const;
};

Demand operator-(Demand a, const Demand& b);
// How many tasks of size `task` fit into `room`; at most `limit`.
std::int64_t FitCount(const Demand& task,
                      const Demand& room,
                      std::int64_t limit);

// Expected end of a task that holds part of a worker.
struct ExpectedEnd {
  std::int64_t at_ms = 0;
  Demand demand;

  bool operator==(const ExpectedEnd&) const = default;
};

struct PlanWorker {
  std::int64_t number = 0;
  std::string service_name;
  std::string rack;
  std::vector<std::string> labels;
  Demand capacity;
  Demand used;  // Of everything that runs there or may run there.
  // Accepts starts: alive, lease in order, not leaving and not suspected.
  bool usable = false;
  // Suspected of failing what it starts: gets one task at a time as a probe.
  bool probing = false;
  std::vector<ExpectedEnd> ends;  // In order of time.
  // What its tasks give back in a millisecond, on average.
  double milli_cpus_per_ms = 0;
  double memory_mb_per_ms = 0;
  // Kept for gangs that wait, in this round; later steps do not use it.
  Demand held;

  Demand FreeCapacity() const { return capacity - used; }
  Demand AvailableCapacity() const { return FreeCapacity() - held; }
  // Adds an end in order of time.
  void AddEnd(const ExpectedEnd& end);
};

struct Ticket {
  std::string text;
  std::int64_t valid_until_ms = 0;
};

// What the advice service said about one occurrence of a step. Whether a worker
// is allowed does not change during its life; only tickets age.
struct StepAdvice {
  bool needed = false;
  bool question_pending = false;
  double base_ms = 0;
  double per_worker_ms = 0;
  std::set<std::int64_t> asked_workers;  // Workers that were asked about.
  std::map<std::int64_t, Ticket> allowed;

  bool Allows(std::int64_t worker) const;
  bool HasTicket(std::int64_t worker, std::int64_t until_ms) const;
};

using StepId = std::int64_t;

// Room that a gang keeps on one worker until it can start.
struct HeldCapacity {
  std::int64_t worker = 0;
  Demand demand;

  bool operator==(const HeldCapacity&) const = default;
};

// A step with tasks that wait for a start.
struct PlanStep {
  StepId id = 0;
  std::string service_name;
  std::int32_t priority = 0;  // 0 is the most urgent.
  Demand demand;              // Of each task, as counted against capacity.
  bool gang = false;
  bool same_rack = false;
  std::string required_label;
  std::string data_rack;
  std::int32_t max_per_worker = 0;  // 0: no limit.
  std::int64_t expected_run_ms = 0;
  std::int64_t accepted_ms = 0;
  // The job is late when it ends after this.
  std::int64_t objective_ms = 0;
  // Expected time from the start of this step to the end of the job.
  std::int64_t remaining_ms = 0;
  std::vector<std::int32_t> waiting;  // Indexes of tasks.
  // Running tasks of the step by worker, for max_per_worker.
  std::map<std::int64_t, std::int32_t> running;
  // Workers on which a task of the step failed; avoided while there are others.
  std::set<std::int64_t> avoided;
  StepAdvice advice;
  // Set by whoever changes any of the above. Steps that did not change are
  // looked at again only when a worker of theirs did, and in full rounds.
  bool changed = true;
  // Of a gang; kept by the planner: the room that it waits for, and when all of
  // it is expected.
  std::vector<HeldCapacity> held;
  std::int64_t held_ready_ms = 0;
};

struct PlannedStart {
  StepId step = 0;
  std::int32_t index = 0;
  std::int64_t worker = 0;

  bool operator==(const PlannedStart&) const = default;
};

struct PlannedQuestion {
  StepId step = 0;
  std::vector<std::int64_t> workers;
  std::int64_t expected_ms = 0;  // Time that the service will take.

  bool operator==(const PlannedQuestion&) const = default;
};

struct Plan {
  std::vector<PlannedStart> starts;
  // In order of urgency.
  std::vector<PlannedQuestion> questions;
};

struct PlannerOptions {
  // Workers named in a first question about a step of fewer tasks than
  // `wide_step_tasks`.
  std::size_t max_workers_asked = 60;
  std::size_t wide_step_tasks = 8;
  // A ticket must stay valid this long to be used: commit of the start and the
  // way to the worker.
  std::int64_t ticket_margin_ms = 150;
  // Callers that are left free for first questions when steps that know enough
  // workers ask about more of them.
  std::int64_t reserved_callers = 12;
  // Questions that may be open at a time; callers are few.
  std::size_t max_questions = 64;
  // Room is held for the first gangs up to this share of the usable workers.
  // The openings of a worker come one by one, so gangs that wait side by side
  // keep each other's idle for longer than they run.
  double max_held_share = 0.25;
  // While a gang waits that can still make its objective, tasks of late steps
  // use up to this share of the usable workers.
  double max_late_share = 0.1;
  // All steps are looked at this often, because tickets, holds and quarantines
  // run out without an event.
  std::int64_t full_round_ms = 50;
};

class GraphPlanner {
 public:
  explicit GraphPlanner(PlannerOptions options = {});

  std::map<std::int64_t, PlanWorker>& workers() { return workers_; }
  std::map<StepId, PlanStep>& steps() { return steps_; }
  const std::map<std::int64_t, PlanWorker>& workers() const { return workers_; }
  const std::map<StepId, PlanStep>& steps() const { return steps_; }

  // A worker was added or changed since the last decision.
  void MarkWorkerChanged(std::int64_t worker) {
    changed_workers_.insert(worker);
  }
  // Plans starts and questions for now. Starts are reserved on the workers and
  // removed from the waiting tasks. `idle_callers` of the advice service have
  // nothing to ask.
  Plan Decide(std::int64_t now_ms, std::int64_t idle_callers = 0);

 private:
  struct Round;
  using Candidates = std::vector<PlanWorker*>;

  std::vector<PlanStep*> StepsByUrgency(std::int64_t now_ms);
  // Whether the worker may run tasks of the step, room and advice aside.
  static bool IsEligible(const PlanStep& step, const PlanWorker& worker);
  bool IsAffectedByChangedWorkers(const PlanStep& step) const;
  // Workers that advice allows; with `changed_only`, of those that changed.
  Candidates AllowedWorkers(const PlanStep& step, bool changed_only);
  void PlaceStep(PlanStep& step, Round& round);
  bool MayStartLate(const PlanStep& step, Round& round);
  void PlaceGang(PlanStep& step, const Candidates& workers, Round& round);
  void PlaceSingles(PlanStep& step, const Candidates& workers, Round& round);
  void ChooseHeldCapacity(PlanStep& step,
                          const Candidates& workers,
                          Round& round);
  void AskAboutHeldWorkers(PlanStep& step, Round& round);
  void HoldCapacity(const PlanStep& step, Round& round);
  void Start(PlanStep& step, PlanWorker& worker, Round& round);
  std::size_t MaxWorkersToAsk(const PlanStep& step) const;
  bool HasEnoughAllowedWorkers(const PlanStep& step,
                               std::size_t limit,
                               std::int64_t now_ms) const;
  void AskAboutNewWorkers(PlanStep& step, Round& round);
  void PlanQuestion(PlanStep& step,
                    const std::vector<std::int64_t>& workers,
                    Round& round);

  const PlannerOptions options_;
  std::map<std::int64_t, PlanWorker> workers_;
  std::map<StepId, PlanStep> steps_;
  std::set<std::int64_t> changed_workers_;
  // Workers on which room is held for gangs since the last decision began.
  std::vector<std::int64_t> workers_with_held_capacity_;
  std::int64_t full_round_at_ms_ = 0;
  // Usable workers of each service, as of the last full round.
  std::map<std::string, std::size_t> usable_workers_;
  std::map<std::string, Demand> usable_capacity_;  // Of these.
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_GRAPH_PLANNER_H_
