// Typed parsers of request bodies. Each checks all fields and returns the first
// error with its field.
#ifndef CRANBERRYSHUNT_ENTRY_REQUEST_PARSERS_H_
#define CRANBERRYSHUNT_ENTRY_REQUEST_PARSERS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::entry {

// Longest wait that a caller may ask for.
inline constexpr std::int64_t kMaxWaitMs = 60'000;
// Largest payload that is committed with a job.
inline constexpr std::size_t kMaxCommittedPayloadBytes = 64U << 10;

// Reads a whole number of milliseconds; empty text is 0.
Result<std::int64_t> ParseWaitMs(const std::string& text);

// `max_payload_bytes` bounds the payload of interactive jobs.
Result<wire::JobSpec> ParseJobSpec(std::string_view body,
                                   std::size_t max_payload_bytes);

Result<wire::WorkerAnnouncement> ParseAnnouncement(std::string_view body);

// Body {"files": [...]} of a check.
Result<std::vector<wire::RulesFile>> ParseRulesFiles(std::string_view body);
Result<wire::PublishRules> ParsePublication(std::string_view body);

// Body {"draining", "operator"}, both optional; may be empty.
Result<wire::DrainWorker> ParseDrain(std::string_view body);

// Body {"id", "address", "disk_identity", "voter"}, and optionally "operator".
Result<wire::MembershipChange> ParseMember(std::string_view body);

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_REQUEST_PARSERS_H_
