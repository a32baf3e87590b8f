// Conversions between messages and the types of `policy`, and checks of
// submissions.
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

// Builds the scheduler's request. Rules come before the caller's region, the
// job's own places before both. `age` is how long ago the job was submitted.
policy::JobRequest ToJobRequest(const std::string& job_id,
                                const wire::JobSpec& spec,
                                const std::string& caller_region,
                                const rules::RuleSet& rules,
                                Duration age,
                                TimePoint now);

// Checks the ranges of a specification. Fails with kInvalidField, kMissingField
// or kTooLarge and the name of the field.
Result<void> CheckSpec(const wire::JobSpec& spec);

// Whether only the entry that took the job has its payload.
bool PayloadAtEntry(const wire::JobSpec& spec);

// Digest of a specification, to recognise a repeated idempotency key.
std::int64_t SpecDigest(const wire::JobSpec& spec);

// Checks length and checksum of an answer; a relayed one has only these.
bool IsIntact(const wire::Answer& answer);

policy::TaskId ToTaskId(const wire::AttemptKey& attempt);

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_CONVERSIONS_H_
