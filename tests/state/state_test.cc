#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "cranberryshunt/state/state_machine.h"

namespace cranberryshunt::state {

namespace {

wire::SubmitJob MakeSubmit(const std::string& job_id,
                           const std::string& key,
                           std::int64_t digest) {
  wire::SubmitJob submit;
  submit.job_id = job_id;
  submit.spec.team = "t";
  submit.spec.task_count = 2;
  submit.spec.idempotency_key = key;
  submit.spec_digest = digest;
  submit.submitted_ms = 1'000;
  return submit;
}

wire::AttemptKey MakeAttemptKey(const std::string& job_id,
                                std::int32_t index,
                                std::int32_t attempt) {
  wire::AttemptKey key;
  key.job_id = job_id;
  key.index = index;
  key.attempt = attempt;
  return key;
}

// Records commands and applies them to a state machine.
struct CommandLog {
  template <typename T>
  CommandResult Apply(void (wire::Command::*set)(const T&), const T& value) {
    wire::CommandBatch batch;
    batch.commands.emplace_back();
    (batch.commands.back().*set)(value);
    batches.push_back(batch);
    return machine.Apply(batch, static_cast<std::int64_t>(batches.size()))
        .at(0);
  }

  CommandResult Submit(const wire::SubmitJob& submit) {
    return Apply(&wire::Command::__set_submit_job, submit);
  }

  void AddWorker(const std::string& identity) {
    wire::UpsertWorkers upsert;
    upsert.workers.emplace_back();
    upsert.workers.back().identity = identity;
    Apply(&wire::Command::__set_upsert_workers, upsert);
  }

  ResultCode Place(const wire::AttemptKey& attempt,
                   const std::string& worker,
                   std::int64_t fence) {
    wire::PlaceTasks place;
    place.placements.emplace_back();
    place.placements.back().attempt = attempt;
    place.placements.back().worker = worker;
    place.placements.back().fence = fence;
    return std::get<TasksResult>(
               Apply(&wire::Command::__set_place_tasks, place))
        .codes.at(0);
  }

  TasksResult Finish(const wire::AttemptKey& attempt,
                     wire::Outcome::type outcome) {
    wire::FinishTasks finish;
    finish.results.emplace_back();
    finish.results.back().attempt = attempt;
    finish.results.back().outcome = outcome;
    finish.finished_ms = 2'000;
    return std::get<TasksResult>(
        Apply(&wire::Command::__set_finish_tasks, finish));
  }

  ResultCode Requeue(const wire::AttemptKey& attempt, bool never_started) {
    wire::RequeueTasks requeue;
    requeue.attempts.push_back(attempt);
    requeue.never_started = never_started;
    return std::get<TasksResult>(
               Apply(&wire::Command::__set_requeue_tasks, requeue))
        .codes.at(0);
  }

  PublishResult Publish(const std::string& id,
                        std::int64_t base,
                        const std::string& content) {
    wire::PublishRules publish;
    publish.publication_id = id;
    publish.base_revision = base;
    publish.operator_name = "op";
    publish.files.resize(1);
    publish.files[0].content = content;
    return std::get<PublishResult>(
        Apply(&wire::Command::__set_publish_rules, publish));
  }

