#include "answers.h"

#include <utility>

#include "cranberryshunt/targets/json_reader.h"
#include "cranberryshunt/targets/task_record.h"

namespace cranberryshunt::targets {

namespace {

constexpr long kHttpOk = 200;
constexpr long kHttpAccepted = 202;
constexpr long kHttpNotFound = 404;
constexpr long kHttpConflict = 409;

const char* KindName(wire::JobKind::type kind) {
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
  return "batch";
}

Undetermined UnexpectedStatus(const HttpAnswer& answer) {
  return Undetermined{"target answered with status " +
                      std::to_string(answer.status)};
}

// Parses the record in an answer and checks that it belongs to `attempt`.
Result<wire::AttemptReport> ParseRecord(const HttpAnswer& answer,
                                        const wire::AttemptKey& attempt) {
  const auto object = ParseObject(answer.body);
  if (!object) {
    return tl::unexpected(object.error());
  }
  auto record = ParseTaskRecord(object->get(), "", UnknownFields::kIgnore,
                                DamagedAnswers::kRefuse);
  if (!record) {
    return record;
  }
  if (!(record->attempt == attempt)) {
    return Fail(ResultCode::kAnswerInvalid, "record is of another attempt");
  }
  return record;
}

// Returns the reason in a refusal, or "refused" if there is none.
std::string RefusalReason(const HttpAnswer& answer) {
  const auto object = ParseObject(answer.body);
  if (!object) {
    return "refused";
  }
  const json_t* reason = json_object_get(object->get(), "reason");
  if (reason == nullptr) {
    reason =
        json_object_get(json_object_get(object->get(), "error"), "message");
  }
  return json_is_string(reason) ? json_string_value(reason) : "refused";
}

}  // namespace

std::string RenderStartBody(const wire::StartOrder& order,
                            const std::string& payload,
                            bool wait) {
  const JsonPtr body(json_object());
  json_t* object = body.get();
  const auto set = [object](const char* name, json_t* value) {
    json_object_set_new(object, name, value);
  };
  AddAttemptKey(object, order.attempt);
  set("fence", json_integer(order.fence));
  set("incarnation", MakeJsonString(order.incarnation));
  set("start_expiry_clock_ms", json_integer(order.start_expiry_clock_ms));
  set("lease_until_clock_ms", json_integer(order.lease_until_clock_ms));
  set("kind", json_string(KindName(order.kind)));
  set("milli_cpus", json_integer(order.resources.milli_cpus));
  set("memory_bytes", json_integer(order.resources.memory_bytes));
  set("accelerators", json_integer(order.resources.accelerators));
  set("slots", json_integer(order.resources.slots));
  set("payload", MakeJsonString(payload));
  set("wait", json_boolean(wait));
  return RenderJson(object);
}

StartResult ToStartResult(const wire::AttemptReport& record) {
  if (record.state == wire::AttemptState::kRefused) {
    return RefusedByTarget{record.reason};
  }
  return Finished{record};
}

StartResult ToStartResult(const HttpAnswer& answer,
                          const wire::AttemptKey& attempt) {
  if (answer.result == HttpAnswer::Result::kNotSent) {
    return NotSent{answer.detail};
  }
  if (answer.result != HttpAnswer::Result::kAnswered) {
    return Undetermined{answer.detail};
  }
  if (answer.status == kHttpAccepted) {
    return Accepted{};
  }
  if (answer.status == kHttpConflict) {
    return RefusedByTarget{RefusalReason(answer)};
  }
  if (answer.status != kHttpOk) {
    return UnexpectedStatus(answer);
  }
  auto record = ParseRecord(answer, attempt);
  if (!record) {
    return Undetermined{"invalid answer: " + record.error().message()};
  }
  if (!IsFinal(*record)) {
    return Accepted{};
  }
  return ToStartResult(*record);
}

LookupResult ToLookupResult(const HttpAnswer& answer,
                            const wire::AttemptKey& attempt) {
  if (answer.result == HttpAnswer::Result::kNotSent) {
    return NotSent{answer.detail};
  }
  if (answer.result != HttpAnswer::Result::kAnswered) {
    return Undetermined{answer.detail};
  }
  if (answer.status == kHttpNotFound) {
    return NotFound{};
  }
  if (answer.status != kHttpOk) {
    return UnexpectedStatus(answer);
  }
  auto record = ParseRecord(answer, attempt);
  if (!record) {
    return Undetermined{"invalid answer: " + record.error().message()};
  }
  return Found{*record};
}

CallResult ToCallResult(const HttpAnswer& answer) {
  if (answer.result == HttpAnswer::Result::kNotSent) {
    return NotSent{answer.detail};
  }
  if (answer.result != HttpAnswer::Result::kAnswered) {
    return Undetermined{answer.detail};
  }
  if (answer.status < kHttpOk || answer.status >= 300) {
    return UnexpectedStatus(answer);
  }
  return Confirmed{};
}

}  // namespace cranberryshunt::targets
