#include "cranberryshunt/wire/controller_client.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "ControllerService.h"
#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/authentication.h"

namespace cranberryshunt::wire {

namespace {

using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransportException;

// Larger frames are refused. The largest frames in use are snapshot chunks and
// batches of log entries.
constexpr std::uint32_t kMaxFrameBytes = 64U << 20;
// For this time after a failed connection attempt, replies that name the
// controller as the leader are ignored.
constexpr std::chrono::seconds kUnreachablePeriod{1};
constexpr std::chrono::milliseconds kRetryPause{25};
// The pause grows to this, because the calls that wait for a leader would
// otherwise take the processor time of all controllers.
constexpr std::chrono::milliseconds kMaxRetryPause{200};
constexpr std::size_t kMaxIdleConnections = 64;
// How many calls open a connection to the same controller at a time. The others
// wait for a connection, since a controller that many callers reach at once
// answers none of them in time.
constexpr std::size_t kMaxOpening = 2;
constexpr std::size_t kAttemptsBeforePause = 2;

Result<std::pair<std::string, int>> SplitAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ResultCode::kInvalidSettings, "address is not ip:port",
                address);
  }
  return std::pair(address.substr(0, colon),
                   std::atoi(address.c_str() + colon + 1));
}

std::chrono::milliseconds RemainingUntil(
    std::chrono::steady_clock::time_point deadline) {
  return std::chrono::ceil<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
}

ResultCode ToResultCode(const TTransportException& error) {
  return error.getType() == TTransportException::TIMED_OUT
             ? ResultCode::kTimeout
             : ResultCode::kUnavailable;
}

// Limits each read and write to `timeout` and to the time until `deadline`.
void SetTimeout(TSocket& socket,
                std::chrono::milliseconds timeout,
                std::chrono::steady_clock::time_point deadline) {
  const auto remaining = RemainingUntil(deadline);
  if (remaining <= std::chrono::milliseconds::zero()) {
    throw TTransportException(TTransportException::TIMED_OUT,
                              "the deadline has passed");
  }
  const auto limit = static_cast<int>(std::min(timeout, remaining).count());
  socket.setConnTimeout(limit);
  socket.setRecvTimeout(limit);
  socket.setSendTimeout(limit);
}

}  // namespace

// The steps of a connection attempt and when the last one began.
struct ControllerChannel::HandshakeProgress {
  const char* step = "connect";
  TimePoint begin = std::chrono::steady_clock::now();
  TimePoint step_begin = begin;

  void Enter(const char* name) {
    step = name;
    step_begin = std::chrono::steady_clock::now();
  }
};

struct ControllerChannel::Connection {
  std::chrono::steady_clock::time_point last_reply;
  std::shared_ptr<TSocket> socket;
  std::unique_ptr<ControllerServiceClient> client;
};

ControllerChannel::ControllerChannel(
    std::string address,
    std::string own_id,
    std::string cluster_secret,
    std::chrono::milliseconds handshake_timeout)
    : address_(std::move(address)),
      own_id_(std::move(own_id)),
      cluster_secret_(std::move(cluster_secret)),
      handshake_timeout_(handshake_timeout) {}

ControllerChannel::~ControllerChannel() = default;

// Returns an idle connection, or null if the caller is to open one. Waits while
// enough calls are opening connections.
Result<std::unique_ptr<ControllerChannel::Connection>>
ControllerChannel::TakeIdleConnection(TimePoint deadline) {
  std::unique_lock lock(mutex_);
  const auto failures = failures_;
  const bool ready = changed_.wait_until(lock, deadline, [&] {
    return !idle_.empty() || opening_ < kMaxOpening || failures_ != failures;
  });
  if (!ready) {
    return Fail(ResultCode::kTimeout, "no connection became free");
  }
  if (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    return connection;
  }
  if (failures_ != failures) {
    return Fail(ResultCode::kUnavailable, "no connection could be opened");
  }
  ++opening_;
  return nullptr;
}

void ControllerChannel::CloseConnectionsWithoutReplySince(
    std::chrono::steady_clock::time_point time) {
  const std::lock_guard lock(mutex_);
  std::erase_if(idle_, [&](const auto& connection) {
    return connection->last_reply < time;
  });
}

bool ControllerChannel::unreachable() const {
  std::lock_guard lock(mutex_);
  return std::chrono::steady_clock::now() < unreachable_until_;
}

