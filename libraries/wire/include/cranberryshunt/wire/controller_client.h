// Authenticated client connections to controllers.
#ifndef CRANBERRYSHUNT_WIRE_CONTROLLER_CLIENT_H_
#define CRANBERRYSHUNT_WIRE_CONTROLLER_CLIENT_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::wire {

class ControllerServiceClient;

// A pool of connections to one controller. Safe for use by several threads:
// calls that run at the same time use separate connections.
class ControllerChannel {
 public:
  using Call = std::function<void(ControllerServiceClient&)>;
  using TimePoint = std::chrono::steady_clock::time_point;

  // Enough for a few round trips between regions. It is short, because a host
  // that cannot be reached delays a call that another controller could answer.
  static constexpr std::chrono::milliseconds kDefaultHandshakeTimeout{300};

  // `address` is "ip:port". `own_id` names this process in the peer's logs.
  // Each step of opening a connection must finish within `handshake_timeout`.
  ControllerChannel(
      std::string address,
      std::string own_id,
      std::string cluster_secret,
      std::chrono::milliseconds handshake_timeout = kDefaultHandshakeTimeout);
  ~ControllerChannel();

  // Runs `call` on an authenticated connection. Each read and write, and the
  // wait for a connection, must finish within `timeout`. Fails with kTimeout,
  // kUnavailable or kNotAuthenticated, or with kInvalidSettings if the address
  // is not "ip:port". The controller may have executed a call that fails. After
  // a transport error, such as a timeout, the connection and all others on
  // which nothing was answered since the call began are closed, because a
  // middlebox that lost the state of one connection has usually lost that of
  // others too.
  Result<void> Run(std::chrono::milliseconds timeout, const Call& call);
  // The same, but ends at `deadline`. The call is not sent after it.
  Result<void> Run(std::chrono::milliseconds timeout,
                   TimePoint deadline,
                   const Call& call);

  const std::string& address() const { return address_; }

  // Whether an attempt to open a connection failed within the last second, and
  // no call was answered since that attempt began.
  bool unreachable() const;

 private:
  struct Connection;
  struct HandshakeProgress;

  Result<std::unique_ptr<Connection>> OpenConnection(
      std::chrono::milliseconds timeout,
      TimePoint deadline);
  Result<std::unique_ptr<Connection>> Handshake(
      std::chrono::milliseconds timeout,
      TimePoint deadline,
      HandshakeProgress& progress);
  Result<std::unique_ptr<Connection>> TakeIdleConnection(TimePoint deadline);
  // Requires `mutex_` to be locked.
  void ReturnConnection(std::unique_ptr<Connection> connection);
  void CloseConnectionsWithoutReplySince(
      std::chrono::steady_clock::time_point time);
  void LogUnreachable(const Error& error,
                      const HandshakeProgress& progress,
                      TimePoint now) const;

  const std::string address_;
  const std::string own_id_;
  const std::string cluster_secret_;
  const std::chrono::milliseconds handshake_timeout_;
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<Connection>> idle_;
  // Signals an idle connection and the end of an attempt to open one.
  std::condition_variable changed_;
  // How many calls are opening a connection, and how many attempts have shown
  // that the controller is unreachable.
  std::size_t opening_ = 0;
  std::uint64_t failures_ = 0;
  std::optional<std::chrono::steady_clock::time_point> last_reply_;
  std::chrono::steady_clock::time_point unreachable_until_{};
};

// The fields of a reply's Status that LeaderClient needs to find the leader.
struct CallStatus {
  int code = 0;
  std::string leader;  // "ip:port" of the leader; empty if it is not known.
};

// Finds the leader among the controllers and sends calls to it. Safe for use by
// several threads.
class LeaderClient {
 public:
  LeaderClient(const std::vector<std::string>& addresses,
               const std::string& own_id,
               const std::string& cluster_secret);
  ~LeaderClient();

  // Adds controllers that are not known yet.
  void AddControllers(const std::vector<std::string>& addresses);

  // Runs `call` on the leader; `call` returns the status of its reply. A call
  // that fails or is answered with kNotLeader is repeated until `timeout` has
  // passed: on the leader that the reply names, on another controller or, after
  // a timeout, on a new connection to the same one. It must therefore be
  // idempotent. Each read and write is limited to `attempt_timeout`. Fails with
  // the error of the last attempt; that is kNoLeader for a kNotLeader reply.
  using Call = std::function<CallStatus(ControllerServiceClient&)>;
  Result<void> Run(std::chrono::milliseconds timeout,
                   std::chrono::milliseconds attempt_timeout,
                   const Call& call);
  // Like Run(). `call` also gets the address of the controller.
  using CallAt = std::function<CallStatus(ControllerServiceClient&,
                                          const std::string& controller)>;
  Result<void> RunAt(std::chrono::milliseconds timeout,
                     std::chrono::milliseconds attempt_timeout,
                     const CallAt& call);

 private:
  std::size_t FindOrAddChannel(const std::string& address);
  void ChooseNextController(std::size_t tried, const CallStatus& status);

  const std::string own_id_;
  const std::string cluster_secret_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<ControllerChannel>> channels_;
  std::size_t leader_ = 0;
};

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_CONTROLLER_CLIENT_H_
