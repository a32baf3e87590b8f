#include "cranberryshunt/targets/json_reader.h"

#include <algorithm>
#include <utility>

namespace cranberryshunt::targets {

Result<JsonPtr> ParseObject(std::string_view text) {
  json_error_t error;
  JsonPtr value(json_loadb(text.data(), text.size(),
                           JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &error));
  if (!value) {
    return Fail(ResultCode::kInvalidJson,
                std::string("body is not valid JSON: ") + error.text);
  }
  if (!json_is_object(value.get())) {
    return Fail(ResultCode::kInvalidJson, "body is not a JSON object");
  }
  return value;
}

std::string RenderJson(const json_t* value) {
  std::string out;
  json_dump_callback(
      value,
      [](const char* buffer, std::size_t size, void* data) {
        static_cast<std::string*>(data)->append(buffer, size);
        return 0;
      },
      &out, JSON_COMPACT | JSON_ENCODE_ANY);
  return out;
}

json_t* MakeJsonString(std::string_view text) {
  json_t* value = json_stringn(text.data(), text.size());
  if (value != nullptr) {
    return value;
  }
  std::string replaced(text);
  std::replace_if(
      replaced.begin(), replaced.end(),
      [](char c) { return static_cast<unsigned char>(c) > 127; }, '?');
  return json_stringn(replaced.data(), replaced.size());
}

JsonReader::JsonReader(const json_t* object,
                       std::string path,
                       UnknownFields unknown_fields)
    : object_(object),
      path_(std::move(path)),
      unknown_fields_(unknown_fields) {}

bool JsonReader::Has(const char* name) const {
  return json_object_get(object_, name) != nullptr;
}

void JsonReader::SetError(ResultCode code,
                          std::string message,
                          const std::string& field) {
  if (!error_) {
    error_.emplace(code, std::move(message), path_ + field);
  }
}

void JsonReader::SetError(const Error& error) {
  if (!error_) {
    error_ = error;
  }
}

const json_t* JsonReader::Find(const char* name, bool required) {
  requested_fields_.emplace_back(name);
  const json_t* value = json_object_get(object_, name);
  if (value == nullptr && required) {
    SetError(ResultCode::kMissingField, "field is required", name);
  }
  return value;
}

std::string JsonReader::ToString(const json_t* value,
                                 const char* name,
                                 std::size_t max_bytes) {
  if (!json_is_string(value)) {
    SetError(ResultCode::kWrongType, "field must be a string", name);
    return {};
  }
  const std::size_t size = json_string_length(value);
  if (size > max_bytes) {
    SetError(ResultCode::kInvalidField,
             "field must have at most " + std::to_string(max_bytes) + " bytes",
             name);
    return {};
  }
  return {json_string_value(value), size};
}

std::string JsonReader::RequiredString(const char* name,
                                       std::size_t max_bytes) {
  const json_t* value = Find(name, true);
  if (value == nullptr) {
    return {};
  }
  std::string text = ToString(value, name, max_bytes);
  if (text.empty()) {
    SetError(ResultCode::kInvalidField, "field must not be empty", name);
  }
  // The text gets into logs, ids and other processes, which may truncate it at
  // a NUL.
  if (text.find('\0') != std::string::npos) {
    SetError(ResultCode::kInvalidField, "field must not contain NUL", name);
  }
  return text;
}

std::string JsonReader::OptionalString(const char* name,
                                       std::size_t max_bytes) {
  const json_t* value = Find(name, false);
  return value == nullptr ? std::string() : ToString(value, name, max_bytes);
}

std::int64_t JsonReader::ToInteger(const json_t* value,
                                   const char* name,
                                   std::int64_t min,
                                   std::int64_t max) {
  if (!json_is_integer(value)) {
    SetError(ResultCode::kWrongType, "field must be an integer", name);
    return min;
  }
  const std::int64_t number = json_integer_value(value);
  if (number < min || number > max) {
    SetError(ResultCode::kInvalidField,
             "field must be from " + std::to_string(min) + " to " +
                 std::to_string(max),
             name);
    return min;
  }
  return number;
}

std::int64_t JsonReader::RequiredInteger(const char* name,
                                         std::int64_t min,
                                         std::int64_t max) {
  const json_t* value = Find(name, true);
  return value == nullptr ? min : ToInteger(value, name, min, max);
}

std::int64_t JsonReader::OptionalInteger(const char* name,
                                         std::int64_t default_value,
                                         std::int64_t min,
                                         std::int64_t max) {
  const json_t* value = Find(name, false);
  return value == nullptr ? default_value : ToInteger(value, name, min, max);
}

double JsonReader::ToNumber(const json_t* value,
                            const char* name,
                            double min,
                            double max) {
  if (!json_is_number(value)) {
    SetError(ResultCode::kWrongType, "field must be a number", name);
    return min;
  }
  const double number = json_number_value(value);
  if (!(number >= min && number <= max)) {
    SetError(ResultCode::kInvalidField, "field is out of range", name);
    return min;
  }
  return number;
}

double JsonReader::RequiredNumber(const char* name, double min, double max) {
  const json_t* value = Find(name, true);
  return value == nullptr ? min : ToNumber(value, name, min, max);
}

double JsonReader::OptionalNumber(const char* name,
                                  double default_value,
                                  double min,
                                  double max) {
  const json_t* value = Find(name, false);
  return value == nullptr ? default_value : ToNumber(value, name, min, max);
}

bool JsonReader::ToBool(const json_t* value, const char* name) {
  if (!json_is_boolean(value)) {
    SetError(ResultCode::kWrongType, "field must be true or false", name);
    return false;
  }
  return json_is_true(value);
}

bool JsonReader::RequiredBool(const char* name) {
  const json_t* value = Find(name, true);
  return value != nullptr && ToBool(value, name);
}

bool JsonReader::OptionalBool(const char* name, bool default_value) {
  const json_t* value = Find(name, false);
  return value == nullptr ? default_value : ToBool(value, name);
}

const json_t* JsonReader::ToObject(const json_t* value, const char* name) {
  if (value != nullptr && !json_is_object(value)) {
    SetError(ResultCode::kWrongType, "field must be an object", name);
    return nullptr;
  }
  return value;
}

const json_t* JsonReader::RequiredObject(const char* name) {
  return ToObject(Find(name, true), name);
}

const json_t* JsonReader::OptionalObject(const char* name) {
  return ToObject(Find(name, false), name);
}

const json_t* JsonReader::ToArray(const json_t* value,
                                  const char* name,
                                  std::size_t max_items) {
  if (value == nullptr) {
    return nullptr;
  }
  if (!json_is_array(value)) {
    SetError(ResultCode::kWrongType, "field must be an array", name);
    return nullptr;
  }
  if (json_array_size(value) > max_items) {
    SetError(ResultCode::kInvalidField,
             "field must have at most " + std::to_string(max_items) + " items",
             name);
    return nullptr;
  }
  return value;
}

const json_t* JsonReader::RequiredArray(const char* name,
                                        std::size_t max_items) {
  return ToArray(Find(name, true), name, max_items);
}

const json_t* JsonReader::OptionalArray(const char* name,
                                        std::size_t max_items) {
  return ToArray(Find(name, false), name, max_items);
}

Result<void> JsonReader::Finish() {
  if (error_) {
    return tl::unexpected(*error_);
  }
  if (unknown_fields_ == UnknownFields::kIgnore) {
    return {};
  }
  // jansson's iterators take a mutable object but do not change it.
  auto* object = const_cast<json_t*>(object_);
  for (void* it = json_object_iter(object); it != nullptr;
       it = json_object_iter_next(object, it)) {
    const std::string_view name = json_object_iter_key(it);
    if (std::find(requested_fields_.begin(), requested_fields_.end(), name) ==
        requested_fields_.end()) {
      return Fail(ResultCode::kUnknownField, "field is not known",
                  path_ + std::string(name));
    }
  }
  return {};
}

}  // namespace cranberryshunt::targets
