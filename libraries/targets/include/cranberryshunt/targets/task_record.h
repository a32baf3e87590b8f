// Parser for the task records that targets send in announcements and in answers
// to calls.
#ifndef CRANBERRYSHUNT_TARGETS_TASK_RECORD_H_
#define CRANBERRYSHUNT_TARGETS_TASK_RECORD_H_

#include <jansson.h>

#include <string>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/targets/json_reader.h"
#include "wire_types.h"

namespace cranberryshunt::targets {

// Largest answer of a task, in bytes.
inline constexpr std::size_t kMaxAnswerBytes = 1 << 20;

// How to treat an answer whose length or CRC-32 differs from the stated one.
enum class DamagedAnswers {
  kRefuse,  // Fails with kAnswerInvalid, also if the task is done and has no
            // answer.
  kKeep,    // Returns the record, for callers that check the answer themselves.
};

// Parses one record. `path` names it in errors.
Result<wire::AttemptReport> ParseTaskRecord(const json_t* object,
                                            const std::string& path,
                                            UnknownFields unknown_fields,
                                            DamagedAnswers damaged_answers);

// Adds the fields `job_id`, `index` and `attempt` to `object`.
void AddAttemptKey(json_t* object, const wire::AttemptKey& attempt);

// Returns whether `record` is final, that is, not running.
bool IsFinal(const wire::AttemptReport& record);

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_TASK_RECORD_H_
