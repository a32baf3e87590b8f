// Runs the threads of a controller in a cell whose leader calls its workers.
#ifndef CRANBERRYSHUNT_CELL_CONTROLLER_H_
#define CRANBERRYSHUNT_CELL_CONTROLLER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/base/result.h"
#include "cranberryshunt/cell/calls.h"
#include "cranberryshunt/cell/engine.h"
#include "cranberryshunt/cell/worker_driver.h"
#include "cranberryshunt/consensus/replica.h"

namespace cranberryshunt::cell {

struct ControllerOptions {
  EngineOptions engine;
  consensus::ReplicaOptions replica;
  std::string listen_address;  // "ip:port" for entries and peers.
  std::string cluster_secret;
  // Addresses of controllers that may already be members, "ip:port".
  std::vector<std::string> contacts;
  std::int64_t snapshot_every_entries = 20'000;
  std::chrono::milliseconds shutdown_limit{3'000};
};

using ReplySink = std::function<void(OrderId, WorkerReply)>;
using DriverFactory = std::function<std::unique_ptr<WorkerDriver>(ReplySink)>;

class Controller {
 public:
  // Fails with the errors of consensus::Replica::Start() and with kUnavailable
  // when the address cannot be bound.
  static Result<std::unique_ptr<Controller>> Start(
      const ControllerOptions& options,
      const DriverFactory& create_driver,
      MetricsRegistry& metrics);
  ~Controller();

  // Queues a call for the decision thread. Returns false, without queuing the
  // call, if too many events are queued.
  bool Post(Call call);
  // The role of this member and the leader that it knows.
  consensus::RoleChange role() const;
  // Adds addresses of controllers to which join requests may be sent.
  void AddContacts(const std::vector<std::string>& addresses);
  // Tries to transfer the leadership, then refuses further calls.
  void Shutdown();

 private:
  struct Implementation;

  explicit Controller(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_CONTROLLER_H_
