// State and decisions of the leader that are not replicated. A Leader exists
// only while this controller leads.
#ifndef CRANBERRYSHUNT_CONTROLLER_LEADER_H_
#define CRANBERRYSHUNT_CONTROLLER_LEADER_H_

#include <memory>
#include <optional>
#include <vector>

#include "alert_evaluator.h"
#include "attempt_manager.h"
#include "job_service.h"
#include "leader_context.h"
#include "poll_service.h"
#include "publication_tracker.h"
#include "report_service.h"

namespace cranberryshunt::controller {

class Leader {
 public:
  // Rebuilds the scheduler from `state`, which must outlive the leader. Fails
  // with kInvalidSettings when the scheduler options contradict each other.
  static Result<std::unique_ptr<Leader>> Create(
      const CoreOptions& options,
      const state::StateMachine& state,
      CoreEnvironment& environment,
      MetricsRegistry& metrics,
      std::int64_t term,
      TimePoint now);

  void Handle(Call call, TimePoint now);
  // Updates the leader after `batch` was committed and applied to the state.
  // `results` holds one result per command.
  void OnApplied(const wire::CommandBatch& batch,
                 const std::vector<state::CommandResult>& results,
                 TimePoint now);
  void OnProposalDone(std::uint64_t id, const Result<std::int64_t>& result);

  // Runs the periodic work whose time has come, decides placements and answers
  // polls.
  void Advance(TimePoint now);
  std::optional<Proposal> TakeProposal() { return context_.commands.Take(); }
  void Record(const wire::AuditRecord& record) {
    context_.commands.Record(record);
  }

  // Replies with an error to every open call. Submissions get kTimeout, because
  // they may still be committed; other calls get `status`.
  void Abandon(const wire::Status& status);

 private:
  Leader(const CoreOptions& options,
         const state::StateMachine& state,
         CoreEnvironment& environment,
         MetricsRegistry& metrics,
         std::int64_t term,
         std::unique_ptr<policy::Scheduler> scheduler,
         TimePoint now);

  void BeginTermAndRestoreFromState(TimePoint now);
  void RestoreJob(const state::JobRecord& job, TimePoint now);
  void Drain(DrainCall call);

  void ApplyPlacements(const wire::PlaceTasks& command,
                       const state::TasksResult& applied,
                       TimePoint now);
  void ApplyDrain(const wire::DrainWorker& command,
                  const state::DrainResult& applied,
                  TimePoint now);
  void ApplyOne(const wire::Command& command,
                const state::CommandResult& result,
                TimePoint now);

  void Decide(TimePoint now);
  void ExecuteDecision(const policy::Decision& decision, TimePoint now);
  wire::Placement MakePlacement(const policy::Assignment& assignment) const;
  void EvaluateAlerts(TimePoint now);
  void ExpireKeys();

  LeaderContext context_;
  AttemptManager attempts_;
  JobService jobs_;
  ReportService reports_;
  PublicationTracker publications_;
  PollService polls_;
  AlertEvaluator alerts_;
  std::vector<DrainCall> pending_drains_;
  TimePoint next_tick_{};
  TimePoint next_alert_evaluation_{};
  TimePoint next_expiry_{};
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_LEADER_H_
