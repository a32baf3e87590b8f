// The leader's logic in a cell with called workers. It connects the replicated
// state, the planner, the workers and the advice service, and exists only while
// this member leads.
#ifndef CRANBERRYSHUNT_CELL_LEADER_H_
#define CRANBERRYSHUNT_CELL_LEADER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "access_control.h"
#include "account_report.h"
#include "advice_dispatcher.h"
#include "advice_usage.h"
#include "cranberryshunt/cell/engine.h"
#include "cranberryshunt/policy/account_rates.h"
#include "cranberryshunt/policy/graph_admission.h"
#include "cranberryshunt/policy/worker_health.h"
#include "gang_assembly.h"
#include "membership_manager.h"
#include "pending_counter.h"
#include "run_check.h"
#include "run_times.h"
#include "step_tracker.h"
#include "worker_tracker.h"

namespace cranberryshunt::cell {

// Returns the reply to a question for the state of a job.
wire::GraphReply DescribeJob(const graph::GraphStore& store, graph::JobId id);

// Local times in milliseconds since which registered workers are known.
using RegistrationTimes = std::map<graph::WorkerNumber, std::int64_t>;

class Leader {
 public:
  Leader(const EngineOptions& options,
         std::int64_t term,
         const graph::GraphStore& store,
         const RunTimes& run_times,
         const policy::FarFactors& far_factors,
         const RegistrationTimes& registered_ms,
         EngineEnvironment& environment,
         AccessRefusals& access_refusals,
         MetricsRegistry& metrics,
         AccountReport& account_report,
         TimePoint now);

  // Handles a batch that the state has applied. This leader or an earlier one
  // proposed it.
  void OnApplied(const wire::GraphBatch& batch, TimePoint now);
  void OnProposalDone(std::uint64_t id,
                      const Result<std::int64_t>& result,
                      TimePoint now);
  void OnWorkerReply(OrderId id, const WorkerReply& reply, TimePoint now);
  void Handle(Call call, TimePoint now);
  EngineOutput Advance(TimePoint now);
  // Replies to all open calls with `status`.
  void Close(const wire::Status& status);

 private:
  // Called with true once the batch is committed, or with false if it will not
  // be committed or the leader closes first.
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
  void RebuildState(const RegistrationTimes& registered_ms,
                    const policy::FarFactors& far_factors);
  void SetNow(TimePoint now);
  void SyncWorkers();
  // Removes the numbers that the tracker has ended from every other place that
  // holds worker numbers, so that nothing is placed on them or asked about
  // them.
  void ForgetEndedWorkers();
  // Adds the jobs of the runs that the worker took over when it was registered,
  // whose steps must be refreshed.
  void RefreshMovedRuns(graph::WorkerNumber number,
                        std::set<graph::JobId>& jobs);
  void RunMaintenance(EngineOutput& out);
  void CheckMembers(EngineOutput& out);
  wire::Status HandleLeave(const std::string& id);
  void Propose(EngineOutput& out);
  std::chrono::milliseconds MaxWait() const;
  bool IsLargeCell() const;
  std::int64_t ProposeIntervalMs() const;
  void ApplyOutput(WorkerTrackerOutput out);
  // Counts a worker whose list was read for the first time. Once half of the
  // workers are counted, a full planning round is due.
  void RecordListRead();
  // Acknowledges the worker's ends up to `number` when the next batch, which
  // has the results of `finished`, is committed.
  void AcknowledgeOnceCommitted(graph::WorkerNumber worker,
                                std::int64_t number,
                                const std::vector<FinishedRun>& finished);
  bool IsUnrecorded(const graph::TaskKey& key, std::int32_t run) const;
  void OnFinished(const FinishedRun& finished,
                  std::vector<FinishedRun>& current_runs);
  std::set<std::int32_t> FindLaterRuns(const FinishedRun& finished) const;
  void StopLaterRuns(const FinishedRun& finished,
                     const std::set<std::int32_t>& later_runs);
  void ReserveUntilCommitted(const FinishedRun& finished);
  void LogRun(const FinishedRun& finished, bool current);
  void LogEnds(graph::JobId id, std::int64_t at_ms);
  void StopObsoleteRuns(const wire::GraphBatch& batch);
  // Time for which the cell has had a leader. It continues from the last
  // committed batch, and does not depend on the time of day, which may step and
  // differs between controllers.
  std::int64_t CellMs() const;
  void ExpireJobs();
  void RemoveSilentWorkers();
  void FailLostOrders();
  // Gives up runs that are open in the store and that neither the tracker nor
  // an open proposal will end.
  void FailRunsWithoutOwner();
  bool HasOwner(const graph::TaskKey& task,
                std::int32_t run,
                graph::WorkerNumber worker) const;

