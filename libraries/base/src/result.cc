#include "cranberryshunt/base/result.h"

namespace cranberryshunt {

std::string_view ResultCodeName(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return "ok";
    case ResultCode::kNotLeader:
      return "not_leader";
    case ResultCode::kNoLeader:
      return "no_leader";
    case ResultCode::kStorageFull:
      return "storage_full";
    case ResultCode::kTimeout:
      return "timeout";
    case ResultCode::kUnavailable:
      return "unavailable";
    case ResultCode::kShuttingDown:
      return "shutting_down";
    case ResultCode::kNotReady:
      return "not_ready";
    case ResultCode::kNotAuthenticated:
      return "not_authenticated";
    case ResultCode::kInvalidJson:
      return "invalid_json";
    case ResultCode::kUnknownField:
      return "unknown_field";
    case ResultCode::kWrongType:
      return "wrong_type";
    case ResultCode::kInvalidField:
      return "invalid_field";
    case ResultCode::kTooLarge:
      return "too_large";
    case ResultCode::kNotFound:
      return "not_found";
    case ResultCode::kKeyConflict:
      return "key_conflict";
    case ResultCode::kUnauthorized:
      return "unauthorized";
    case ResultCode::kMissingField:
      return "missing_field";
    case ResultCode::kGone:
      return "gone";
    case ResultCode::kWrongAccount:
      return "wrong_account";
    case ResultCode::kQueueFull:
      return "queue_full";
    case ResultCode::kQuotaExceeded:
      return "quota_exceeded";
    case ResultCode::kImpossible:
      return "impossible";
    case ResultCode::kDeadlinePassed:
      return "deadline_passed";
    case ResultCode::kTaskFailed:
      return "task_failed";
    case ResultCode::kWorkerLost:
      return "worker_lost";
    case ResultCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ResultCode::kAnswerInvalid:
      return "answer_invalid";
    case ResultCode::kCancelledByCaller:
      return "cancelled_by_caller";
    case ResultCode::kJobFaulty:
      return "job_faulty";
    case ResultCode::kRetryBudgetExhausted:
      return "retry_budget_exhausted";
    case ResultCode::kAnswerUnavailable:
      return "answer_unavailable";
    case ResultCode::kStartRefused:
      return "start_refused";
    case ResultCode::kPreempted:
      return "preempted";
    case ResultCode::kRulesInvalid:
      return "rules_invalid";
    case ResultCode::kRevisionConflict:
      return "revision_conflict";
    case ResultCode::kNotInForceYet:
      return "not_in_force_yet";
    case ResultCode::kIoError:
      return "io_error";
    case ResultCode::kCorrupt:
      return "corrupt";
    case ResultCode::kWrongIdentity:
      return "wrong_identity";
    case ResultCode::kInvalidSettings:
      return "invalid_settings";
  }
  return "undefined";
}

bool IsRetryable(ResultCode code) {
  switch (code) {
    case ResultCode::kNotLeader:
    case ResultCode::kNoLeader:
    case ResultCode::kStorageFull:
    case ResultCode::kTimeout:
    case ResultCode::kUnavailable:
    case ResultCode::kShuttingDown:
    case ResultCode::kNotReady:
    case ResultCode::kQueueFull:
    case ResultCode::kWorkerLost:
    case ResultCode::kStartRefused:
    case ResultCode::kPreempted:
    case ResultCode::kRetryBudgetExhausted:
    case ResultCode::kNotInForceYet:
      return true;
    default:
      return false;
  }
}

}  // namespace cranberryshunt
