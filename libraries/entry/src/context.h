// What the route handlers of an entry share.
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
  LeaderCalls& calls;
  Admission& admission;
  PendingJobs& jobs;
  Readiness& readiness;
  Reporter& reporter;
  Authorizer& authorizer;
  WorkerDirectory& workers;
  targets::TargetClient& targets;
  MetricsRegistry& metrics;
};

HttpResponse ErrorResponse(const Error& error, std::int64_t retry_after_ms = 0);
HttpResponse JsonResponse(int status, std::string body);

// Wraps a handler so that it runs only for requests with the token of `role`
// and a body of at most `max_body_bytes`.
std::function<HttpResponse(const HttpRequest&)> Guarded(
    Context& context,
    Role role,
    std::size_t max_body_bytes,
    std::function<HttpResponse(const HttpRequest&)> handler);

void AddCallerRoutes(Context& context, std::vector<HttpRoute>& routes);
void AddTargetRoutes(Context& context, std::vector<HttpRoute>& routes);
void AddOperatorRoutes(Context& context, std::vector<HttpRoute>& routes);
void AddHealthRoutes(Context& context, std::vector<HttpRoute>& routes);

// Largest body of an announcement, which may carry whole answers.
std::size_t MaxAnnouncementBytes(const EntryOptions& options);

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_CONTEXT_H_
