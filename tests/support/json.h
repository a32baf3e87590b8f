// Ownership and access helpers for jansson values in tests.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_JSON_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_JSON_H_

#include <jansson.h>

#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>

namespace cranberryshunt::test {

struct JsonDelete {
  void operator()(json_t* value) const { json_decref(value); }
};
using Json = std::unique_ptr<json_t, JsonDelete>;

// Returns an empty object when `text` is not a JSON object.
inline Json ParseJson(const std::string& text) {
  Json value(json_loadb(text.data(), text.size(), 0, nullptr));
  return json_is_object(value.get()) ? std::move(value) : Json(json_object());
}

// Returns compact JSON text, or "null" when `value` cannot be serialized.
inline std::string DumpJson(const json_t* value) {
  char* text = json_dumps(value, JSON_COMPACT);
  std::string out = text == nullptr ? "null" : text;
  std::free(text);
  return out;
}

// TextOf(), IntegerOf() and BoolOf() return the member `key` of the object, or
// an empty text, 0 or false when it is missing or of another type.
inline std::string TextOf(const json_t* object, const char* key) {
  const json_t* value = json_object_get(object, key);
  return json_is_string(value)
             ? std::string(json_string_value(value), json_string_length(value))
             : std::string();
}

inline std::int64_t IntegerOf(const json_t* object, const char* key) {
  return json_integer_value(json_object_get(object, key));
}

inline bool BoolOf(const json_t* object, const char* key) {
  return json_is_true(json_object_get(object, key));
}

inline void Set(json_t* object, const char* key, const std::string& text) {
  json_object_set_new(object, key, json_stringn(text.data(), text.size()));
}

inline void Set(json_t* object, const char* key, std::int64_t value) {
  json_object_set_new(object, key, json_integer(value));
}

inline void SetBool(json_t* object, const char* key, bool value) {
  json_object_set_new(object, key, json_boolean(value));
}

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_JSON_H_
