#include "server.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <ulfius.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "cranberryshunt/base/bytes.h"
#include "support/json.h"

namespace cranberryshunt::test {

namespace {

constexpr std::chrono::milliseconds kAnnounceInterval{1'000};
// Changes within this time go into one announcement.
constexpr std::chrono::milliseconds kCoalesceInterval{10};
// A third of the shortest lease, which leaves time to try another entry before
// the lease expires.
constexpr long kAnnounceTimeoutMs = 1'500;
constexpr std::size_t kMaxBodyBytes = 4 << 20;

using Handler = HttpAnswer (Worker::*)(const json_t*);

// User data of a route.
struct Route {
  Worker* worker;
  const std::string* token;
  Handler handler;
};

int HandleRequest(const _u_request* request,
                  _u_response* response,
                  void* user_data) {
  const auto& route = *static_cast<const Route*>(user_data);
  const char* header = u_map_get_case(request->map_header, "Authorization");
  if (header == nullptr ||
      !ConstantTimeEquals(header, "Bearer " + *route.token)) {
    ulfius_set_string_body_response(response, 401, "{}");
    return U_CALLBACK_COMPLETE;
  }
  const Json body =
      ParseJson(std::string(static_cast<const char*>(request->binary_body),
                            request->binary_body_length));
  const HttpAnswer answer = (route.worker->*route.handler)(body.get());
  u_map_put(response->map_header, "Content-Type", "application/json");
  ulfius_set_binary_body_response(response, answer.status, answer.body.data(),
                                  answer.body.size());
  return U_CALLBACK_COMPLETE;
}

std::size_t AppendToString(char* data,
                           std::size_t size,
                           std::size_t n,
                           void* out) {
  static_cast<std::string*>(out)->append(data, size * n);
  return size * n;
}

struct RouteHandler {
  const char* path;
  Handler handler;
};

constexpr RouteHandler kHandlers[] = {
    {"/v1/tasks/start", &Worker::Start},
    {"/v1/tasks/stop", &Worker::Stop},
    {"/v1/tasks/throttle", &Worker::Throttle},
    {"/v1/tasks/lookup", &Worker::Lookup},
    {"/v1/tasks/acknowledge", &Worker::Acknowledge},
};

}  // namespace

struct WorkerServer::Http {
  _u_instance instance{};
};

WorkerServer::WorkerServer(ServerOptions options, Worker& worker)
    : options_(std::move(options)),
      worker_(worker),
      http_(std::make_unique<Http>()),
      curl_(curl_easy_init()) {
  Listen();
  announcer_ = std::thread([this] { AnnounceLoop(); });
}

WorkerServer::~WorkerServer() {
  stopping_ = true;
  announcer_.join();
  curl_easy_cleanup(curl_);
  ulfius_stop_framework(&http_->instance);
  ulfius_clean_instance(&http_->instance);
}

void WorkerServer::Listen() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options_.port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (ulfius_init_instance(&http_->instance, options_.port, &address,
                           nullptr) != U_OK) {
    std::abort();
  }
  http_->instance.max_post_body_size = kMaxBodyBytes;
  for (const auto& item : kHandlers) {
    // Never freed, because a request may outlive the server.
    auto* route = new Route{&worker_, &options_.token, item.handler};
    ulfius_add_endpoint_by_val(&http_->instance, "POST", item.path, nullptr, 0,
                               &HandleRequest, route);
  }
  if (ulfius_start_framework(&http_->instance) != U_OK) {
    std::fprintf(stderr, "cannot listen on port %d\n", options_.port);
    std::exit(1);
  }
}

void WorkerServer::AnnounceLoop() {
  // Starts at an entry that depends on the identity, so that the workers are
  // spread over the entries.
  std::size_t next = Crc32(worker_.options().identity);
  while (!stopping_) {
    const auto& entry = options_.entries[next % options_.entries.size()];
    if (Announce(entry)) {
      worker_.WaitForChange(kAnnounceInterval);
      std::this_thread::sleep_for(kCoalesceInterval);
    } else {
      ++next;
      std::this_thread::sleep_for(10 * kCoalesceInterval);
    }
  }
}

bool WorkerServer::Announce(const std::string& entry) {
  const bool leaving = worker_.leaving();
  const auto clock_ms = Worker::ClockMs();
  const std::string body = worker_.BuildAnnouncement(clock_ms);
  const std::string url = "http://" + entry + "/v1/targets/announce";
  std::string reply;
  curl_slist* headers = curl_slist_append(
      nullptr, ("Authorization: Bearer " + options_.token).c_str());
  headers = curl_slist_append(headers, "Content-Type: application/json");
  headers = curl_slist_append(headers, "Expect:");
  curl_easy_setopt(curl_, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl_, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(curl_, CURLOPT_POSTFIELDS, body.data());
  curl_easy_setopt(curl_, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(body.size()));
  curl_easy_setopt(curl_, CURLOPT_TIMEOUT_MS, kAnnounceTimeoutMs);
  curl_easy_setopt(curl_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl_, CURLOPT_WRITEFUNCTION, &AppendToString);
  curl_easy_setopt(curl_, CURLOPT_WRITEDATA, &reply);
  const CURLcode result = curl_easy_perform(curl_);
  curl_slist_free_all(headers);
  long status = 0;
  curl_easy_getinfo(curl_, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_setopt(curl_, CURLOPT_FRESH_CONNECT, result == CURLE_OK ? 0L : 1L);
  if (result != CURLE_OK || status != 200) {
    if (status >= 400 && status < 500) {
      std::fprintf(stderr, "announcement refused with status %ld: %s\n", status,
                   reply.c_str());
    }
    return false;
  }
  worker_.ApplyReply(ParseJson(reply).get(), leaving, clock_ms);
  return true;
}

}  // namespace cranberryshunt::test
