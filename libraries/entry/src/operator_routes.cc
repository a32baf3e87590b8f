#include <charconv>
#include <utility>

#include "context.h"
#include "cranberryshunt/rules/rules.h"
#include "json_output.h"
#include "request_parsers.h"

namespace cranberryshunt::entry {

namespace {

using std::chrono::milliseconds;

// How long a publish request waits for the rules to come into force everywhere.
constexpr std::int32_t kInForceWaitMs = 5'000;
constexpr LeaderCalls::Limits kPublishLimits{
    milliseconds(12'000), milliseconds(kInForceWaitMs + 1'000)};
constexpr std::int32_t kAuditLimit = 1'000;

json_t* RulesFileToJson(const wire::RulesFile& file) {
  JsonObject out;
  out.Set("path", file.path).Set("content", file.content);
  return out.NewReference();
}

json_t* RuleErrorToJson(const rules::RuleError& error) {
  JsonObject out;
  out.Set("path", error.source.path)
      .Set("line", error.source.line)
      .Set("message", error.message);
  return out.NewReference();
}

json_t* AuditToJson(const wire::AuditRecord& record) {
  JsonObject out;
  out.Set("sequence", record.sequence)
      .Set("at_ms", record.at_ms)
      .Set("actor", record.actor)
      .Set("action", record.action)
      .Set("detail", record.detail);
  return out.NewReference();
}

// Returns a response that lists every error in the rules, or nothing when there
// are none.
std::optional<HttpResponse> FindRuleErrors(
    const std::vector<wire::RulesFile>& files) {
  std::vector<rules::SourceFile> sources;
  sources.reserve(files.size());
  for (const auto& file : files) {
    sources.push_back({file.path, file.content});
  }
  const auto parsed = rules::Parse(sources);
  if (parsed) {
    return std::nullopt;
  }
  JsonObject details;
  details.Set("code", static_cast<int>(ResultCode::kRulesInvalid))
      .Set("name", ResultCodeName(ResultCode::kRulesInvalid))
      .Set("message", "the rules have errors");
  JsonObject out;
  out.Set("error", details.NewReference())
      .Set("errors", JsonArray(parsed.error(), RuleErrorToJson));
  return JsonResponse(400, out.Render());
}

HttpResponse CheckRules(Context& /*context*/, const HttpRequest& request) {
  const auto files = ParseRulesFiles(request.body());
  if (!files) {
    return ErrorResponse(files.error());
  }
  if (auto errors = FindRuleErrors(*files)) {
    return std::move(*errors);
  }
  JsonObject out;
  out.Set("ok", true).Set("files", static_cast<std::int64_t>(files->size()));
  return JsonResponse(200, out.Render());
}

HttpResponse PublishResponse(const wire::PublishReply& reply,
                             const std::string& publication_id) {
  const auto code = static_cast<ResultCode>(reply.status.code);
  JsonObject out;
  if (code != ResultCode::kOk && code != ResultCode::kNotInForceYet) {
    JsonObject details;
    details.Set("code", reply.status.code)
        .Set("name", ResultCodeName(code))
        .Set("message", reply.status.message)
        .Set("field", reply.status.field);
    out.Set("error", details.NewReference());
  }
  out.Set("publication_id", publication_id)
      .Set("revision", reply.revision)
      .Set("in_force", reply.in_force)
      .Set("winner", reply.winner);
  const bool not_yet_in_force = code == ResultCode::kOk && !reply.in_force;
  return JsonResponse(not_yet_in_force ? 202 : HttpStatusOf(code),
                      out.Render());
}

HttpResponse Publish(Context& context, const HttpRequest& request) {
  auto publication = ParsePublication(request.body());
  if (!publication) {
    return ErrorResponse(publication.error());
  }
  if (auto errors = FindRuleErrors(publication->files)) {
    return std::move(*errors);
  }
  wire::PublishRequest publish;
  publish.publication = *publication;
  publish.publication.at_ms = WallClockMilliseconds();
  wire::PublishReply reply;
  // The publication id makes the call idempotent: a repeated call gets the
  // reply of the first one.
  const auto call_result = context.leader_calls.RunUnchecked(
      LeaderLane::kControl, kPublishLimits, [&](auto& client) {
        reply = wire::PublishReply();
        client.Publish(reply, publish, kInForceWaitMs);
        return ToCallStatus(reply.status);
      });
  if (!call_result) {
    return ErrorResponse(call_result.error());
  }
  return PublishResponse(reply, publish.publication.publication_id);
}

HttpResponse ShowRules(Context& context, const HttpRequest& /*request*/) {
  const auto reply = context.leader_calls.Run<wire::RulesReply>(
      LeaderLane::kControl, LeaderCalls::Limits(),
      [](auto& client, auto& out) { client.GetRules(out, 0); });
  if (!reply) {
    return ErrorResponse(reply.error());
  }
  const auto& publication = reply->publication;
  JsonObject out;
  out.Set("revision", reply->revision)
      .Set("publication_id", publication.publication_id)
      .Set("base_revision", publication.base_revision)
      .Set("version", publication.version)
      .Set("operator", publication.operator_name)
      .Set("at_ms", publication.at_ms)
      .Set("files", JsonArray(publication.files, RulesFileToJson));
  return JsonResponse(200, out.Render());
}

HttpResponse ShowAudit(Context& context, const HttpRequest& request) {
  const std::string text = request.Parameter("after");
  std::int64_t after = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, after);
  if (!text.empty() &&
      (parsed.ec != std::errc() || parsed.ptr != end || after < 0)) {
    return ErrorResponse(Error(ResultCode::kWrongType,
                               "parameter must be a whole number", "after"));
  }
  const auto reply = context.leader_calls.Run<wire::AuditReply>(
      LeaderLane::kControl, LeaderCalls::Limits(),
      [&](auto& client, auto& out) {
        client.GetAudit(out, after, kAuditLimit);
      });
  if (!reply) {
    return ErrorResponse(reply.error());
  }
  JsonObject out;
  out.Set("records", JsonArray(reply->records, AuditToJson));
  return JsonResponse(200, out.Render());
}

Result<wire::ClusterReply> GetCluster(Context& context) {
  return context.leader_calls.Run<wire::ClusterReply>(
      LeaderLane::kControl, LeaderCalls::Limits(),
      [](auto& client, auto& out) { client.GetCluster(out); });
}

HttpResponse ShowCluster(Context& context, const HttpRequest& /*request*/) {
  const auto cluster = GetCluster(context);
  return cluster ? JsonResponse(200, RenderCluster(*cluster))
                 : ErrorResponse(cluster.error());
}

HttpResponse ShowAlerts(Context& context, const HttpRequest& /*request*/) {
  const auto cluster = GetCluster(context);
  if (!cluster) {
    return ErrorResponse(cluster.error());
  }
  JsonObject out;
  out.Set("alerts", AlertsToJson(cluster->alerts))
      .Set("culprits", JsonArray(cluster->culprits, [](const auto& culprit) {
             return json_stringn(culprit.data(), culprit.size());
           }));
  return JsonResponse(200, out.Render());
}

HttpResponse StatusResponse(const Result<wire::Status>& status) {
  if (!status) {
    return ErrorResponse(status.error());
  }
  JsonObject out;
  out.Set("ok", true);
  return JsonResponse(200, out.Render());
}

HttpResponse DrainWorker(Context& context, const HttpRequest& request) {
  auto drain = ParseDrain(request.body());
  if (!drain) {
    return ErrorResponse(drain.error());
  }
  drain->identity = request.Parameter("id");
  drain->at_ms = WallClockMilliseconds();
  return StatusResponse(context.leader_calls.Run<wire::Status>(
      LeaderLane::kControl, LeaderCalls::Limits(),
      [&](auto& client, auto& out) { client.Drain(out, *drain); }));
}

HttpResponse ChangeMembership(Context& context,
                              const wire::MembershipChange& change) {
  return StatusResponse(context.leader_calls.Run<wire::Status>(
      LeaderLane::kControl, LeaderCalls::Limits(),
      [&](auto& client, auto& out) { client.ChangeMembership(out, change); }));
}

HttpResponse AddController(Context& context, const HttpRequest& request) {
  const auto change = ParseMember(request.body());
  return change ? ChangeMembership(context, *change)
                : ErrorResponse(change.error());
}

HttpResponse RemoveController(Context& context, const HttpRequest& request) {
  wire::MembershipChange change;
  change.member.id = request.Parameter("id");
  change.remove = true;
  return ChangeMembership(context, change);
}

}  // namespace

void AddOperatorRoutes(Context& context, std::vector<HttpRoute>& routes) {
  const auto add = [&](const char* method, const char* path,
                       HttpResponse (*handler)(Context&, const HttpRequest&)) {
    routes.push_back(
        {method, path,
         AuthorizedHandler(context, Role::kOperator,
                           context.options.max_body_bytes,
                           [&context, handler](const HttpRequest& request) {
                             return handler(context, request);
                           })});
  };
  add("POST", "/v1/rules/check", &CheckRules);
  add("POST", "/v1/rules/publish", &Publish);
  add("GET", "/v1/rules", &ShowRules);
  add("GET", "/v1/audit", &ShowAudit);
  add("GET", "/v1/cluster", &ShowCluster);
  add("GET", "/v1/alerts", &ShowAlerts);
  add("POST", "/v1/workers/:id/drain", &DrainWorker);
  add("POST", "/v1/controllers", &AddController);
  add("DELETE", "/v1/controllers/:id", &RemoveController);
}

}  // namespace cranberryshunt::entry
