// Rendering of start calls to targets, and interpretation of answers.
#ifndef CRANBERRYSHUNT_TARGETS_ANSWERS_H_
#define CRANBERRYSHUNT_TARGETS_ANSWERS_H_

#include <string>

#include "connection.h"
#include "cranberryshunt/targets/target_client.h"

namespace cranberryshunt::targets {

// Renders the JSON body of a start call.
std::string RenderStartBody(const wire::StartOrder& order,
                            const std::string& payload,
                            bool wait);

// Interprets the answer to a start call. The result of a truncated record, or
// of a record of another attempt, is Undetermined.
StartResult ToStartResult(const HttpAnswer& answer,
                          const wire::AttemptKey& attempt);

// Interprets a final record.
StartResult ToStartResult(const wire::AttemptReport& record);

// Interprets the answer to a lookup of `attempt`.
LookupResult ToLookupResult(const HttpAnswer& answer,
                            const wire::AttemptKey& attempt);

// Interprets the answer to a call that returns no record.
CallResult ToCallResult(const HttpAnswer& answer);

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_ANSWERS_H_
