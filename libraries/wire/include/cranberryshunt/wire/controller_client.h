// Authenticated client connections to controllers.
#ifndef CRANBERRYSHUNT_WIRE_CONTROLLER_CLIENT_H_
#define CRANBERRYSHUNT_WIRE_CONTROLLER_CLIENT_H_

#include <atomic>
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

class ConnectionAttempt;
class ControllerServiceClient;
struct ConnectionEnds;
struct ControllerConnection;

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
  // A call waits up to `handshake_timeout` for a connection to a controller
  // that answers nothing meanwhile. The attempt to open the connection goes on
  // for later calls: if it were begun anew, a controller that is behind with
  // new connections would get to none of them in time.
  ControllerChannel(
      std::string address,
      std::string own_id,
      std::string cluster_secret,
      std::chrono::milliseconds handshake_timeout = kDefaultHandshakeTimeout);
  ~ControllerChannel();
  ControllerChannel(const ControllerChannel&) = delete;
  ControllerChannel& operator=(const ControllerChannel&) = delete;

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

  const std::string& address() const;

  // Whether a call waited in vain for a connection within the last second, and
  // nothing was answered since that call began.
  bool unreachable() const;

 private:
  using ConnectionPointer = std::unique_ptr<ControllerConnection>;

  Result<ConnectionPointer> TakeConnection(std::chrono::milliseconds timeout,
                                           TimePoint deadline);
  // Returns null if no connection is to be had until `deadline`.
  Result<ConnectionPointer> WaitForConnection(
      std::unique_lock<std::mutex>& lock,
      TimePoint patience_end,
      TimePoint deadline);
  void OnAttemptDone(std::uint64_t id, Result<ConnectionPointer> outcome);
  void CloseConnectionsWithoutReplySince(TimePoint time);

  // The following require `mutex_` to be locked.
  void StartAttempt(TimePoint now);
  std::size_t attempts_under_way() const;
  bool AnsweredSince(TimePoint time) const;
  void MarkUnreachable(const Error& error, TimePoint now);
  void ReturnConnection(ConnectionPointer connection);

  struct Attempt;

  const std::unique_ptr<const ConnectionEnds> ends_;
  const std::chrono::milliseconds handshake_timeout_;
  mutable std::mutex mutex_;
  std::vector<ConnectionPointer> idle_;
  // Signals an idle connection and the end of an attempt.
  std::condition_variable changed_;
  // Calls that wait for a connection.
  std::size_t waiting_ = 0;
  std::vector<std::unique_ptr<Attempt>> attempts_;
  std::uint64_t last_attempt_id_ = 0;
  TimePoint next_attempt_{};
  // How long the next attempt may take.
  std::chrono::milliseconds attempt_limit_;
  // How many attempts have shown that the controller is unreachable, and the
  // error of the last one.
  std::uint64_t failures_ = 0;
  std::optional<Error> last_failure_;
  std::optional<TimePoint> last_reply_;
  TimePoint unreachable_until_{};
};

// The fields of a reply's Status that LeaderClient needs to find the leader.
struct CallStatus {
  int code = 0;
  std::string leader;  // "ip:port" of the leader; empty if it is not known.
};

// An attempt of LeaderClient to call the leader.
struct LeaderAttemptReport {
  bool served = false;  // The controller replied as the leader.
  // The controller is not the leader and named another one, which is not known
  // to be unreachable.
  bool redirected = false;
  // Number of failed attempts of the same call before it.
  std::size_t number = 0;
  std::chrono::steady_clock::time_point begin;
};

// What LeaderClient does after a failed attempt. With kRetryOther it goes on to
// another controller also after a timeout.
enum class RetryStep { kPause, kRetryNow, kRetryOther, kGiveUp };

// Finds the leader among the controllers and sends calls to it. Safe for use by
// several threads.
class LeaderClient {
 public:
  LeaderClient(const std::vector<std::string>& addresses,
               const std::string& own_id,
               const std::string& cluster_secret);
  ~LeaderClient();

  // `observer` is told of each attempt when it has ended, from any thread. To
  // be called before the first call.
  using AttemptObserver = std::function<void(const LeaderAttemptReport&)>;
  void ObserveAttempts(AttemptObserver observer);

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
  // Like RunAt(). After each failed attempt `next_step` says how to go on; it
  // may block. After kGiveUp the result is the error of the last attempt.
  using NextStep = std::function<RetryStep(const LeaderAttemptReport& failed)>;
  Result<void> RunAt(std::chrono::milliseconds timeout,
                     std::chrono::milliseconds attempt_timeout,
                     const CallAt& call,
                     const NextStep& next_step);

 private:
  std::size_t FindOrAddChannel(const std::string& address);
  void ChooseNextController(std::size_t tried, const CallStatus& status);
  void ReportAttempt(const LeaderAttemptReport& report) const;
  void Pause(std::chrono::milliseconds duration);
  void EndPauses();
  // Whether the reply of a controller that is not the leader names another one
  // that is not known to be unreachable.
  bool RedirectsFrom(const ControllerChannel& channel,
                     const CallStatus& status);

  const std::string own_id_;
  const std::string cluster_secret_;
  AttemptObserver observer_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<ControllerChannel>> channels_;
  std::size_t leader_ = 0;
  // Calls that wait for their next attempt.
  std::atomic<std::size_t> pausing_ = 0;
  std::condition_variable served_;
  std::uint64_t served_while_pausing_ = 0;
};

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_CONTROLLER_CLIENT_H_
