// Ownership and access helpers for jansson values.
#ifndef CRANBERRYSHUNT_CLIENT_JSON_H_
#define CRANBERRYSHUNT_CLIENT_JSON_H_

#include <jansson.h>

#include <cstdint>
#include <memory>
#include <string>

namespace cranberryshunt::client {

struct JsonDelete {
  void operator()(json_t* value) const { json_decref(value); }
};
using Json = std::unique_ptr<json_t, JsonDelete>;

// Returns the string `key` of `object`; empty if there is none.
inline std::string TextOf(const json_t* object, const char* key) {
  const char* text = json_string_value(json_object_get(object, key));
  return text == nullptr ? std::string() : std::string(text);
}

// Returns the integer `key` of `object`; 0 if there is none.
inline std::int64_t IntegerOf(const json_t* object, const char* key) {
  return json_integer_value(json_object_get(object, key));
}

// Sets the field `key`, unless `text` is empty.
inline void SetText(json_t* object, const char* key, const std::string& text) {
  if (!text.empty()) {
    json_object_set_new(object, key, json_stringn(text.data(), text.size()));
  }
}

inline void SetInteger(json_t* object, const char* key, std::int64_t value) {
  json_object_set_new(object, key, json_integer(value));
}

}  // namespace cranberryshunt::client

#endif  // CRANBERRYSHUNT_CLIENT_JSON_H_
