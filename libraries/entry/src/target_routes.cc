#include <utility>

#include "context.h"
#include "cranberryshunt/targets/task_record.h"
#include "json_output.h"
#include "request_parsers.h"
#include "start_task.h"

namespace cranberryshunt::entry {

namespace {

// How long an announcement waits for the leader. A target that gets no answer
// within this time tries another entry.
constexpr std::chrono::milliseconds kAnnounceTimeout{2'000};
constexpr std::int64_t kAnnounceIntervalMs = 1'000;
constexpr std::int64_t kRetryAfterMs = 1'000;

json_t* AttemptToJson(const wire::AttemptKey& attempt) {
  json_t* object = json_object();
  targets::AddAttemptKey(object, attempt);
  return object;
}

HttpResponse Announce(Context& context, const HttpRequest& request) {
  auto announcement = ParseAnnouncement(request.body());
  if (!announcement) {
    return ErrorResponse(announcement.error());
  }
  const auto& worker = announcement->worker;
  context.workers.Update(worker.address, {worker.connections, worker.region});
  for (auto& attempt : announcement->attempts) {
    StripUnstoredAnswer(attempt.answer);
  }
  const auto reply = context.reporter.Announce(*announcement, kAnnounceTimeout);
  if (!reply) {
    // The target should try another entry, which may reach the leader, so every
    // failure is reported as 503.
    auto response = ErrorResponse(reply.error(), kRetryAfterMs);
    response.status = 503;
    return response;
  }
  if (reply->status.code != 0) {
    return ErrorResponse(Error(static_cast<ResultCode>(reply->status.code),
                               reply->status.message, reply->status.field));
  }
  JsonObject out;
  out.Set("lease_ms", reply->lease_ms)
      .Set("announce_interval_ms", kAnnounceIntervalMs)
      .Set("clock_ms", reply->clock_ms)
      .Set("stop", JsonArray(reply->stop, AttemptToJson))
      .Set("acknowledge", JsonArray(reply->acknowledge, AttemptToJson));
  return JsonResponse(200, out.Render());
}

}  // namespace

void AddTargetRoutes(Context& context, std::vector<HttpRoute>& routes) {
  routes.push_back({"POST", "/v1/targets/announce",
                    AuthorizedHandler(context, Role::kTarget,
                                      MaxAnnouncementBytes(context.options),
                                      [&context](const HttpRequest& request) {
                                        return Announce(context, request);
                                      })});
}

}  // namespace cranberryshunt::entry
