#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/wire/codec.h"
#include "cranberryshunt/wire/controller_client.h"
#include "cranberryshunt/wire/controller_server.h"
#include "support/loopback.h"

namespace cranberryshunt::wire {

namespace {

constexpr std::chrono::milliseconds kTimeout{2000};

class CountingHandler final : public ControllerServiceNull {
 public:
  void GetCluster(ClusterReply& reply) override {
    ++calls;
    reply.term = 7;
    const std::lock_guard lock(mutex);
    threads.insert(std::this_thread::get_id());
  }
  // Does not return before `released` is ready.
  void GetAudit(AuditReply& /*reply*/,
                const std::int64_t /*after_sequence*/,
                const std::int32_t /*limit*/) override {
    entered.set_value();
    released.get_future().wait();
  }

  std::atomic<int> calls = 0;
  std::promise<void> entered;
  std::promise<void> released;
  std::mutex mutex;
  // The server has a thread for each connection.
  std::set<std::thread::id> threads;
};

// Returns from no call before `released` is set.
class StuckHandler final : public ControllerServiceNull {
 public:
  void GetCluster(ClusterReply& /*reply*/) override {
    constexpr std::chrono::milliseconds kCheckInterval{5};
    while (!released) {
      std::this_thread::sleep_for(kCheckInterval);
    }
  }

  std::atomic<bool> released = false;
};

struct RunningServer {
  CountingHandler handler;
  std::vector<std::string> refused;
  std::unique_ptr<ControllerServer> server;
  std::string address;
};

std::unique_ptr<RunningServer> StartServer() {
  auto running = std::make_unique<RunningServer>();
  // Each test is a process with a loopback address of its own, but it may start
  // several servers.
  for (int port = 21000; port < 21100; ++port) {
    running->address = test::OwnLoopbackIp() + ":" + std::to_string(port);
    auto server =
        ControllerServer::Start(running->address, "secret", running->handler,
                                [raw = running.get()](const std::string& peer) {
                                  raw->refused.push_back(peer);
                                });
    if (server) {
      running->server = std::move(*server);
      return running;
    }
  }
  return nullptr;
}

// Accepts connections but never replies, as a paused process does: its kernel
// accepts the connections.
class SilentListener {
 public:
  SilentListener() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(any);
    auto* const address = reinterpret_cast<sockaddr*>(&any);
    cr_assert_eq(bind(fd_, address, size), 0);
    cr_assert_eq(listen(fd_, 8), 0);
    cr_assert_eq(getsockname(fd_, address, &size), 0);
    address_ = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
  }
  ~SilentListener() { close(fd_); }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;

  const std::string& address() const { return address_; }

 private:
  int fd_;
  std::string address_;
};

}  // namespace

// Guards against commands that change when they are encoded and decoded, and
// against the decoding of truncated bytes.
Test(codec, round_trip_and_truncation) {
  CommandBatch batch;
  batch.commands.resize(1);
  SubmitJob submit;
  submit.job_id = "j1";
  submit.spec.payload = std::string("\0x", 2);
  batch.commands[0].__set_submit_job(submit);
  const std::string bytes = Encode(batch);
  const auto decoded = Decode<CommandBatch>(bytes);
  cr_assert(decoded.has_value());
  cr_assert(*decoded == batch);
  cr_assert_not(Decode<CommandBatch>(bytes.substr(0, 5)).has_value());
}

// Guards against the refusal of a peer that has the right secret.
Test(authentication, accepts_the_right_secret) {
  auto running = StartServer();
  cr_assert_not_null(running.get());
  ControllerChannel channel(running->address, "e1", "secret");
  ClusterReply reply;
  const auto result =
      channel.Run(kTimeout, [&](auto& client) { client.GetCluster(reply); });
  cr_assert(result.has_value());
  cr_assert_eq(reply.term, 7);
}

