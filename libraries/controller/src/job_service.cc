#include "job_service.h"

#include <algorithm>
#include <utility>

#include "conversions.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

namespace {

wire::Status KeyConflict(const std::string& job_id) {
  return wire::ToStatus(Error(ResultCode::kKeyConflict,
                              "the key or job id belongs to job " + job_id +
                                  " with another specification"));
}

wire::SubmitReply Accepted(const state::JobRecord& job) {
  wire::SubmitReply reply;
  reply.job = state::StatusOf(job);
  return reply;
}

}  // namespace

void JobService::Submit(SubmitCall call, TimePoint now) {
  const auto& request = call.request;
  const auto& spec = request.spec;
  if (auto checked = CheckSpec(spec); !checked) {
    Refuse(call.reply, request.job_id, wire::ToStatus(checked.error()));
    return;
  }
  if (request.job_id.empty()) {
    Refuse(call.reply, request.job_id,
           wire::ToStatus(Error(ResultCode::kMissingField, "job_id is required",
                                "job_id")));
    return;
  }
  const std::int64_t digest = SpecDigest(spec);
  if (ReplyToDuplicate(call, digest) || JoinPending(call, digest)) {
    return;
  }
  const auto admission = context_.scheduler->Submit(
      ToJobRequest(request.job_id, spec, request.region, context_.rules,
                   Duration(0), now),
      now);
  if (const auto* refused = std::get_if<policy::Refused>(&admission)) {
    ++context_.metrics.Counter("submissions_refused_total");
    auto status = wire::ToStatus(Error(refused->code, refused->reason));
    status.retry_after_ms = ToMilliseconds(refused->retry_after);
    Refuse(call.reply, request.job_id, status);
    return;
  }
  wire::SubmitJob command;
  command.job_id = request.job_id;
  command.spec = spec;
  command.spec_digest = digest;
  command.entry_id = request.entry_id;
  command.submitted_ms = context_.environment.WallMilliseconds();
  context_.commands.Submit(command);
  if (request.watch) {
    AddWatcher(request.job_id, request.entry_id);
  }
  if (!spec.idempotency_key.empty()) {
    pending_keys_[{spec.team, spec.idempotency_key}] = request.job_id;
  }
  auto& pending = pending_submits_[request.job_id];
  pending.command = std::move(command);
  pending.replies.push_back(std::move(call.reply));
}

bool JobService::ReplyToDuplicate(SubmitCall& call, std::int64_t digest) {
  const auto& request = call.request;
  const auto& jobs = context_.state.jobs();
  const auto* job = jobs.Find(request.job_id);
  if (job == nullptr && !request.spec.idempotency_key.empty()) {
    job = jobs.FindByKey(request.spec.team, request.spec.idempotency_key);
  }
  if (job == nullptr) {
    return false;
  }
  if (job->spec_digest != digest) {
    Refuse(call.reply, request.job_id, KeyConflict(job->job_id));
    return true;
  }
  if (request.watch && job->open_tasks > 0) {
    AddWatcher(job->job_id, request.entry_id);
  }
  call.reply(Accepted(*job));
  return true;
}

bool JobService::JoinPending(SubmitCall& call, std::int64_t digest) {
  const auto& request = call.request;
  std::string job_id = request.job_id;
  auto key =
      pending_keys_.find({request.spec.team, request.spec.idempotency_key});
  if (!pending_submits_.contains(job_id) && key != pending_keys_.end()) {
    job_id = key->second;
  }
  auto it = pending_submits_.find(job_id);
  if (it == pending_submits_.end()) {
    return false;
  }
  if (it->second.command.spec_digest != digest) {
    Refuse(call.reply, request.job_id, KeyConflict(job_id));
    return true;
  }
  if (request.watch) {
    AddWatcher(job_id, request.entry_id);
  }
  it->second.replies.push_back(std::move(call.reply));
  return true;
}

void JobService::Refuse(const Reply<wire::SubmitReply>& reply,
                        const std::string& job_id,
                        const wire::Status& status) const {
  wire::SubmitReply refusal;
  refusal.status = status;
  refusal.job.job_id = job_id;
  refusal.job.outcome = wire::Outcome::kNotRun;
  refusal.job.code = status.code;
  refusal.job.reason = status.message;
  refusal.job.retryable = IsRetryable(static_cast<ResultCode>(status.code));
  reply(refusal);
}

