// Tracks the workers and their runs for the leader: sends holds, starts and
// stops, grants leases, and determines when a run has ended.
#ifndef CRANBERRYSHUNT_CELL_WORKER_TRACKER_H_
#define CRANBERRYSHUNT_CELL_WORKER_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cranberryshunt/cell/worker_driver.h"
#include "tracked_worker.h"

namespace cranberryshunt::cell {

struct WorkerTrackerOptions {
  // Term of the leader. Fences rise with it.
  std::int64_t term = 0;
  // Longest lease that a worker accepts.
  std::int64_t max_lease_ms = 10'000;
  // Lease that each hold and start grants.
  std::int64_t lease_ms = 5'000;
};

// A run that has ended. `reason` is empty if the worker reported the end.
struct FinishedRun {
  TaskKey task;
  std::int32_t run = 0;
  wire::RunEnd::type how = wire::RunEnd::kLost;
  std::string checkpoint;
  WorkerNumber worker = 0;
  std::int64_t run_ms = 0;  // Run time seen by the leader; 0 if unknown.
  std::string reason;
  // Stop orders sent to the run, and the time since the first request to stop
  // it; 0 if none.
  std::int32_t stops_sent = 0;
  std::int64_t stop_ms = 0;
};

// Effects of a call of WorkerTracker.
struct WorkerTrackerOutput {
  std::vector<FinishedRun> finished;
  // For each worker that reported new ends: the highest EndedRow::number of the
  // rows that were added to `finished`. Call AcknowledgeEnds() with it once
  // these ends are committed.
  std::vector<std::pair<WorkerNumber, std::int64_t>> ends_to_acknowledge;
  // Runs that a worker confirmed to this leader for the first time.
  std::vector<RunKey> started_runs;
  // Runs for which a worker listed progress for the first time.
  std::vector<RunKey> progressing_runs;
  // Runs that a worker listed and that were unknown until then.
  std::vector<RunKey> unknown_runs;
  std::vector<SentOrder> orders;
  // Workers that the committed state must not have any more: a later one
  // answers at their address, or they were never there.
  std::vector<WorkerNumber> workers_to_remove;
  // The list of a worker was read for the first time, so it can get starts.
  bool synchronized = false;
};

struct InheritedRun {
  bool long_running = false;
  bool resumed = false;  // Started from a checkpoint.
  policy::AccountNumber account = policy::kNoAccount;
  bool over_rate = false;
};

class WorkerTracker {
 public:
  WorkerTracker(WorkerTrackerOptions options, std::int64_t now_ms);

  // Adds an incarnation of a worker that is in the committed state, or updates
  // its record. Runs of an earlier incarnation with the same id move to it.
  // `registered_ms` is the local time since which it is known that an earlier
  // leader has registered it; unset if this leader has.
  void Register(WorkerNumber number,
                const wire::CalledWorker& record,
                std::int64_t now_ms,
                std::optional<std::int64_t> registered_ms = std::nullopt);
  // Sets whether the worker has said that it has left. Such a worker gets no
  // starts, because its next incarnation would carry them out.
  void SetDeparted(WorkerNumber number, bool departed);
  // Handles that a worker is no longer in the committed state. It gets no more
  // starts and leases, but stays here until its runs have certainly ended: it
  // may go on with them for seconds after it said that it leaves. Starts that
  // may be on their way then stay open until the next incarnation with the same
  // id is registered, which bars them, or until they are too late.
  void Remove(WorkerNumber number,
              std::int64_t now_ms,
              WorkerTrackerOutput& out);
  // Adds a worker that had left, with open runs, before this leader took over.
  void AddDeparted(WorkerNumber number,
                   const std::string& id,
                   std::int64_t now_ms);
  // Adds a run that is current in the committed state when this leader starts.
  // Reports the run as finished if the worker is neither registered nor among
  // those that have left with open runs.
  void AddInheritedRun(WorkerNumber number,
                       const TaskKey& task,
                       std::int32_t run,
                       const policy::Demand& demand,
                       std::int64_t expected_run_ms,
                       std::int64_t now_ms,
                       WorkerTrackerOutput& out,
                       InheritedRun how = {});

  // Handles a report that a worker sent about itself. Reports that are not
  // newer than the last one are ignored.
  void OnReport(WorkerNumber number,
                std::int64_t sequence,
                std::int64_t clock_ms,
                std::int64_t now_ms);