  // leader_gangs.cc
  // Follows the gang of a step that an earlier leader started, or stops it if a
  // member has ended already.
  void InheritGang(const graph::Job& job, const graph::StepKey& key);
  // Stops the gangs of starts that got no clear answer. Their steps avoid the
  // workers.
  void HandleUncertainStarts();
  void StopOverdueGangs();
  bool IsWithoutMember(const IncompleteGang& gang) const;
  void StopGang(const IncompleteGang& incomplete, const std::string& reason);
  void StopMembers(const graph::StepKey& key, std::int32_t last_run);
  std::string DescribeMissing(const IncompleteGang& incomplete) const;

  // leader_crashes.cc
  // Logs the workers that crashed according to the last applied batch, and adds
  // the jobs of their runs to `jobs`.
  void RecordCrashes(std::set<graph::JobId>& jobs);
  // Whether the worker is left to a task that may crash it.
  bool IsExclusive(const TrackedWorker& tracked_worker) const;

  // leader_calls.cc
  void HandleGraph(GraphCall call);
  // Returns the account that the call belongs to, or nothing after replying
  // with a refusal.
  std::optional<std::string> AuthenticateOrRefuse(const GraphCall& call,
                                                  const wire::JobQueue& queue);
  // Refuses a call because of its key or account.
  void Refuse(const GraphCall& call,
              const Error& error,
              const wire::JobQueue& queue,
              const std::string& account);
  void Submit(GraphCall call,
              const wire::JobQueue& queue,
              graph::JobId id,
              const std::string& account);
  // Replies to the submission of a job that is stored or being stored.
  void Resubmit(GraphCall call,
                const wire::JobQueue& queue,
                graph::JobId id,
                const std::string& account);
  void Cancel(GraphCall call,
              const wire::JobQueue& queue,
              graph::JobId id,
              const std::string& account);
  void Show(const GraphCall& call,
            const wire::JobQueue& queue,
            graph::JobId id,
            const std::string& account);
  void HandleReport(ReportCall call);
  bool IsOfUnknownService(const wire::CalledWorker& worker) const;
  void RemoveDepartedWorker(DepartureCall call);
  void HandlePublish(PublishTableCall call);
  // Whether this is a new cell that has not got all its voters yet.
  bool IsForming() const;
  void HandleHeldPublications();

  // leader_accounts.cc
  // Takes over limits and rates from the committed table.
  void SyncAccounts();
  policy::AccountNumber AccountOf(const graph::Job& job);
  // Counts runs that a worker has listed unexpectedly for the accounts of their
  // jobs.
  void CountUnknownRuns(const std::vector<RunKey>& runs);
  // Fills in what the admission needs to know of the account.
  void SetAccountFields(const wire::GraphJob& job,
                        const wire::JobQueue& queue,
                        policy::NewJob& new_job) const;
  // Whether a task of the job, or a gang as a whole, exceeds the limit of the
  // account, so that the job could never run.
  bool ExceedsLimit(policy::AccountNumber account,
                    const wire::GraphJob& job) const;

