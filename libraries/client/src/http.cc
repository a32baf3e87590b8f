#include "http.h"

#include <fmt/format.h>
#include <ulfius.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "output.h"

namespace cranberryshunt::client {

namespace {

constexpr std::chrono::milliseconds kRetryPause{200};
// Timeout of one attempt. An entry that accepts the connection but never
// replies must leave time to try the other entries.
constexpr std::chrono::seconds kMaxAttemptTime{20};
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpForbidden = 403;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpTooLarge = 413;
constexpr int kHttpServiceUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

// The request and the response of one HTTP call.
struct Exchange {
  Exchange() {
    ulfius_init_request(&request);
    ulfius_init_response(&response);
  }
  ~Exchange() {
    ulfius_clean_request(&request);
    ulfius_clean_response(&response);
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  _u_request request{};
  _u_response response{};
};

Json ParseBody(const _u_response& response) {
  json_error_t error;
  Json body(json_loadb(static_cast<const char*>(response.binary_body),
                       response.binary_body_length, 0, &error));
  return json_is_object(body.get()) ? std::move(body) : Json(json_object());
}

}  // namespace

EntryCaller::EntryCaller(const ClientOptions& options)
    : options_(options), deadline_(BootClock::now() + options.timeout) {}

std::chrono::milliseconds EntryCaller::time_left() const {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline_ - BootClock::now());
  return std::max(left, std::chrono::milliseconds(0));
}

Result<HttpReply> EntryCaller::Call(const std::string& method,
                                    const std::string& path,
                                    const json_t* body) {
  std::string text;
  if (body != nullptr) {
    char* dump = json_dumps(body, JSON_COMPACT);
    text = dump == nullptr ? "" : dump;
    std::free(dump);
  }
  std::optional<HttpReply> unavailable_reply;
  std::size_t attempts = 0;
  while (time_left().count() > 0) {
    const auto& entry = options_.entries[next_entry_ % options_.entries.size()];
    auto reply = Send(entry, method, path, text);
    if (reply && reply->status != kHttpServiceUnavailable &&
        reply->status != kHttpGatewayTimeout) {
      return std::move(*reply);
    }
    if (reply) {
      unavailable_reply = std::move(reply);
    }
    ++next_entry_;
    if (++attempts % options_.entries.size() == 0) {
      std::this_thread::sleep_for(std::min(kRetryPause, time_left()));
    }
  }
  if (unavailable_reply) {
    return std::move(*unavailable_reply);
  }
  return Fail(ResultCode::kUnavailable, "no entry answered in time");
}

std::optional<HttpReply> EntryCaller::Send(const std::string& entry,
                                           const std::string& method,
                                           const std::string& path,
                                           const std::string& body) const {
  Exchange exchange;
  auto& request = exchange.request;
  ulfius_set_request_properties(
      &request, U_OPT_HTTP_VERB, method.c_str(), U_OPT_HTTP_URL,
      ("http://" + entry + path).c_str(), U_OPT_HEADER_PARAMETER,
      "Authorization", ("Bearer " + options_.token).c_str(),
      U_OPT_HEADER_PARAMETER, "Content-Type", "application/json", U_OPT_NONE);
  if (!body.empty()) {
    ulfius_set_binary_body_request(&request, body.data(), body.size());
  }
  // Timeouts of ulfius are in whole seconds; 0 would mean no timeout.
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(time_left());
  request.timeout = static_cast<unsigned long>(
      std::clamp(seconds, std::chrono::seconds(1), kMaxAttemptTime).count());
  if (ulfius_send_http_request(&request, &exchange.response) != U_OK) {
    return std::nullopt;
  }
  return HttpReply{static_cast<int>(exchange.response.status),
                   ParseBody(exchange.response)};
}

std::string EscapePathSegment(const std::string& segment) {
  std::string out;
  for (const unsigned char c : segment) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.') {
      out += static_cast<char>(c);
    } else {
      out += fmt::format("%{:02X}", c);
    }
  }
  return out;
}

int PrintError(const Error& error, bool as_json) {
  const Json body(json_pack("{s:{s:i, s:s%, s:s%}}", "error", "code",
                            static_cast<int>(error.code()), "name",
                            ResultCodeName(error.code()).data(),
                            ResultCodeName(error.code()).size(), "message",
                            error.message().data(), error.message().size()));
  if (as_json) {
    Print(body.get(), true);
  } else {
    fmt::print(stderr, "cranberryshunt: {}\n", error.message());
  }
  switch (error.code()) {
    case ResultCode::kUnavailable:
    case ResultCode::kTimeout:
      return kExitUnreachable;
    case ResultCode::kRulesInvalid:
    case ResultCode::kRevisionConflict:
      return kExitConflict;
    default:
      return kExitUsage;
  }
}

int PrintErrorReply(const HttpReply& reply, bool as_json) {
  if (as_json) {
    Print(reply.body.get(), true);
  } else {
    const json_t* error = json_object_get(reply.body.get(), "error");
    const json_t* source = error == nullptr ? reply.body.get() : error;
    const std::string field = TextOf(source, "field");
    const std::string message = TextOf(source, "message");
    fmt::print(stderr, "cranberryshunt: {} ({} {}){}{}\n",
               message.empty() ? TextOf(source, "reason") : message,
               TextOf(source, "name"), IntegerOf(source, "code"),
               field.empty() ? "" : ", field ", field);
  }
  if (reply.status == kHttpUnauthorized || reply.status == kHttpForbidden) {
    return kExitUnauthorized;
  }
  const json_t* error = json_object_get(reply.body.get(), "error");
  const auto code = static_cast<ResultCode>(IntegerOf(error, "code"));
  if (code == ResultCode::kRulesInvalid ||
      code == ResultCode::kRevisionConflict) {
    return kExitConflict;
  }
  return reply.status == kHttpBadRequest || reply.status == kHttpTooLarge
             ? kExitUsage
             : kExitFailed;
}

}  // namespace cranberryshunt::client