  StateMachine machine;
  std::vector<wire::CommandBatch> batches;
};

// Returns a log of commands that fill every part of a snapshot.
CommandLog MakeMixedLog() {
  CommandLog log;
  log.AddWorker("w");
  for (int i = 0; i < 20; ++i) {
    const std::string id = "j" + std::to_string(i * 7 % 20);
    log.Submit(MakeSubmit(id, "k" + id, i));
    log.Place(MakeAttemptKey(id, 0, 1), "w", i + 1);
    if (i % 3 == 0) {
      log.Finish(MakeAttemptKey(id, 0, 1), wire::Outcome::kDone);
    } else if (i % 3 == 1) {
      log.Requeue(MakeAttemptKey(id, 0, 1), false);
    }
  }
  wire::CancelJobs cancel;
  cancel.job_ids = {"j1", "j2", "none"};
  log.Apply(&wire::Command::__set_cancel_jobs, cancel);
  log.Publish("p1", 0, "a");
  log.Publish("p2", 0, "b");
  wire::BeginTerm term;
  term.term = 3;
  log.Apply(&wire::Command::__set_begin_term, term);
  return log;
}

}  // namespace

// Guards against replicas that differ after the same commands, and against
// snapshots that omit a part of the state.
Test(state, replicas_agree_and_snapshots_are_complete) {
  const CommandLog log = MakeMixedLog();
  StateMachine half;
  StateMachine whole;
  std::int64_t index = 0;
  for (const auto& batch : log.batches) {
    whole.Apply(batch, ++index);
    if (static_cast<std::size_t>(index) <= log.batches.size() / 2) {
      half.Apply(batch, index);
    }
  }
  cr_assert(whole.Snapshot() == log.machine.Snapshot());
  auto restored = StateMachine::Restore(half.Snapshot());
  cr_assert(restored.has_value());
  // Batches at or below the snapshot's index are skipped.
  index = 0;
  for (const auto& batch : log.batches) {
    restored->Apply(batch, ++index);
  }
  cr_assert(restored->Snapshot() == whole.Snapshot());
  cr_assert_not(StateMachine::Restore("no snapshot").has_value());
}

// Guards against an idempotency key that creates a second job, or that accepts
// a job with a different digest.
Test(state, keys_map_to_the_first_job) {
  CommandLog log;
  log.Submit(MakeSubmit("j1", "k", 1));
  const auto same =
      std::get<SubmitResult>(log.Submit(MakeSubmit("j2", "k", 1)));
  cr_assert(same == (SubmitResult{ResultCode::kOk, "j1", true}));
  const auto other =
      std::get<SubmitResult>(log.Submit(MakeSubmit("j3", "k", 2)));
  cr_assert_eq(other.code, ResultCode::kKeyConflict);
  cr_assert_null(log.machine.jobs().Find("j2"));
  log.Finish(MakeAttemptKey("j1", 0, 0), wire::Outcome::kNotRun);
  log.Finish(MakeAttemptKey("j1", 1, 0), wire::Outcome::kNotRun);
  wire::ExpireKeys expire;
  expire.finished_before_ms = 2'000;
  log.Apply(&wire::Command::__set_expire_keys, expire);
  cr_assert_not_null(log.machine.jobs().FindByKey("t", "k"));
  expire.finished_before_ms = 2'001;
  log.Apply(&wire::Command::__set_expire_keys, expire);
  cr_assert_null(log.machine.jobs().FindByKey("t", "k"));
}

// Guards against invalid commands that corrupt the state or crash a replica.
Test(state, commands_that_do_not_fit_are_refused) {
  CommandLog log;
  log.AddWorker("w");
  log.Submit(MakeSubmit("j", "", 1));
  cr_assert_eq(log.Place(MakeAttemptKey("j", 5, 1), "w", 1),
               ResultCode::kNotFound);
  cr_assert_eq(log.Place(MakeAttemptKey("j", -1, 1), "w", 1),
               ResultCode::kNotFound);
  cr_assert_eq(log.Place(MakeAttemptKey("j", 0, 1), "x", 1),
               ResultCode::kNotFound);
  cr_assert_eq(log.Place(MakeAttemptKey("j", 0, 2), "w", 1),
               ResultCode::kRevisionConflict);
  cr_assert_eq(log.Place(MakeAttemptKey("j", 0, 1), "w", 4), ResultCode::kOk);
  cr_assert_eq(log.Place(MakeAttemptKey("j", 0, 2), "w", 5),
               ResultCode::kRevisionConflict);
  cr_assert_eq(log.Place(MakeAttemptKey("j", 1, 1), "w", 4),
               ResultCode::kRevisionConflict);
  cr_assert_eq(
      log.Finish(MakeAttemptKey("j", 0, 2), wire::Outcome::kDone).codes.at(0),
      ResultCode::kRevisionConflict);
  cr_assert_eq(
      log.Finish(MakeAttemptKey("j", 0, 1), wire::Outcome::kDone).codes.at(0),
      ResultCode::kOk);
  cr_assert_eq(
      log.Finish(MakeAttemptKey("j", 0, 1), wire::Outcome::kFailed).codes.at(0),
      ResultCode::kRevisionConflict);
  cr_assert_eq(log.Requeue(MakeAttemptKey("j", 0, 1), true),
               ResultCode::kRevisionConflict);
}

// Guards against reporting kNotRun for a task whose earlier attempt may have
// run.
Test(state, not_run_is_never_claimed_after_a_start) {
  CommandLog log;
  log.AddWorker("w");
  log.Submit(MakeSubmit("j", "", 1));
  log.Place(MakeAttemptKey("j", 0, 1), "w", 1);
  log.Requeue(MakeAttemptKey("j", 0, 1), true);
  log.Place(MakeAttemptKey("j", 1, 1), "w", 2);
  log.Requeue(MakeAttemptKey("j", 1, 1), false);
  log.Finish(MakeAttemptKey("j", 0, 1), wire::Outcome::kNotRun);
  const auto done =
      log.Finish(MakeAttemptKey("j", 1, 1), wire::Outcome::kNotRun);
  cr_assert_eq(done.finished_jobs.size(), 1U);
  const auto status = StatusOf(*log.machine.jobs().Find("j"));
  cr_assert_eq(status.tasks[0].outcome, wire::Outcome::kNotRun);
  cr_assert_eq(status.tasks[1].outcome, wire::Outcome::kFailed);
  cr_assert_eq(status.outcome, wire::Outcome::kFailed);
}

// Guards against two publications that both get the same revision, and against
// a resent publication that is published twice.
Test(state, publication_is_a_compare_and_set) {
  CommandLog log;
  cr_assert_eq(log.Publish("p1", 0, "a").revision, 1);
  const auto lost = log.Publish("p2", 0, "b");
  cr_assert_eq(lost.code, ResultCode::kRevisionConflict);
  cr_assert(lost.winner.find("p1") != std::string::npos);
  cr_assert_eq(log.Publish("p3", 1, "c").revision, 2);
  cr_assert(log.Publish("p1", 0, "a") ==
            (PublishResult{ResultCode::kOk, 1, ""}));
  cr_assert_eq(log.Publish("p1", 0, "z").code, ResultCode::kRevisionConflict);
  cr_assert_eq(log.machine.rules().current().publication_id, "p3");
}

// Guards against an audit trail that grows without bound or whose sequence
// numbers are wrong.
Test(state, audit_keeps_the_newest) {
  AuditTrail trail;
  for (std::size_t i = 0; i < kMaxAuditRecords + 5; ++i) {
    trail.Append({});
  }
  cr_assert_eq(trail.records().size(), kMaxAuditRecords);
  const auto after = trail.After(3, 2);
  cr_assert_eq(after.at(0).sequence, 6);
  cr_assert_eq(after.size(), 2U);
}

}  // namespace cranberryshunt::state
