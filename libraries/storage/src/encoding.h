// Encoding of integers as fixed-width little-endian fields, and of strings with
// a length prefix.
#ifndef CRANBERRYSHUNT_STORAGE_ENCODING_H_
#define CRANBERRYSHUNT_STORAGE_ENCODING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryshunt::storage {

void PutUint32(std::string& out, std::uint32_t value);
void PutInt64(std::string& out, std::int64_t value);
void PutString(std::string& out, std::string_view value);

std::uint32_t GetUint32(std::string_view bytes, std::size_t offset);
std::int64_t GetInt64(std::string_view bytes, std::size_t offset);

// Reads fields in order. A read past the end returns zero or an empty string
// and makes ok() return false.
class FieldReader {
 public:
  explicit FieldReader(std::string_view bytes) : bytes_(bytes) {}

  std::int64_t Int64();
  std::string String();
  bool ok() const { return ok_; }
  bool at_end() const { return ok_ && bytes_.empty(); }

 private:
  std::string_view bytes_;
  bool ok_ = true;
};

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_ENCODING_H_
