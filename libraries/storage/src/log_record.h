// Encoding of log segments.
#ifndef CRANBERRYSHUNT_STORAGE_LOG_RECORD_H_
#define CRANBERRYSHUNT_STORAGE_LOG_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryshunt/storage/log.h"

namespace cranberryshunt::storage {

// Magic, first index and checksum of both.
inline constexpr std::size_t kSegmentHeaderBytes = 8 + 8 + 4;

struct LogRecord {
  LogEntry entry;
  // Up to which index the log was durable when this record was written.
  std::int64_t durable_index = 0;
  std::size_t size = 0;
};

std::string EncodeSegmentHeader(std::int64_t first_index);
bool IsSegmentHeader(std::string_view bytes, std::int64_t first_index);

void AppendRecord(std::string& out,
                  const LogEntry& entry,
                  std::int64_t durable_index);

// Returns the record at `offset`, or nothing when there is no whole one.
std::optional<LogRecord> DecodeRecord(std::string_view bytes,
                                      std::size_t offset);

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_LOG_RECORD_H_