Result<std::unique_ptr<ControllerChannel::Connection>>
ControllerChannel::OpenConnection(std::chrono::milliseconds timeout,
                                  TimePoint deadline) {
  HandshakeProgress progress;
  auto connection =
      Handshake(std::min(timeout, handshake_timeout_), deadline, progress);
  std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  // A caller without time left learns nothing about the controller.
  const bool out_of_time = now >= deadline;
  const bool answers =
      connection || (last_reply_ && *last_reply_ >= progress.begin);
  const bool failed = !answers && !out_of_time;
  if (failed && now >= unreachable_until_) {
    LogUnreachable(connection.error(), progress, now);
  }
  if (answers) {
    unreachable_until_ = now;
  } else if (failed) {
    unreachable_until_ = now + kUnreachablePeriod;
    ++failures_;
  }
  --opening_;
  changed_.notify_all();
  return connection;
}

void ControllerChannel::LogUnreachable(const Error& error,
                                       const HandshakeProgress& progress,
                                       TimePoint now) const {
  const auto to_ms = [](auto duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
        .count();
  };
  Log(LogLevel::kInfo, "wire", "controller is not reachable",
      {{"controller", address_},
       {"error", error.message()},
       {"step", progress.step},
       {"earlier_steps_ms", to_ms(progress.step_begin - progress.begin)},
       {"step_ms", to_ms(now - progress.step_begin)},
       {"opening", opening_},
       {"idle", idle_.size()},
       {"last_reply_ms", last_reply_ ? to_ms(now - *last_reply_) : -1}});
}

Result<std::unique_ptr<ControllerChannel::Connection>>
ControllerChannel::Handshake(std::chrono::milliseconds timeout,
                             TimePoint deadline,
                             HandshakeProgress& progress) {
  const auto host_port = SplitAddress(address_);
  if (!host_port) {
    return tl::unexpected(host_port.error());
  }
  auto connection = std::make_unique<Connection>();
  connection->socket =
      std::make_shared<TSocket>(host_port->first, host_port->second);
  connection->socket->setNoDelay(true);
  auto framed =
      std::make_shared<TFramedTransport>(connection->socket, kMaxFrameBytes);
  connection->client = std::make_unique<ControllerServiceClient>(
      std::make_shared<TBinaryProtocol>(framed));
  try {
    SetTimeout(*connection->socket, timeout, deadline);
    connection->socket->open();
    progress.Enter("challenge");
    SetTimeout(*connection->socket, timeout, deadline);
    const std::string client_nonce = RandomBytes(kNonceBytes);
    std::string challenge;
    connection->client->Challenge(challenge, own_id_, client_nonce);
    if (challenge.size() <= kNonceBytes) {
      return Fail(ResultCode::kNotAuthenticated, "challenge is too short");
    }
    const std::string server_nonce = challenge.substr(0, kNonceBytes);
    if (!ConstantTimeEquals(challenge.substr(kNonceBytes),
                            ServerProof(cluster_secret_, own_id_, client_nonce,
                                        server_nonce))) {
      return Fail(ResultCode::kNotAuthenticated,
                  "controller does not know the cluster secret");
    }
    progress.Enter("authenticate");
    SetTimeout(*connection->socket, timeout, deadline);
    std::string ignored;
    connection->client->Authenticate(
        ignored,
        ClientProof(cluster_secret_, own_id_, client_nonce, server_nonce));
  } catch (const NotAuthenticated& error) {
    return Fail(ResultCode::kNotAuthenticated, error.message);
  } catch (const TTransportException& error) {
    return Fail(ToResultCode(error), error.what());
  } catch (const apache::thrift::TException& error) {
    return Fail(ResultCode::kUnavailable, error.what());
  }
  return connection;
}

Result<void> ControllerChannel::Run(std::chrono::milliseconds timeout,
                                    const Call& call) {
  return Run(timeout, std::chrono::steady_clock::now() + 2 * timeout, call);
}

Result<void> ControllerChannel::Run(std::chrono::milliseconds timeout,
                                    TimePoint deadline,
                                    const Call& call) {
  auto taken = TakeIdleConnection(
      std::min(deadline, std::chrono::steady_clock::now() + timeout));
  if (taken && *taken == nullptr) {
    taken = OpenConnection(timeout, deadline);
  }
  if (!taken) {
    return tl::unexpected(taken.error());
  }
  auto connection = std::move(*taken);
  const auto begin = std::chrono::steady_clock::now();
  if (begin >= deadline) {
    const std::lock_guard lock(mutex_);
    ReturnConnection(std::move(connection));
    return Fail(ResultCode::kTimeout, "the deadline has passed");
  }
  try {
    SetTimeout(*connection->socket, timeout, deadline);
    call(*connection->client);
  } catch (const TTransportException& error) {
    CloseConnectionsWithoutReplySince(begin);
    return Fail(ToResultCode(error), error.what());
  } catch (const apache::thrift::TException& error) {
    return Fail(ResultCode::kUnavailable, error.what());
  }
  std::lock_guard lock(mutex_);
  connection->last_reply = std::chrono::steady_clock::now();
  last_reply_ = connection->last_reply;
  unreachable_until_ = connection->last_reply;
  ReturnConnection(std::move(connection));
  return {};
}

