// Server side of the connections between the processes of a cell.
#ifndef CRANBERRYSHUNT_WIRE_CONTROLLER_SERVER_H_
#define CRANBERRYSHUNT_WIRE_CONTROLLER_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::wire {

class ControllerServiceIf;

// The steps of new connections since the last call of TakeCounts().
struct ConnectionCounts {
  std::int64_t accepted = 0;
  std::int64_t challenged = 0;
  std::int64_t authenticated = 0;
  std::int64_t closed = 0;
  // Connections that are open now.
  std::int64_t open = 0;
  // Longest times from the acceptance to the peer's first message and to its
  // proof.
  std::chrono::microseconds longest_challenge{0};
  std::chrono::microseconds longest_handshake{0};
};

// Accepts connections and passes their calls to a handler once the peer has
// proved that it knows the cluster secret. Each connection has a thread of its
// own. A call before the authentication closes the connection.
class ControllerServer {
 public:
  // Called with the id that the peer claims when its proof is wrong, on the
  // thread of the connection.
  using OnRefused = std::function<void(const std::string& peer_id)>;

  // Listens on `listen_address` ("ip:port"). `handler` gets only authenticated
  // calls, from several threads at once, and must outlive the server; Challenge
  // and Authenticate are never passed to it. Fails with kUnavailable when the
  // server cannot listen on the address, and with kInvalidSettings when it is
  // not "ip:port".
  static Result<std::unique_ptr<ControllerServer>> Start(
      const std::string& listen_address,
      std::string cluster_secret,
      ControllerServiceIf& handler,
      OnRefused on_refused);

  // Stops accepting connections and waits until the running calls have ended.
  ~ControllerServer();

  ConnectionCounts TakeCounts();

 private:
  struct Implementation;

  explicit ControllerServer(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_CONTROLLER_SERVER_H_
