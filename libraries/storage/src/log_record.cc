#include "log_record.h"

#include "cranberryshunt/base/bytes.h"
#include "encoding.h"

namespace cranberryshunt::storage {

namespace {

constexpr std::string_view kMagic = "CSLOG001";
// The checksum and the length of the data. The checksum covers the rest of the
// record.
constexpr std::size_t kPrefixBytes = 4 + 4;
// Index, term, durable index and type.
constexpr std::size_t kFieldBytes = 8 + 8 + 8 + 4;

}  // namespace

std::string EncodeSegmentHeader(std::int64_t first_index) {
  std::string out(kMagic);
  PutInt64(out, first_index);
  PutUint32(out, Crc32(out));
  return out;
}

bool IsSegmentHeader(std::string_view bytes, std::int64_t first_index) {
  return bytes.substr(0, kSegmentHeaderBytes) ==
         EncodeSegmentHeader(first_index);
}

void AppendRecord(std::string& out,
                  const LogEntry& entry,
                  std::int64_t durable_index) {
  std::string body;
  body.reserve(4 + kFieldBytes + entry.data.size());
  PutUint32(body, static_cast<std::uint32_t>(entry.data.size()));
  PutInt64(body, entry.index);
  PutInt64(body, entry.term);
  PutInt64(body, durable_index);
  PutUint32(body, static_cast<std::uint32_t>(entry.type));
  body.append(entry.data);
  PutUint32(out, Crc32(body));
  out.append(body);
}

std::optional<LogRecord> DecodeRecord(std::string_view bytes,
                                      std::size_t offset) {
  if (bytes.size() < offset + kPrefixBytes + kFieldBytes) {
    return std::nullopt;
  }
  const std::size_t data_bytes = GetUint32(bytes, offset + 4);
  const std::size_t size = kPrefixBytes + kFieldBytes + data_bytes;
  if (bytes.size() - offset < size) {
    return std::nullopt;
  }
  if (Crc32(bytes.substr(offset + 4, size - 4)) != GetUint32(bytes, offset)) {
    return std::nullopt;
  }
  const std::size_t fields = offset + kPrefixBytes;
  LogRecord record;
  record.entry.index = GetInt64(bytes, fields);
  record.entry.term = GetInt64(bytes, fields + 8);
  record.durable_index = GetInt64(bytes, fields + 16);
  record.entry.type = static_cast<std::int32_t>(GetUint32(bytes, fields + 24));
  record.entry.data = bytes.substr(fields + kFieldBytes, data_bytes);
  record.size = size;
  return record;
}

}  // namespace cranberryshunt::storage
