// Builds the JSON bodies of responses and maps result codes to HTTP statuses.
#ifndef CRANBERRYSHUNT_ENTRY_JSON_OUTPUT_H_
#define CRANBERRYSHUNT_ENTRY_JSON_OUTPUT_H_

#include <jansson.h>

#include <string>
#include <string_view>

#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::entry {

// Owns a JSON object and sets its fields.
class JsonObject {
 public:
  JsonObject() : object_(json_object()) {}
  ~JsonObject() { json_decref(object_); }
  JsonObject(const JsonObject&) = delete;
  JsonObject& operator=(const JsonObject&) = delete;

  JsonObject& Set(const char* name, std::string_view value);
  JsonObject& Set(const char* name, const char* value);
  JsonObject& Set(const char* name, std::int64_t value);
  JsonObject& Set(const char* name, int value);
  JsonObject& Set(const char* name, double value);
  JsonObject& Set(const char* name, bool value);
  // Takes ownership of the caller's reference to `value`.
  JsonObject& Set(const char* name, json_t* value);

  std::string Render() const;
  // Returns a new reference to the object, which the caller owns.
  json_t* NewReference() const { return json_incref(object_); }

 private:
  json_t* object_;
};

// Builds a JSON array of `items` by `to_json`, which returns new references.
template <typename Items, typename ToJson>
json_t* JsonArray(const Items& items, ToJson to_json) {
  json_t* array = json_array();
  for (const auto& item : items) {
    json_array_append_new(array, to_json(item));
  }
  return array;
}

// Renders the body of an error response: code, name, message and, if known, the
// field of the request.
std::string RenderError(const Error& error);

// HTTP status of a response that carries `code`.
int HttpStatusOf(ResultCode code);

std::string_view KindName(wire::JobKind::type kind);
std::string_view OutcomeName(wire::Outcome::type outcome);

// Renders the body of a response about a job: its outcome and reason, whether
// and when to retry, and its tasks with their answers. Section 6.1 of the
// design page specifies it.
std::string RenderJob(const wire::JobStatus& job,
                      std::int64_t retry_after_ms = 0);

// Renders the state of the cell for operators.
std::string RenderCluster(const wire::ClusterReply& cluster);
json_t* AlertsToJson(const std::vector<wire::Alert>& alerts);

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_JSON_OUTPUT_H_
