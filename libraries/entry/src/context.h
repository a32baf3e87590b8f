// The objects that all route handlers of an entry use, and helpers for their
// responses.
#ifndef CRANBERRYSHUNT_ENTRY_CONTEXT_H_
#define CRANBERRYSHUNT_ENTRY_CONTEXT_H_

#include <functional>
#include <string_view>
#include <vector>

#include "admission.h"
#include "authorizer.h"
#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/entry/entry.h"
#include "cranberryshunt/http/http_server.h"
#include "cranberryshunt/targets/target_client.h"
#include "leader_calls.h"
#include "pending_jobs.h"
#include "readiness.h"
#include "reporter.h"
#include "worker_directory.h"

namespace cranberryshunt::entry {

using http::HttpResponse;
using http::HttpRoute;

struct Context {
  const EntryOptions& options;
  LeaderCalls& leader_calls;
  Admission& admission;
  PendingJobs& jobs;
  Readiness& readiness;
  Reporter& reporter;
  Authorizer& authorizer;
  WorkerDirectory& workers;
  targets::TargetClient& targets;
  MetricsRegistry& metrics;
};

// Builds a response with the HTTP status and the JSON body of `error`. With
// `retry_after_ms` above 0 it carries a Retry-After header.
HttpResponse ErrorResponse(const Error& error, std::int64_t retry_after_ms = 0);
HttpResponse JsonResponse(int status, std::string body);

// Wraps `handler` so that it runs only for requests with the token of `role`
// and a body of at most `max_body_bytes`. Other requests get kUnauthorized or
// kTooLarge.
std::function<HttpResponse(const HttpRequest&)> AuthorizedHandler(
    Context& context,
    Role role,
    std::size_t max_body_bytes,
    std::function<HttpResponse(const HttpRequest&)> handler);

void AddCallerRoutes(Context& context, std::vector<HttpRoute>& routes);
void AddTargetRoutes(Context& context, std::vector<HttpRoute>& routes);
void AddOperatorRoutes(Context& context, std::vector<HttpRoute>& routes);
void AddHealthRoutes(Context& context, std::vector<HttpRoute>& routes);

// Largest body of a target's announcement, in bytes. An announcement may carry
// the complete answers of finished tasks.
std::size_t MaxAnnouncementBytes(const EntryOptions& options);

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_CONTEXT_H_
