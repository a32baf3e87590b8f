// The leader's dealings with workers: holds, starts, stops, leases and the
// conclusion that a run is over.
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
  std::int64_t fence = 0;
  // Longest lease that a worker accepts.
  std::int64_t max_lease_ms = 10'000;
  // Lease that is granted.
  std::int64_t lease_ms = 5'000;
};

// A run that is over. `end_number` is 0 when no row of the worker told it.
struct FinishedRun {
  TaskKey task;
  std::int32_t run = 0;
  wire::RunEnd::type how = wire::RunEnd::kLost;
  std::string checkpoint;
  WorkerNumber worker = 0;
  std::int64_t run_ms = 0;  // How long it ran as far as known; 0: unknown.
  std::string reason;
};

// What an input led to.
struct WorkerTrackerOutput {
  std::vector<FinishedRun> finished;
  // Workers whose rows up to the given number are in `finished`; call
  // AcknowledgeEnds() once these are committed.
  std::vector<std::pair<WorkerNumber, std::int64_t>> ends_to_acknowledge;
  // Jobs of which a worker confirmed a run for the first time.
  std::vector<graph::JobId> started_jobs;
  std::vector<SentOrder> orders;
};

class WorkerTracker {
 public:
  WorkerTracker(WorkerTrackerOptions options, std::int64_t now_ms);

  // A life of a worker that the state names. A worker with the same id is
  // carried over: its runs may have moved to the new life.
  void Register(WorkerNumber number,
                const wire::CalledWorker& record,
                std::int64_t now_ms);
  // The worker ended; everything that ran there is over.
  void Remove(WorkerNumber number, WorkerTrackerOutput& out);
  // A run that the state shows as current when this leader begins.
  void AddInheritedRun(WorkerNumber number,
                       const TaskKey& task,
                       std::int32_t run,
                       const policy::Demand& demand,
                       std::int64_t expected_run_ms,
                       std::int64_t now_ms,
                       WorkerTrackerOutput& out);

  // A report of the worker about itself.
  void OnReport(WorkerNumber number,
                std::int64_t sequence,
                std::int64_t clock_ms,
                std::int64_t now_ms);

  void Reserve(WorkerNumber number,
               const TaskKey& task,
               std::int32_t run,
               const policy::Demand& demand,
               std::int64_t expected_run_ms);
  // The start is committed: sends it, unless a stop was asked for meanwhile.
  void SendStart(WorkerNumber number,
                 const TaskKey& task,
                 std::int32_t run,
                 StartOrder order,
                 std::int64_t now_ms,
                 WorkerTrackerOutput& out);
  // The start was not committed and never will be.
  void CancelReservation(const TaskKey& task, std::int32_t run);
  // Stops all runs of the task except `keep_run`.
  void StopTask(const TaskKey& task, std::int32_t keep_run);
  void StopJob(graph::JobId job);

  // The ends up to `end_number` are committed.
  void AcknowledgeEnds(WorkerNumber number, std::int64_t end_number);

  // The ends of the worker that were read last were not committed.
  void ReprocessEnds(WorkerNumber number);

  void OnReply(const SentOrder& sent,
               std::int64_t sent_ms,
               const WorkerReply& reply,
               std::int64_t now_ms,
               WorkerTrackerOutput& out);
  // Sends what is due and concludes what time alone tells.
  void Advance(std::int64_t now_ms, WorkerTrackerOutput& out);

  // Median time in which the latest starts were answered, those without an
  // answer included; 0 when there were none for a while.
  double MedianStartAnswerMs(std::int64_t now_ms) const;
  // The last Advance() came too early to look at the workers.
  bool worker_scan_skipped() const { return worker_scan_skipped_; }

  const std::map<WorkerNumber, TrackedWorker>& workers() const {
    return workers_;
  }
  // Workers whose runs, record or contact changed since the last call.
  std::set<WorkerNumber> TakeChangedWorkers() {
    return std::exchange(changed_workers_, {});
  }
  const TrackedWorker* Find(WorkerNumber number) const;
  // Whether starts may be sent to the worker now.
  bool IsUsable(const TrackedWorker& worker, std::int64_t now_ms) const;
  std::int64_t fence() const { return options_.fence; }
  // A worker refused an order because it has seen a higher fence.
  bool fenced() const { return fenced_; }

 private:
  void AddRun(TrackedWorker& worker, const RunKey& key, Run run);
  void RequestStop(TrackedWorker& worker, const RunKey& key, Run& run);
  std::map<RunKey, Run>::iterator EraseRun(TrackedWorker& worker,
                                           std::map<RunKey, Run>::iterator it);
  // `now_ms` is 0 when the time is not known.
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
  // The worker's clock now, never later than it really is by much.
  std::int64_t EstimateWorkerClock(const TrackedWorker& worker,
                                   std::int64_t now_ms) const;
  std::int64_t GrantLease(TrackedWorker& worker, std::int64_t now_ms);
  // Our time at which every lease of the worker has surely run out.
  std::int64_t LeaseEnd(const TrackedWorker& worker) const;

  // Longest wait for news in a hold.
  std::int64_t HoldWaitMs() const;
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
  const std::int64_t began_ms_;
  std::map<WorkerNumber, TrackedWorker> workers_;
  std::map<std::string, WorkerNumber> numbers_by_id_;
  // Where the runs of each job are: worker, task and run.
  std::map<graph::JobId, std::set<std::pair<WorkerNumber, RunKey>>>
      runs_by_job_;
  // Runs that may need a stop; others are never looked at for it.
  std::set<std::pair<WorkerNumber, RunKey>> stop_candidates_;
  std::set<WorkerNumber> changed_workers_;
  // When the latest starts were answered, and after how long.
  std::deque<std::pair<std::int64_t, std::int64_t>> start_answers_;
  OrderId next_order_;
  std::int64_t advanced_ms_;
  bool worker_scan_skipped_ = false;
  bool fenced_ = false;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_WORKER_TRACKER_H_
