#include "submission.h"

#include <utility>

namespace cranberryshunt::entry {

namespace {

constexpr std::int64_t kRetryAfterMs = 1'000;

// Returns whether the leader replies with `code` only for a job that it has not
// proposed. This excludes transport errors and errors of a proposal in flight.
bool IsRefusal(ResultCode code) {
  switch (code) {
    case ResultCode::kStorageFull:
    case ResultCode::kNotReady:
    case ResultCode::kInvalidJson:
    case ResultCode::kUnknownField:
    case ResultCode::kWrongType:
    case ResultCode::kInvalidField:
    case ResultCode::kMissingField:
    case ResultCode::kTooLarge:
    case ResultCode::kKeyConflict:
    case ResultCode::kQueueFull:
    case ResultCode::kQuotaExceeded:
    case ResultCode::kImpossible:
    case ResultCode::kDeadlinePassed:
      return true;
    default:
      return false;
  }
}

// Returns whether a refusal with `code` depends on the request alone, so that
// an earlier call with the same request was refused as well.
bool DependsOnRequestAlone(ResultCode code) {
  return code == ResultCode::kInvalidField || code == ResultCode::kTooLarge ||
         code == ResultCode::kKeyConflict;
}

}  // namespace

SubmitOutcome SubmitToLeader(LeaderCalls& leader_calls,
                             const wire::SubmitRequest& request) {
  wire::SubmitReply reply;
  int calls_made = 0;
  int conclusive_replies = 0;
  const auto call_result = leader_calls.RunUnchecked(
      LaneOf(request.spec.kind), LeaderCalls::Limits(),
      [&](wire::ControllerServiceClient& client) {
        reply = wire::SubmitReply();
        ++calls_made;
        client.Submit(reply, request);
        const auto code = static_cast<ResultCode>(reply.status.code);
        conclusive_replies += IsTransient(code) ? 0 : 1;
        return ToCallStatus(reply.status);
      });
  const bool any_call_undetermined = calls_made > conclusive_replies;
  if (!call_result) {
    // A controller that replies not_leader has not proposed the job, so only
    // calls without a reply, or with a transient error, leave the outcome open.
    if (any_call_undetermined) {
      return SubmitUndetermined{call_result.error().message()};
    }
    // No controller can have proposed the job, so it is safe to submit it again
    // through another entry. The error is always kUnavailable, because kTimeout
    // would mean to the caller that the job may have run.
    return SubmitRefused{
        Error(ResultCode::kUnavailable, call_result.error().message()),
        kRetryAfterMs};
  }
  if (reply.status.code == 0) {
    return Submitted{reply.job};
  }
  const Error error = wire::ToError(reply.status);
  const bool refused =
      IsRefusal(error.code()) &&
      (!any_call_undetermined || DependsOnRequestAlone(error.code()));
  if (!refused) {
    return SubmitUndetermined{error.message()};
  }
  const std::int64_t retry_after_ms =
      reply.status.retry_after_ms > 0 ? reply.status.retry_after_ms
      : IsRetryable(error.code())     ? kRetryAfterMs
                                      : 0;
  return SubmitRefused{error, retry_after_ms};
}

}  // namespace cranberryshunt::entry