  // Records the capacity in a report that is newer than the last one. A smaller
  // one applies at once, a larger one when it is committed.
  void RecordCapacity(WorkerNumber number, const policy::Demand& capacity);

  void Reserve(WorkerNumber number,
               const TaskKey& task,
               std::int32_t run,
               const policy::Demand& demand,
               std::int64_t expected_run_ms,
               bool long_running = false,
               policy::AccountNumber account = policy::kNoAccount,
               bool over_rate = false);
  // Counts the run for an account. `demand` is its size, which may be less than
  // what the run takes of its worker.
  void SetAccount(const TaskKey& task,
                  std::int32_t run,
                  policy::AccountNumber account,
                  const policy::Demand& demand);
  // Returns why a committed start must not be sent: a stop was requested
  // meanwhile, or the worker has left, was replaced, is no longer usable or has
  // no room for it. Empty if it may be sent.
  std::string FindObstacle(WorkerNumber number,
                           const TaskKey& task,
                           std::int32_t run,
                           std::int64_t now_ms) const;
  // Sends a start that has been committed. Reports the run as not started if
  // there is an obstacle.
  void SendStart(WorkerNumber number,
                 const TaskKey& task,
                 std::int32_t run,
                 StartOrder order,
                 std::int64_t now_ms,
                 WorkerTrackerOutput& out);
  // Reports a committed run as not started, whether or not its reservation
  // still exists.
  void RejectStart(WorkerNumber number,
                   const TaskKey& task,
                   std::int32_t run,
                   std::string reason,
                   std::int64_t now_ms,
                   WorkerTrackerOutput& out);
  // Drops a reserved run whose start was not committed and never will be.
  void CancelReservation(const TaskKey& task, std::int32_t run);
  // Stops all runs of the task except `keep_run`.
  void StopTask(const TaskKey& task, std::int32_t keep_run);
  // Returns the number of runs to stop.
  std::size_t StopJob(graph::JobId job);

  // Records that the ends up to `end_number` are committed.
  void AcknowledgeEnds(WorkerNumber number, std::int64_t end_number);

  // Processes the ends after the last acknowledged one again when the worker
  // lists them next, because they were not committed.
  void ReprocessEnds(WorkerNumber number);

  void OnReply(const SentOrder& sent,
               std::int64_t sent_ms,
               const WorkerReply& reply,
               std::int64_t now_ms,
               WorkerTrackerOutput& out);
  // Sends due holds and stops, and finishes the runs of workers whose leases
  // have all expired.
  void Advance(std::int64_t now_ms, WorkerTrackerOutput& out);

  // Median response time of recent starts, including those that were not
  // answered; 0 if there were too few recently.
  double MedianStartAnswerMs(std::int64_t now_ms) const;
  // Whether the last Advance() skipped the check of the workers, because the
  // previous check was too recent.
  bool worker_scan_skipped() const { return worker_scan_skipped_; }
  // Time from which Advance() checks the workers again.
  std::int64_t next_worker_scan_ms() const {
    return scanned_ms_ + WorkerScanIntervalMs();
  }

  const std::map<WorkerNumber, TrackedWorker>& workers() const {
    return workers_;
  }
  // Returns the workers whose runs, record or contact changed since the last
  // call.
  std::set<WorkerNumber> TakeChangedWorkers() {
    return std::exchange(changed_workers_, {});
  }
  // Returns the runs whose starts got no clear answer since the last call. Each
  // is being stopped.
  std::vector<RunKey> TakeUncertainStarts() {
    return std::exchange(uncertain_starts_, {});
  }
  // Returns the numbers that were removed or replaced since the last call.
  std::vector<WorkerNumber> TakeEndedWorkers() {
    return std::exchange(ended_workers_, {});
  }
  // Returns what runs use that the next incarnations of workers may have
  // started.
  std::vector<policy::AccountUse> DepartedUse() const;
  // Returns what the account uses by all runs except those whose starts are not
  // committed or not sent yet. Looks at all runs.
  policy::Demand SentUseOf(policy::AccountNumber account) const;
  const TrackedWorker* Find(WorkerNumber number) const;
  // Returns the worker that has the run: `number`, or a later incarnation of
  // it.
  std::optional<WorkerNumber> FindRun(WorkerNumber number,
                                      const TaskKey& task,
                                      std::int32_t run) const;
  // Returns the worker with this run, or null if there is none. After a restart
  // of the worker that is its present incarnation.
  const TrackedWorker* FindWorkerOf(const TaskKey& task,
                                    std::int32_t run) const;
  // Whether the run waits for the next incarnation of a worker that has left.
  bool IsOpenAtDeparted(const TaskKey& task, std::int32_t run) const;
  // Whether starts may be sent to the worker now.
  bool IsUsable(const TrackedWorker& worker, std::int64_t now_ms) const;
  std::int64_t term() const { return options_.term; }
  // Whether a worker refused an order because it has seen a higher fence.
  bool fenced() const { return fenced_; }

