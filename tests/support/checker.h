// Checks the invariants of a cell against the records of targets and callers.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_CHECKER_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_CHECKER_H_

#include <string>
#include <vector>

#include "support/records.h"

namespace cranberryshunt::test {

// Returns a line for each violation:
// - tasks that exceed the capacity of their worker at any time,
// - overlapping runs of one exclusive task,
// - a second start of a task of a non-idempotent request,
// - outcome `not_run` for a request that ran,
// - outcome `done` for a request with a task that no worker finished,
// - an incomplete answer or the answer to another request,
// - a start more than 2 s after the worker announced that it leaves,
// - two runs with the same fence.
std::vector<std::string> FindViolations(
    const std::vector<TargetRecord>& targets,
    const std::vector<CallerRecord>& callers);

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_CHECKER_H_
