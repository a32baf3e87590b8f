// HTTP server of one simulated worker, and the sender of its announcements.
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

// Serves one worker and announces it to the entries until destroyed. The
// constructor ends the process when it cannot listen on the port.
class WorkerServer {
 public:
  WorkerServer(ServerOptions options, Worker& worker);
  ~WorkerServer();
  WorkerServer(const WorkerServer&) = delete;
  WorkerServer& operator=(const WorkerServer&) = delete;

 private:
  struct Http;  // Keeps the ulfius header out of this one.

  void Listen();
  void AnnounceLoop();
  // Sends one announcement. Returns false when the entry did not accept it.
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
