#include "cranberryshunt/http/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <exception>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "cranberryshunt/base/endpoint.h"
#include "cranberryshunt/base/log.h"

namespace cranberryshunt::http {

namespace {

constexpr std::string_view kBearer = "Bearer ";
// Handlers parse JSON on this stack, and jansson's parser recurses up to 2048
// levels deep.
constexpr std::size_t kThreadStackBytes = 1 << 20;
// For the request line, the request headers and the response headers of one
// connection.
constexpr std::size_t kConnectionMemoryBytes = 8U << 10;
constexpr int kStatusInternalError = 500;
constexpr int kStatusNotFound = 404;

// The connection whose request is handled by this thread. ulfius does not pass
// it to handlers, but each connection has its own thread.
thread_local MHD_Connection* current_connection = nullptr;

// Returns the socket of `current_connection`, or -1.
int CurrentSocket() {
  if (current_connection == nullptr) {
    return -1;
  }
  const auto* info = MHD_get_connection_info(current_connection,
                                             MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

}  // namespace

std::string HttpRequest::Parameter(const char* name) const {
  const char* value = u_map_get(request_.map_url, name);
  return value == nullptr ? std::string() : value;
}

std::string HttpRequest::BearerToken() const {
  const char* value = u_map_get_case(request_.map_header, "Authorization");
  const std::string_view header = value == nullptr ? "" : value;
  return header.starts_with(kBearer)
             ? std::string(header.substr(kBearer.size()))
             : std::string();
}

std::string HttpRequest::Header(const char* name) const {
  const char* value = u_map_get_case(request_.map_header, name);
  return value == nullptr ? std::string() : value;
}

std::string_view HttpRequest::method() const {
  return request_.http_verb;
}

std::string_view HttpRequest::path() const {
  return request_.url_path;
}

std::string_view HttpRequest::body() const {
  return {static_cast<const char*>(request_.binary_body),
          request_.binary_body_length};
}

std::string HttpRequest::PeerAddress() const {
  const auto* address =
      reinterpret_cast<const sockaddr_in*>(request_.client_address);
  std::array<char, INET_ADDRSTRLEN> text{};
  if (address == nullptr || address->sin_family != AF_INET) {
    return "unknown";
  }
  inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
  return text.data();
}

bool HttpRequest::PeerHasClosed() const {
  pollfd descriptor{socket_, POLLRDHUP, 0};
  return socket_ < 0 || poll(&descriptor, 1, 0) != 0;
}

namespace {

using RenderErrorFunction = std::function<std::string(const Error&)>;

// Counts the connections and requests of a server. Safe for use by several
// threads.
class ServerCounter {
 public:
  void CountOpened() {
    const std::lock_guard lock(mutex_);
    ++counts_.opened;
    ++counts_.open;
  }
  void CountClosed() {
    const std::lock_guard lock(mutex_);
    --counts_.open;
  }
  void CountFirstRequest(Duration since_opened) {
    const std::lock_guard lock(mutex_);
    counts_.longest_first_request =
        std::max(counts_.longest_first_request,
                 std::chrono::floor<std::chrono::milliseconds>(since_opened));
  }
  void CountResponse(int status, Duration handling) {
    constexpr int kClass = 100;
    const std::lock_guard lock(mutex_);
    ++counts_.requests;
    counts_.redirected += status / kClass == 3 ? 1 : 0;
    counts_.server_errors += status / kClass == 5 ? 1 : 0;
    counts_.longest_handling =
        std::max(counts_.longest_handling,
                 std::chrono::floor<std::chrono::milliseconds>(handling));
  }
  HttpServerCounts Take() {
    const std::lock_guard lock(mutex_);
    const auto taken = counts_;
    counts_ = {};
    counts_.open = taken.open;
    return taken;
  }

 private:
  std::mutex mutex_;
  HttpServerCounts counts_;
};

// What HandleRoute() needs to serve a route.
struct RouteState {
  HttpRoute route;
  ServerCounter* counter;
  const std::atomic<bool>* closing;
  MetricsRegistry* metrics;
  const RenderErrorFunction* render_error;
};

std::string RenderErrorBody(const RenderErrorFunction& render,
                            const Error& error) {
  return render ? render(error) : error.message() + "\n";
}

void FillResponse(const HttpResponse& response,
                  bool closing,
                  _u_response* out) {
  ulfius_set_binary_body_response(out, response.status, response.body.data(),
                                  response.body.size());
  u_map_put(out->map_header, "Content-Type", response.content_type.c_str());
  if (response.retry_after_ms > 0) {
    const auto seconds = (response.retry_after_ms + 999) / 1000;
    u_map_put(out->map_header, "Retry-After", std::to_string(seconds).c_str());
  }
  if (!response.location.empty()) {
    u_map_put(out->map_header, "Location", response.location.c_str());
  }
  if (closing || response.close) {
    u_map_put(out->map_header, "Connection", "close");
  }
}

HttpResponse CallHandler(const RouteState& state, const HttpRequest& request) {
  try {
    return state.route.handler(request);
  } catch (const std::exception& error) {
    // A failing request must not terminate the process.
    Log(LogLevel::kError, "http", "the handler of a request failed",
        {{"path", state.route.path}, {"error", error.what()}});
    HttpResponse response;
    response.status = kStatusInternalError;
    response.body = RenderErrorBody(
        *state.render_error,
        Error(ResultCode::kUnavailable, "the request could not be handled"));
    return response;
  }
}

int HandleRoute(const _u_request* request, _u_response* out, void* data) {
  const auto& state = *static_cast<const RouteState*>(data);
  const auto begin = BootClock::now();
  const HttpResponse response =
      CallHandler(state, HttpRequest(*request, CurrentSocket()));
  FillResponse(response, *state.closing, out);
  const std::string route =
      "route=\"" + state.route.method + " " + state.route.path + "\"";
  ++state.metrics->Counter("requests{" + route + ",code=\"" +
                           std::to_string(response.status) + "\"}");
  const auto end = BootClock::now();
  state.counter->CountResponse(response.status, end - begin);
  state.metrics->ValueDistribution("latency_ms{" + route + "}")
      .Record(static_cast<double>((end - begin).count()) / 1000.0, end);
  return U_CALLBACK_COMPLETE;
}

int HandleUnmatchedRequest(const _u_request* /*request*/,
                           _u_response* out,
                           void* data) {
  HttpResponse response;
  response.status = kStatusNotFound;
  response.body = RenderErrorBody(
      *static_cast<const RenderErrorFunction*>(data),
      Error(ResultCode::kNotFound, "there is no such resource"));
  FillResponse(response, false, out);
  return U_CALLBACK_COMPLETE;
}

}  // namespace

namespace {

// Closing a listening socket resets connections in its backlog and those whose
// handshake is in progress. Therefore, for this time before the close, the
// kernel drops only new connection requests, while earlier ones are still
// accepted.
constexpr std::chrono::milliseconds kHandshakeLimit{100};
constexpr int kAcceptPollMs = 10;

// Attaches a socket filter that drops segments with SYN but without ACK.
void DropNewConnectionRequests(int listen_socket) {
  constexpr std::uint32_t kTcpFlagsOffset = 13;
  constexpr std::uint32_t kSynAndAck = 0x12;
  constexpr std::uint32_t kSyn = 0x02;
  std::array<sock_filter, 5> code{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynAndAck),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, 0xffffffff),
  }};
  const sock_fprog program{code.size(), code.data()};
  if (setsockopt(listen_socket, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                 sizeof(program)) != 0) {
    Log(LogLevel::kWarning, "http",
        "cannot attach a filter that drops new connections",
        {{"errno", errno}});
  }
}

// Accepts the connections in the backlog and passes them to `daemon`.
void AcceptPending(MHD_Daemon* daemon, int listen_socket) {
  for (;;) {
    sockaddr_in peer{};
    socklen_t length = sizeof(peer);
    const int accepted =
        accept4(listen_socket, reinterpret_cast<sockaddr*>(&peer), &length,
                SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (accepted < 0) {
      return;
    }
    MHD_add_connection(daemon, accepted, reinterpret_cast<sockaddr*>(&peer),
                       length);
  }
}

}  // namespace

struct HttpServer::Implementation {
  ~Implementation();

