#include "context.h"

#include <algorithm>
#include <utility>

#include "json_output.h"

namespace cranberryshunt::entry {

HttpResponse ErrorResponse(const Error& error, std::int64_t retry_after_ms) {
  HttpResponse response;
  response.status = HttpStatusOf(error.code());
  response.body = RenderError(error);
  response.retry_after_ms = retry_after_ms;
  return response;
}

HttpResponse JsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::function<HttpResponse(const HttpRequest&)> AuthorizedHandler(
    Context& context,
    Role role,
    std::size_t max_body_bytes,
    std::function<HttpResponse(const HttpRequest&)> handler) {
  return [&context, role, max_body_bytes,
          handler = std::move(handler)](const HttpRequest& request) {
    if (!context.authorizer.Authorize(role, request)) {
      return ErrorResponse(
          Error(ResultCode::kUnauthorized, "the token is missing or wrong"));
    }
    if (request.body().size() > max_body_bytes) {
      return ErrorResponse(
          Error(ResultCode::kTooLarge, "the body must have at most " +
                                           std::to_string(max_body_bytes) +
                                           " bytes"));
    }
    return handler(request);
  };
}

std::size_t MaxAnnouncementBytes(const EntryOptions& options) {
  constexpr std::size_t kMinBytes = 4 << 20;
  return std::max(options.max_body_bytes, kMinBytes);
}

}  // namespace cranberryshunt::entry
