// Updates the leader once its commands are committed and applied.
#include <algorithm>
#include <utility>

#include "conversions.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/codec.h"
#include "leader.h"

namespace cranberryshunt::controller {

void Leader::OnApplied(const wire::CommandBatch& batch,
                       const std::vector<state::CommandResult>& results,
                       TimePoint now) {
  context_.metrics.Counter("commands_applied_total") +=
      static_cast<std::int64_t>(results.size());
  for (std::size_t i = 0; i < results.size(); ++i) {
    ApplyOne(batch.commands[i], results[i], now);
  }
}

void Leader::ApplyOne(const wire::Command& command,
                      const state::CommandResult& result,
                      TimePoint now) {
  if (const auto* submit = std::get_if<state::SubmitResult>(&result)) {
    jobs_.OnSubmitApplied(command.submit_job, *submit);
    return;
  }
  if (const auto* cancel = std::get_if<state::CancelResult>(&result)) {
    jobs_.OnCancelApplied(command.cancel_jobs, *cancel, now);
    jobs_.OnFinished(cancel->finished_jobs);
    return;
  }
  if (const auto* publish = std::get_if<state::PublishResult>(&result)) {
    publications_.OnApplied(command.publish_rules, *publish, now);
    return;
  }
  if (const auto* drain = std::get_if<state::DrainResult>(&result)) {
    ApplyDrain(command.drain_worker, *drain, now);
    return;
  }
  const auto* tasks = std::get_if<state::TasksResult>(&result);
  if (tasks == nullptr) {
    return;
  }
  if (command.__isset.place_tasks) {
    ApplyPlacements(command.place_tasks, *tasks, now);
  }
  for (const auto& it : command.finish_tasks.results) {
    attempts_.OnEndApplied(ToTaskId(it.attempt));
  }
  for (const auto& attempt : command.requeue_tasks.attempts) {
    attempts_.OnEndApplied(ToTaskId(attempt));
  }
  jobs_.OnFinished(tasks->finished_jobs);
}

void Leader::ApplyPlacements(const wire::PlaceTasks& command,
                             const state::TasksResult& applied,
                             TimePoint now) {
  for (std::size_t i = 0; i < command.placements.size(); ++i) {
    const auto& placement = command.placements[i];
    const policy::TaskId task_id = ToTaskId(placement.attempt);
    const auto* job = context_.state.jobs().Find(task_id.job_id);
    const auto index = static_cast<std::size_t>(task_id.index);
    const auto* task = job != nullptr && index < job->tasks.size()
                           ? &job->tasks[index]
                           : nullptr;
    if (applied.codes[i] == ResultCode::kOk) {
      attempts_.OnPlaced(*job, *task, now);
      continue;
    }
    // A proposal that failed with an unknown outcome is proposed again. If the
    // first proposal was committed after all, the second one is rejected here.
    const bool repeated =
        task != nullptr && task->attempt >= placement.attempt.attempt;
    if (repeated) {
      continue;
    }
    // The task returns to the scheduler's queue. This includes a task whose
    // previous attempt's end failed to commit and is proposed again, which will
    // queue the task in the replicated state.
    const bool open = task != nullptr && !job->cancelled &&
                      task->state != wire::TaskState::kFinal;
    Log(LogLevel::kInfo, "controller", "placement rejected",
        {{"job", task_id.job_id}, {"code", ResultCodeName(applied.codes[i])}});
    context_.scheduler->TaskEnded(
        task_id,
        open ? policy::EndKind::kWithdrawn : policy::EndKind::kCancelled, now);
  }
}

void Leader::ApplyDrain(const wire::DrainWorker& command,
                        const state::DrainResult& applied,
                        TimePoint now) {
  context_.workers.SetDraining(command.identity, command.draining);
  if (LiveWorker* worker = context_.workers.Find(command.identity)) {
    reports_.UpdateAccepting(*worker, now);
  }
  const auto it = std::find_if(
      pending_drains_.begin(), pending_drains_.end(),
      [&](const DrainCall& call) { return call.request == command; });
  if (it == pending_drains_.end()) {
    return;
  }
  it->reply(applied.code == ResultCode::kOk
                ? wire::Status()
                : wire::ToStatus(Error(applied.code, "no such worker")));
  pending_drains_.erase(it);
}

void Leader::OnProposalDone(std::uint64_t id,
                            const Result<std::int64_t>& result) {
  if (result) {
    context_.commands.Succeeded(id);
    return;
  }
  ++context_.metrics.Counter("proposals_failed_total");
  Log(LogLevel::kWarning, "controller", "proposal failed",
      {{"code", ResultCodeName(result.error().code())},
       {"message", result.error().message()}});
  for (const auto& submit :
       context_.commands.Failed(id, result.error().code())) {
    jobs_.OnSubmitFailed(submit, result.error());
  }
}

}  // namespace cranberryshunt::controller
