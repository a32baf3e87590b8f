// Strict, typed reading of JSON objects, and an owning pointer to jansson
// values.
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

// Parses one JSON object. Fails with kInvalidJson if `text` is not valid JSON,
// is not an object or has duplicate names.
Result<JsonPtr> ParseObject(std::string_view text);

// As ParseObject, but an invalid value costs only itself: null takes the place
// of each invalid member, or of the invalid items of a member that is a list.
// Invalid are also values that jansson refuses, such as very large numbers and
// deep nesting. Fails as ParseObject does if the members or items cannot be
// told apart.
Result<JsonPtr> ParseReadableParts(std::string_view text);

// Renders `value` without white space.
std::string RenderJson(const json_t* value);

// Returns a new JSON string, which the caller owns. If `text` is not valid
// UTF-8, each of its bytes above 127 is replaced by '?'.
json_t* MakeJsonString(std::string_view text);

// How JsonReader treats fields that its user never read.
enum class UnknownFields { kRefuse, kIgnore };

// Reads the fields of one object and keeps the first error. After an error,
// reading continues with a placeholder for the field (such as an empty string,
// `min`, false or null), so that a parser can read all fields and check
// Finish() once. The object must outlive the reader.
class JsonReader {
 public:
  // `path` is the prefix of field names in errors, such as "tasks[2].".
  explicit JsonReader(const json_t* object,
                      std::string path = {},
                      UnknownFields unknown_fields = UnknownFields::kRefuse);

  // Fails if the text is empty or contains NUL.
  std::string RequiredString(const char* name, std::size_t max_bytes);
  std::string OptionalString(const char* name, std::size_t max_bytes);
  std::int64_t RequiredInteger(const char* name,
                               std::int64_t min,
                               std::int64_t max);
  std::int64_t OptionalInteger(const char* name,
                               std::int64_t default_value,
                               std::int64_t min,
                               std::int64_t max);
  // Accepts integers and fractions.
  double RequiredNumber(const char* name, double min, double max);
  double OptionalNumber(const char* name,
                        double default_value,
                        double min,
                        double max);
  bool RequiredBool(const char* name);
  bool OptionalBool(const char* name, bool default_value);
  // These return null if the field is missing or invalid.
  const json_t* RequiredObject(const char* name);
  const json_t* OptionalObject(const char* name);
  const json_t* RequiredArray(const char* name, std::size_t max_items);
  const json_t* OptionalArray(const char* name, std::size_t max_items);

  bool Has(const char* name) const;
  // Records an error that the caller has found, unless an earlier one is
  // already recorded.
  void SetError(ResultCode code, std::string message, const std::string& field);
  void SetError(const Error& error);
  const std::string& path() const { return path_; }

  // Returns the first error. If there is none and unknown fields are refused,
  // fails with kUnknownField for the first field that was never read.
  Result<void> Finish();

 private:
  // Returns the field or null, and remembers that it was read.
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
  std::vector<std::string_view> requested_fields_;
  std::optional<Error> error_;
};

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_JSON_READER_H_
