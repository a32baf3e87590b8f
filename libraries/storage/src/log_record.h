// Encoding of segment headers and log records.
#ifndef CRANBERRYSHUNT_STORAGE_LOG_RECORD_H_
#define CRANBERRYSHUNT_STORAGE_LOG_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryshunt/storage/log.h"

namespace cranberryshunt::storage {

// The magic, the first index and a checksum of both.
inline constexpr std::size_t kSegmentHeaderBytes = 8 + 8 + 4;

struct LogRecord {
  LogEntry entry;
  // The index up to which the log was durable when the record was written.
  std::int64_t durable_index = 0;
  std::size_t size = 0;
};

std::string EncodeSegmentHeader(std::int64_t first_index);
bool IsSegmentHeader(std::string_view bytes, std::int64_t first_index);

void AppendRecord(std::string& out,
                  const LogEntry& entry,
                  std::int64_t durable_index);

// Returns the record at `offset`, or nullopt if it is incomplete or its
// checksum does not match.
std::optional<LogRecord> DecodeRecord(std::string_view bytes,
                                      std::size_t offset);

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_LOG_RECORD_H_
