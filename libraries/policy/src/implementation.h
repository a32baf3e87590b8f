// State and methods of Scheduler. The methods are defined in several source
// files, which the sections of the declaration name.
#ifndef CRANBERRYSHUNT_POLICY_IMPLEMENTATION_H_
#define CRANBERRYSHUNT_POLICY_IMPLEMENTATION_H_

#include <array>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cranberryshunt/policy/scheduler.h"
#include "drain_rate.h"
#include "failure_tracker.h"
#include "fair_queue.h"
#include "fault_counts.h"
#include "headroom.h"
#include "interner.h"
#include "job_table.h"
#include "log_histogram.h"
#include "random.h"
#include "retry_budget.h"
#include "run_estimator.h"
#include "share_tracker.h"
#include "timer_heap.h"
#include "worker_table.h"

namespace cranberryshunt::policy {

constexpr std::size_t IndexOf(Kind kind) {
  return static_cast<std::size_t>(kind);
}

// Interval at which conditions that change without an event are checked, such
// as claims and quarantines that end.
inline constexpr Duration kTickPeriod = std::chrono::milliseconds(50);

struct Scheduler::Implementation {
  struct KindState {
    WaitWindow waits;
    DrainRate drain_rate;
    std::int64_t running = 0;
    std::int64_t refused = 0;
    std::int64_t preempted = 0;
    Duration preempted_run{};
    Resources unreclaimable_resources;  // Reserved by unreclaimable jobs.
    Resources claimed;                  // Claimed on workers for this kind.
    // Reserved by tasks preempted to reclaim capacity.
    Resources preempting_resources;
    // Failed attempts to reclaim since `reclaim_window_start`.
    int failed_reclaims = 0;
    TimePoint reclaim_window_start{};
    // Started tasks of idempotent jobs, oldest first. Entries of ended tasks
    // stay until CompactRecentStarts() removes them.
    std::vector<TaskRef> recent_starts;
  };

  // Workers held for a job that did not fit. Other tasks start there only if
  // the held capacity stays free or if they are expected to end before
  // `expected_start`.
  struct Reservation {
    JobRef job;
    TimePoint expected_start{};
    TimePoint refresh_at{};
    std::vector<std::int32_t> workers;
  };

  // A decision that Decide() has not returned yet. If it concerns an attempt of
  // a task, it is obsolete once that attempt has ended.
  struct PendingDecision {
    Decision decision;
    std::optional<TaskRef> task;
    std::int32_t attempt = 0;
  };

  enum class PlacementOutcome : std::uint8_t {
    kPlaced,
    kNoCapacity,
    kWithheld,  // Must wait although capacity may be free for other kinds.
    kQuotaExhausted,  // The start would exceed the team's quota.
    kDropped,
  };

  explicit Implementation(const SchedulerOptions& scheduler_options);

  // Defined in admission.cc:
  Admission Submit(const JobRequest& request, TimePoint time);
  void Restore(const JobRequest& request,
               const std::vector<RestoredTask>& restored,
               TimePoint time);
  std::vector<Assignment> Cancel(const std::string& job_id);
  std::optional<Refused> CheckAdmission(const JobRequest& request);
  std::optional<Refused> CheckQueueLimits(const JobRequest& request);
  Job MakeJob(const JobRequest& request);
  void AddDeadline(JobRef ref);
  void Enqueue(JobRef ref, bool front);
  // Ends all queued and backing-off tasks of the job and removes the job from
  // the queue of its team.
  void RemoveQueuedTasks(JobRef ref);
  void RemoveIfFinished(JobRef ref);
  Duration RetryAfter(Kind kind) const;
  std::int64_t TeamQueueLimit(Kind kind) const;

  // Defined in decide.cc:
  std::vector<Decision> Decide(TimePoint time, std::size_t limit);
  void MovePendingToDecisions(std::size_t limit);
  bool IsObsolete(const PendingDecision& it) const;
  void RunTimers();
  void Tick();
  void DropExpiredJobs();
  void EndBackoffs();
  void CheckWorkers();
  bool HasProvenRun(const Worker& worker) const;
  void UnblockByTime();
  bool UnblockByRelease();
  bool HasFittingRelease(FairQueue::Team& team) const;
  std::optional<Kind> NextKind() const;
  void ServeNext(Kind kind);
  bool ServeJobs(Kind kind, std::int32_t team);
  void DropJob(JobRef ref, ResultCode code, std::string reason);
  std::optional<TimePoint> NextDue() const;

  // Defined in placement.cc:
  PlacementOutcome TryJob(JobRef ref);
  PlacementOutcome TryTask(JobRef ref);
  PlacementQuery MakeQuery(JobRef ref);
  std::int32_t FindWorker(const Job& job, PlacementQuery& query);
  PlacementOutcome DropJobOrReserveCapacity(JobRef ref, bool withheld);
  bool IsWithinGuarantee(Kind kind, const Resources& more) const;
  bool MayBorrow(const Job& job, const Resources& more) const;
  double Guarantee(Kind kind) const;
  std::optional<Duration> RunEstimate(const Job& job) const;
  void StartTask(JobRef ref, std::int32_t index, std::int32_t number);
  void RemoveTaskFromWorker(JobRef ref, std::int32_t index);
  void UpdateShares(Kind kind, std::int32_t team);
  void UpdateStartLimit(std::int32_t number);
  void UpdatePlacementCounts(Job& job, const Worker& worker, int change);

