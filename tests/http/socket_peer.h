// TCP peers for tests of HTTP: a server with scripted answers, and a client
// that sends raw bytes.
#ifndef CRANBERRYSHUNT_TESTS_HTTP_SOCKET_PEER_H_
#define CRANBERRYSHUNT_TESTS_HTTP_SOCKET_PEER_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/loopback.h"

namespace cranberryshunt::http {

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, test::OwnLoopbackIp().c_str(), &address.sin_addr);
  return address;
}

// Waits until `condition` is true or `limit` has passed.
inline void WaitFor(const std::function<bool()>& condition,
                    std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition() && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

// Calls a handler for each complete request (without a body). The handler gets
// the numbers of the connection and of the request on it, both from 1, and
// returns the bytes to send. An empty result leaves the request unanswered, and
// kResetConnection resets the connection.
class ScriptedServer {
 public:
  using Handler = std::function<std::string(int connection, int request)>;
  static constexpr const char* kResetConnection = "reset";

  explicit ScriptedServer(Handler handler)
      : handler_(std::move(handler)), fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    auto address = LoopbackAddress(0);
    socklen_t size = sizeof(address);
    auto* const raw = reinterpret_cast<sockaddr*>(&address);
    if (bind(fd_, raw, size) != 0 || listen(fd_, 64) != 0 ||
        getsockname(fd_, raw, &size) != 0) {
      std::abort();
    }
    url_ = "http://" + test::OwnLoopbackIp() + ":" +
           std::to_string(ntohs(address.sin_port)) + "/";
    thread_ = std::thread([this] { Run(); });
  }
  ~ScriptedServer() {
    stopping_ = true;
    thread_.join();
    for (auto& it : threads_) {
      it.join();
    }
    close(fd_);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  const std::string& url() const { return url_; }
  int accepted_connections() const { return accepted_connections_; }
  // Closes the connections whose handler is not running.
  void CloseIdleConnections() { ++close_round_; }
  // Makes further connections be refused.
  void RefuseConnections() { shutdown(fd_, SHUT_RDWR); }

 private:
  // Waits for a short time. Returns whether there is something to read or
  // accept.
  static bool WaitUntilReadable(int fd) {
    constexpr int kPollMs = 5;
    pollfd descriptor{fd, POLLIN, 0};
    return poll(&descriptor, 1, kPollMs) > 0;
  }
  void Run() {
    while (!stopping_) {
      if (!WaitUntilReadable(fd_)) {
        continue;
      }
      const int accepted = accept(fd_, nullptr, nullptr);
      if (accepted < 0) {
        return;  // After RefuseConnections().
      }
      const int n = ++accepted_connections_;
      threads_.emplace_back([this, accepted, n] { Serve(accepted, n); });
    }
  }
  void Serve(int fd, int connection) {
    std::string received;
    int requests = 0;
    const int round = close_round_;
    while (!stopping_ && round == close_round_) {
      if (!WaitUntilReadable(fd)) {
        continue;
      }
      std::array<char, 4096> buf{};
      const auto n = recv(fd, buf.data(), buf.size(), 0);
      if (n <= 0) {
        break;
      }
      received.append(buf.data(), static_cast<std::size_t>(n));
      const auto end = received.find("\r\n\r\n");
      if (end == std::string::npos) {
        continue;
      }
      received.erase(0, end + 4);
      const auto answer = handler_(connection, ++requests);
      if (answer == kResetConnection) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        break;
      }
      (void)!send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
    close(fd);
  }

  const Handler handler_;
  const int fd_;
  std::string url_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> accepted_connections_ = 0;
  std::atomic<int> close_round_ = 0;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

// A client connection that sends raw bytes.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const auto address = LoopbackAddress(port);
    connected_ = connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  }
  ~RawClient() { close(fd_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }
  void Send(const std::string& text) const {
    (void)!send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
  }
  // Returns whether the server closes the connection within `limit`. Appends
  // the data that arrives before to `received`.
  bool IsClosedWithin(std::chrono::milliseconds limit) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until) {
      constexpr int kPollMs = 10;
      pollfd descriptor{fd_, POLLIN, 0};
      if (poll(&descriptor, 1, kPollMs) <= 0) {
        continue;
      }
      std::array<char, 4096> buf{};
      const auto n = recv(fd_, buf.data(), buf.size(), 0);
      if (n <= 0) {
        return true;
      }
      received.append(buf.data(), static_cast<std::size_t>(n));
    }
    return false;
  }

  std::string received;

 private:
  const int fd_;
  bool connected_ = false;
};

}  // namespace cranberryshunt::http

#endif  // CRANBERRYSHUNT_TESTS_HTTP_SOCKET_PEER_H_
