// HTTP server for /metrics and /healthz of a controller.
#ifndef CRANBERRYSHUNT_CONTROLLER_METRICS_SERVER_H_
#define CRANBERRYSHUNT_CONTROLLER_METRICS_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::controller {

class MetricsServer {
 public:
  // Returns the response body of /metrics. Called on the threads of the server.
  using Render = std::function<std::string()>;

  // Listens on `address` ("ip:port"). Fails with kInvalidSettings if `address`
  // is malformed and with kUnavailable if the server cannot start.
  static Result<std::unique_ptr<MetricsServer>> Start(
      const std::string& address,
      Render render);
  ~MetricsServer();

 private:
  struct Implementation;

  explicit MetricsServer(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_METRICS_SERVER_H_
