// Server side of the connections between the system's own processes.
#ifndef CRANBERRYSHUNT_WIRE_CONTROLLER_SERVER_H_
#define CRANBERRYSHUNT_WIRE_CONTROLLER_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::wire {

class ControllerServiceIf;

// Accepts connections, a thread for each, and passes calls to a handler once
// the peer has proved that it knows the cluster secret. A call on a connection
// that is not authenticated closes it.
class ControllerServer {
 public:
  // Called with the peer's claimed id when its proof was wrong.
  using OnRefused = std::function<void(const std::string& peer_id)>;

  // Listens on `listen_address` ("ip:port"). `handler` gets only authenticated
  // calls, from several threads at once, and must outlive the server; Challenge
  // and Authenticate are never passed to it. Fails with kUnavailable when the
  // address cannot be bound.
  static Result<std::unique_ptr<ControllerServer>> Start(
      const std::string& listen_address,
      std::string cluster_secret,
      ControllerServiceIf& handler,
      OnRefused on_refused);

  // Stops accepting and waits for open calls to end.
  ~ControllerServer();

 private:
  struct Implementation;

  explicit ControllerServer(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_CONTROLLER_SERVER_H_
