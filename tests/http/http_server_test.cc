#include "cranberryshunt/http/http_server.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "socket_peer.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::http;  // NOLINT

namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kPort = 24'000;

struct Server {
  Server() {
    HttpServerOptions options;
    options.listen_address =
        test::OwnLoopbackIp() + ":" + std::to_string(kPort);
    options.max_body_bytes = 1'000;
    options.max_connections = 100;
    options.header_timeout = std::chrono::seconds(1);
    options.idle_timeout = std::chrono::seconds(4);
    std::vector<HttpRoute> routes;
    routes.push_back({"GET", "/ok", [](const HttpRequest&) {
                        HttpResponse response;
                        response.body = "fine";
                        return response;
                      }});
    auto started = HttpServer::Start(options, std::move(routes), metrics);
    cr_assert(started.has_value());
    server = std::move(*started);
  }

  MetricsRegistry metrics;
  std::unique_ptr<HttpServer> server;
};

}  // namespace

// Load pattern: callers open connections and send half a request line. Guards
// against such connections occupying their threads forever.
Test(http_server, closes_connections_that_send_half_a_request) {
  const Server server;
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int n = 0; n < 50; ++n) {
    clients.push_back(std::make_unique<RawClient>(kPort));
    cr_assert(clients.back()->connected());
    clients.back()->Send("GET /o");
  }
  for (auto& it : clients) {
    cr_expect(it->IsClosedWithin(milliseconds(5'000)));
  }
}

// Guards against applying the shorter timeout of new connections to connections
// that are idle between requests.
Test(http_server, keeps_connections_open_between_requests) {
  const Server server;
  RawClient client(kPort);
  client.Send("GET /ok HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_expect_not(client.IsClosedWithin(milliseconds(2'200)));
  cr_expect(client.received.find("fine") != std::string::npos);
  client.received.clear();
  client.Send("GET /ok HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_expect_not(client.IsClosedWithin(milliseconds(500)));
  cr_expect(client.received.find("fine") != std::string::npos);
  cr_expect(client.IsClosedWithin(milliseconds(10'000)));
}
