// Bodies of calls to targets and the checks of their answers.
#ifndef CRANBERRYSHUNT_TARGETS_ANSWERS_H_
#define CRANBERRYSHUNT_TARGETS_ANSWERS_H_

#include <string>

#include "connection.h"
#include "cranberryshunt/targets/target_client.h"

namespace cranberryshunt::targets {

// Renders the body of a start call.
std::string RenderStart(const wire::StartOrder& order,
                        const std::string& payload,
                        bool wait);

// Interprets the answer to a start. A truncated record, or one of another
// attempt, is Undetermined.
StartResult ToStartResult(const HttpAnswer& answer,
                          const wire::AttemptKey& attempt);

// Interprets a record that is final.
StartResult ToStartResult(const wire::AttemptReport& record);

LookupResult ToLookupResult(const HttpAnswer& answer,
                            const wire::AttemptKey& attempt);

CallResult ToCallResult(const HttpAnswer& answer);

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_ANSWERS_H_
