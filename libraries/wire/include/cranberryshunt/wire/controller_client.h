// Authenticated client connections to controllers.
#ifndef CRANBERRYSHUNT_WIRE_CONTROLLER_CLIENT_H_
#define CRANBERRYSHUNT_WIRE_CONTROLLER_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::wire {

class ControllerServiceClient;

// A pool of connections to one controller. Safe for use by several threads;
// each call has a connection to itself.
class ControllerChannel {
 public:
  using Call = std::function<void(ControllerServiceClient&)>;

  // `address` is "ip:port". `own_id` names this process in the peer's logs.
  ControllerChannel(std::string address,
                    std::string own_id,
                    std::string cluster_secret);
  ~ControllerChannel();

  // Runs `call` on an authenticated connection. Each read and write must finish
  // within `timeout`. Fails with kTimeout, kUnavailable or kNotAuthenticated.
  // After a timeout, the connection and every older one are retired, because a
  // middlebox that lost one connection has usually lost the older ones too. The
  // call may have been carried out when it fails.
  Result<void> Run(std::chrono::milliseconds timeout, const Call& call);

  const std::string& address() const { return address_; }

  // Whether no connection could be opened in the last second.
  bool unreachable() const;

 private:
  struct Connection;

  Result<std::unique_ptr<Connection>> Open(std::chrono::milliseconds timeout);
  Result<std::unique_ptr<Connection>> Handshake(
      std::chrono::milliseconds timeout);
  std::unique_ptr<Connection> TakeIdle();
  void RetireUpTo(std::uint64_t sequence);

  const std::string address_;
  const std::string own_id_;
  const std::string cluster_secret_;
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<Connection>> idle_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t retired_up_to_ = 0;
  std::chrono::steady_clock::time_point unreachable_until_{};
};

// What a call tells LeaderClient of its reply.
struct CallStatus {
  int code = 0;
  std::string leader;
};

// Finds the leader among the controllers and sends calls to it.
class LeaderClient {
 public:
  LeaderClient(const std::vector<std::string>& addresses,
               const std::string& own_id,
               const std::string& cluster_secret);
  ~LeaderClient();

  // Adds controllers that are not known yet.
  void AddControllers(const std::vector<std::string>& addresses);

  // Runs `call` on the leader, following not_leader answers and trying other
  // controllers until `deadline` has passed. `call` returns the Status of the
  // reply, through which not_leader is recognised. A call may be repeated, so
  // it must be idempotent. Each attempt is limited to `attempt_timeout`.
  using Call = std::function<CallStatus(ControllerServiceClient&)>;
  Result<void> Run(std::chrono::milliseconds deadline,
                   std::chrono::milliseconds attempt_timeout,
                   const Call& call);

 private:
  std::size_t IndexOf(const std::string& address);
  void ChooseNext(std::size_t tried, const CallStatus& status);

  const std::string own_id_;
  const std::string cluster_secret_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<ControllerChannel>> channels_;
  std::size_t leader_ = 0;
};

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_CONTROLLER_CLIENT_H_
