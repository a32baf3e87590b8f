// Tests of the connections to a controller that is slow to accept new ones.
#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/wire/controller_client.h"
#include "cranberryshunt/wire/controller_server.h"
#include "support/fault_proxy.h"
#include "support/loopback.h"

namespace cranberryshunt::wire {

namespace {

constexpr std::chrono::milliseconds kTimeout{2'000};
constexpr char kServer[] = "controller";

class RecordingHandler final : public ControllerServiceNull {
 public:
  void GetCluster(ClusterReply& /*reply*/) override {
    const std::lock_guard lock(mutex);
    threads.insert(std::this_thread::get_id());
  }

  std::mutex mutex;
  // The server has a thread for each connection.
  std::set<std::thread::id> threads;
};

void CallCluster(ControllerServiceClient& client) {
  ClusterReply reply;
  client.GetCluster(reply);
}

// A controller behind a proxy that injects faults.
struct Fixture {
  Fixture()
      : proxy([](std::uint16_t, std::uint16_t) { return std::string(); }),
        address(test::LoopbackIp(0) + ":21000"),
        channel(address, "e1", "secret") {
    const auto target = test::LoopbackIp(1) + ":21000";
    auto started = ControllerServer::Start(target, "secret", handler,
                                           [](const std::string& /*peer*/) {});
    cr_assert(started.has_value());
    server = std::move(*started);
    cr_assert(proxy.ListenAt(kServer, address, target));
  }

  const test::Link to_server{"", kServer};
  RecordingHandler handler;
  std::unique_ptr<ControllerServer> server;
  test::FaultProxy proxy;
  const std::string address;
  ControllerChannel channel;
};

}  // namespace

// Guards against calls that avoid a leader which answers, because one new
// connection to it could not be opened.
Test(controller_channel, reachable_while_it_answers) {
  Fixture it;
  const auto result = it.channel.Run(kTimeout, [&](auto& client) {
    it.proxy.Freeze(it.to_server, test::Direction::kBoth);
    std::thread other([&] {
      cr_expect_not(it.channel.Run(kTimeout, CallCluster).has_value());
    });
    other.join();
    cr_expect(it.channel.unreachable());
    it.proxy.Heal(it.to_server);
    CallCluster(client);
  });
  cr_assert(result.has_value());
  cr_expect_not(it.channel.unreachable());
}

// Load pattern: many calls wait for a new leader and reach it at the same
// moment. Guards against a connection for each of them, which the leader of a
// large cell cannot open in time.
Test(controller_channel, shares_connections_among_waiting_calls) {
  constexpr int kCallers = 40;
  constexpr std::chrono::milliseconds kOneWay{5};
  Fixture it;
  it.proxy.Delay(it.to_server, kOneWay);
  std::atomic<int> answered = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int n = 0; n < kCallers; ++n) {
    callers.emplace_back([&] {
      answered += it.channel.Run(kTimeout, CallCluster).has_value() ? 1 : 0;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  cr_expect_eq(answered.load(), kCallers);
  cr_expect_leq(it.handler.threads.size(), kCallers / 2);
}

// Guards against callers that never reach a controller far away or short of
// processor time, because each attempt to connect is given up and begun again.
Test(controller_channel, keeps_a_handshake_that_outlasts_a_call) {
  // A round trip is longer than the default handshake timeout.
  constexpr std::chrono::milliseconds kOneWay{200};
  constexpr std::chrono::seconds kLimit{3};
  Fixture it;
  it.proxy.Delay(it.to_server, kOneWay);
  const auto end = std::chrono::steady_clock::now() + kLimit;
  bool answered = false;
  while (!answered && std::chrono::steady_clock::now() < end) {
    answered = it.channel.Run(kTimeout, CallCluster).has_value();
  }
  cr_expect(answered);
  cr_expect_not(it.channel.unreachable());
}

// Guards against calls that wait one after another for a controller to which no
// connection can be opened.
Test(controller_channel, waiting_calls_fail_together) {
  constexpr int kCallers = 20;
  Fixture it;
  it.proxy.Freeze(it.to_server, test::Direction::kBoth);
  const auto begin = std::chrono::steady_clock::now();
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int n = 0; n < kCallers; ++n) {
    callers.emplace_back([&] {
      cr_expect_not(it.channel.Run(kTimeout, CallCluster).has_value());
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  cr_expect_lt(std::chrono::steady_clock::now() - begin, kTimeout);
}

// Guards against a refusal that reaches the caller after its deadline, because
// each step of a call over a slow link had the whole time.
Test(leader_client, ends_at_the_deadline) {
  constexpr std::chrono::milliseconds kDeadline{500};
  constexpr std::chrono::milliseconds kOneWay{120};
  constexpr std::chrono::milliseconds kMargin{150};
  Fixture it;
  it.proxy.Delay(it.to_server, kOneWay);
  LeaderClient leader({it.address}, "e1", "secret");
  const auto begin = std::chrono::steady_clock::now();
  (void)leader.Run(kDeadline, kTimeout, [](auto& client) {
    CallCluster(client);
    return CallStatus{};
  });
  cr_expect_lt(std::chrono::steady_clock::now() - begin, kDeadline + kMargin);
}

// Guards against a controller that is avoided by all callers, because one of
// them had too little time left to open a connection to it.
Test(controller_channel, late_caller_does_not_hide_the_controller) {
  constexpr std::chrono::milliseconds kTimeLeft{20};
  Fixture it;
  it.proxy.Delay(it.to_server, kTimeLeft);
  const auto deadline = std::chrono::steady_clock::now() + kTimeLeft;
  cr_expect_not(it.channel.Run(kTimeout, deadline, CallCluster).has_value());
  cr_expect_not(it.channel.unreachable());
}

// Guards against calls that stay with a paused leader, because their attempts
// are as short as the handshake may take.
Test(leader_client, leaves_a_paused_leader_after_a_short_attempt) {
  constexpr std::chrono::milliseconds kAttempt =
      ControllerChannel::kDefaultHandshakeTimeout;
  Fixture it;
  it.proxy.Freeze(it.to_server, test::Direction::kBoth);
  const auto other_address = test::LoopbackIp(2) + ":21000";
  const auto other = ControllerServer::Start(
      other_address, "secret", it.handler, [](const std::string& /*peer*/) {});
  cr_assert(other.has_value());
  LeaderClient leader({it.address, other_address}, "e1", "secret");
  const auto result = leader.Run(kTimeout, kAttempt, [](auto& client) {
    CallCluster(client);
    return CallStatus{};
  });
  cr_expect(result.has_value());
}

}  // namespace cranberryshunt::wire
