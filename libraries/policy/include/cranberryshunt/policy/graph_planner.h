// Places the tasks of step graphs on the workers that the leader sends orders
// to, and decides which questions to send to the advice service. Does no I/O
// and reads no clock; all times are in milliseconds of the leader's boot clock.
#ifndef CRANBERRYSHUNT_POLICY_GRAPH_PLANNER_H_
#define CRANBERRYSHUNT_POLICY_GRAPH_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cranberryshunt/base/flat_containers.h"
#include "cranberryshunt/policy/account_ledger.h"
#include "cranberryshunt/policy/demand.h"
#include "cranberryshunt/policy/graph_admission.h"

namespace cranberryshunt::policy {

// Expected end of a task that occupies a part of a worker.
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
  Demand used;  // By all tasks that run or may run on the worker.
  // Whether the worker accepts starts: it is alive, its lease is valid, and it
  // is neither leaving nor quarantined.
  bool usable = false;
  // Whether the worker is tested with one task at a time because tasks failed
  // on it.
  bool probing = false;
  // Whether the worker is left to a task that may crash it.
  bool exclusive = false;
  std::vector<ExpectedEnd> ends;  // Ordered by time.
  // Average resources that its tasks release per millisecond.
  double milli_cpus_per_ms = 0;
  double memory_mb_per_ms = 0;
  // The parts of `used` and of these rates that belong to accounts.
  std::vector<AccountUse> accounts;
  // The part of `used` that belongs to jobs beyond the rate of their account.
  Demand used_over_rate;
  // Capacity that the current or last Decide() holds for waiting gangs. Steps
  // that are planned later in the same call do not use it unless they are held
  // back.
  Demand held;
  // The part of `held` that has been held for long.
  Demand held_long;

  // Negative if the capacity has shrunk below what is used.
  Demand FreeCapacity() const { return capacity - used; }
  // Free capacity that is not held for gangs.
  Demand AvailableCapacity() const { return FreeCapacity() - held; }
  // Inserts an end and keeps `ends` ordered.
  void AddEnd(const ExpectedEnd& end);
};

// Permission of the advice service to start a task on a worker.
struct Ticket {
  std::string text;
  std::int64_t valid_until_ms = 0;
};

// Answers of the advice service for one occurrence of a step. Whether a worker
// is allowed does not change during its life; only its ticket expires.
struct StepAdvice {
  bool needed = false;  // Whether a start of the step needs a ticket.
  // Questions about workers without an answer, and these workers.
  std::int32_t open_questions = 0;
  FlatSet<std::int64_t> pending_workers;
  // A question for new tickets of allowed workers, and when they are expected.
  bool renewal_pending = false;
  FlatSet<std::int64_t> renewing;
  std::int64_t renewal_due_ms = 0;
  std::int64_t last_question_ms = 0;  // 0: none yet.
  // The service is expected to answer a question within `base_ms` plus
  // `per_worker_ms` for each worker in the question.
  double base_ms = 0;
  double per_worker_ms = 0;
  std::int64_t ticket_valid_ms = 0;       // From the answer on.
  FlatSet<std::int64_t> asked_workers;    // Workers with an answer.
  FlatMap<std::int64_t, Ticket> allowed;  // By worker.
  // Set by the planner: the version of the workers at which there was an answer
  // about each eligible one; 0 if there was none.
  std::int64_t complete_at_version = 0;

  // Must be called when a question is planned, and when it was answered or
  // given up. `due_ms` is when its answer is expected.
  void BeginQuestion(const std::vector<std::int64_t>& workers,
                     bool renewal,
                     std::int64_t due_ms);
  void EndQuestion(const std::vector<std::int64_t>& workers, bool renewal);
  // Records an answer about the workers `asked`: the service allows those in
  // `tickets`.
  void RecordAnswer(const std::vector<std::int64_t>& asked,
                    std::map<std::int64_t, Ticket> tickets);
  bool Allows(std::int64_t worker) const;
  // Whether no ticket is needed, or the worker's ticket is valid until
  // `until_ms` at least.
  bool HasTicket(std::int64_t worker, std::int64_t until_ms) const;
};

using StepId = std::int64_t;

// Capacity of one worker that is held for a gang until the gang can start.
struct HeldCapacity {
  std::int64_t worker = 0;
  Demand demand;

  bool operator==(const HeldCapacity&) const = default;
};

