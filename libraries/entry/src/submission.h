// Submits a job to the leader and tells refusals from undetermined outcomes.
#ifndef CRANBERRYSHUNT_ENTRY_SUBMISSION_H_
#define CRANBERRYSHUNT_ENTRY_SUBMISSION_H_

#include <string>
#include <variant>

#include "leader_calls.h"
#include "wire_types.h"

namespace cranberryshunt::entry {

// The leader committed the job, or `job` is an earlier job with the same
// idempotency key.
struct Submitted {
  wire::JobStatus job;
};

// The job was not accepted and never will be.
struct SubmitRefused {
  Error error;
  std::int64_t retry_after_ms;
};

// The job may or may not have been committed.
struct SubmitUndetermined {
  std::string detail;
};

using SubmitOutcome =
    std::variant<Submitted, SubmitRefused, SubmitUndetermined>;

// Sends the job to the leader, and sends it again after a leader change. The
// job id makes the call idempotent.
SubmitOutcome SubmitToLeader(LeaderCalls& leader_calls,
                             const wire::SubmitRequest& request);

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_SUBMISSION_H_
