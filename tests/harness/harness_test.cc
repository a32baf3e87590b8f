// The checker and the fault proxy themselves: a check that detects nothing
// would make every integration test pass.
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "support/checker.h"
#include "support/fault_proxy.h"
#include "support/payload.h"
#include "support/process.h"

namespace cranberryshunt::test {

namespace {

constexpr std::int64_t kSecondUs = 1'000'000;
constexpr Milliseconds kBound{5'000};
constexpr Milliseconds kSilence{200};

TargetRecord Event(const char* event,
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

// Two runs of one request at two workers, from 1 to 4 s and from 3 to 5 s.
std::vector<TargetRecord> TwoRuns() {
  return {Event("up", "a", 0, 0),    Event("up", "b", 0, 0),
          Event("start", "a", 1, 1), Event("end", "a", 4, 1),
          Event("start", "b", 3, 2), Event("end", "b", 5, 2)};
}

CallerRecord Told(const char* outcome) {
  CallerRecord out;
  out.request = "r";
  out.outcome = outcome;
  out.expected_answer = "r";
  out.answers = {"r"};
  return out;
}

std::size_t Violations(const std::vector<TargetRecord>& targets,
                       const std::vector<CallerRecord>& callers = {}) {
  return FindViolations(targets, callers).size();
}

// A listening or connected socket of 127.0.0.1.
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
  // What arrives within `limit`; "closed" for the end of the stream.
  std::string Receive(Milliseconds limit) const {
    const timeval time{limit.count() / 1'000, limit.count() % 1'000 * 1'000};
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
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
  }

  int fd_;
};

}  // namespace

// Guards against violations that the checker does not see.
Test(checker, finds_each_violation) {
  cr_expect_eq(Violations(TwoRuns(), {Told("done")}), 0);

  auto exclusive = TwoRuns();
  auto once = TwoRuns();
  auto same_fence = TwoRuns();
  auto leaving = TwoRuns();
  for (auto& record : exclusive) {
    record.exclusive = true;
  }
  for (auto& record : once) {
    record.non_idempotent = true;
  }
  same_fence[4].fence = 1;
  leaving.push_back(Event("leaving", "b", 0, 0));
  cr_expect_eq(Violations(exclusive), 1);
  cr_expect_eq(Violations(once), 1);
  cr_expect_eq(Violations(same_fence), 1);
  cr_expect_eq(Violations(leaving), 1);
  leaving.back().boot_us = 2 * kSecondUs;
  cr_expect_eq(Violations(leaving), 0);

  auto crowded = TwoRuns();
  for (auto& record : crowded) {
    record.worker = "a";
    record.incarnation = "i-a";
  }
  cr_expect_eq(Violations(crowded), 1);
  auto refused = TwoRuns();
  refused.push_back(Event("refuse", "a", 6, 3));
  refused.back().reason = "capacity";
  cr_expect_eq(Violations(refused), 1);
  // A process that died no longer runs its tasks.
  auto died = exclusive;
  died[3] = Event("dead", "a", 2, 0);
  cr_expect_eq(Violations(died), 0);
}

// Guards against wrong answers that the checker does not see.
Test(checker, compares_what_callers_were_told) {
  cr_expect_eq(Violations(TwoRuns(), {Told("not_run")}), 1);
  cr_expect_eq(Violations({}, {Told("done")}), 1);
  auto other = Told("done");
  other.answers = {"q"};
  cr_expect_eq(Violations(TwoRuns(), {other}), 1);
  auto cut = Told("done");
  cut.answers_intact = false;
  cr_expect_eq(Violations(TwoRuns(), {cut}), 1);
  auto missing = Told("done");
  missing.answers.clear();
  cr_expect_eq(Violations(TwoRuns(), {missing}), 1);
  cr_expect(AnswerOf("request=a;answer_bytes=50") !=
            AnswerOf("request=b;answer_bytes=50"));
}

// Guards against a proxy that passes data which a test believes to be held.
Test(fault_proxy, freezes_holds_delays_and_cuts) {
  const auto server_port = FindFreePort();
  const auto proxy_port = FindFreePort();
  Socket listener;
  cr_assert(listener.Listen(server_port));
  FaultProxy proxy([](std::uint16_t, std::uint16_t) { return "source"; });
  cr_assert(proxy.Listen("destination", proxy_port, server_port));
  const Link link{"source", "destination"};

  Socket old_client;
  cr_assert(old_client.Connect(proxy_port));
  Socket old_server(listener.Accept());
  cr_assert(old_client.Send("a") && old_server.Receive(kBound) == "a");

  proxy.Freeze(link, Direction::kToServer);
  cr_assert(old_client.Send("b") && old_server.Send("c"));
  cr_expect(old_client.Receive(kBound) == "c");
  cr_expect(old_server.Receive(kSilence).empty());
  proxy.Heal(link);
  cr_expect(old_server.Receive(kBound) == "b");

  proxy.Delay({"source", ""}, kSilence);
  const auto begin = BootMicroseconds();
  cr_assert(old_client.Send("d") && old_server.Receive(kBound) == "d");
  cr_expect_geq(BootMicroseconds() - begin, kSilence.count() * 1'000);
  proxy.Heal({"source", ""});

  proxy.FreezeOpenConnections(link);
  Socket new_client;
  cr_assert(new_client.Connect(proxy_port));
  Socket new_server(listener.Accept());
  cr_assert(old_client.Send("e") && new_client.Send("f"));
  cr_expect(new_server.Receive(kBound) == "f");
  cr_expect(old_server.Receive(kSilence).empty());

  proxy.Cut({"", "destination"});
  cr_expect(new_client.Receive(kBound) == "closed");
  Socket late_client;
  cr_expect(!late_client.Connect(proxy_port) ||
            late_client.Receive(kBound) != "");
  cr_expect_geq(proxy.BytesDelivered(Link()), 5);
}

}  // namespace cranberryshunt::test