 private:
  struct DepartedRun {
    Run run;
    // Local time by which the next incarnation certainly doesn't run it.
    std::int64_t until_ms = 0;
  };
  // A worker that has left, and the runs that its next incarnation may start.
  struct DepartedWorker {
    WorkerNumber number = 0;
    std::int64_t until_ms = 0;
    std::map<RunKey, DepartedRun> runs;
    // Whether connections may lead to the next incarnation.
    bool unproven_connection = false;
  };

  static void LogReplacement(const TrackedWorker& previous,
                             const wire::CalledWorker& record,
                             std::int64_t now_ms);
  // Returns the fence for the next incarnation of the worker.
  std::int64_t NextFence(const std::string& id);
  // Local time by which a lease that a worker grants now on the clock of
  // another incarnation has certainly expired.
  std::int64_t LongestLeaseEnd(std::int64_t now_ms) const;
  // Local time by which a start that was sent until now is refused as too late
  // by the incarnation that it was meant for, or its lease has expired.
  std::int64_t StartExpiry(std::int64_t now_ms) const;
  // The same for a start that another incarnation may carry out.
  std::int64_t LatestStartExpiry(std::int64_t now_ms) const;
  // Finishes the runs of the workers that `worker` has replaced at its address.
  // Its list proves that they have ended, whereas its report may be false.
  void ReplaceWorkers(const TrackedWorker& worker,
                      std::int64_t now_ms,
                      WorkerTrackerOutput& out);
  // Whether the reply shows that a removed worker runs nothing any more.
  static bool HasEnded(const TrackedWorker& worker,
                       const SentOrder& sent,
                       const WorkerReply& reply);
  // Finishes the runs of a removed worker that has ended, and forgets it.
  void Retire(TrackedWorker& worker, WorkerTrackerOutput& out);
  // Moves runs of a worker whose starts may still arrive to its next
  // incarnation, which is registered now.
  void MoveDepartedRuns(TrackedWorker& worker);
  // Handles the reply to a start that was open when its worker left.
  void OnDepartedReply(const SentOrder& sent,
                       std::int64_t sent_ms,
                       const WorkerReply& reply,
                       WorkerTrackerOutput& out);
  // Finishes the runs of departed workers that nothing can run any more.
  void ExpireDepartedRuns(std::int64_t now_ms, WorkerTrackerOutput& out);
  void AddRun(TrackedWorker& worker, const RunKey& key, Run run);
  void RequestStop(TrackedWorker& worker, const RunKey& key, Run& run);
  std::map<RunKey, Run>::iterator EraseRun(TrackedWorker& worker,
                                           std::map<RunKey, Run>::iterator it);
  // Bars a start that may or may not be carried out.
  void MarkUncertain(TrackedWorker& worker, const RunKey& key, Run& run);
  // Bars the starts in flight, whose replies will be ignored.
  void MarkStartsUncertain(TrackedWorker& worker);
  // Marks the runs of a worker whose leases have all expired. Their tasks must
  // not start again before the worker has listed its ends, because a run that
  // ended as done before the lease expired would be repeated.
  void ExpireRuns(TrackedWorker& worker,
                  std::int64_t now_ms,
                  WorkerTrackerOutput& out);
  // Finishes the expired runs of a worker that will not list its ends any more.
  void GiveUpExpiredRuns(TrackedWorker& worker,
                         std::int64_t now_ms,
                         WorkerTrackerOutput& out);
  // Copies to `finished` how the run was stopped.
  static void RecordStop(const Run& run,
                         std::int64_t now_ms,
                         FinishedRun& finished);
  // `now_ms` is 0 if the current time is unknown.
  void FinishAllRuns(TrackedWorker& worker,
                     const std::string& reason,
                     std::int64_t now_ms,
                     WorkerTrackerOutput& out);
  void FinishRun(TrackedWorker& worker,
                 std::map<RunKey, Run>::iterator it,
                 wire::RunEnd::type how,
                 std::string reason,
                 std::int64_t now_ms,
                 WorkerTrackerOutput& out);
  void RecordClock(TrackedWorker& worker,
                   std::int64_t clock_ms,
                   std::int64_t now_ms);
  // Records the lease that an order may have got from an incarnation that isn't
  // registered, whose clock is another one.
  void RecordUnregisteredLease(TrackedWorker& worker,
                               const SentOrder& sent,
                               std::int64_t sent_ms,
                               const WorkerReply& reply,
                               std::int64_t now_ms);
  // Whether a clock in a reply to an order that was sent at `sent_ms` is behind
  // the clock of the registered incarnation, which therefore didn't reply.
  bool IsClockBehind(const TrackedWorker& worker,
                     std::int64_t clock_ms,
                     std::int64_t sent_ms) const;
  // Estimates the worker's current clock from the last sample and the lowest
  // clock rate, so that the estimate is never far ahead of the clock.
  std::int64_t EstimateWorkerClock(const TrackedWorker& worker,
                                   std::int64_t now_ms) const;
  std::int64_t GrantLease(TrackedWorker& worker, std::int64_t now_ms);
  // Whether the run fits beside all runs that are or may be on the worker,
  // including those that are being stopped.
  static bool HasRoomFor(const TrackedWorker& worker, const Run& run);
  // Local time by which every lease of the worker has certainly expired.
  std::int64_t LeaseEnd(const TrackedWorker& worker) const;

