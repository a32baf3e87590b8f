// Conversions between wire messages and the types of `policy`, and validation
// of submitted jobs.
#ifndef CRANBERRYSHUNT_CONTROLLER_CONVERSIONS_H_
#define CRANBERRYSHUNT_CONTROLLER_CONVERSIONS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/policy/types.h"
#include "cranberryshunt/rules/rules.h"
#include "wire_types.h"

namespace cranberryshunt::controller {

Resources ToResources(const wire::Resources& resources);
wire::Resources ToWire(const Resources& resources);
policy::Kind ToKind(wire::JobKind::type kind);
wire::JobKind::type ToWire(policy::Kind kind);
std::string KindName(policy::Kind kind);
policy::WorkerInfo ToWorkerInfo(const wire::Worker& worker);

// Builds the scheduler's request. A region or availability zone in `spec`
// overrides the rules. `caller_region` is preferred only if the rules prefer no
// region. `age` is the time since the job was submitted.
policy::JobRequest ToJobRequest(const std::string& job_id,
                                const wire::JobSpec& spec,
                                const std::string& caller_region,
                                const rules::RuleSet& rules,
                                Duration age,
                                TimePoint now);

// Validates the fields of a specification. Fails with kInvalidField,
// kMissingField or kTooLarge and the name of the field.
Result<void> CheckSpec(const wire::JobSpec& spec);

// Returns whether the payload is held only by the entry that accepted the job.
bool PayloadAtEntry(const wire::JobSpec& spec);

// Returns a digest of `spec`, which detects a reused idempotency key or job id
// with a different specification.
std::int64_t SpecDigest(const wire::JobSpec& spec);

// Returns whether the bytes of `answer` match its length and checksum. An
// answer without bytes that is not stored counts as intact: the answer was
// relayed, and only the length and checksum are present.
bool IsIntact(const wire::Answer& answer);

policy::TaskId ToTaskId(const wire::AttemptKey& attempt);

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_CONVERSIONS_H_
