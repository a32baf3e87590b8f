// Tests of the checker and the fault proxy of the integration tests. With a
// checker that detects nothing, every integration test would pass.
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "support/checker.h"
#include "support/fault_proxy.h"
#include "support/loopback.h"
#include "support/payload.h"
#include "support/process.h"

namespace cranberryshunt::test {

namespace {

constexpr std::int64_t kSecondUs = 1'000'000;
constexpr Milliseconds kReceiveTimeout{5'000};
constexpr Milliseconds kHoldTime{200};

TargetRecord MakeEvent(const char* event,
                       const char* worker,
                       std::int64_t second,
                       std::int64_t fence) {
  TargetRecord out;
  out.event = event;
  out.worker = worker;
  out.incarnation = std::string("i-") + worker;
  out.boot_us = second * kSecondUs;
  out.job_id = "j" + std::to_string(fence);
  out.request = "r";
  out.fence = fence;
  out.resources = {1'000, 1, 0, 1};
  out.state = "done";
  return out;
}

// Two runs of one request, at worker a from 1 to 4 s and at worker b from 3 to
// 5 s.
std::vector<TargetRecord> MakeTwoRuns() {
  return {MakeEvent("up", "a", 0, 0),    MakeEvent("up", "b", 0, 0),
          MakeEvent("start", "a", 1, 1), MakeEvent("end", "a", 4, 1),
          MakeEvent("start", "b", 3, 2), MakeEvent("end", "b", 5, 2)};
}

CallerRecord MakeCallerRecord(const char* outcome) {
  CallerRecord out;
  out.request = "r";
  out.outcome = outcome;
  out.expected_answer = "r";
  out.answers = {"r"};
  return out;
}

std::size_t CountViolations(const std::vector<TargetRecord>& targets,
                            const std::vector<CallerRecord>& callers = {}) {
  return FindViolations(targets, callers).size();
}

// A listening or connected socket on 127.0.0.1.
class Socket {
 public:
  explicit Socket(int fd = ::socket(AF_INET, SOCK_STREAM, 0)) : fd_(fd) {}
  ~Socket() { ::close(fd_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Listen(std::uint16_t port) const {
    const auto address = Address(port);
    return ::bind(fd_, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0 &&
           ::listen(fd_, 8) == 0;
  }
  bool Connect(std::uint16_t port) const {
    const auto address = Address(port);
    return ::connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                     sizeof(address)) == 0;
  }
  int Accept() const { return ::accept(fd_, nullptr, nullptr); }
  bool Send(const std::string& text) const {
    return ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
  }
  // Returns the data that arrive within `timeout`, empty if there are none, or
  // "closed" at the end of the stream.
  std::string Receive(Milliseconds timeout) const {
    const timeval time{timeout.count() / 1'000,
                       timeout.count() % 1'000 * 1'000};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    char buf[64];
    const auto n = ::recv(fd_, buf, sizeof(buf), 0);
    return n > 0 ? std::string(buf, n) : n == 0 ? "closed" : "";
  }

 private:
  static sockaddr_in Address(std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = inet_addr(OwnLoopbackIp().c_str());
    return out;
  }

  int fd_;
};

}  // namespace

// Guards against violations of the invariants that the checker does not detect.
Test(checker, finds_each_violation) {
  cr_expect_eq(CountViolations(MakeTwoRuns(), {MakeCallerRecord("done")}), 0);

  auto exclusive = MakeTwoRuns();
  auto non_idempotent = MakeTwoRuns();
  auto same_fence = MakeTwoRuns();
  auto leaving = MakeTwoRuns();
  for (auto& record : exclusive) {
    record.exclusive = true;
  }
  for (auto& record : non_idempotent) {
    record.non_idempotent = true;
  }
  same_fence[4].fence = 1;
  leaving.push_back(MakeEvent("leaving", "b", 0, 0));
  cr_expect_eq(CountViolations(exclusive), 1);
  cr_expect_eq(CountViolations(non_idempotent), 1);
  cr_expect_eq(CountViolations(same_fence), 1);
  cr_expect_eq(CountViolations(leaving), 1);
  leaving.back().boot_us = 2 * kSecondUs;
  cr_expect_eq(CountViolations(leaving), 0);

  auto over_capacity = MakeTwoRuns();
  for (auto& record : over_capacity) {
    record.worker = "a";
    record.incarnation = "i-a";
  }
  cr_expect_eq(CountViolations(over_capacity), 1);
  auto capacity_refused = MakeTwoRuns();
  capacity_refused.push_back(MakeEvent("refuse", "a", 6, 3));
  capacity_refused.back().reason = "capacity";
  cr_expect_eq(CountViolations(capacity_refused), 1);
  // The task of a worker that has died does not overlap later runs.
  auto died = exclusive;
  died[3] = MakeEvent("dead", "a", 2, 0);
  cr_expect_eq(CountViolations(died), 0);
}

// Guards against wrong replies to callers that the checker does not detect.
Test(checker, compares_replies_with_runs) {
  cr_expect_eq(CountViolations(MakeTwoRuns(), {MakeCallerRecord("not_run")}),
               1);
  cr_expect_eq(CountViolations({}, {MakeCallerRecord("done")}), 1);
  auto wrong_answer = MakeCallerRecord("done");
  wrong_answer.answers = {"q"};
  cr_expect_eq(CountViolations(MakeTwoRuns(), {wrong_answer}), 1);
  auto incomplete = MakeCallerRecord("done");
  incomplete.answers_intact = false;
  cr_expect_eq(CountViolations(MakeTwoRuns(), {incomplete}), 1);
  auto no_answer = MakeCallerRecord("done");
  no_answer.answers.clear();
  cr_expect_eq(CountViolations(MakeTwoRuns(), {no_answer}), 1);
  cr_expect(AnswerOf("request=a;answer_bytes=50") !=
            AnswerOf("request=b;answer_bytes=50"));
}

// Guards against a proxy that delivers data which a test expects it to hold
// back.
Test(fault_proxy, freezes_delays_and_cuts_links) {
  const auto server_port = FindFreePort();
  const auto proxy_port = FindFreePort();
  Socket listener;
  cr_assert(listener.Listen(server_port));
  FaultProxy proxy([](std::uint16_t, std::uint16_t) { return "source"; });
  const auto address_of = [](std::uint16_t port) {
    return OwnLoopbackIp() + ":" + std::to_string(port);
  };
  cr_assert(proxy.ListenAt("destination", address_of(proxy_port),
                           address_of(server_port)));
  const Link link{"source", "destination"};

  Socket old_client;
  cr_assert(old_client.Connect(proxy_port));
  Socket old_server(listener.Accept());
  cr_assert(old_client.Send("a") && old_server.Receive(kReceiveTimeout) == "a");

  proxy.Freeze(link, Direction::kToServer);
  cr_assert(old_client.Send("b") && old_server.Send("c"));
  cr_expect(old_client.Receive(kReceiveTimeout) == "c");
  cr_expect(old_server.Receive(kHoldTime).empty());
  proxy.Heal(link);
  cr_expect(old_server.Receive(kReceiveTimeout) == "b");

  proxy.Delay({"source", ""}, kHoldTime);
  const auto begin = BootMicroseconds();
  cr_assert(old_client.Send("d") && old_server.Receive(kReceiveTimeout) == "d");
  cr_expect_geq(BootMicroseconds() - begin, kHoldTime.count() * 1'000);
  proxy.Heal({"source", ""});

  proxy.FreezeOpenConnections(link);
  Socket new_client;
  cr_assert(new_client.Connect(proxy_port));
  Socket new_server(listener.Accept());
  cr_assert(old_client.Send("e") && new_client.Send("f"));
  cr_expect(new_server.Receive(kReceiveTimeout) == "f");
  cr_expect(old_server.Receive(kHoldTime).empty());

  proxy.Cut({"", "destination"});
  cr_expect(new_client.Receive(kReceiveTimeout) == "closed");
  Socket late_client;
  cr_expect(!late_client.Connect(proxy_port) ||
            late_client.Receive(kReceiveTimeout) != "");
  cr_expect_geq(proxy.BytesDelivered(Link()), 5);
}

}  // namespace cranberryshunt::test
