// Checks the stated invariants against the records of targets and callers.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_CHECKER_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_CHECKER_H_

#include <string>
#include <vector>

#include "support/records.h"

namespace cranberryshunt::test {

// Returns a line for each violation: capacity exceeded at a worker at any time,
// overlapping runs of one exclusive task, a second start of a non-idempotent
// request, a `not_run` that ran, an answer of another request or an incomplete
// one, a start more than 2 s after the worker announced that it leaves, a fence
// used twice, a `done` that no worker finished.
std::vector<std::string> FindViolations(
    const std::vector<TargetRecord>& targets,
    const std::vector<CallerRecord>& callers);

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_CHECKER_H_