// Guards against calls being executed for a process that does not know the
// secret.
Test(authentication, refuses_a_wrong_secret) {
  auto running = StartServer();
  cr_assert_not_null(running.get());
  ControllerChannel channel(running->address, "e1", "guess");
  const auto result = channel.Run(kTimeout, [](auto& client) {
    ClusterReply reply;
    client.GetCluster(reply);
  });
  cr_assert_not(result.has_value());
  cr_assert_eq(static_cast<int>(result.error().code()),
               static_cast<int>(ResultCode::kNotAuthenticated));
  cr_assert_eq(running->handler.calls, 0);
}

// Guards against waiting repeatedly for a disconnected leader, because
// followers name it as the leader until they have elected another one.
Test(leader_client, ignores_replies_that_name_an_unreachable_leader) {
  const SilentListener silent;
  auto follower = StartServer();
  auto leader = StartServer();
  cr_assert_not_null(follower.get());
  cr_assert_not_null(leader.get());
  LeaderClient client({silent.address(), follower->address, leader->address},
                      "e1", "secret");
  const auto start = std::chrono::steady_clock::now();
  const auto result = client.Run(kTimeout, kTimeout, [&](auto& connection) {
    ClusterReply reply;
    connection.GetCluster(reply);
    if (leader->handler.calls > 0) {
      return CallStatus{};
    }
    return CallStatus{static_cast<int>(ResultCode::kNotLeader),
                      silent.address()};
  });
  cr_assert(result.has_value());
  // The client waits once for the silent controller. Calls must resume within
  // 2 s after the loss of a leader.
  cr_assert_lt(std::chrono::steady_clock::now() - start,
               std::chrono::seconds(1));
}

// Guards against calls that stay with a controller that accepts connections but
// answers no calls, although another controller leads.
Test(leader_client, leaves_a_controller_that_answers_no_calls) {
  constexpr std::chrono::milliseconds kAttempt{300};
  StuckHandler stuck;
  const auto stuck_address = test::LoopbackIp(1) + ":21000";
  const auto stuck_server = ControllerServer::Start(
      stuck_address, "secret", stuck, [](const std::string& /*peer*/) {});
  cr_assert(stuck_server.has_value());
  auto leader = StartServer();
  cr_assert_not_null(leader.get());
  LeaderClient client({stuck_address, leader->address}, "e1", "secret");
  const auto call = [](auto& connection) {
    ClusterReply reply;
    connection.GetCluster(reply);
    return CallStatus{};
  };
  cr_expect(client.Run(kTimeout, kAttempt, call).has_value());
  cr_expect(client.Run(kTimeout, kAttempt, call).has_value());
  cr_expect_eq(leader->handler.calls, 2);
  stuck.released = true;
}

// Guards against a busy loop while two controllers name each other as the
// leader.
Test(leader_client, pauses_when_controllers_name_each_other) {
  auto first = StartServer();
  auto second = StartServer();
  cr_assert_not_null(first.get());
  cr_assert_not_null(second.get());
  LeaderClient leader_client({first->address, second->address}, "e1", "secret");
  int calls = 0;
  const auto result = leader_client.Run(
      std::chrono::milliseconds(300), kTimeout, [&](auto& client) {
        ClusterReply reply;
        client.GetCluster(reply);
        ++calls;
        const auto& other = calls % 2 == 0 ? first : second;
        return CallStatus{static_cast<int>(ResultCode::kNotLeader),
                          other->address};
      });
  cr_assert_not(result.has_value());
  cr_assert_lt(calls, 30);
}

// Guards against new connections to a slow controller for all callers, because
// one call was not answered in time while others were.
Test(controller_channel, keeps_connections_to_a_controller_that_answers) {
  constexpr std::chrono::milliseconds kShortTimeout{300};
  auto running = StartServer();
  cr_assert_not_null(running.get());
  auto& handler = running->handler;
  ControllerChannel channel(running->address, "e1", "secret");
  const auto call = [](auto& client) {
    ClusterReply reply;
    client.GetCluster(reply);
  };
  std::thread slow_caller;
  const auto result = channel.Run(kTimeout, [&](auto& client) {
    slow_caller = std::thread([&] {
      (void)channel.Run(kShortTimeout, [](auto& slow_client) {
        AuditReply reply;
        slow_client.GetAudit(reply, 0, 0);
      });
    });
    handler.entered.get_future().wait();
    call(client);
  });
  cr_assert(result.has_value());
  slow_caller.join();
  cr_assert(channel.Run(kTimeout, call).has_value());
  cr_expect_eq(handler.calls, 2);
  cr_expect_eq(handler.threads.size(), 1);
  handler.released.set_value();
}

