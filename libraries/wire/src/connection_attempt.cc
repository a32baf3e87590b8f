#include "connection_attempt.h"

#include <sys/socket.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <utility>

#include "ControllerService.h"
#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/wire/authentication.h"
#include "transport_errors.h"

namespace cranberryshunt::wire {

namespace {

using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;

// Larger frames are refused. The largest frames in use are snapshot chunks and
// batches of log entries.
constexpr std::uint32_t kMaxFrameBytes = 64U << 20;

Result<std::pair<std::string, int>> SplitAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ResultCode::kInvalidSettings, "address is not ip:port",
                address);
  }
  return std::pair(address.substr(0, colon),
                   std::atoi(address.c_str() + colon + 1));
}

}  // namespace

ConnectionAttempt::ConnectionAttempt(const ConnectionEnds& ends,
                                     const HandshakeLimits& limits,
                                     OnDone on_done)
    : ends_(ends),
      limits_(limits),
      thread_([this, done = std::move(on_done)] { done(Open()); }) {}

ConnectionAttempt::~ConnectionAttempt() {
  {
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
    if (socket_ >= 0) {
      shutdown(socket_, SHUT_RDWR);
    }
  }
  thread_.join();
}

ConnectionAttempt::Progress ConnectionAttempt::progress() const {
  const std::lock_guard lock(mutex_);
  return progress_;
}

bool ConnectionAttempt::EnterStep(const char* step, int socket) {
  const std::lock_guard lock(mutex_);
  progress_.step = step;
  progress_.step_begin = std::chrono::steady_clock::now();
  socket_ = socket;
  return !cancelled_;
}

void ConnectionAttempt::LeaveSocket() {
  const std::lock_guard lock(mutex_);
  socket_ = -1;
}

ConnectionAttempt::Outcome ConnectionAttempt::Open() {
  const auto host_port = SplitAddress(ends_.address);
  if (!host_port) {
    return tl::unexpected(host_port.error());
  }
  auto connection = std::make_unique<ControllerConnection>();
  connection->socket =
      std::make_shared<TSocket>(host_port->first, host_port->second);
  connection->socket->setNoDelay(true);
  auto framed =
      std::make_shared<TFramedTransport>(connection->socket, kMaxFrameBytes);
  connection->client = std::make_unique<ControllerServiceClient>(
      std::make_shared<TBinaryProtocol>(framed));
  const auto done =
      CatchTransportErrors([&] { return Handshake(*connection); });
  LeaveSocket();
  if (!done) {
    return tl::unexpected(done.error());
  }
  connection->last_reply = std::chrono::steady_clock::now();
  return connection;
}

Result<void> ConnectionAttempt::Handshake(ControllerConnection& connection) {
  auto& socket = *connection.socket;
  LimitSocket(socket, limits_.connect, SteadyTime::max());
  socket.open();
  const auto deadline = std::chrono::steady_clock::now() + limits_.answer;
  if (!EnterStep("challenge", socket.getSocketFD())) {
    return Fail(ResultCode::kUnavailable, "the attempt was cancelled");
  }
  LimitSocket(socket, limits_.answer, deadline);
  const std::string client_nonce = RandomBytes(kNonceBytes);
  std::string challenge;
  connection.client->Challenge(challenge, ends_.own_id, client_nonce);
  if (challenge.size() <= kNonceBytes) {
    return Fail(ResultCode::kNotAuthenticated, "challenge is too short");
  }
  const std::string server_nonce = challenge.substr(0, kNonceBytes);
  if (!ConstantTimeEquals(challenge.substr(kNonceBytes),
                          ServerProof(ends_.cluster_secret, ends_.own_id,
                                      client_nonce, server_nonce))) {
    return Fail(ResultCode::kNotAuthenticated,
                "controller does not know the cluster secret");
  }
  if (!EnterStep("authenticate", socket.getSocketFD())) {
    return Fail(ResultCode::kUnavailable, "the attempt was cancelled");
  }
  LimitSocket(socket, limits_.answer, deadline);
  std::string ignored;
  connection.client->Authenticate(
      ignored, ClientProof(ends_.cluster_secret, ends_.own_id, client_nonce,
                           server_nonce));
  return {};
}

}  // namespace cranberryshunt::wire
