// A target on loopback whose answers and faults are set by the test.
#ifndef CRANBERRYSHUNT_TESTS_TARGETS_FAKE_TARGET_H_
#define CRANBERRYSHUNT_TESTS_TARGETS_FAKE_TARGET_H_

#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/targets/json_reader.h"

namespace cranberryshunt::targets {

struct FakeAnswer {
  int status = 200;
  std::string body;
  // If below the size of the body: sends only this many bytes of it and closes
  // the connection.
  std::size_t truncate_after = std::string::npos;
};

// Renders a task record as JSON, with the length and checksum of `answer`.
inline std::string RenderTaskRecord(const std::string& job_id,
                                    const std::string& answer,
                                    int attempt = 1,
                                    const char* state = "done") {
  const JsonPtr record(json_pack(
      "{s:s, s:i, s:i, s:s, s:s, s:I, s:I}", "job_id", job_id.c_str(), "index",
      0, "attempt", attempt, "state", state, "answer", answer.c_str(),
      "answer_length", static_cast<json_int_t>(answer.size()), "answer_crc32",
      static_cast<json_int_t>(Crc32(answer))));
  return RenderJson(record.get());
}

class FakeTarget {
 public:
  using Handler =
      std::function<FakeAnswer(const std::string& path, json_t* body)>;

  explicit FakeTarget(Handler handler) : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    const bool bound =
        0 == bind(listener_, reinterpret_cast<sockaddr*>(&address), length);
    if (!bound || listen(listener_, 256) != 0) {
      std::abort();
    }
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    acceptor_ = std::thread([this] { AcceptConnections(); });
  }

  ~FakeTarget() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    {
      std::lock_guard lock(mutex_);
      for (const int fd : sockets_) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    for (auto& thread : threads_) {
      thread.join();
    }
    close(listener_);
  }

  const std::string& address() const { return address_; }
  int accepted_connections() const { return accepted_connections_; }
  // Highest number of connections that were open at the same time.
  int max_open_connections() const { return max_open_connections_; }
  // Makes the connections that are open now ignore requests. They stay open,
  // but send no more answers. New connections work.
  void SilenceOpenConnections() {
    last_silenced_connection_ = accepted_connections_.load();
  }

 private:
  void AcceptConnections() {
    for (;;) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0 || stopping_) {
        return;
      }
      std::lock_guard lock(mutex_);
      sockets_.push_back(fd);
      threads_.emplace_back([this, fd, number = ++accepted_connections_] {
        max_open_connections_ =
            std::max(max_open_connections_.load(), ++open_connections_);
        Serve(fd, number);
        --open_connections_;
        close(fd);
      });
    }
  }

  // Reads one request. Returns false if the connection was closed.
  static bool ReadRequest(int fd,
                          std::string& buffer,
                          std::string& path,
                          std::string& body) {
    for (;;) {
      const auto head = buffer.find("\r\n\r\n");
      if (head != std::string::npos) {
        const auto field = buffer.find("Content-Length: ");
        const std::size_t length = std::stoul(buffer.substr(field + 16));
        if (buffer.size() >= head + 4 + length) {
          path = buffer.substr(5, buffer.find(' ', 5) - 5);
          body = buffer.substr(head + 4, length);
          buffer.erase(0, head + 4 + length);
          return true;
        }
      }
      char chunk[4096];
      const auto n = recv(fd, chunk, sizeof(chunk), 0);
      if (n <= 0) {
        return false;
      }
      buffer.append(chunk, static_cast<std::size_t>(n));
    }
  }

  void Serve(int fd, int number) {
    std::string buffer;
    std::string path;
    std::string body;
    while (ReadRequest(fd, buffer, path, body)) {
      if (number <= last_silenced_connection_) {
        continue;
      }
      const JsonPtr json(json_loadb(body.data(), body.size(), 0, nullptr));
      const FakeAnswer answer = handler_(path, json.get());
      if (number <= last_silenced_connection_) {
        continue;
      }
      std::string out =
          "HTTP/1.1 " + std::to_string(answer.status) +
          " X\r\nContent-Length: " + std::to_string(answer.body.size()) +
          "\r\n\r\n" + answer.body.substr(0, answer.truncate_after);
      send(fd, out.data(), out.size(), MSG_NOSIGNAL);
      if (answer.truncate_after < answer.body.size()) {
        return;
      }
    }
  }

  const Handler handler_;
  std::string address_;
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> accepted_connections_ = 0;
  std::atomic<int> open_connections_ = 0;
  std::atomic<int> max_open_connections_ = 0;
  std::atomic<int> last_silenced_connection_ = 0;
  std::mutex mutex_;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TESTS_TARGETS_FAKE_TARGET_H_