  Result<void> Listen(const HttpServerOptions& options);
  static void* OnRequestLine(void* self,
                             const char* uri,
                             MHD_Connection* connection);
  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** context,
                          MHD_RequestTerminationCode code);

  static void OnConnection(void* self,
                           MHD_Connection* connection,
                           void** opened_at,
                           MHD_ConnectionNotificationCode code);

  _u_instance instance{};
  ServerCounter counter;
  bool initialized = false;
  bool running = false;
  int listen_socket = -1;
  std::atomic<bool> closing = false;
  std::atomic<std::int64_t> in_flight = 0;
  unsigned int idle_timeout_s = 0;
  std::vector<std::unique_ptr<RouteState>> routes;
  std::unique_ptr<RouteState> fallback;
  RenderErrorFunction render_error;
};

HttpServer::Implementation::~Implementation() {
  if (running) {
    ulfius_stop_framework(&instance);
  }
  if (initialized) {
    ulfius_clean_instance(&instance);
  }
  if (listen_socket >= 0) {
    close(listen_socket);
  }
}

void* HttpServer::Implementation::OnRequestLine(void* self,
                                                const char* uri,
                                                MHD_Connection* connection) {
  auto& server = *static_cast<Implementation*>(self);
  ++server.in_flight;
  current_connection = connection;
  const auto* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  auto* opened_at =
      info == nullptr ? nullptr : static_cast<TimePoint*>(info->socket_context);
  if (opened_at != nullptr && *opened_at != TimePoint()) {
    server.counter.CountFirstRequest(BootClock::now() - *opened_at);
    *opened_at = TimePoint();
  }
  return ulfius_uri_logger(nullptr, uri);
}

