// Parsers for request bodies and parameters. Each checks all fields and returns
// the first error with the name of its field.
#ifndef CRANBERRYSHUNT_ENTRY_REQUEST_PARSERS_H_
#define CRANBERRYSHUNT_ENTRY_REQUEST_PARSERS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::entry {

// Longest value that a caller may give for `wait_ms`.
inline constexpr std::int64_t kMaxWaitMs = 60'000;
// Largest payload of a job that is not interactive. Such a payload is committed
// with the job.
inline constexpr std::size_t kMaxCommittedPayloadBytes = 64U << 10;

// Parses the parameter `wait_ms`, a whole number of milliseconds from 0 to
// kMaxWaitMs. Empty text is 0.
Result<std::int64_t> ParseWaitMs(const std::string& text);

// Parses a job submission. `max_payload_bytes` limits the payload of
// interactive jobs.
Result<wire::JobSpec> ParseJobSpec(std::string_view body,
                                   std::size_t max_payload_bytes);

Result<wire::WorkerAnnouncement> ParseAnnouncement(std::string_view body);

// Parses the body {"files": [...]} of a rules check.
Result<std::vector<wire::RulesFile>> ParseRulesFiles(std::string_view body);
Result<wire::PublishRules> ParsePublication(std::string_view body);

// Parses the body {"draining", "operator"}. Both fields are optional, and the
// body may be empty.
Result<wire::DrainWorker> ParseDrain(std::string_view body);

// Parses the body {"id", "address", "disk_identity", "voter"} with an optional
// "operator".
Result<wire::MembershipChange> ParseMember(std::string_view body);

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_REQUEST_PARSERS_H_
