#include "cranberryshunt/targets/task_record.h"

#include <array>
#include <limits>
#include <string_view>
#include <utility>

#include "cranberryshunt/base/bytes.h"

namespace cranberryshunt::targets {

namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxReasonBytes = 1024;
constexpr std::int64_t kMaxIndex = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
// Length of a missing answer. No answer has this length, so every check of it
// fails.
constexpr std::int64_t kMissingLength = -1;
constexpr std::int64_t kMaxCrc32 = std::numeric_limits<std::uint32_t>::max();

constexpr std::array kStates{
    std::pair<std::string_view, wire::AttemptState::type>{
        "running", wire::AttemptState::kRunning},
    std::pair<std::string_view, wire::AttemptState::type>{
        "done", wire::AttemptState::kDone},
    std::pair<std::string_view, wire::AttemptState::type>{
        "failed", wire::AttemptState::kFailed},
    std::pair<std::string_view, wire::AttemptState::type>{
        "stopped", wire::AttemptState::kStopped},
    std::pair<std::string_view, wire::AttemptState::type>{
        "refused", wire::AttemptState::kRefused},
};

wire::AttemptState::type ReadState(JsonReader& reader) {
  const std::string name = reader.RequiredString("state", kMaxIdBytes);
  for (const auto& [known, state] : kStates) {
    if (name == known) {
      return state;
    }
  }
  reader.SetError(ResultCode::kInvalidField,
                  "field must be running, done, failed, stopped or refused",
                  "state");
  return wire::AttemptState::kRunning;
}

// Reads the answer of a task in `state`.
void ReadAnswer(JsonReader& reader,
                wire::AttemptState::type state,
                DamagedAnswers damaged_answers,
                wire::Answer& answer) {
  answer.bytes = reader.OptionalString("answer", kMaxAnswerBytes);
  answer.length =
      reader.OptionalInteger("answer_length", 0, 0, kMaxAnswerBytes);
  answer.crc32 = reader.OptionalInteger("answer_crc32", 0, 0, kMaxCrc32);
  answer.stored = true;
  // A target may discard an answer after its acknowledgement and still report
  // the task as done, without all of the three fields. Such a record must not
  // be taken for one with an empty answer.
  const bool missing = state == wire::AttemptState::kDone &&
                       !(reader.Has("answer") && reader.Has("answer_length") &&
                         reader.Has("answer_crc32"));
  if (missing) {
    answer.length = kMissingLength;
  }
  if (damaged_answers == DamagedAnswers::kKeep ||
      (!missing && !reader.Has("answer"))) {
    return;
  }
  // Detects truncated and mixed-up answers.
  const bool whole =
      answer.length == static_cast<std::int64_t>(answer.bytes.size()) &&
      answer.crc32 == static_cast<std::int64_t>(Crc32(answer.bytes));
  if (!whole) {
    reader.SetError(ResultCode::kAnswerInvalid,
                    "answer does not match its length and checksum", "answer");
  }
}

}  // namespace

Result<wire::AttemptReport> ParseTaskRecord(const json_t* object,
                                            const std::string& path,
                                            UnknownFields unknown_fields,
                                            DamagedAnswers damaged_answers) {
  if (!json_is_object(object)) {
    return Fail(ResultCode::kWrongType, "task record must be an object", path);
  }
  JsonReader reader(object, path.empty() ? path : path + ".", unknown_fields);
  wire::AttemptReport record;
  record.attempt.job_id = reader.RequiredString("job_id", kMaxIdBytes);
  record.attempt.index =
      static_cast<std::int32_t>(reader.RequiredInteger("index", 0, kMaxIndex));
  record.attempt.attempt = static_cast<std::int32_t>(
      reader.RequiredInteger("attempt", 0, kMaxIndex));
  record.fence = reader.OptionalInteger("fence", 0, 0, kMaxInteger);
  record.state = ReadState(reader);
  record.reason = reader.OptionalString("reason", kMaxReasonBytes);
  ReadAnswer(reader, record.state, damaged_answers, record.answer);
  if (auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return record;
}

void AddAttemptKey(json_t* object, const wire::AttemptKey& attempt) {
  json_object_set_new(object, "job_id", MakeJsonString(attempt.job_id));
  json_object_set_new(object, "index", json_integer(attempt.index));
  json_object_set_new(object, "attempt", json_integer(attempt.attempt));
}

bool IsFinal(const wire::AttemptReport& record) {
  return record.state != wire::AttemptState::kRunning;
}

}  // namespace cranberryshunt::targets
