// Strict, typed reading of JSON objects, and owned jansson values.
#ifndef CRANBERRYSHUNT_TARGETS_JSON_READER_H_
#define CRANBERRYSHUNT_TARGETS_JSON_READER_H_

#include <jansson.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::targets {

struct JsonDeleter {
  void operator()(json_t* value) const { json_decref(value); }
};
using JsonPtr = std::unique_ptr<json_t, JsonDeleter>;

// Parses one JSON object. Duplicate names and anything but an object are
// refused with kInvalidJson.
Result<JsonPtr> ParseObject(std::string_view text);

// Renders `value` without white space.
std::string RenderJson(const json_t* value);

// A JSON string of `text`. Bytes that are not UTF-8 are replaced by '?'.
json_t* JsonString(std::string_view text);

enum class UnknownFields { kRefuse, kIgnore };

// Reads the fields of one object and keeps the first error. A value that was
// not read successfully is its default, so that a parser can read all fields
// and check Finish() once. The object must outlive the reader.
class JsonReader {
 public:
  // `path` is put before field names in errors, as in "tasks[2].".
  explicit JsonReader(const json_t* object,
                      std::string path = {},
                      UnknownFields unknown_fields = UnknownFields::kRefuse);

  std::string RequiredString(const char* name, std::size_t max_bytes);
  std::string OptionalString(const char* name, std::size_t max_bytes);
  std::int64_t RequiredInteger(const char* name,
                               std::int64_t min,
                               std::int64_t max);
  std::int64_t OptionalInteger(const char* name,
                               std::int64_t default_value,
                               std::int64_t min,
                               std::int64_t max);
  // An integer or a fraction.
  double RequiredNumber(const char* name, double min, double max);
  double OptionalNumber(const char* name,
                        double default_value,
                        double min,
                        double max);
  bool RequiredBool(const char* name);
  bool OptionalBool(const char* name, bool default_value);
  // Null when the field is missing or of another type.
  const json_t* RequiredObject(const char* name);
  const json_t* OptionalObject(const char* name);
  const json_t* RequiredArray(const char* name, std::size_t max_items);
  const json_t* OptionalArray(const char* name, std::size_t max_items);

  bool Has(const char* name) const;
  // Records an error of a check outside the reader, unless there is one.
  void SetError(ResultCode code, std::string message, const std::string& field);
  void SetError(const Error& error);
  const std::string& path() const { return path_; }

  // Returns the first error, or that of the first field that was never asked
  // for (kUnknownField).
  Result<void> Finish();

 private:
  const json_t* Find(const char* name, bool required);
  std::string ToString(const json_t* value,
                       const char* name,
                       std::size_t max_bytes);
  std::int64_t ToInteger(const json_t* value,
                         const char* name,
                         std::int64_t min,
                         std::int64_t max);
  double ToNumber(const json_t* value,
                  const char* name,
                  double min,
                  double max);
  bool ToBool(const json_t* value, const char* name);
  const json_t* ToArray(const json_t* value,
                        const char* name,
                        std::size_t max_items);
  const json_t* ToObject(const json_t* value, const char* name);

  const json_t* object_;
  std::string path_;
  UnknownFields unknown_fields_;
  std::vector<std::string_view> known_;
  std::optional<Error> error_;
};

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_JSON_READER_H_
