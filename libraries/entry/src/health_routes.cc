#include <array>
#include <fstream>
#include <string>

#include <unistd.h>

#include "context.h"
#include "json_output.h"

namespace cranberryshunt::entry {

namespace {

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response = JsonResponse(status, std::move(body));
  response.content_type = "text/plain; charset=utf-8";
  return response;
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double pages = 0;
  double resident_pages = 0;
  statm >> pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void UpdateGauges(Context& context) {
  auto& metrics = context.metrics;
  constexpr std::array kNames{"service", "batch", "gang", "interactive",
                              "status"};
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    metrics.Gauge(std::string("in_flight{kind=\"") + kNames[i] + "\"}") =
        context.admission.in_flight(static_cast<RequestClass>(i));
  }
  metrics.Gauge("target_connections") =
      static_cast<double>(context.targets.connection_count());
  metrics.Gauge("payload_bytes") =
      static_cast<double>(context.jobs.payload_bytes());
  metrics.Gauge("resident_bytes") = ResidentBytes();
  metrics.Gauge("rules_revision") =
      static_cast<double>(context.readiness.rules_revision());
  metrics.Gauge("ready") =
      context.readiness.RefusalReason(BootClock::now()) ? 0.0 : 1.0;
}

}  // namespace

void AddHealthRoutes(Context& context, std::vector<HttpRoute>& routes) {
  routes.push_back({"GET", "/healthz", [](const HttpRequest& /*request*/) {
                      return TextResponse(200, "ok\n");
                    }});
  routes.push_back({"GET", "/readyz", [&context](const HttpRequest&) {
                      const auto refusal =
                          context.readiness.RefusalReason(BootClock::now());
                      return refusal
                                 ? TextResponse(503, refusal->message() + "\n")
                                 : TextResponse(200, "ready\n");
                    }});
  routes.push_back({"GET", "/metrics", [&context](const HttpRequest&) {
                      UpdateGauges(context);
                      return TextResponse(
                          200, context.metrics.Render(BootClock::now()));
                    }});
}

}  // namespace cranberryshunt::entry
