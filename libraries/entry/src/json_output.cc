#include "json_output.h"

#include "cranberryshunt/targets/json_reader.h"

namespace cranberryshunt::entry {

JsonObject& JsonObject::Set(const char* name, std::string_view value) {
  return Set(name, targets::MakeJsonString(value));
}
JsonObject& JsonObject::Set(const char* name, const char* value) {
  return Set(name, targets::MakeJsonString(value));
}
JsonObject& JsonObject::Set(const char* name, std::int64_t value) {
  return Set(name, json_integer(value));
}
JsonObject& JsonObject::Set(const char* name, int value) {
  return Set(name, json_integer(value));
}
JsonObject& JsonObject::Set(const char* name, double value) {
  return Set(name, json_real(value));
}
JsonObject& JsonObject::Set(const char* name, bool value) {
  return Set(name, json_boolean(value));
}
JsonObject& JsonObject::Set(const char* name, json_t* value) {
  json_object_set_new(object_, name, value);
  return *this;
}

std::string JsonObject::Render() const {
  return targets::RenderJson(object_);
}

std::string RenderError(const Error& error) {
  JsonObject details;
  details.Set("code", static_cast<int>(error.code()))
      .Set("name", ResultCodeName(error.code()))
      .Set("message", error.message());
  if (!error.field().empty()) {
    details.Set("field", error.field());
  }
  JsonObject body;
  body.Set("error", details.NewReference());
  return body.Render();
}

int HttpStatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return 200;
    case ResultCode::kNotInForceYet:
      return 202;
    case ResultCode::kInvalidJson:
    case ResultCode::kUnknownField:
    case ResultCode::kWrongType:
    case ResultCode::kInvalidField:
    case ResultCode::kMissingField:
    case ResultCode::kAnswerInvalid:
    case ResultCode::kRulesInvalid:
      return 400;
    case ResultCode::kUnauthorized:
      return 401;
    case ResultCode::kNotFound:
      return 404;
    case ResultCode::kKeyConflict:
    case ResultCode::kRevisionConflict:
      return 409;
    case ResultCode::kTooLarge:
      return 413;
    case ResultCode::kImpossible:
    case ResultCode::kDeadlinePassed:
      return 422;
    case ResultCode::kQueueFull:
    case ResultCode::kQuotaExceeded:
      return 429;
    case ResultCode::kTimeout:
    case ResultCode::kOutcomeUnknown:
      return 504;
    default:
      return 503;
  }
}

std::string_view KindName(wire::JobKind::type kind) {
  switch (kind) {
    case wire::JobKind::kService:
      return "service";
    case wire::JobKind::kBatch:
      return "batch";
    case wire::JobKind::kGang:
      return "gang";
    case wire::JobKind::kInteractive:
      return "interactive";
  }
  return "undefined";
}

std::string_view OutcomeName(wire::Outcome::type outcome) {
  switch (outcome) {
    case wire::Outcome::kPending:
      return "pending";
    case wire::Outcome::kDone:
      return "done";
    case wire::Outcome::kFailed:
      return "failed";
    case wire::Outcome::kNotRun:
      return "not_run";
    case wire::Outcome::kCancelled:
      return "cancelled";
    case wire::Outcome::kUnknown:
      return "unknown";
  }
  return "undefined";
}

namespace {

std::string_view StateName(wire::TaskState::type state) {
  switch (state) {
    case wire::TaskState::kQueued:
      return "queued";
    case wire::TaskState::kPlaced:
      return "placed";
    case wire::TaskState::kRunning:
      return "running";
    case wire::TaskState::kFinal:
      return "final";
  }
  return "undefined";
}

json_t* TaskToJson(const wire::TaskStatus& task) {
  JsonObject out;
  out.Set("index", task.index)
      .Set("state", StateName(task.state))
      .Set("outcome", OutcomeName(task.outcome))
      .Set("code", task.code)
      .Set("reason", task.reason)
      .Set("attempt", task.attempt)
      .Set("worker", task.worker);
  if (task.outcome != wire::Outcome::kPending) {
    const bool complete = task.answer.length ==
                          static_cast<std::int64_t>(task.answer.bytes.size());
    if (complete) {
      out.Set("answer", task.answer.bytes);
    }
    out.Set("answer_length", task.answer.length)
        .Set("answer_crc32", task.answer.crc32);
  }
  return out.NewReference();
}

}  // namespace

std::string RenderJob(const wire::JobStatus& job, std::int64_t retry_after_ms) {
  JsonObject out;
  out.Set("job_id", job.job_id)
      .Set("outcome", OutcomeName(job.outcome))
      .Set("code", job.code)
      .Set("name", ResultCodeName(static_cast<ResultCode>(job.code)))
      .Set("reason", job.reason)
      .Set("retry", job.retryable)
      .Set("retry_after_ms", retry_after_ms)
      .Set("tasks", JsonArray(job.tasks, TaskToJson));
  return out.Render();
}

}  // namespace cranberryshunt::entry