void JobService::OnSubmitApplied(const wire::SubmitJob& command,
                                 const state::SubmitResult& applied) {
  auto it = pending_submits_.find(command.job_id);
  if (it == pending_submits_.end()) {
    return;
  }
  auto pending = std::move(it->second);
  pending_submits_.erase(it);
  pending_keys_.erase({command.spec.team, command.spec.idempotency_key});
  if (applied.job_id != command.job_id) {
    context_.scheduler->Cancel(command.job_id);
  }
  const auto* job = context_.state.jobs().Find(applied.job_id);
  for (const auto& reply : pending.replies) {
    if (applied.code != ResultCode::kOk || job == nullptr) {
      Refuse(reply, command.job_id, KeyConflict(applied.job_id));
    } else {
      reply(Accepted(*job));
    }
  }
}

void JobService::OnSubmitFailed(const wire::SubmitJob& command,
                                const Error& error) {
  auto it = pending_submits_.find(command.job_id);
  if (it == pending_submits_.end()) {
    return;
  }
  auto pending = std::move(it->second);
  pending_submits_.erase(it);
  pending_keys_.erase({command.spec.team, command.spec.idempotency_key});
  watchers_.erase(command.job_id);
  context_.scheduler->Cancel(command.job_id);
  for (const auto& reply : pending.replies) {
    Refuse(reply, command.job_id, wire::ToStatus(error));
  }
}

void JobService::GetJob(const GetJobCall& call) {
  const auto& request = call.request;
  const auto& jobs = context_.state.jobs();
  const auto* job = request.job_id.empty()
                        ? jobs.FindByKey(request.team, request.idempotency_key)
                        : jobs.Find(request.job_id);
  wire::GetJobReply reply;
  if (job == nullptr) {
    // A proposed submission may still be committed, so the job is not reported
    // as unknown.
    const bool pending =
        pending_submits_.contains(request.job_id) ||
        pending_keys_.contains({request.team, request.idempotency_key});
    reply.status = wire::ToStatus(
        pending ? Error(ResultCode::kTimeout, "the job is not committed yet")
                : Error(ResultCode::kNotFound, "no such job"));
    call.reply(reply);
    return;
  }
  if (request.watch && job->open_tasks > 0) {
    AddWatcher(job->job_id, request.entry_id);
  }
  reply.job = state::StatusOf(*job);
  call.reply(reply);
}

void JobService::Cancel(CancelCall call) {
  wire::CancelJobs command;
  for (const auto& job_id : call.job_ids) {
    const auto* job = context_.state.jobs().Find(job_id);
    if (pending_submits_.contains(job_id) ||
        (job != nullptr && job->open_tasks > 0)) {
      command.job_ids.push_back(job_id);
    }
  }
  if (command.job_ids.empty()) {
    call.reply(MakeCancelReply(call.job_ids));
    return;
  }
  command.reason = call.reason;
  command.cancelled_ms = context_.environment.WallMilliseconds();
  context_.commands.Cancel(command);
  pending_cancels_.push_back({std::move(command), std::move(call)});
}

wire::CancelReply JobService::MakeCancelReply(
    const std::vector<std::string>& job_ids) const {
  wire::CancelReply reply;
  for (const auto& job_id : job_ids) {
    const auto* job = context_.state.jobs().Find(job_id);
    if (job != nullptr) {
      reply.jobs.push_back(state::StatusOf(*job));
      continue;
    }
    wire::JobStatus unknown;
    unknown.job_id = job_id;
    unknown.code = static_cast<int>(ResultCode::kNotFound);
    unknown.reason = "no such job";
    reply.jobs.push_back(unknown);
  }
  return reply;
}

void JobService::OnCancelApplied(const wire::CancelJobs& command,
                                 const state::CancelResult& applied,
                                 TimePoint now) {
  for (std::size_t i = 0; i < command.job_ids.size(); ++i) {
    if (applied.codes[i] == ResultCode::kOk) {
      context_.scheduler->Cancel(command.job_ids[i]);
    }
  }
  for (const auto& attempt : applied.active) {
    attempts_.RequestStop(ToTaskId(attempt), StopReason::kCancelled, false,
                          now);
  }
  const auto it = std::find_if(
      pending_cancels_.begin(), pending_cancels_.end(),
      [&](const PendingCancel& it) { return it.command == command; });
  if (it == pending_cancels_.end()) {
    return;
  }
  it->call.reply(MakeCancelReply(it->call.job_ids));
  pending_cancels_.erase(it);
}

