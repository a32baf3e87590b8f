// Tests of callers that reach a controller which accepts connections slowly.
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/wire/controller_client.h"
#include "cranberryshunt/wire/controller_server.h"
#include "support/loopback.h"

namespace cranberryshunt::wire {

namespace {

constexpr std::uint16_t kPort = 21001;
// How long a caller of the cell waits.
constexpr std::chrono::milliseconds kDeadline{3'000};
constexpr std::chrono::milliseconds kAttempt{900};

sockaddr_in AddressOf(const std::string& ip) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kPort);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Copies what one side sends to the other until a side closes or `stopping`.
void Forward(int client, int server, const std::atomic<bool>& stopping) {
  constexpr int kPollMs = 100;
  std::array<pollfd, 2> sides{{{client, POLLIN, 0}, {server, POLLIN, 0}}};
  std::array<char, 4096> buf{};
  bool open = true;
  while (open && !stopping) {
    poll(sides.data(), sides.size(), kPollMs);
    for (std::size_t i = 0; i < sides.size() && open; ++i) {
      if (sides[i].revents != 0) {
        const auto n = recv(sides[i].fd, buf.data(), buf.size(), 0);
        open = n > 0 && send(sides[1 - i].fd, buf.data(),
                             static_cast<std::size_t>(n), MSG_NOSIGNAL) == n;
      }
    }
  }
  close(client);
  close(server);
}

// Takes connections out of the queue of its listening socket one at a time, as
// a server does whose host is short of processor time, and forwards them.
class SlowAcceptor {
 public:
  SlowAcceptor(const std::string& ip,
               const std::string& target_ip,
               std::chrono::milliseconds accept_time)
      : target_(AddressOf(target_ip)), accept_time_(accept_time) {
    const auto address = AddressOf(ip);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    cr_assert_eq(bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
                 0);
    constexpr int kBacklog = 1024;
    cr_assert_eq(listen(listener_, kBacklog), 0);
    thread_ = std::thread([this] { Run(); });
  }
  ~SlowAcceptor() {
    stopping_ = true;
    thread_.join();
    for (auto& it : forwarders_) {
      it.join();
    }
    close(listener_);
  }
  SlowAcceptor(const SlowAcceptor&) = delete;
  SlowAcceptor& operator=(const SlowAcceptor&) = delete;

 private:
  void Run() {
    constexpr int kPollMs = 20;
    while (!stopping_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (poll(&waiting, 1, kPollMs) <= 0) {
        continue;
      }
      const int client = accept(listener_, nullptr, nullptr);
      std::this_thread::sleep_for(accept_time_);
      const int server = socket(AF_INET, SOCK_STREAM, 0);
      cr_assert_eq(connect(server, reinterpret_cast<const sockaddr*>(&target_),
                           sizeof(target_)),
                   0);
      forwarders_.emplace_back(
          [this, client, server] { Forward(client, server, stopping_); });
    }
  }

  const sockaddr_in target_;
  const std::chrono::milliseconds accept_time_;
  const int listener_ = socket(AF_INET, SOCK_STREAM, 0);
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> forwarders_;
  std::thread thread_;
};

constexpr int kEntries = 40;
constexpr int kCallersPerEntry = 3;

// Calls the controller at `ip` from `kEntries` entries at once. Returns the
// number of callers that were answered before their deadline.
int CallFromAllEntries(const std::string& ip) {
  std::vector<std::unique_ptr<LeaderClient>> entries;
  std::vector<std::thread> callers;
  std::atomic<int> served = 0;
  for (int n = 0; n < kEntries; ++n) {
    entries.push_back(std::make_unique<LeaderClient>(
        std::vector{ip + ":" + std::to_string(kPort)},
        "entry-" + std::to_string(n), "secret"));
    for (int caller = 0; caller < kCallersPerEntry; ++caller) {
      callers.emplace_back([&served, &entry = *entries.back()] {
        const auto result = entry.Run(kDeadline, kAttempt, [](auto& client) {
          ClusterReply reply;
          client.GetCluster(reply);
          return CallStatus{};
        });
        served += result.has_value() ? 1 : 0;
      });
    }
  }
  for (auto& it : callers) {
    it.join();
  }
  return served;
}

std::unique_ptr<ControllerServer> StartServer(ControllerServiceNull& handler,
                                              const std::string& ip) {
  auto server =
      ControllerServer::Start(ip + ":" + std::to_string(kPort), "secret",
                              handler, [](const std::string& /*peer*/) {});
  cr_assert(server.has_value());
  return std::move(*server);
}

}  // namespace

// Load pattern: all entries of a cell lose their connections to the leader at
// once, and it accepts new ones slowly. Guards against entries that never reach
// the leader, because each of them gives up its attempts after a fixed time and
// begins them anew at the end of the queue.
Test(slow_accept, serves_all_callers_that_lost_their_connections) {
  constexpr std::chrono::milliseconds kAcceptTime{20};
  ControllerServiceNull handler;
  const auto server = StartServer(handler, test::LoopbackIp(1));
  const SlowAcceptor acceptor(test::LoopbackIp(0), test::LoopbackIp(1),
                              kAcceptTime);
  cr_expect_eq(CallFromAllEntries(test::LoopbackIp(0)),
               kEntries * kCallersPerEntry);
}

}  // namespace cranberryshunt::wire
