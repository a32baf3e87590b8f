// HTTP server with typed requests and responses, on ulfius.
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

// The name is ulfius' own.
// NOLINTNEXTLINE(bugprone-reserved-identifier)
struct _u_request;

namespace cranberryshunt::http {

// A request while its handler runs.
class HttpRequest {
 public:
  HttpRequest(const _u_request& request, int socket)
      : request_(request), socket_(socket) {}

  // Value of a part of the path or of the query; empty when missing.
  std::string Parameter(const char* name) const;
  // The token of the Authorization header; empty when missing.
  std::string BearerToken() const;
  // Value of a header, whatever its case; empty when missing.
  std::string Header(const char* name) const;
  std::string_view method() const;
  // Path without the query.
  std::string_view path() const;
  std::string_view body() const;
  std::string PeerAddress() const;
  // Returns whether the peer has closed its side of the connection.
  bool PeerIsGone() const;

 private:
  const _u_request& request_;
  const int socket_;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::int64_t retry_after_ms = 0;  // Above 0: sent as Retry-After.
  std::string location;             // Not empty: sent as Location.
  bool close = false;               // Sends `Connection: close`.
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
  // Silence after which a new connection is closed that has not sent its first
  // request, and a connection between requests.
  std::chrono::seconds header_timeout{10};
  std::chrono::seconds idle_timeout{75};
  // Handles requests that no route matches; without it they get 404.
  std::function<HttpResponse(const HttpRequest&)> fallback;
  // Renders the body of an error that the server itself reports.
  std::function<std::string(const Error&)> render_error;
};

// Runs each connection on a thread of its own, so handlers may block.
class HttpServer {
 public:
  // Fails with kInvalidSettings or kUnavailable. `metrics` must outlive the
  // server.
  static Result<std::unique_ptr<HttpServer>> Start(
      const HttpServerOptions& options,
      std::vector<HttpRoute> routes,
      MetricsRegistry& metrics);
  // Stops and cuts off what is in flight.
  ~HttpServer();

  // From now on each response carries `Connection: close`.
  void CloseAfterResponses();
  // Stops listening, without a cut for any connection whose handshake had
  // begun.
  void StopListening();
  // Requests whose first line was read and whose response is not yet sent.
  std::int64_t requests_in_flight() const;

 private:
  struct Implementation;

  explicit HttpServer(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::http

#endif  // CRANBERRYSHUNT_HTTP_HTTP_SERVER_H_
