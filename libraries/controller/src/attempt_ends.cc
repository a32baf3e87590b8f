// AttemptManager: reports about attempts and the ends of attempts.
#include <algorithm>

#include "attempt_manager.h"
#include "conversions.h"
#include "cranberryshunt/base/log.h"

namespace cranberryshunt::controller {

namespace {

// Larger answers are not stored with the result.
constexpr std::size_t kMaxStoredAnswerBytes = std::size_t{64} << 10;
// The attempt fails when this many of its answers were invalid.
constexpr int kMaxInvalidAnswers = 3;
// Upper bound of the time that an announcement spends at an entry and in calls.
// It matters for starts sent by an earlier leader, whose expiry is known only
// on this leader's clock.
constexpr std::chrono::seconds kMaxAnnouncementDelay{5};

// Returns whether the attempt did not run and never will.
bool NeverStarted(policy::EndKind kind) {
  return kind == policy::EndKind::kRefused ||
         kind == policy::EndKind::kWithdrawn;
}

wire::Outcome::type FailureOutcome(policy::EndKind kind, bool idempotent) {
  switch (kind) {
    case policy::EndKind::kDone:
      return wire::Outcome::kDone;
    case policy::EndKind::kRefused:
    case policy::EndKind::kWithdrawn:
      return wire::Outcome::kNotRun;
    case policy::EndKind::kCancelled:
      return wire::Outcome::kCancelled;
    case policy::EndKind::kWorkerLost:
      return idempotent ? wire::Outcome::kFailed : wire::Outcome::kUnknown;
    case policy::EndKind::kFailed:
    case policy::EndKind::kPreempted:
      break;
  }
  return wire::Outcome::kFailed;
}

ResultCode DefaultCode(policy::EndKind kind, bool idempotent) {
  switch (kind) {
    case policy::EndKind::kDone:
      return ResultCode::kOk;
    case policy::EndKind::kFailed:
      return ResultCode::kTaskFailed;
    case policy::EndKind::kRefused:
    case policy::EndKind::kWithdrawn:
      return ResultCode::kStartRefused;
    case policy::EndKind::kWorkerLost:
      return idempotent ? ResultCode::kWorkerLost : ResultCode::kOutcomeUnknown;
    case policy::EndKind::kPreempted:
      return ResultCode::kPreempted;
    case policy::EndKind::kCancelled:
      break;
  }
  return ResultCode::kCancelledByCaller;
}

}  // namespace

ReportEffect AttemptManager::Report(const wire::AttemptReport& report,
                                    TimePoint now) {
  Attempt* attempt = table_.Find(report.attempt);
  if (attempt == nullptr) {
    return ReportEffect::kUnknownAttempt;
  }
  if (attempt->stage == Stage::kEnding) {
    return ReportEffect::kEnding;
  }
  switch (report.state) {
    case wire::AttemptState::kRunning:
      MarkAttemptRunning(*attempt, now);
      break;
    case wire::AttemptState::kDone:
      ReportDone(*attempt, report, now);
      break;
    case wire::AttemptState::kFailed:
      End(*attempt,
          {.kind = policy::EndKind::kFailed,
           .reason = report.reason,
           .answer = report.answer},
          now);
      break;
    case wire::AttemptState::kStopped:
      ReportStopped(*attempt, report, now);
      break;
    case wire::AttemptState::kRefused:
    case wire::AttemptState::kNeverStarted:
      ReportNotStarted(*attempt, report, now);
      break;
    case wire::AttemptState::kUnknown:
      if (attempt->stage == Stage::kStartSent) {
        StartLookup(*attempt, now);
      }
      break;
  }
  return attempt->stage == Stage::kEnding ? ReportEffect::kEnding
                                          : ReportEffect::kRecorded;
}

void AttemptManager::MarkAttemptRunning(Attempt& attempt, TimePoint now) {
  attempt.last_listed = now;
  if (attempt.stage == Stage::kRunning) {
    return;
  }
  context_.orders.RemoveStart(attempt.entry, attempt.key);
  attempt.stage = Stage::kRunning;
  attempt.start_may_be_sent = true;
  attempt.lookups = 0;
  if (!attempt.ran) {
    attempt.ran = true;
    context_.commands.MarkRunning(attempt.key);
    context_.scheduler->TaskRunning(ToTaskId(attempt.key), now);
    RecordWait(attempt, now);
  }
  if (attempt.stop != StopReason::kNone) {
    SendStop(attempt, now);
  } else {
    // Workers announce themselves every second, so an announcement that lists
    // the attempt should arrive well before this timer.
    table_.SetTimer(attempt, now + std::chrono::seconds(5));
  }
}

void AttemptManager::RecordWait(const Attempt& attempt, TimePoint now) {
  const auto* job = context_.state.jobs().Find(attempt.key.job_id);
  if (job == nullptr || attempt.key.attempt != 1) {
    return;
  }
  const auto wait_ms = std::max<std::int64_t>(
      0, context_.environment.WallMilliseconds() - job->submitted_ms);
  context_.metrics
      .ValueDistribution("wait_ms{kind=\"" + KindName(ToKind(job->spec.kind)) +
                         "\"}")
      .Record(static_cast<double>(wait_ms), now);
}

void AttemptManager::ReportDone(Attempt& attempt,
                                const wire::AttemptReport& report,
                                TimePoint now) {
  if (IsIntact(report.answer)) {
    End(attempt,
        {.kind = policy::EndKind::kDone,
         .reason = report.reason,
         .answer = report.answer},
        now);
    return;
  }
  if (++attempt.invalid_answers < kMaxInvalidAnswers) {
    StartLookup(attempt, now);
    return;
  }
  End(attempt,
      {.kind = policy::EndKind::kFailed,
       .code = ResultCode::kAnswerInvalid,
       .reason = "answer does not match its length and checksum"},
      now);
}

void AttemptManager::EndUnlisted(const std::string& worker,
                                 std::int64_t clock_ms,
                                 const std::vector<wire::AttemptReport>& listed,
                                 TimePoint now) {
  // Each listed attempt is either in the table or about to be stopped. If the
  // list is at least as long as the table, it is very unlikely that an attempt
  // is missing from it.
  if (table_.CountOnWorker(worker) <= listed.size()) {
    return;
  }
  for (const auto& task : table_.OnWorker(worker)) {
    Attempt* attempt = table_.Find(task);
    const bool expired = clock_ms > attempt->expiry_clock_ms &&
                         now > attempt->start_expiry + kMaxAnnouncementDelay;
    if (attempt->stage != Stage::kLookup || attempt->ran || !expired) {
      continue;
    }
    const bool is_listed = std::any_of(listed.begin(), listed.end(),
                                       [&](const wire::AttemptReport& it) {
                                         return it.attempt == attempt->key;
                                       });
    if (!is_listed) {
      // A worker lists an attempt that it started until the end is
      // acknowledged, so this attempt was not started.
      End(*attempt,
          {.kind = policy::EndKind::kRefused,
           .reason = "the worker did not start it before its expiry"},
          now);
    }
  }
}

void AttemptManager::ReportNotStarted(Attempt& attempt,
                                      const wire::AttemptReport& report,
                                      TimePoint now) {
  // If several entries received the start, one may have failed to deliver it
  // while another succeeded. Only a lookup is conclusive then, because it makes
  // the target refuse any later start of the attempt.
  const bool conclusive =
      report.looked_up ||
      (attempt.stage != Stage::kRunning && attempt.deliveries == 1);
  if (!conclusive) {
    if (attempt.stage != Stage::kLookup) {
      StartLookup(attempt, now);
    }
    return;
  }
  if (report.payload_missing) {
    EndUndeliverable(attempt, now);
    return;
  }
  if (attempt.ran) {
    // The attempt was reported as running, so it may have had effects although
    // the target has lost its record.
    End(attempt,
        {.kind = policy::EndKind::kWorkerLost, .reason = report.reason}, now);
    return;
  }
  // The target answers lookups, so the lost start must not count as a refusal
  // by the worker.
  const bool start_lost =
      report.looked_up && report.state == wire::AttemptState::kNeverStarted;
  End(attempt,
      {.kind =
           start_lost ? policy::EndKind::kWithdrawn : policy::EndKind::kRefused,
       .reason = report.reason},
      now);
}

void AttemptManager::ReportStopped(Attempt& attempt,
                                   const wire::AttemptReport& report,
                                   TimePoint now) {
  policy::EndKind kind = policy::EndKind::kWorkerLost;
  if (attempt.stop == StopReason::kCancelled) {
    kind = policy::EndKind::kCancelled;
  } else if (attempt.stop == StopReason::kPreempted) {
    kind = policy::EndKind::kPreempted;
  }
  End(attempt, {.kind = kind, .reason = report.reason}, now);
}

void AttemptManager::OnWorkerLost(const std::string& worker,
                                  const std::string& reason,
                                  TimePoint now) {
  for (const auto& task : table_.OnWorker(worker)) {
    Attempt* attempt = table_.Find(task);
    if (attempt->stage == Stage::kEnding) {
      continue;
    }
    const auto kind = attempt->start_may_be_sent ? policy::EndKind::kWorkerLost
                                                 : policy::EndKind::kWithdrawn;
    End(*attempt, {.kind = kind, .reason = reason}, now);
  }
}

void AttemptManager::End(Attempt& attempt, Ending ending, TimePoint now) {
  const policy::TaskId task = ToTaskId(attempt.key);
  const auto* job = context_.state.jobs().Find(attempt.key.job_id);
  context_.orders.RemoveStart(attempt.entry, attempt.key);
  attempt.stage = Stage::kEnding;
  table_.SetTimer(attempt, std::nullopt);
  if (ending.answer.bytes.size() > kMaxStoredAnswerBytes) {
    ending.answer.bytes.clear();
    ending.answer.stored = false;
  }
  const bool cancelled = attempt.stop == StopReason::kCancelled ||
                         (job != nullptr && job->cancelled);
  if (cancelled && ending.kind != policy::EndKind::kDone) {
    ending.kind = policy::EndKind::kCancelled;
  }
  const bool payload_lost = job != nullptr && PayloadAtEntry(job->spec) &&
                            context_.entries.IsLost(job->entry_id, now);
  if (payload_lost && NeverStarted(ending.kind)) {
    EndUndeliverable(attempt, now);
    return;
  }
  const auto decision = context_.scheduler->TaskEnded(task, ending.kind, now);
  const bool idempotent = job == nullptr || job->spec.idempotent;
  const bool may_repeat = idempotent || NeverStarted(ending.kind);
  if (std::holds_alternative<policy::Requeued>(decision)) {
    if (may_repeat) {
      CommitRequeue(attempt, ending);
      return;
    }
    Log(LogLevel::kError, "controller",
        "scheduler requeued a non-idempotent task, cancelling its job",
        {{"job", task.job_id}, {"index", task.index}});
    context_.scheduler->Cancel(task.job_id);
  }
  const auto* ended = std::get_if<policy::Ended>(&decision);
  if (ended != nullptr && ending.reason.empty()) {
    ending.reason = ended->reason;
  }
  ResultCode code = ending.code;
  if (code == ResultCode::kOk && ended != nullptr && idempotent &&
      ending.kind != policy::EndKind::kDone) {
    code = ended->code;
  }
  if (code == ResultCode::kOk) {
    code = DefaultCode(ending.kind, idempotent);
  }
  CommitFinish(attempt, FailureOutcome(ending.kind, idempotent), code, ending);
}

void AttemptManager::EndUndeliverable(Attempt& attempt, TimePoint now) {
  context_.orders.RemoveStart(attempt.entry, attempt.key);
  attempt.stage = Stage::kEnding;
  table_.SetTimer(attempt, std::nullopt);
  context_.scheduler->TaskEnded(ToTaskId(attempt.key),
                                policy::EndKind::kCancelled, now);
  CommitFinish(attempt, wire::Outcome::kNotRun, ResultCode::kUnavailable,
               {.reason = "the entry that holds the payload is gone"});
}

void AttemptManager::CommitRequeue(const Attempt& attempt,
                                   const Ending& ending) {
  ++context_.metrics.Counter("requeues_total");
  context_.commands.Requeue(attempt.key, ending.reason,
                            NeverStarted(ending.kind));
}

void AttemptManager::CommitFinish(const Attempt& attempt,
                                  wire::Outcome::type outcome,
                                  ResultCode code,
                                  const Ending& ending) {
  wire::TaskResult result;
  result.attempt = attempt.key;
  result.outcome = outcome;
  result.code = static_cast<int>(code);
  result.reason = ending.reason;
  result.answer = ending.answer;
  ++context_.metrics.Counter("finishes_total");
  context_.commands.Finish(result, context_.environment.WallMilliseconds());
}

void AttemptManager::OnEndApplied(const policy::TaskId& task) {
  Attempt* attempt = table_.Find(task);
  if (attempt == nullptr || attempt->stage != Stage::kEnding) {
    return;
  }
  const auto waiting = std::move(attempt->waiting_reports);
  table_.Remove(task);
  for (const auto report : waiting) {
    on_end_applied_(report);
  }
}

}  // namespace cranberryshunt::controller
