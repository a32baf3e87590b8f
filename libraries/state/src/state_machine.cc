#include "cranberryshunt/state/state_machine.h"

#include <algorithm>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::state {

namespace {

// Maximum number of job ids listed in the audit record of a cancellation.
constexpr std::size_t kMaxAuditedJobIds = 20;

// Returns the newest time in `command`, or 0 if it has none.
std::int64_t TimeOf(const wire::Command& command) {
  return std::max({command.submit_job.submitted_ms,
                   command.place_tasks.placed_ms,
                   command.finish_tasks.finished_ms,
                   command.cancel_jobs.cancelled_ms, command.drain_worker.at_ms,
                   command.publish_rules.at_ms, command.begin_term.at_ms});
}

std::string DescribeFiles(const wire::PublishRules& command,
                          std::int64_t revision) {
  std::string text = "revision " + std::to_string(revision) + " version '" +
                     command.version + "'";
  for (const auto& file : command.files) {
    const auto lines =
        std::count(file.content.begin(), file.content.end(), '\n');
    text += "; " + file.path + ":1-" + std::to_string(lines) + " sha256 " +
            Sha256Hex(file.content);
  }
  return text;
}

}  // namespace

std::vector<CommandResult> StateMachine::Apply(const wire::CommandBatch& batch,
                                               std::int64_t index) {
  if (index <= index_) {
    return {};
  }
  index_ = index;
  std::vector<CommandResult> results;
  results.reserve(batch.commands.size());
  for (const auto& command : batch.commands) {
    results.push_back(ApplyOne(command));
  }
  return results;
}

CommandResult StateMachine::ApplyOne(const wire::Command& command) {
  now_ms_ = std::max(now_ms_, TimeOf(command));
  const auto& set = command.__isset;
  if (set.submit_job) {
    return jobs_.Submit(command.submit_job);
  }
  if (set.place_tasks) {
    return jobs_.Place(command.place_tasks, workers_);
  }
  if (set.finish_tasks) {
    return jobs_.Finish(command.finish_tasks);
  }
  if (set.requeue_tasks) {
    return jobs_.Requeue(command.requeue_tasks, now_ms_);
  }
  if (set.mark_running) {
    return jobs_.MarkRunning(command.mark_running);
  }
  if (set.cancel_jobs) {
    return Cancel(command.cancel_jobs);
  }
  if (set.upsert_workers) {
    return UpsertWorkers(command.upsert_workers);
  }
  if (set.remove_workers) {
    return RemoveWorkers(command.remove_workers);
  }
  if (set.drain_worker) {
    return Drain(command.drain_worker);
  }
  if (set.publish_rules) {
    return Publish(command.publish_rules);
  }
  if (set.record_audit) {
    return RecordAudit(command.record_audit);
  }
  if (set.expire_keys) {
    return jobs_.Expire(command.expire_keys);
  }
  if (set.begin_term) {
    return BeginTerm(command.begin_term);
  }
  return UnknownCommand{};
}

CancelResult StateMachine::Cancel(const wire::CancelJobs& command) {
  std::string detail;
  for (std::size_t i = 0;
       i < std::min(command.job_ids.size(), kMaxAuditedJobIds); ++i) {
    detail += command.job_ids[i] + " ";
  }
  AppendAuditRecord(
      command.cancelled_ms, command.reason, "cancel",
      detail + "(" + std::to_string(command.job_ids.size()) + " jobs)");
  return jobs_.Cancel(command);
}

WorkersResult StateMachine::UpsertWorkers(const wire::UpsertWorkers& command) {
  for (const auto& worker : command.workers) {
    auto& stored = workers_[worker.identity];
    const bool draining = stored.draining;
    stored = worker;
    // Only DrainWorker changes `draining`, so the value in `worker` is ignored.
    stored.draining = draining;
  }
  return {};
}

WorkersResult StateMachine::RemoveWorkers(const wire::RemoveWorkers& command) {
  for (const auto& identity : command.identities) {
    workers_.erase(identity);
  }
  return {};
}

DrainResult StateMachine::Drain(const wire::DrainWorker& command) {
  auto it = workers_.find(command.identity);
  if (it == workers_.end()) {
    return {ResultCode::kNotFound};
  }
  it->second.draining = command.draining;
  AppendAuditRecord(command.at_ms, command.operator_name,
                    command.draining ? "drain" : "undrain", command.identity);
  return {};
}

PublishResult StateMachine::Publish(const wire::PublishRules& command) {
  bool repeated = false;
  PublishResult applied = rules_.Publish(command, &repeated);
  if (repeated) {
    return applied;
  }
  const bool accepted = applied.code == ResultCode::kOk;
  AppendAuditRecord(command.at_ms, command.operator_name,
                    accepted ? "publish" : "publish refused",
                    DescribeFiles(command, applied.revision));
  return applied;
}

AuditResult StateMachine::RecordAudit(const wire::RecordAudit& command) {
  for (const auto& record : command.records) {
    audit_.Append(record);
  }
  return {};
}

TermResult StateMachine::BeginTerm(const wire::BeginTerm& command) {
  term_ = std::max(term_, command.term);
  jobs_.IncrementFence();
  AppendAuditRecord(command.at_ms, command.leader_id, "begin term",
                    std::to_string(command.term));
  return {};
}

void StateMachine::AppendAuditRecord(std::int64_t at_ms,
                                     const std::string& actor,
                                     const std::string& action,
                                     const std::string& detail) {
  wire::AuditRecord record;
  record.at_ms = at_ms;
  record.actor = actor;
  record.action = action;
  record.detail = detail;
  audit_.Append(std::move(record));
}

std::string StateMachine::Snapshot() const {
  state::Snapshot snapshot;
  snapshot.index = index_;
  snapshot.fence = jobs_.fence();
  snapshot.term = term_;
  snapshot.now_ms = now_ms_;
  for (const auto& [job_id, job] : jobs_.jobs()) {
    snapshot.jobs.push_back(job);
  }
  for (const auto& [identity, worker] : workers_) {
    snapshot.workers.push_back(worker);
  }
  snapshot.rules_revision = rules_.revision();
  snapshot.publication = rules_.current();
  snapshot.publications.assign(rules_.results().begin(),
                               rules_.results().end());
  snapshot.audit_sequence = audit_.sequence();
  snapshot.audit.assign(audit_.records().begin(), audit_.records().end());
  return wire::Encode(snapshot);
}

Result<StateMachine> StateMachine::Restore(std::string_view bytes) {
  auto snapshot = wire::Decode<state::Snapshot>(bytes);
  if (!snapshot) {
    return tl::unexpected(snapshot.error());
  }
  StateMachine machine;
  machine.index_ = snapshot->index;
  machine.term_ = snapshot->term;
  machine.now_ms_ = snapshot->now_ms;
  machine.jobs_.Restore(snapshot->fence, std::move(snapshot->jobs));
  for (auto& worker : snapshot->workers) {
    machine.workers_.emplace(worker.identity, std::move(worker));
  }
  machine.rules_.Restore(snapshot->rules_revision,
                         std::move(snapshot->publication),
                         std::move(snapshot->publications));
  machine.audit_.Restore(snapshot->audit_sequence, std::move(snapshot->audit));
  return machine;
}

}  // namespace cranberryshunt::state
