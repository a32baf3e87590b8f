// The subcommands audit, cluster, `worker drain` and `controllers`.
#include <fmt/format.h>

#include "cranberryshunt/client/client.h"
#include "http.h"
#include "output.h"

namespace cranberryshunt::client {

namespace {

constexpr int kHttpFirstError = 300;

int CallAndPrint(const ClientOptions& options,
                 const std::string& method,
                 const std::string& path,
                 const json_t* body) {
  EntryCaller caller(options);
  const auto reply = caller.Call(method, path, body);
  if (!reply) {
    return PrintError(reply.error(), options.json);
  }
  if (reply->status >= kHttpFirstError) {
    return PrintErrorReply(*reply, options.json);
  }
  Print(reply->body.get(), options.json);
  return kExitDone;
}

}  // namespace

int ShowAudit(const ClientOptions& options, std::int64_t after) {
  return CallAndPrint(options, "GET", fmt::format("/v1/audit?after={}", after),
                      nullptr);
}

int ShowCluster(const ClientOptions& options) {
  return CallAndPrint(options, "GET", "/v1/cluster", nullptr);
}

int DrainWorker(const ClientOptions& options,
                const std::string& worker,
                bool undo,
                const std::string& operator_name) {
  const Json body(json_object());
  json_object_set_new(body.get(), "draining", json_boolean(!undo));
  SetText(body.get(), "operator", operator_name);
  return CallAndPrint(options, "POST",
                      "/v1/workers/" + EscapePathSegment(worker) + "/drain",
                      body.get());
}

int ChangeControllers(const ClientOptions& options,
                      const ControllerChange& change) {
  if (change.remove) {
    return CallAndPrint(options, "DELETE",
                        "/v1/controllers/" + EscapePathSegment(change.id),
                        nullptr);
  }
  const Json body(json_object());
  SetText(body.get(), "id", change.id);
  SetText(body.get(), "address", change.address);
  SetText(body.get(), "disk_identity", change.disk_identity);
  json_object_set_new(body.get(), "voter", json_true());
  SetText(body.get(), "operator", change.operator_name);
  return CallAndPrint(options, "POST", "/v1/controllers", body.get());
}

}  // namespace cranberryshunt::client