// Load pattern: the leader has stopped, and many callers wait for the next one.
// Guards against calls that take the processor time that the election needs.
Test(leader_client, asks_seldom_while_there_is_no_leader) {
  constexpr int kCallers = 10;
  constexpr int kMaxCallsPerCaller = 20;
  auto first = StartServer();
  auto second = StartServer();
  cr_assert_not_null(first.get());
  cr_assert_not_null(second.get());
  LeaderClient leader_client({first->address, second->address}, "e1", "secret");
  std::atomic<int> calls = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int n = 0; n < kCallers; ++n) {
    callers.emplace_back([&] {
      (void)leader_client.Run(kTimeout, kTimeout, [&](auto& client) {
        ClusterReply reply;
        client.GetCluster(reply);
        ++calls;
        return CallStatus{static_cast<int>(ResultCode::kNotLeader), ""};
      });
    });
  }
  for (auto& it : callers) {
    it.join();
  }
  cr_expect_lt(calls.load(), kCallers * kMaxCallsPerCaller);
}

// Guards against calls that go on to pause after the leader was found, and
// against attempts that nobody hears of.
Test(leader_client, ends_pauses_when_another_call_is_served) {
  constexpr std::size_t kLongPauseAttempt = 12;
  constexpr std::chrono::milliseconds kMaxPause{200};
  auto server = StartServer();
  cr_assert_not_null(server.get());
  LeaderClient leader_client({server->address}, "e1", "secret");
  std::atomic<int> failed = 0;
  std::atomic<int> served = 0;
  leader_client.ObserveAttempts(
      [&](const LeaderAttemptReport& it) { ++(it.served ? served : failed); });
  std::atomic<bool> leads = false;
  std::promise<std::chrono::steady_clock::time_point> pausing;
  std::chrono::steady_clock::time_point served_at;
  const auto call = [&](auto& client, const std::string&) {
    ClusterReply reply;
    client.GetCluster(reply);
    return CallStatus{leads ? 0 : static_cast<int>(ResultCode::kNotLeader), ""};
  };
  std::thread caller([&] {
    (void)leader_client.RunAt(
        kTimeout * 10, kTimeout, call, [&](const LeaderAttemptReport& it) {
          if (it.number == kLongPauseAttempt) {
            leads = true;
            pausing.set_value(std::chrono::steady_clock::now());
          }
          return RetryStep::kPause;
        });
    served_at = std::chrono::steady_clock::now();
  });
  const auto pause_begin = pausing.get_future().get();
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  cr_expect(leader_client
                .RunAt(kTimeout, kTimeout, call,
                       [](const auto&) { return RetryStep::kGiveUp; })
                .has_value());
  caller.join();
  cr_expect(served_at - pause_begin < kMaxPause * 3 / 4);
  cr_expect_eq(served, 2);
  cr_expect_eq(failed, static_cast<int>(kLongPauseAttempt) + 1);
}

// Guards against attempts that go on although the caller has given up.
Test(leader_client, gives_up_when_told) {
  auto server = StartServer();
  cr_assert_not_null(server.get());
  LeaderClient leader_client({server->address}, "e1", "secret");
  int calls = 0;
  const auto result = leader_client.RunAt(
      kTimeout, kTimeout,
      [&](auto& /*client*/, const std::string& /*controller*/) {
        ++calls;
        return CallStatus{static_cast<int>(ResultCode::kNotLeader), ""};
      },
      [](const LeaderAttemptReport& it) {
        return it.number == 1 ? RetryStep::kGiveUp : RetryStep::kRetryNow;
      });
  cr_assert_not(result.has_value());
  cr_expect(result.error().code() == ResultCode::kNoLeader);
  cr_expect_eq(calls, 2);
}

}  // namespace cranberryshunt::wire