void JobService::AddWatcher(const std::string& job_id,
                            const std::string& entry_id) {
  watchers_[job_id].insert(entry_id);
}

void JobService::OnFinished(const std::vector<std::string>& job_ids) {
  for (const auto& job_id : job_ids) {
    auto it = watchers_.find(job_id);
    const auto* job = context_.state.jobs().Find(job_id);
    if (it == watchers_.end() || job == nullptr) {
      continue;
    }
    const auto status = state::StatusOf(*job);
    for (const auto& entry_id : it->second) {
      context_.entries.AddUpdate(entry_id, status);
    }
    watchers_.erase(it);
  }
}

void JobService::FinishDropped(const policy::Drop& drop) {
  ++context_.metrics.Counter("jobs_dropped_total");
  FinishQueued(drop.job_id, drop.code, drop.reason);
}

void JobService::FinishJobsWithLostPayload(const std::string& entry_id) {
  std::vector<std::string> lost_jobs;
  for (const auto& job_id : context_.state.jobs().open_jobs()) {
    const auto* job = context_.state.jobs().Find(job_id);
    if (job->entry_id == entry_id && PayloadAtEntry(job->spec)) {
      lost_jobs.push_back(job_id);
    }
  }
  for (const auto& job_id : lost_jobs) {
    context_.scheduler->Cancel(job_id);
    FinishQueued(job_id, ResultCode::kUnavailable,
                 "the entry that holds the payload is gone");
  }
}

void JobService::FinishQueued(const std::string& job_id,
                              ResultCode code,
                              const std::string& reason) {
  const auto* job = context_.state.jobs().Find(job_id);
  auto pending = pending_submits_.find(job_id);
  if (job == nullptr && pending == pending_submits_.end()) {
    return;
  }
  const std::int32_t count = job != nullptr
                                 ? static_cast<std::int32_t>(job->tasks.size())
                                 : pending->second.command.spec.task_count;
  for (std::int32_t index = 0; index < count; ++index) {
    const policy::TaskId task{job_id, index};
    const Attempt* attempt = attempts_.table().Find(task);
    // If the end of an attempt is being committed, it may queue the task again.
    // Such a task is finished like a queued one.
    if (attempt != nullptr && attempt->stage != Stage::kEnding) {
      continue;
    }
    const bool is_final =
        job != nullptr && job->tasks[static_cast<std::size_t>(index)].state ==
                              wire::TaskState::kFinal;
    if (is_final) {
      continue;
    }
    wire::TaskResult result;
    result.attempt.job_id = job_id;
    result.attempt.index = index;
    result.attempt.attempt = AttemptCount(task);
    result.outcome = wire::Outcome::kNotRun;
    result.code = static_cast<int>(code);
    result.reason = reason;
    context_.commands.Finish(result, context_.environment.WallMilliseconds());
  }
}

std::int32_t JobService::AttemptCount(const policy::TaskId& task) const {
  const auto* job = context_.state.jobs().Find(task.job_id);
  const auto index = static_cast<std::size_t>(task.index);
  return job != nullptr && index < job->tasks.size() ? job->tasks[index].attempt
                                                     : 0;
}

void JobService::Abandon(const wire::Status& status) {
  // The pending submissions may still be committed. kTimeout is the only code
  // that leaves this open.
  wire::SubmitReply submit;
  submit.status = wire::ToStatus(
      Error(ResultCode::kTimeout,
            "not committed before the leader ended: " + status.message));
  submit.job.outcome = wire::Outcome::kPending;
  for (auto& [job_id, pending] : pending_submits_) {
    submit.job.job_id = job_id;
    for (const auto& reply : pending.replies) {
      reply(submit);
    }
  }
  wire::CancelReply cancel;
  cancel.status = status;
  for (const auto& pending : pending_cancels_) {
    pending.call.reply(cancel);
  }
  pending_submits_.clear();
  pending_cancels_.clear();
}

}  // namespace cranberryshunt::controller