// A step with tasks that wait to be started.
struct PlanStep {
  StepId id = 0;
  std::string queue_name;  // For logs only.
  std::string service_name;
  std::int32_t priority = 0;  // 0 is the most urgent.
  Demand demand;              // Of each task.
  bool gang = false;
  bool same_rack = false;  // Prefers one rack for all tasks of a gang.
  std::string required_label;
  std::string data_rack;  // Preferred rack of single tasks. Empty: none.
  std::int32_t max_per_worker = 0;  // Running tasks. 0: no limit.
  // On a near place: on `data_rack`, or for a gang with `same_rack`, on one
  // rack.
  std::int64_t expected_run_ms = 0;
  // How many times as long the tasks run on a far place. 0: as the options say.
  double far_run_factor = 0;
  bool long_running = false;  // Tasks run until they are stopped.
  // Account of the job, and whether the job was accepted beyond its rate.
  AccountNumber account = kNoAccount;
  bool over_rate = false;
  std::int64_t accepted_ms = 0;
  // Since when all steps before this one are done. 0: there are none.
  std::int64_t ready_ms = 0;
  // The job is late if it ends after this time.
  std::int64_t objective_ms = 0;
  // Expected time from the start of this step to the end of the job.
  std::int64_t remaining_ms = 0;
  std::vector<std::int32_t> waiting;  // Indexes of tasks.
  // The waiting tasks that may crash their workers, with the times since when
  // they wait: they are placed on empty workers. In a gang, all tasks.
  std::map<std::int32_t, std::int64_t> suspects;
  // Whether the job is still being committed. Until then the step asks for
  // advice, but no task of it starts.
  bool uncommitted = false;
  // Number of tasks of a gang that wait for the end of other members' runs.
  std::int32_t blocked = 0;
  // Since when tasks wait or are blocked and none was placed.
  std::int64_t waiting_since_ms = 0;
  // Set by the planner: since when there has been a waiting task without a
  // break; 0 if there is none.
  std::int64_t unserved_since_ms = 0;
  // Number of running tasks of the step on each worker.
  std::map<std::int64_t, std::int32_t> running;
  // Workers on which a task of the step failed. They are used only if the other
  // eligible workers that are allowed cannot hold the step, or if the step is
  // held back.
  std::set<std::int64_t> avoided;
  StepAdvice advice;
  // Must be set by the code that changes any of the fields above. An unchanged
  // step is planned only in a full round, or when one of its workers changed.
  bool changed = true;
  // Set by the planner for a waiting gang: the capacity held for it, and the
  // time at which it is expected to have room and tickets for all its tasks; 0
  // if the allowed workers cannot hold it.
  std::vector<HeldCapacity> held;
  std::int64_t held_ready_ms = 0;
  std::int64_t held_since_ms = 0;  // 0: nothing is held.
  // Set by the planner: whether the held capacity is free, so that only tickets
  // are missing.
  bool held_room_free = false;
  // Set by the planner: how many waiting tasks wait for a near place, or the
  // rack that a gang waits for, and since when they have left far room for it;
  // 0 if they have left none.
  std::size_t near_waiting = 0;
  std::string near_rack;
  std::int64_t near_wait_since_ms = 0;
  // Set by the planner: whether a gang had far room for all its tasks when it
  // was last planned, and left it.
  bool leaves_far_room = false;
  // Set by the planner: when it last looked for workers for the step; 0: never.
  std::int64_t planned_ms = 0;
  // Set by the planner: whether no task, or not the whole gang, can start
  // within the limit of the account.
  bool at_limit = false;
  // Set by the planner: whether workers are allowed and have no room.
  bool lacks_room = false;
};

// How late a job ends if the step starts now.
enum class Lateness {
  kOnTime,   // Before its objective.
  kLate,     // After it, while the result is still of use.
  kTooLate,  // After several times its objective.
};

// The latest starts of the step with which its job is on time, and of use.
// Long-running tasks are always of use, and so are the runs that show whether a
// task crashes its workers.
std::int64_t LatestStartMs(const PlanStep& step);
std::int64_t LatestUsefulStartMs(const PlanStep& step);
Lateness LatenessOf(const PlanStep& step, std::int64_t now_ms);
// Rank in the order in which steps are planned and their questions are asked,
// the first one with 0. Jobs beyond the rate of their account come after all
// others that are still of use.
int UrgencyRank(Lateness lateness, bool over_rate);

