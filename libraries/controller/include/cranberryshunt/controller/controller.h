// The controller process: keeps a replica of the scheduler state and, while it
// leads, decides placements.
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
  // Includes the id, the advertised address and the data folder.
  consensus::ReplicaOptions replica;
  // "ip:port" to listen on. Peers connect to replica.address, which may be the
  // address of a proxy.
  std::string listen_address;
  // "ip:port" that serves /metrics and /healthz. Empty disables the server.
  std::string metrics_address;
  std::string region;
  std::string availability_zone;
  std::string cluster_secret;
  policy::SchedulerOptions scheduler;
  // Duration of a worker's lease, which each announcement renews.
  std::chrono::milliseconds worker_lease{10'000};
  // A start order expires after this time, or at the end of the worker's lease
  // if that is earlier.
  std::chrono::milliseconds start_window{2'000};
  // Duration of the rules lease that is granted to an entry when it polls.
  std::chrono::milliseconds rules_lease{3'000};
  // An entry is marked as dead after this time without a poll.
  std::chrono::milliseconds entry_lease{3'000};
  // How long finished jobs are kept with their idempotency keys.
  std::chrono::hours key_retention{24};
  std::int64_t snapshot_every_entries = 20'000;
  std::chrono::milliseconds shutdown_limit{10'000};
};

class Controller {
 public:
  // Opens the data folder, starts to listen and joins elections. Fails with the
  // errors of Replica::Start, ControllerServer::Start and MetricsServer::Start.
  static Result<std::unique_ptr<Controller>> Start(
      const ControllerOptions& options);
  // Stops without a leadership transfer; call Shutdown() first for a graceful
  // stop.
  ~Controller();

  // Transfers leadership if this controller leads, answers open calls and stops
  // listening.
  void Shutdown();

 private:
  struct Implementation;

  explicit Controller(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_CONTROLLER_H_