void ControllerChannel::ReturnConnection(
    std::unique_ptr<Connection> connection) {
  if (idle_.size() < kMaxIdleConnections) {
    idle_.push_back(std::move(connection));
    changed_.notify_one();
  }
}

LeaderClient::LeaderClient(const std::vector<std::string>& addresses,
                           const std::string& own_id,
                           const std::string& cluster_secret)
    : own_id_(own_id), cluster_secret_(cluster_secret) {
  for (const auto& address : addresses) {
    channels_.push_back(
        std::make_shared<ControllerChannel>(address, own_id, cluster_secret));
  }
}

LeaderClient::~LeaderClient() = default;

void LeaderClient::AddControllers(const std::vector<std::string>& addresses) {
  std::lock_guard lock(mutex_);
  for (const auto& it : addresses) {
    FindOrAddChannel(it);
  }
}

std::size_t LeaderClient::FindOrAddChannel(const std::string& address) {
  for (std::size_t i = 0; i < channels_.size(); ++i) {
    if (channels_[i]->address() == address) {
      return i;
    }
  }
  // A controller that joined the cell after the start of this process is not in
  // its settings.
  channels_.push_back(
      std::make_shared<ControllerChannel>(address, own_id_, cluster_secret_));
  return channels_.size() - 1;
}

// Chooses the controller for the next attempt: the leader that `status` names,
// or else the next reachable one after `tried`. Followers name the old leader
// until they have elected another one, so a leader that cannot be reached is
// ignored.
void LeaderClient::ChooseNextController(std::size_t tried,
                                        const CallStatus& status) {
  std::lock_guard lock(mutex_);
  if (!status.leader.empty()) {
    const auto named = FindOrAddChannel(status.leader);
    if (!channels_[named]->unreachable()) {
      leader_ = named;
      return;
    }
  }
  if (leader_ % channels_.size() != tried) {
    return;  // Another thread has already chosen another controller.
  }
  for (std::size_t n = 1; n <= channels_.size(); ++n) {
    leader_ = (tried + n) % channels_.size();
    if (!channels_[leader_]->unreachable()) {
      return;
    }
  }
  leader_ = (tried + 1) % channels_.size();
}

Result<void> LeaderClient::Run(std::chrono::milliseconds timeout,
                               std::chrono::milliseconds attempt_timeout,
                               const Call& call) {
  return RunAt(timeout, attempt_timeout,
               [&](auto& client, const std::string& /*address*/) {
                 return call(client);
               });
}

Result<void> LeaderClient::RunAt(std::chrono::milliseconds timeout,
                                 std::chrono::milliseconds attempt_timeout,
                                 const CallAt& call) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  Error last_error(ResultCode::kNoLeader, "no controller answered as leader");
  std::shared_ptr<ControllerChannel> timed_out_before;
  for (std::size_t attempt = 0;; ++attempt) {
    const auto remaining = RemainingUntil(deadline);
    if (remaining <= std::chrono::milliseconds::zero()) {
      return tl::unexpected(last_error);
    }
    std::shared_ptr<ControllerChannel> channel;
    std::size_t index = 0;
    {
      std::lock_guard lock(mutex_);
      index = leader_ % channels_.size();
      channel = channels_[index];
    }
    CallStatus status;
    const auto call_result = channel->Run(
        attempt_timeout, deadline,
        [&](auto& client) { status = call(client, channel->address()); });
    const auto code = static_cast<ResultCode>(status.code);
    if (call_result && code != ResultCode::kNotLeader) {
      return {};
    }
    last_error = call_result ? Error(ResultCode::kNoLeader,
                                     "controller is not the leader")
                             : call_result.error();
    // After a timeout, only the connection may be dead. The next attempt opens
    // a new one to the same controller. If that one is not answered either, the
    // controller itself may be stuck.
    const bool timed_out =
        !call_result && call_result.error().code() == ResultCode::kTimeout;
    const bool retry_same =
        timed_out && timed_out_before != channel && !channel->unreachable();
    timed_out_before = timed_out ? channel : nullptr;
    if (!retry_same) {
      ChooseNextController(index, status);
    }
    const bool leader_named = !status.leader.empty();
    // During an election, controllers may name each other as leader. Retrying
    // at once each time would be a busy loop.
    if ((!leader_named && !retry_same) || attempt >= kAttemptsBeforePause) {
      const auto pause = std::min(
          kMaxRetryPause, kRetryPause * static_cast<int>(1 + attempt / 2));
      std::this_thread::sleep_for(std::min(remaining, pause));
    }
  }
}

}  // namespace cranberryshunt::wire