// The workers that a waiting step may use.
struct StepWorkers {
  std::size_t eligible = 0;
  std::size_t allowed = 0;  // Eligible and allowed by the advice service.
  std::int64_t fit = 0;     // Tasks that fit into the free capacity of these.

  bool operator==(const StepWorkers&) const = default;
};

// The gangs that wait, by what they wait for.
struct GangSummary {
  std::int64_t waiting = 0;
  std::int64_t late = 0;       // Of `waiting`.
  std::int64_t unplanned = 0;  // Of `waiting`, not planned for a second.
  std::int64_t longest_unplanned_ms = 0;
  // Gangs for which capacity is held, and that capacity: of gangs that lack
  // only tickets, and of those that lack room.
  std::int64_t lacking_tickets = 0;
  std::int64_t lacking_room = 0;
  std::int64_t milli_cpus_lacking_tickets = 0;
  std::int64_t milli_cpus_lacking_room = 0;
  // Gangs for which nothing is held, but whose tickets are being renewed.
  std::int64_t renewing_without_room = 0;

  bool operator==(const GangSummary&) const = default;
};

// Where a task is placed in relation to the rack that its step prefers.
enum class Nearness {
  kAny,  // The step prefers none.
  kNear,
  kFar,
};

struct PlannedStart {
  StepId step = 0;
  std::int32_t index = 0;
  std::int64_t worker = 0;
  Nearness nearness = Nearness::kAny;
  std::int64_t expected_run_ms = 0;  // On this place.
  // How long the step has left far room for a near place; 0: not at all.
  std::int64_t near_wait_ms = 0;

  bool operator==(const PlannedStart&) const = default;
};

struct PlannedQuestion {
  StepId step = 0;
  std::vector<std::int64_t> workers;
  // Whether it asks for new tickets of workers that are allowed already.
  bool renewal = false;
  std::int64_t expected_ms = 0;  // Expected answer time of the service.

  bool operator==(const PlannedQuestion&) const = default;
};

struct Plan {
  std::vector<PlannedStart> starts;
  // Ordered by urgency of their steps.
  std::vector<PlannedQuestion> questions;
};

struct WorkerTotals {
  Demand free;  // Capacity that is free on usable workers.
  // Average resources that the tasks of all workers release per millisecond.
  double milli_cpus_per_ms = 0;
  double memory_mb_per_ms = 0;

  WorkerTotals& operator+=(const WorkerTotals& other);
  WorkerTotals& operator-=(const WorkerTotals& other);
};

struct PlannerOptions {
  // Limit of workers in one question about new workers, for a step with fewer
  // waiting tasks than `wide_step_tasks`. For other steps, only the limit of
  // the advice service applies.
  std::size_t max_workers_asked = 60;
  std::size_t wide_step_tasks = 8;
  // Limit of workers in one question for new tickets of single tasks.
  std::size_t max_workers_renewed = 40;
  // Questions about new workers that a gang may have open at the same time.
  std::int32_t max_open_questions = 3;
  // Time in which the workers that a gang was allowed are expected to give it
  // room after the answer.
  std::int64_t gather_ms = 500;
  // Time that a gang needs for each of its tasks to gather room and tickets.
  std::int64_t gather_ms_per_task = 30;
  // Capacity is held for a gang that is expected to start within this time, and
  // the time for which it has waited: about as long as a ticket is valid and
  // an answer takes.
  std::int64_t max_hold_ms = 3'000;
  // A ticket is used only if it stays valid for at least this long, to cover
  // the commit of the start and its delivery to the worker.
  std::int64_t ticket_margin_ms = 150;
  // Number of idle callers of the advice service that are reserved for steps
  // without enough allowed workers. A gang that has enough allowed workers asks
  // about further workers only while more callers than this are idle.
  std::int64_t reserved_callers = 12;
  // If the allowed workers of a step have no room now, and no task of it was
  // placed for `held_back_ms`, it asks about further workers that have room. A
  // late step asks about workers without room too after this time.
  std::int64_t long_wait_ms = 3'000;
  // A step is held back if no task of it was placed for this long and its
  // service is not busy. So is one whose tasks are long-running, however busy
  // the service is, because the tasks that it waits for may have no end either.
  // A step that is held back does without the preferences that delay it.
  std::int64_t held_back_ms = 1'500;
  // Any other step is held back after this time. Before it, steps that have
  // enough allowed workers ask only while a caller is idle. Capacity has been
  // held for long after this time.
  std::int64_t max_wait_ms = 10'000;
  // A service is busy if more than this share of its usable capacity is used.
  double busy_share = 0.6;
  // Limit of questions in one plan, because callers are few.
  std::size_t max_questions = 64;
  // No capacity is held for further gangs once this share of the usable
  // capacity is held. Capacity becomes free piece by piece, so if many gangs
  // held capacity at the same time, it would stay idle for longer than the
  // gangs run.
  double max_held_share = 0.25;
  // While a gang that can still meet its objective is waiting, late steps start
  // further tasks only if they use less than this share of the usable capacity.
  // Long-running steps don't count, and start tasks once they are held back.
  double max_late_share = 0.1;
  // Limits of the times for which suspects are held back because many workers
  // crash, and for which they wait for empty workers, both from when they began
  // to wait.
  std::int64_t max_suspect_hold_ms = 2'000;
  std::int64_t max_empty_wait_ms = 2'500;
  // How many times as long tasks run on a far place as on a near one. If it is
  // not above 1, no task waits for a near place.
  double far_run_factor = 1;
  // Period of full rounds, which plan all steps. Tickets, holds and quarantines
  // expire without an event.
  std::int64_t full_round_ms = 50;
};

