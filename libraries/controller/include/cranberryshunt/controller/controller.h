// The controller process: replicated state and placement decisions.
#ifndef CRANBERRYSHUNT_CONTROLLER_CONTROLLER_H_
#define CRANBERRYSHUNT_CONTROLLER_CONTROLLER_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/consensus/replica.h"
#include "cranberryshunt/policy/scheduler.h"

namespace cranberryshunt::controller {

struct ControllerOptions {
  consensus::ReplicaOptions replica;  // Includes id, address and data folder.
  std::string listen_address;  // "ip:port"; peers reach it as replica.address,
                               // which may be a proxy.
  std::string
      metrics_address;  // "ip:port" of /metrics and /healthz; empty: none.
  std::string region;
  std::string availability_zone;
  std::string cluster_secret;
  policy::SchedulerOptions scheduler;
  std::chrono::milliseconds worker_lease{10'000};
  std::chrono::milliseconds start_window{2'000};
  std::chrono::milliseconds rules_lease{3'000};
  std::chrono::milliseconds entry_lease{3'000};
  std::chrono::hours key_retention{24};
  std::int64_t snapshot_every_entries = 20'000;
  std::chrono::milliseconds shutdown_limit{10'000};
};

class Controller {
 public:
  // Opens the data folder, listens and takes part in elections. Fails as
  // Replica::Start and ControllerServer::Start do.
  static Result<std::unique_ptr<Controller>> Start(
      const ControllerOptions& options);
  // Stops without ceremony; call Shutdown() first for a graceful stop.
  ~Controller();

  // Transfers leadership, answers open calls, syncs and closes.
  void Shutdown();

 private:
  struct Implementation;

  explicit Controller(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_CONTROLLER_H_
