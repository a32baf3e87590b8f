#include "metrics_server.h"

#include <netinet/in.h>
#include <ulfius.h>

#include <utility>

#include "cranberryshunt/base/endpoint.h"

namespace cranberryshunt::controller {

namespace {

constexpr unsigned int kHttpOk = 200;

// Fails with kInvalidSettings when `text` is not "ip:port".
Result<sockaddr_in> ParseAddress(const std::string& text) {
  const auto address = ParseEndpoint(text);
  if (!address) {
    return Fail(ResultCode::kInvalidSettings, "address must be ip:port",
                "metrics_address");
  }
  return *address;
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
