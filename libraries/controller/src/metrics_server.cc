#include "metrics_server.h"

#include <arpa/inet.h>
#include <ulfius.h>

#include <charconv>
#include <cstdint>
#include <utility>

namespace cranberryshunt::controller {

namespace {

constexpr unsigned int kHttpOk = 200;

// Fails with kInvalidSettings when `text` is not "ip:port".
Result<sockaddr_in> ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const bool valid =
      colon != std::string::npos &&
      std::from_chars(text.data() + colon + 1, end, port).ptr == end &&
      inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
  if (!valid) {
    return Fail(ResultCode::kInvalidSettings, "address must be ip:port",
                "metrics_address");
  }
  address.sin_port = htons(port);
  return address;
}

}  // namespace

struct MetricsServer::Implementation {
  ~Implementation() {
    if (listening) {
      ulfius_stop_framework(&instance);
    }
    ulfius_clean_instance(&instance);
  }

  static int OnMetrics(const _u_request*, _u_response* response, void* data) {
    const auto& self = *static_cast<Implementation*>(data);
    ulfius_set_string_body_response(response, kHttpOk, self.render().c_str());
    return U_CALLBACK_COMPLETE;
  }

  static int OnHealth(const _u_request*, _u_response* response, void*) {
    ulfius_set_string_body_response(response, kHttpOk, "ok\n");
    return U_CALLBACK_COMPLETE;
  }

  Render render;
  sockaddr_in address{};
  _u_instance instance{};
  bool listening = false;
};

MetricsServer::MetricsServer(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Result<std::unique_ptr<MetricsServer>> MetricsServer::Start(
    const std::string& address,
    Render render) {
  auto parsed = ParseAddress(address);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  auto server = std::make_unique<Implementation>();
  server->render = std::move(render);
  server->address = *parsed;
  _u_instance* instance = &server->instance;
  if (ulfius_init_instance(instance, ntohs(parsed->sin_port), &server->address,
                           nullptr) != U_OK) {
    return Fail(ResultCode::kUnavailable,
                "cannot initialize the metrics server");
  }
  ulfius_add_endpoint_by_val(instance, "GET", nullptr, "/metrics", 0,
                             &Implementation::OnMetrics, server.get());
  ulfius_add_endpoint_by_val(instance, "GET", nullptr, "/healthz", 0,
                             &Implementation::OnHealth, server.get());
  if (ulfius_start_framework(instance) != U_OK) {
    return Fail(ResultCode::kUnavailable, "cannot listen on " + address);
  }
  server->listening = true;
  return std::unique_ptr<MetricsServer>(new MetricsServer(std::move(server)));
}

MetricsServer::~MetricsServer() = default;

}  // namespace cranberryshunt::controller
