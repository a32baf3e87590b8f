#include "submission.h"

#include <utility>

namespace cranberryshunt::entry {

namespace {

constexpr std::int64_t kRetryAfterMs = 1'000;

// Returns whether the leader answers `code` only for a job that it has not
// proposed. Errors of the transport and of a proposal under way are not among
// them.
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

SubmitOutcome SubmitToLeader(LeaderCalls& calls,
                             const wire::SubmitRequest& request) {
  wire::SubmitReply reply;
  int sent = 0;
  int answered = 0;
  const auto ran = calls.RunRaw(
      LaneOf(request.spec.kind), LeaderCalls::Limits(),
      [&](wire::ControllerServiceClient& client) {
        reply = wire::SubmitReply();
        ++sent;
        client.Submit(reply, request);
        const auto code = static_cast<ResultCode>(reply.status.code);
        answered += IsTransient(code) ? 0 : 1;
        return ToCallStatus(reply.status);
      });
  const bool earlier_undetermined = sent > answered;
  if (!ran) {
    // A controller that answers not_leader has not proposed the job.
    if (earlier_undetermined) {
      return SubmitUndetermined{ran.error().message()};
    }
    // Nothing was sent, so whatever ended the search, another entry may do
    // better; a timeout would tell the caller that the work may have run.
    return SubmitRefused{Error(ResultCode::kUnavailable, ran.error().message()),
                         kRetryAfterMs};
  }
  if (reply.status.code == 0) {
    return Submitted{reply.job};
  }
  const Error error = wire::ToError(reply.status);
  const bool refused =
      IsRefusal(error.code()) &&
      (!earlier_undetermined || DependsOnRequestAlone(error.code()));
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
