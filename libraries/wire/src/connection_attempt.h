// Opens an authenticated connection to a controller on a thread of its own.
#ifndef CRANBERRYSHUNT_WIRE_CONNECTION_ATTEMPT_H_
#define CRANBERRYSHUNT_WIRE_CONNECTION_ATTEMPT_H_

#include <thrift/transport/TSocket.h>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::wire {

class ControllerServiceClient;

using SteadyTime = std::chrono::steady_clock::time_point;

struct ControllerConnection {
  SteadyTime last_reply;
  std::shared_ptr<apache::thrift::transport::TSocket> socket;
  std::unique_ptr<ControllerServiceClient> client;
};

// Both ends of a connection.
struct ConnectionEnds {
  std::string address;  // Of the controller, "ip:port".
  std::string own_id;
  std::string cluster_secret;
};

struct HandshakeLimits {
  // For the controller's host to accept the connection.
  std::chrono::milliseconds connect;
  // For the controller to answer the handshake after that.
  std::chrono::milliseconds answer;
};

class ConnectionAttempt {
 public:
  using Outcome = Result<std::unique_ptr<ControllerConnection>>;
  // Called on the attempt's thread when it ends.
  using OnDone = std::function<void(Outcome)>;

  struct Progress {
    const char* step = "connect";
    SteadyTime begin = std::chrono::steady_clock::now();
    SteadyTime step_begin = begin;
  };

  // `ends` must outlive the attempt.
  ConnectionAttempt(const ConnectionEnds& ends,
                    const HandshakeLimits& limits,
                    OnDone on_done);
  // Ends the attempt, within the limit for the connection, and waits for it.
  ~ConnectionAttempt();
  ConnectionAttempt(const ConnectionAttempt&) = delete;
  ConnectionAttempt& operator=(const ConnectionAttempt&) = delete;

  Progress progress() const;

 private:
  Outcome Open();
  Result<void> Handshake(ControllerConnection& connection);
  // Returns false if the attempt has been cancelled.
  bool EnterStep(const char* step, int socket);
  void LeaveSocket();

  const ConnectionEnds& ends_;
  const HandshakeLimits limits_;
  mutable std::mutex mutex_;
  Progress progress_;
  bool cancelled_ = false;
  // The descriptor of the socket after it has been connected, or -1.
  int socket_ = -1;
  std::thread thread_;
};

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_CONNECTION_ATTEMPT_H_