  // leader_planning.cc
  void Plan();
  void UpdatePlanWorkers();
  void RefreshPlanWorker(graph::WorkerNumber number);
  bool IsUsable(const TrackedWorker& tracked_worker) const;
  void LogStarts(const std::vector<policy::PlannedStart>& starts) const;
  // A start that is being committed.
  struct PendingStart {
    graph::TaskKey task;
    std::int32_t run = 0;
    graph::WorkerNumber worker = 0;
    policy::Ticket ticket;
    // Account of the job, what the run counts there, and the version of the
    // table when the start was planned.
    policy::AccountNumber account = policy::kNoAccount;
    policy::Demand demand;
    std::int64_t table_version = 0;
  };
  // Returns the run number of the next start of the task. All members of a gang
  // get the same one.
  static std::int32_t NextRun(const graph::Job& job,
                              const graph::TaskKey& task);
  PendingStart ProposeStart(const policy::PlannedStart& start);
  // Sends the starts when the next batch is committed.
  void SendOnceCommitted(std::vector<PendingStart> starts);
  // Sends all of these starts, or none if one of them would be in vain.
  void SendStarts(const std::vector<PendingStart>& starts);
  // Whether the starts, which belong together, exceed a limit of their account
  // that was lowered after they had been planned.
  bool ExceedsLoweredLimit(const std::vector<PendingStart>& starts) const;
  // Returns why the start must not be sent; empty if it may be.
  std::string FindObstacle(const PendingStart& start) const;
  void RejectStart(const PendingStart& start, const std::string& reason);
  // Returns the checkpoint from which the task resumes. All members of a gang
  // resume from that of its first task.
  static const std::string& CheckpointOf(const graph::Job& job,
                                         graph::TaskKey task);
  void SendStart(const PendingStart& start);
  // Logs and counts a committed start that is not sent.
  void RecordUnsentStart(const graph::TaskKey& task,
                         std::int32_t run,
                         graph::WorkerNumber worker,
                         const std::string& reason);
  void AskAdvice(const policy::PlannedQuestion& question);
  void ApplyAdvice();
  // The result is valid until the next call.
  const policy::LoadSummary& LoadFor(const policy::NewJob& job);
  void LogLoad() const;
  void LogGangs() const;
  void LogQuestions();
  void LogLongWaits() const;
  // The first run of the step in the committed state, and the worker that has
  // it. Empty if there is none.
  std::string DescribeRun(const graph::StepKey& key) const;

  const EngineOptions& options_;
  const graph::GraphStore& store_;
  EngineEnvironment& environment_;
  AccessRefusals& access_refusals_;
  MetricsRegistry& metrics_;
  AccountReport& account_report_;
  std::int64_t now_ms_ = 0;
  std::int64_t wall_ms_ = 0;
  // What CellMs() returned when this leader took over, and its own time then.
  const std::int64_t first_cell_ms_;
  const std::int64_t first_now_ms_;

  const RunTimes& run_times_;
  policy::GraphPlanner planner_;
  policy::AccountRates account_rates_;
  StepTracker step_tracker_;
  WorkerTracker workers_;
  GangAssembly gang_assembly_;
  AdviceDispatcher advice_dispatcher_;
  AdviceUsage advice_usage_;
  MembershipManager members_;
  // First configurations that wait until the cell is formed.
  std::vector<PublishTableCall> held_publications_;
  PendingCounter pending_;
  policy::WorkerHealth health_;
  RunCheck run_check_;

  wire::GraphBatch batch_;  // Contents of the next proposal.
  std::vector<Continuation> continuations_;
  bool batch_has_content_ = false;
  std::map<std::uint64_t, OpenProposal> open_proposals_;
  std::uint64_t next_proposal_ = 1;

  // Runs whose starts are being committed.
  std::map<graph::TaskKey, std::int32_t> proposed_runs_;
  // Distinct capacities of the workers of a service: as committed, and the
  // largest that each of these workers has had.
  struct ServiceCapacities {
    std::vector<policy::Demand> committed;
    std::vector<policy::Demand> full;
  };
  std::map<std::string, ServiceCapacities> capacities_;
  // Load of the cell as of `cell_load_ms_`; used for admission.
  policy::LoadSummary cell_load_;
  std::int64_t cell_load_ms_ = 0;

  std::vector<SentOrder> orders_;
  std::map<OrderId, OpenOrder> open_orders_;
  bool plan_due_ = true;
  // Number of workers whose lists were read for the first time in this term,
  // and whether that was at least half of the workers.
  std::size_t lists_read_ = 0;
  bool has_read_most_lists_ = false;
  std::int64_t last_plan_ms_ = 0;
  std::int64_t last_maintenance_ms_ = 0;
  std::int64_t last_member_check_ms_ = 0;
  std::int64_t last_load_log_ms_ = 0;
  std::int64_t last_run_check_ms_ = 0;
  std::int64_t last_usability_check_ms_ = 0;
  std::int64_t last_propose_ms_ = 0;

  // Statistics of runs that ended as done, by step. They are logged in one line
  // when the step is done.
  struct DoneRuns {
    std::int64_t count = 0;
    std::int64_t total_ms = 0;
    std::int64_t longest_ms = -1;
    std::int32_t longest_index = 0;
    graph::WorkerNumber longest_worker = 0;
  };
  std::map<graph::StepKey, DoneRuns> done_runs_;

  // Calls that wait for a commit: submissions by job id and reports by worker
  // id.
  struct OpenSubmission {
    std::string account;
    std::vector<GraphCall> calls;
  };
  std::map<graph::JobId, OpenSubmission> submitting_;
  std::map<std::string, std::vector<ReportCall>> registering_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_LEADER_H_