  // Defined in gang.cc:
  PlacementOutcome TryGang(JobRef ref);
  std::optional<std::vector<std::int32_t>> FindGangPlaces(JobRef ref,
                                                          std::int32_t region,
                                                          std::uint64_t denied);
  std::vector<std::int32_t> GangRegions(const Job& job);
  void StopGang(JobRef ref);

  // Defined in reservation.cc:
  void ReserveFor(JobRef ref, bool within_guarantee);
  void PlanReservation(JobRef ref, std::int32_t count, bool within_guarantee);
  void PreemptForReservation(std::int32_t number);
  void DropReservation();
  std::optional<TimePoint> ExpectedEnd(const TaskRef& ref) const;

  // Defined in reclaim.cc:

  // Claims workers for the queued tasks of a job whose kind is below its
  // guarantee, if necessary by preempting tasks of kinds above theirs.
  void Reclaim(JobRef ref);
  bool ClaimDraining(JobRef ref);
  bool ClaimByPreemption(JobRef ref);
  bool PreemptRecent(JobRef ref, Kind victim_kind);
  bool PreemptGang(JobRef ref, const TaskRef& victim);
  bool MayClaim(std::int32_t number, const Job& job) const;
  void Claim(std::int32_t number, const Job& job);
  void DropClaim(std::int32_t number);
  void ExpireClaims();
  bool IsAboveGuarantee(Kind kind, const Resources& less) const;
  bool IsPreemptible(const TaskRef& ref) const;
  // Preempts a task. `reclaim` must be true if its resources are needed by a
  // kind below its guarantee or by a reservation. They then no longer count as
  // the reserved share of the task's own kind in IsAboveGuarantee(), the
  // preemption is counted in the kind's report, and a task that is queued again
  // waits for kReclaimedRetryDelay before it can start.
  void PreemptTask(const TaskRef& ref, bool reclaim);
  std::vector<Kind> VictimKinds(Kind kind) const;
  void CompactRecentStarts(KindState& state);

  // Defined in lifecycle.cc:
  void TaskRunning(const TaskId& id, TimePoint time);
  EndOutcome TaskEnded(const TaskId& id, EndKind end, TimePoint time);
  void ThrottleOrStopExcessUsage(const TaskId& id, const Resources& used);
  std::optional<TaskRef> FindTask(const TaskId& id) const;
  EndOutcome OnDone(const TaskRef& ref, std::int32_t worker, Duration run);
  EndOutcome OnFailed(const TaskRef& ref, std::int32_t worker);
  EndOutcome OnPreempted(const TaskRef& ref, bool reclaimed);
  EndOutcome Finish(const TaskRef& ref, ResultCode code, std::string reason);
  EndOutcome Requeue(const TaskRef& ref, Duration delay);
  void EnqueueAtFront(JobRef ref);
  int CountHealthyFailedWorkers(const Job& job, std::int32_t index) const;
  bool HasOtherWorker(const Job& job, std::int32_t index) const;
  std::vector<std::int32_t> FailedWorkers(const Job& job,
                                          std::int32_t index) const;
  void CountWorkerFailure(std::int32_t worker, std::int32_t family);

  // Defined in workers.cc:
  void UpsertWorker(const WorkerInfo& info);
  void SetAccepting(const std::string& id, bool accepting);
  void RemoveWorker(const std::string& id);
  void SetQuotas(const std::vector<Quota>& quotas);
  SchedulerReport Report() const;
  std::vector<std::string> Culprits() const;
  std::array<KindReport, kKindCount> KindReports() const;

  KindState& state(Kind kind) { return kinds[IndexOf(kind)]; }
  FairQueue& queue(Kind kind) { return queues[IndexOf(kind)]; }
  void SetNow(TimePoint time) { now = std::max(now, time); }

  SchedulerOptions options;
  Random random;
  TimePoint now{};
  TimePoint last_tick{};
  TimePoint last_unblock{};
  std::optional<TimePoint> first_worker_seen_at;

  Interner teams;
  Interner families;
  JobTable jobs;
  WorkerTable workers;
  ShareTracker shares;
  std::array<FairQueue, kKindCount> queues;
  std::array<KindState, kKindCount> kinds;
  FailureTracker failure_tracker;
  RunEstimator run_estimator;
  RetryBudget retry_budget;
  Headroom headroom;
  FaultCounts impossible_jobs;  // Indexed by team.
  FaultCounts excess_uses;      // Indexed by family.

  TimerHeap<JobRef> deadlines;
  TimerHeap<TaskRef> backoffs;
  std::vector<std::int32_t> claimed_workers;
  std::vector<std::int32_t> start_limited_workers;
  std::optional<Reservation> reservation;
  // Drop, Preempt and Throttle decisions, which MovePendingToDecisions() moves
  // to `decisions`.
  std::deque<PendingDecision> pending;
  std::vector<Decision> decisions;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_IMPLEMENTATION_H_
