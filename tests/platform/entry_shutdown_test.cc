// Tests how an entry ends its requests when it is shut down.
#include <criterion/criterion.h>

#include <thread>

#include "cranberryshunt/platform/processes.h"
#include "http/socket_peer.h"

using namespace cranberryshunt;            // NOLINT
using namespace cranberryshunt::platform;  // NOLINT

namespace {

using http::RawClient;
using std::chrono::milliseconds;

constexpr std::uint16_t kCallerPort = 24'100;
constexpr std::uint16_t kReadinessPort = 24'101;
constexpr std::int64_t kFirstInternalPort = 24'110;
// Times after the begin of the shutdown. The request is sent shortly before the
// entry stops listening. On a busy host a connection would come too late then.
constexpr milliseconds kBeforeConnection{1'000};
constexpr milliseconds kBeforeRequest{2'300};

std::string Address(const std::string& ip, std::uint16_t port) {
  return ip + ":" + std::to_string(port);
}

// Settings of an entry that knows one controller, which does not run.
ProcessSettings MakeSettings() {
  const auto ip = test::OwnLoopbackIp();
  ProcessSettings settings;
  settings.host = "front-0";
  settings.ip = ip;
  settings.caller_address = Address(ip, kCallerPort);
  settings.readiness_address = Address(ip, kReadinessPort);
  settings.first_internal_port = kFirstInternalPort;
  settings.seeds = {Address(test::LoopbackIp(1), kCallerPort)};
  return settings;
}

}  // namespace

// Guards against a request that arrives during the shutdown, while no leader
// answers, and whose connection is closed without a response at its end.
Test(entry_shutdown, answers_requests_that_wait_for_a_leader) {
  constexpr milliseconds kStopGrace{6'000};
  auto entry = StartEntry(MakeSettings());
  cr_assert(entry.has_value());
  std::int64_t interrupted = -1;
  std::thread shutdown([&] {
    interrupted = (*entry)->Shutdown();
    entry->reset();
  });
  std::this_thread::sleep_for(kBeforeConnection);
  RawClient client(kCallerPort);
  cr_assert(client.connected());
  std::this_thread::sleep_for(kBeforeRequest - kBeforeConnection);
  client.Send(
      "GET /queue/0123456789abcdef HTTP/1.1\r\nHost: h\r\n"
      "X-Deadline-Ms: 3000\r\n\r\n");
  const bool closed = client.IsClosedWithin(kStopGrace - kBeforeRequest);
  shutdown.join();
  cr_expect(closed);
  cr_expect_eq(interrupted, 0);
  cr_expect(client.received.starts_with("HTTP/1.1 503"), "received: %s",
            client.received.c_str());
}

// Guards against a response that is due so shortly before the end of the
// shutdown that its connection is closed first on a busy host.
Test(entry_shutdown, reserves_time_for_the_last_responses) {
  // StartEntry()'s stop grace without the time for ending the process.
  constexpr milliseconds kShutdownTime{5'000};
  constexpr milliseconds kReserve{200};
  auto entry = StartEntry(MakeSettings());
  cr_assert(entry.has_value());
  const auto begin = std::chrono::steady_clock::now();
  std::thread shutdown([&] { (void)(*entry)->Shutdown(); });
  std::this_thread::sleep_for(kBeforeConnection);
  RawClient client(kCallerPort);
  cr_assert(client.connected());
  std::this_thread::sleep_for(kBeforeRequest - kBeforeConnection);
  client.Send(
      "GET /queue/0123456789abcdef HTTP/1.1\r\nHost: h\r\n"
      "X-Deadline-Ms: 3000\r\n\r\n");
  const bool closed = client.IsClosedWithin(kShutdownTime);
  const auto answered = std::chrono::steady_clock::now() - begin;
  shutdown.join();
  cr_expect(closed);
  cr_expect(client.received.starts_with("HTTP/1.1 503"), "received: %s",
            client.received.c_str());
  cr_expect_lt(answered, kShutdownTime - kReserve);
}
