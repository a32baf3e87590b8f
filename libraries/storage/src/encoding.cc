#include "encoding.h"

namespace cranberryshunt::storage {

namespace {

template <typename T>
void PutBytes(std::string& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
  }
}

template <typename T>
T GetBytes(std::string_view bytes, std::size_t offset) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<unsigned char>(bytes[offset + i]))
             << (8 * i);
  }
  return value;
}

}  // namespace

void PutUint32(std::string& out, std::uint32_t value) {
  PutBytes(out, value);
}

void PutInt64(std::string& out, std::int64_t value) {
  PutBytes(out, static_cast<std::uint64_t>(value));
}

void PutString(std::string& out, std::string_view value) {
  PutInt64(out, static_cast<std::int64_t>(value.size()));
  out.append(value);
}

std::uint32_t GetUint32(std::string_view bytes, std::size_t offset) {
  return GetBytes<std::uint32_t>(bytes, offset);
}

std::int64_t GetInt64(std::string_view bytes, std::size_t offset) {
  return static_cast<std::int64_t>(GetBytes<std::uint64_t>(bytes, offset));
}

std::int64_t FieldReader::Int64() {
  if (!ok_ || bytes_.size() < sizeof(std::int64_t)) {
    ok_ = false;
    return 0;
  }
  const auto value = GetInt64(bytes_, 0);
  bytes_.remove_prefix(sizeof(std::int64_t));
  return value;
}

std::string FieldReader::String() {
  const auto size = static_cast<std::uint64_t>(Int64());
  if (!ok_ || bytes_.size() < size) {
    ok_ = false;
    return {};
  }
  std::string value(bytes_.substr(0, size));
  bytes_.remove_prefix(size);
  return value;
}

}  // namespace cranberryshunt::storage
