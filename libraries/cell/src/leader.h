// The leader's side of a cell with called workers: joins the state, the
// planner, the workers and the advice service. Exists while this member leads.
#ifndef CRANBERRYSHUNT_CELL_LEADER_H_
#define CRANBERRYSHUNT_CELL_LEADER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "advice_dispatcher.h"
#include "cranberryshunt/cell/engine.h"
#include "cranberryshunt/policy/graph_admission.h"
#include "cranberryshunt/policy/worker_health.h"
#include "membership_manager.h"
#include "pending_counter.h"
#include "run_times.h"
#include "step_tracker.h"
#include "worker_tracker.h"

namespace cranberryshunt::cell {

class Leader {
 public:
  Leader(const EngineOptions& options,
         std::int64_t term,
         const graph::GraphStore& store,
         EngineEnvironment& environment,
         MetricsRegistry& metrics,
         TimePoint now);

  // The state has applied `batch`, of this leader or an earlier one.
  void OnApplied(const wire::GraphBatch& batch, TimePoint now);
  void OnProposalDone(std::uint64_t id,
                      const Result<std::int64_t>& result,
                      TimePoint now);
  void OnWorkerReply(OrderId id, const WorkerReply& reply, TimePoint now);
  void Handle(Call call, TimePoint now);
  EngineOutput Advance(TimePoint now);
  // Answers all open calls with `status`.
  void Close(const wire::Status& status);

 private:
  // Runs once the batch was committed (true) or will never be (false).
  using Continuation = std::function<void(bool committed)>;
  struct OpenProposal {
    wire::GraphBatch batch;
    std::vector<Continuation> continuations;
  };
  struct OpenOrder {
    SentOrder sent;
    std::int64_t sent_ms = 0;
  };

  // leader.cc
  void RebuildState();
  void SetNow(TimePoint now);
  void SyncWorkers();
  void RunMaintenance(EngineOutput& out);
  void Propose(EngineOutput& out);
  std::chrono::milliseconds MaxWait() const;
  bool IsLargeCell() const;
  std::int64_t ProposeIntervalMs() const;
  void ApplyOutput(WorkerTrackerOutput out);
  void OnFinished(const FinishedRun& finished, std::vector<FinishedRun>& kept);
  void LogRun(const FinishedRun& finished, bool current);
  void LogIfEnded(graph::JobId id, std::int64_t at_ms);
  void StopObsoleteRuns(const wire::GraphBatch& batch);
  void ExpireJobs();
  void RemoveSilentWorkers();
  void FailLostOrders();

  // leader_calls.cc
  void HandleGraph(GraphCall call);
  void Submit(GraphCall call, const wire::JobQueue& queue, graph::JobId id);
  void Show(const GraphCall& call, graph::JobId id) const;
  void Cancel(GraphCall call, graph::JobId id);
  void HandleReport(ReportCall call);
  void HandleDeparture(DepartureCall call);
  void HandlePublish(PublishTableCall call);

  // leader_planning.cc
  void Plan();
  void UpdatePlanWorkers();
  void RefreshPlanWorker(graph::WorkerNumber number);
  bool IsUsable(const TrackedWorker& slot) const;
  void LogStarts(const std::vector<policy::PlannedStart>& starts) const;
  void ProposeStart(const policy::PlannedStart& start,
                    std::map<policy::StepId, std::int32_t>& gang_runs);
  void SendStart(const graph::TaskKey& task,
                 std::int32_t run,
                 graph::WorkerNumber worker,
                 const std::string& ticket);
  void AskAdvice(const policy::PlannedQuestion& question);
  void ApplyAdvice();
  policy::LoadSummary LoadFor(const policy::NewJob& job);
  policy::LoadSummary SummarizeLoad() const;
  void LogLoad() const;

  const EngineOptions& options_;
  const graph::GraphStore& store_;
  EngineEnvironment& environment_;
  MetricsRegistry& metrics_;
  std::int64_t now_ms_ = 0;
  std::int64_t wall_ms_ = 0;

  RunTimes times_;
  policy::GraphPlanner planner_;
  StepTracker step_tracker_;
  WorkerTracker workers_;
  AdviceDispatcher advice_dispatcher_;
  MembershipManager members_;
  PendingCounter pending_;
  policy::WorkerHealth health_;

  wire::GraphBatch batch_;  // To be proposed next.
  std::vector<Continuation> continuations_;
  bool batch_has_content_ = false;
  std::map<std::uint64_t, OpenProposal> open_proposals_;
  std::uint64_t next_proposal_ = 1;

  // The different capacities of each service's workers.
  std::map<std::string, std::vector<policy::Demand>> capacities_;
  // What admission sees of the room, as of `cell_load_ms_`.
  policy::LoadSummary cell_load_;
  std::int64_t cell_load_ms_ = 0;

  std::vector<SentOrder> orders_;
  std::map<OrderId, OpenOrder> open_orders_;
  bool plan_due_ = true;
  std::int64_t planned_ms_ = 0;
  std::int64_t maintained_ms_ = 0;
  std::int64_t load_logged_ms_ = 0;
  std::int64_t usability_checked_ms_ = 0;
  std::int64_t proposed_ms_ = 0;

  // Runs that ended as done, by step, for one line when the step is done.
  struct DoneRuns {
    std::int64_t count = 0;
    std::int64_t total_ms = 0;
    std::int64_t longest_ms = -1;
    std::int32_t longest_index = 0;
    graph::WorkerNumber longest_worker = 0;
  };
  std::map<graph::StepKey, DoneRuns> done_runs_;

  // Calls that wait for a commit, by job.
  std::map<graph::JobId, std::vector<GraphCall>> submitting_;
  std::map<std::string, std::vector<ReportCall>> registering_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_LEADER_H_
