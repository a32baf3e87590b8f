// HTTP server with typed requests and responses, based on ulfius.
#ifndef CRANBERRYSHUNT_HTTP_HTTP_SERVER_H_
#define CRANBERRYSHUNT_HTTP_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/base/result.h"

// ulfius defines this name.
// NOLINTNEXTLINE(bugprone-reserved-identifier)
struct _u_request;

namespace cranberryshunt::http {

// View of a request; valid only while its handler runs.
class HttpRequest {
 public:
  HttpRequest(const _u_request& request, int socket)
      : request_(request), socket_(socket) {}

  // Value of a path or query parameter; empty if missing.
  std::string Parameter(const char* name) const;
  // Token of the `Authorization: Bearer` header; empty if missing.
  std::string BearerToken() const;
  // Value of a header, whose name is matched regardless of case; empty if
  // missing.
  std::string Header(const char* name) const;
  std::string_view method() const;
  // Path without the query.
  std::string_view path() const;
  std::string_view body() const;
  // IPv4 address of the peer, or "unknown".
  std::string PeerAddress() const;
  // Returns true if the peer has closed its side of the connection, if the
  // connection has failed, or if the socket of the request is not known.
  bool PeerHasClosed() const;

 private:
  const _u_request& request_;
  const int socket_;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  // Above 0: sent as Retry-After, rounded up to seconds.
  std::int64_t retry_after_ms = 0;
  std::string location;  // Not empty: sent as Location.
  bool close = false;    // Sends `Connection: close`.
};

struct HttpRoute {
  std::string method;
  std::string path;  // ulfius format: "/v1/jobs/:id".
  std::function<HttpResponse(const HttpRequest&)> handler;
};

struct HttpServerOptions {
  std::string listen_address;  // "ip:port".
  std::size_t max_body_bytes = 0;
  unsigned int max_connections = 0;
  // A connection is closed after this long without traffic. `header_timeout`
  // applies until its first request has been handled, `idle_timeout`
  // afterwards.
  std::chrono::seconds header_timeout{10};
  std::chrono::seconds idle_timeout{75};
  // Handles requests that match no route. If it is empty, they get status 404.
  std::function<HttpResponse(const HttpRequest&)> fallback;
  // Renders the body of errors that the server itself reports: no route
  // matches, or a handler has thrown. If it is empty, the message is sent.
  std::function<std::string(const Error&)> render_error;
};

// What a server has done since the last call of HttpServer::TakeCounts().
struct HttpServerCounts {
  // Connections that were opened, and those that are open now.
  std::int64_t opened = 0;
  std::int64_t open = 0;
  std::int64_t requests = 0;
  std::int64_t redirected = 0;     // Responses with a 3xx status.
  std::int64_t server_errors = 0;  // Responses with a 5xx status.
  // The longest time in a handler, and from the opening of a connection until
  // its first request was read.
  std::chrono::milliseconds longest_handling{0};
  std::chrono::milliseconds longest_first_request{0};
};

// Serves each connection on a thread of its own, so handlers may block.
class HttpServer {
 public:
  // Fails with kInvalidSettings if the address is not "ip:port", and with
  // kUnavailable if the server cannot listen on it. `metrics` must outlive the
  // server.
  static Result<std::unique_ptr<HttpServer>> Start(
      const HttpServerOptions& options,
      std::vector<HttpRoute> routes,
      MetricsRegistry& metrics);
  // Stops the server and aborts requests in flight.
  ~HttpServer();

  // Adds `Connection: close` to every response of a handler from now on.
  void CloseAfterResponses();
  // Stops listening without resetting connections whose handshake has already
  // begun: these are accepted and served. Blocks for up to about 0.1 s.
  void StopListening();
  // Number of requests whose request line has been read and whose response has
  // not been sent completely.
  std::int64_t requests_in_flight() const;
  HttpServerCounts TakeCounts();

 private:
  struct Implementation;

  explicit HttpServer(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::http

#endif  // CRANBERRYSHUNT_HTTP_HTTP_SERVER_H_
