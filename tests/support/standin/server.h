// HTTP side of one simulated worker: the target's routes and announcements.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_STANDIN_SERVER_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_STANDIN_SERVER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "worker.h"

namespace cranberryshunt::test {

struct ServerOptions {
  std::uint16_t port = 0;
  std::string token;
  std::vector<std::string> entries;  // "ip:port", tried in turn.
};

// Serves one worker until destroyed. The constructor ends the process when the
// port cannot be bound.
class WorkerServer {
 public:
  WorkerServer(ServerOptions options, Worker& worker);
  ~WorkerServer();
  WorkerServer(const WorkerServer&) = delete;
  WorkerServer& operator=(const WorkerServer&) = delete;

 private:
  struct Http;  // Hides the header of ulfius.

  void Listen();
  void AnnounceLoop();
  bool Announce(const std::string& entry);

  const ServerOptions options_;
  Worker& worker_;
  std::unique_ptr<Http> http_;
  std::atomic<bool> stopping_ = false;
  void* curl_ = nullptr;
  std::thread announcer_;
};

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_STANDIN_SERVER_H_