void HttpServer::Implementation::OnCompleted(void* self,
                                             MHD_Connection* connection,
                                             void** context,
                                             MHD_RequestTerminationCode code) {
  mhd_request_completed(nullptr, connection, context, code);
  auto& server = *static_cast<Implementation*>(self);
  // Replaces the shorter timeout that applies to new connections.
  MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                            server.idle_timeout_s);
  --server.in_flight;
}

// `opened_at` holds the time of the opening until the first request.
void HttpServer::Implementation::OnConnection(
    void* self,
    MHD_Connection* /*connection*/,
    void** opened_at,
    MHD_ConnectionNotificationCode code) {
  auto& server = *static_cast<Implementation*>(self);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    *opened_at = std::make_unique<TimePoint>(BootClock::now()).release();
    server.counter.CountOpened();
  } else {
    const std::unique_ptr<TimePoint> ended(
        static_cast<TimePoint*>(std::exchange(*opened_at, nullptr)));
    server.counter.CountClosed();
  }
}

Result<void> HttpServer::Implementation::Listen(
    const HttpServerOptions& options) {
  auto address = ParseEndpoint(options.listen_address);
  if (!address) {
    return Fail(ResultCode::kInvalidSettings, "address is not ip:port",
                "listen-address");
  }
  if (ulfius_init_instance(&instance, ntohs(address->sin_port), &*address,
                           nullptr) != U_OK) {
    return Fail(ResultCode::kUnavailable, "cannot set up the HTTP server");
  }
  initialized = true;
  idle_timeout_s = static_cast<unsigned int>(options.idle_timeout.count());
  // ulfius truncates bodies at its limit without an error. With a limit one
  // byte higher, the handler can detect that a body is too large.
  instance.max_post_body_size = options.max_body_bytes + 1;
  instance.allowed_post_processor = U_POST_PROCESS_NONE;
  for (const auto& state : routes) {
    ulfius_add_endpoint_by_val(&instance, state->route.method.c_str(), nullptr,
                               state->route.path.c_str(), 0, &HandleRoute,
                               state.get());
  }
  if (fallback) {
    ulfius_set_default_endpoint(&instance, &HandleRoute, fallback.get());
  } else {
    ulfius_set_default_endpoint(&instance, &HandleUnmatchedRequest,
                                &render_error);
  }
  std::array<MHD_OptionItem, 9> mhd_options{{
      {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&OnCompleted),
       this},
      {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&OnRequestLine),
       this},
      {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&OnConnection),
       this},
      {MHD_OPTION_SOCK_ADDR, 0, &address},
      {MHD_OPTION_CONNECTION_LIMIT, options.max_connections, nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT, options.header_timeout.count(), nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes, nullptr},
      {MHD_OPTION_THREAD_STACK_SIZE, kThreadStackBytes, nullptr},
      {MHD_OPTION_END, 0, nullptr},
  }};
  constexpr unsigned int kFlags = MHD_USE_THREAD_PER_CONNECTION |
                                  MHD_USE_INTERNAL_POLLING_THREAD |
                                  MHD_USE_POLL | MHD_USE_ITC;
  if (ulfius_start_framework_with_mhd_options(&instance, kFlags,
                                              mhd_options.data()) != U_OK) {
    return Fail(ResultCode::kUnavailable,
                "cannot listen on " + options.listen_address);
  }
  running = true;
  return {};
}

HttpServer::HttpServer(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::Start(
    const HttpServerOptions& options,
    std::vector<HttpRoute> routes,
    MetricsRegistry& metrics) {
  auto implementation = std::make_unique<Implementation>();
  implementation->render_error = options.render_error;
  const auto make_state = [&](HttpRoute route) {
    return std::make_unique<RouteState>(RouteState{
        std::move(route), &implementation->counter, &implementation->closing,
        &metrics, &implementation->render_error});
  };
  for (auto& route : routes) {
    implementation->routes.push_back(make_state(std::move(route)));
  }
  if (options.fallback) {
    implementation->fallback = make_state({"*", "*", options.fallback});
  }
  if (auto listening = implementation->Listen(options); !listening) {
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

void HttpServer::CloseAfterResponses() {
  implementation_->closing = true;
}

void HttpServer::StopListening() {
  MHD_Daemon* daemon = implementation_->instance.mhd_daemon;
  const int fd = MHD_quiesce_daemon(daemon);
  if (fd < 0) {
    return;
  }
  implementation_->listen_socket = fd;
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  DropNewConnectionRequests(fd);
  const auto end = std::chrono::steady_clock::now() + kHandshakeLimit;
  while (std::chrono::steady_clock::now() < end) {
    AcceptPending(daemon, fd);
    pollfd descriptor{fd, POLLIN, 0};
    poll(&descriptor, 1, kAcceptPollMs);
  }
  close(std::exchange(implementation_->listen_socket, -1));
}

HttpServerCounts HttpServer::TakeCounts() {
  return implementation_->counter.Take();
}

std::int64_t HttpServer::requests_in_flight() const {
  return implementation_->in_flight;
}

}  // namespace cranberryshunt::http