class GraphPlanner {
 public:
  explicit GraphPlanner(PlannerOptions options = {});

  const PlannerOptions& options() const { return options_; }
  // Workers by number.
  std::map<std::int64_t, PlanWorker>& workers() { return workers_; }
  const std::map<std::int64_t, PlanWorker>& workers() const { return workers_; }
  const std::map<StepId, PlanStep>& steps() const { return steps_; }
  // The steps that may have waiting tasks.
  const FlatMap<StepId, PlanStep*>& waiting_steps() const {
    return waiting_steps_;
  }
  // Of all workers, as of the last Decide() and with the starts that it
  // planned.
  const WorkerTotals& worker_totals() const { return worker_totals_; }
  // Use and limits of the accounts. The use is that of the last Decide().
  AccountLedger& accounts() { return accounts_; }
  const AccountLedger& accounts() const { return accounts_; }
  // Sets what runs use that may go on although their workers have left.
  void SetDepartedUse(const std::vector<AccountUse>& uses);

  // Adds the step, or replaces the one with the same id. The reference stays
  // valid until the step is removed.
  PlanStep& AddStep(PlanStep step);
  // Returns null if there is no such step.
  PlanStep* FindStep(StepId id);
  void RemoveStep(StepId id);
  // Must be called when a step without waiting tasks gets some.
  void MarkStepWaiting(PlanStep& step) { waiting_steps_[step.id] = &step; }

  StepWorkers WorkersOf(const PlanStep& step) const;
  // What waits, is free and is given back, as of the last Decide(). The times
  // of answers are left at 0.
  LoadSummary SummarizeLoad(std::int64_t now_ms) const;
  GangSummary SummarizeGangs(std::int64_t now_ms) const;

  // Must be called when a worker was added or changed, so that the next
  // Decide() plans the steps that may use it.
  void MarkWorkerChanged(std::int64_t worker) {
    changed_workers_.insert(worker);
  }
  // Must be called when the number of a worker has ended. Removes the worker,
  // and all entries of it in the steps.
  void RemoveWorker(std::int64_t number);
  // Makes the next round a full one.
  void RequireFullRound() { full_round_at_ms_ = 0; }
  // Whether many workers crash now.
  void set_unrest(bool unrest) { unrest_ = unrest; }
  // Plans the starts and questions for this time. Planned starts are added to
  // the used capacity of their workers and removed from the waiting tasks.
  // `idle_callers` is the number of callers of the advice service without a
  // question.
  Plan Decide(std::int64_t now_ms, std::int64_t idle_callers = 0);

 private:
  struct Round;
  using Candidates = std::vector<PlanWorker*>;

  // Time that a step needs before all its tasks can start; 0 if they can start
  // one by one.
  std::int64_t GatherMs(const PlanStep& step) const;
  // Returns the steps with waiting tasks, most urgent first.
  std::vector<PlanStep*> StepsByUrgency(std::int64_t now_ms);
  // Whether the worker may run tasks of the step, regardless of its free
  // capacity and of advice.
  static bool IsEligible(const PlanStep& step, const PlanWorker& worker);
  // What `worker_totals_` contains of a worker.
  struct IndexedWorker {
    std::int64_t number = 0;
    PlanWorker* worker = nullptr;
    WorkerTotals part;
    // What steps that wait are expected to use of the worker: each waiting step
    // spreads its demand over the workers that it may use or has asked about.
    double expected_milli_cpus = 0;
  };

