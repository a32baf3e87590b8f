// A controller of a cell with called workers, as a set of threads.
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
  // Controllers that may already be members, "ip:port".
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

  // Passes a call to the decision thread; returns false when it is overloaded.
  bool Post(Call call);
  // Who leads, as far as this member knows.
  consensus::RoleChange role() const;
  // Further controllers to ask for membership.
  void AddContacts(const std::vector<std::string>& addresses);
  // Hands leadership over and refuses further calls.
  void Shutdown();

 private:
  struct Implementation;

  explicit Controller(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_CONTROLLER_H_