  // Longest time for which a worker may delay its answer to a hold.
  std::int64_t HoldWaitMs() const;
  std::int64_t WorkerScanIntervalMs() const;
  void SendHold(TrackedWorker& worker,
                std::int64_t now_ms,
                WorkerTrackerOutput& out);
  void SendStops(std::int64_t now_ms, WorkerTrackerOutput& out);
  OrderId AddOrder(TrackedWorker& worker,
                   WorkerOrder order,
                   std::int64_t timeout_ms,
                   WorkerTrackerOutput& out,
                   bool fresh_connection = false);
  void OnHoldReply(TrackedWorker& worker,
                   const HoldOrder& order,
                   std::int64_t sent_ms,
                   const WorkerReply& reply,
                   std::int64_t now_ms,
                   WorkerTrackerOutput& out);
  void ReadEnds(TrackedWorker& worker,
                const WorkerReply& reply,
                std::int64_t now_ms,
                WorkerTrackerOutput& out);
  void ReadRunning(TrackedWorker& worker,
                   std::int64_t sent_ms,
                   const WorkerReply& reply,
                   std::int64_t now_ms,
                   WorkerTrackerOutput& out);
  void OnStartReply(TrackedWorker& worker,
                    const StartOrder& order,
                    std::int64_t sent_ms,
                    const WorkerReply& reply,
                    std::int64_t now_ms,
                    WorkerTrackerOutput& out);
  void OnStopReply(TrackedWorker& worker,
                   const StopOrder& order,
                   const WorkerReply& reply,
                   std::int64_t now_ms);
  TrackedWorker* FindById(const std::string& id);

  const WorkerTrackerOptions options_;
  const std::int64_t started_ms_;
  std::map<WorkerNumber, TrackedWorker> workers_;
  std::map<std::string, WorkerNumber> numbers_by_id_;
  std::set<std::pair<std::string, WorkerNumber>> numbers_by_address_;
  std::map<std::string, DepartedWorker> departed_workers_;
  // The runs of each job, by worker, task and run number.
  std::map<graph::JobId, std::set<std::pair<WorkerNumber, RunKey>>>
      runs_by_job_;
  // Fence of the latest incarnation of each worker, by its id. Kept after the
  // worker has left, because its id may come back.
  std::map<std::string, std::int64_t> fences_;
  // Runs that may need a stop. SendStops() examines only these.
  std::set<std::pair<WorkerNumber, RunKey>> stop_candidates_;
  std::set<WorkerNumber> changed_workers_;
  std::vector<WorkerNumber> ended_workers_;
  std::vector<RunKey> uncertain_starts_;
  // Time and response time of the latest answers to starts, in milliseconds.
  std::deque<std::pair<std::int64_t, std::int64_t>> start_answers_;
  OrderId next_order_;
  std::int64_t scanned_ms_;
  bool worker_scan_skipped_ = false;
  bool fenced_ = false;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_WORKER_TRACKER_H_