  // What decides, apart from time and free capacity, for which steps a worker
  // is eligible.
  struct Offer {
    bool open = false;
    std::string service_name;
    std::vector<std::string> labels;
    Demand capacity;
  };

  // Brings `offers_` and `workers_version_` up to date.
  void UpdateOffers();
  void UpdateOffer(std::int64_t number, const PlanWorker& worker);
  // Brings `all_workers_`, `changed_candidates_` and `worker_totals_` up to
  // date.
  void IndexWorkers(bool full);
  // Returns false if a changed worker was added or removed.
  bool IndexChangedWorkers();
  void IndexAllWorkers();
  IndexedWorker* FindIndexed(std::int64_t number);
  // expected_use.cc
  // Sets `expected_milli_cpus` of all workers.
  void UpdateExpectedUse();
  // Adds the demand of the step to the workers that it now asks about.
  void AddExpectedUse(const PlanStep& step,
                      const std::vector<std::int64_t>& workers);
  PlanWorker* FindWorker(std::int64_t number);
  // Whether advice allows any of the changed workers for the step, and that
  // worker has free capacity for a task of it.
  bool IsAffectedByChangedWorkers(const PlanStep& step) const;
  // Returns the eligible workers that advice allows. With `changed_only`,
  // considers only changed workers.
  Candidates AllowedWorkers(const PlanStep& step,
                            bool changed_only,
                            std::int64_t now_ms);
  bool IsHeldBack(const PlanStep& step, std::int64_t now_ms) const;
  bool IsFreeSoon(const PlanStep& step,
                  const Candidates& workers,
                  std::int64_t now_ms) const;
  // Returns the capacity of the worker that the step may use. If it is held
  // back, that includes capacity that is held for gangs: for a long-running
  // step all of it, for the first task of another step what has been held for
  // long.
  Demand UsableCapacity(const PlanStep& step,
                        const PlanWorker& worker,
                        std::int64_t now_ms) const;
  void UpdateServices();
  // account_limits.cc
  // Brings the use of the accounts up to date with the workers.
  void UpdateAccounts(bool full);
  // Whether the limit of its account leaves room for a further task of the
  // step.
  bool FitsLimit(const PlanStep& step) const {
    return step.account == kNoAccount ||
           accounts_.CountFitting(step.account, step.demand, 1) > 0;
  }
  // Whether it leaves none for a task, or for the whole gang.
  bool IsAtLimit(const PlanStep& step) const;
  // Whether less urgent steps leave the step room under the limit, so that
  // advice can be used.
  bool MayAskForAdvice(const PlanStep& step) const;
  // Handles a step that cannot start because of the limit of its account.
  void WaitAtLimit(PlanStep& step, Round& round);
  // Counts the room that the step is going to use under the limit.
  void ClaimRoom(const PlanStep& step);
  void SummarizeAccounts(std::int64_t now_ms, LoadSummary& load) const;
  // Updates the recent peak of jobs within the rates of their accounts.
  void UpdateRateUse(std::int64_t now_ms);
  void PlaceStep(PlanStep& step, Round& round);
  bool MayStartLate(const PlanStep& step, Round& round);
  void PlaceSingles(PlanStep& step, const Candidates& workers, Round& round);
  // suspects.cc
  void PlaceSuspectGang(PlanStep& step,
                        const Candidates& workers,
                        std::int64_t now_ms,
                        Round& round);
  // Removes the suspects from the waiting tasks and returns those that are not
  // placed but have to wait.
  std::vector<std::int32_t> PlaceSuspects(PlanStep& step,
                                          std::int64_t now_ms,
                                          Round& round);
  PlanWorker* FindEmptyWorker(PlanStep& step,
                              const Candidates& workers,
                              std::int64_t now_ms,
                              Round& round);
  // gang_placement.cc
  void PlaceGang(PlanStep& step, const Candidates& workers, Round& round);
  void AssembleGang(PlanStep& step, const Candidates& workers, Round& round);
  void HoldCapacity(const PlanStep& step, Round& round);
  // `spread`: whether the members of a gang are placed on several racks.
  void Start(PlanStep& step,
             PlanWorker& worker,
             Round& round,
             bool spread = false);
  // near_wait.cc
  // Returns how many times as long tasks of the step run on a far place.
  double FarRunFactor(const PlanStep& step) const;
  bool MayWaitForNearPlace(const PlanStep& step) const;
  PlannedStart DescribeStart(const PlanStep& step,
                             const PlanWorker& worker,
                             const Round& round,
                             bool spread) const;
  // Returns the times at which the worker is expected to have room and a ticket
  // for one, two and more tasks of the step.
  std::vector<std::int64_t> NearOpenings(const PlanStep& step,
                                         const PlanWorker& worker,
                                         const Round& round) const;
  // Returns the number of tasks that wait for the rack before the step, counted
  // in tasks of its size.
  static std::size_t CountTasksAhead(const PlanStep& step,
                                     const std::string& rack,
                                     const Round& round);
  // Returns how many of the waiting tasks had better wait for a near place than
  // start on a far one now, and renews the tickets that these lack.
  std::size_t PlanNearWait(PlanStep& step, Round& round);
  // Sets the rack for which a gang had better wait; empty if there is none.
  void ChooseNearRack(PlanStep& step,
                      const Candidates& workers,
                      const Round& round);
  // Whether a gang that could start on several racks waits for one rack.
  static bool WaitsForNearRack(PlanStep& step, const Round& round);
  // Whether a gang had better start on several racks than wait for the rack.
  bool IsRackTooSlow(const PlanStep& step, const std::string& rack) const;
  static void EndNearWait(PlanStep& step);
  static void CountNearWait(const PlanStep& step, Round& round);
  // advice_questions.cc
  // Returns which of these workers to ask about so that the step has valid
  // tickets for all of them when the answer comes. Empty if it has them now.
  std::vector<std::int64_t> MissingTickets(
      const PlanStep& step,
      const std::vector<std::int64_t>& workers,
      std::int64_t now_ms) const;
  // Limit of workers in one question about new workers.
  std::size_t MaxWorkersToAsk(const PlanStep& step) const;
  // Which workers a step may ask about.
  enum class QuestionScope { kNone, kWithRoom, kAll };

  // Returns how many tasks of the step fit on the workers that advice allows
  // and that the step does not avoid: now, or once they are idle. Counts up to
  // `limit`.
  std::int64_t FitOnAllowedWorkers(const PlanStep& step,
                                   bool idle,
                                   std::int64_t limit);
  bool HasEnoughAllowedWorkers(const PlanStep& step,
                               std::size_t limit,
                               std::int64_t now_ms);
  QuestionScope FindQuestionScope(const PlanStep& step,
                                  std::size_t limit,
                                  const Round& round);
  void AskAboutNewWorkers(PlanStep& step, Round& round);
  void RenewTickets(PlanStep& step,
                    std::vector<std::int64_t> workers,
                    Round& round);
  void PlanRenewal(PlanStep& step,
                   std::vector<std::int64_t> workers,
                   Round& round);
  void PlanQuestion(PlanStep& step,
                    std::vector<std::int64_t> workers,
                    bool renewal,
                    Round& round);

  const PlannerOptions options_;
  std::map<std::int64_t, PlanWorker> workers_;
  std::map<StepId, PlanStep> steps_;
  // The steps with waiting tasks, and steps that had some when the last round
  // began.
  FlatMap<StepId, PlanStep*> waiting_steps_;
  WorkerTotals worker_totals_;
  AccountLedger accounts_;
  // Use of the cell by jobs within and beyond the rates of their accounts, and
  // when it was last updated.
  RateDimension cpus_by_rate_;
  RateDimension memory_by_rate_;
  std::int64_t peak_ms_ = 0;
  std::set<std::int64_t> changed_workers_;
  std::map<std::int64_t, Offer> offers_;  // By worker.
  // Increases when a worker may have become eligible for a step.
  std::int64_t workers_version_ = 1;
  // All workers and the changed ones among them, both ordered by number. Valid
  // within a call of Decide().
  std::vector<IndexedWorker> all_workers_;
  Candidates changed_candidates_;
  // Workers with capacity that the last Decide() held for gangs.
  std::vector<std::int64_t> workers_with_held_capacity_;
  std::int64_t full_round_at_ms_ = 0;
  bool unrest_ = false;
  // Total capacity of the usable workers of each service, as of the last full
  // round.
  std::map<std::string, Demand> usable_capacity_;
  // Services that were busy in the last full round.
  std::set<std::string> busy_services_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_GRAPH_PLANNER_H_
