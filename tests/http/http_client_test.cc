#include "cranberryshunt/http/http_client.h"

#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <thread>

#include "socket_peer.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::http;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string Answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

HttpCall MakeCall(const std::string& url) {
  HttpCall call;
  call.method = "GET";
  call.url = url;
  call.timeout = milliseconds(5'000);
  return call;
}

std::unique_ptr<HttpClient> MakeClient() {
  auto client = HttpClient::Create({});
  cr_assert(client.has_value());
  return std::move(*client);
}

}  // namespace

// Guards against a connection for each call, which the platform charges for.
Test(http_client, keeps_its_connection) {
  ScriptedServer server(
      [](int, int request) { return Answer(std::to_string(request)); });
  const auto client = MakeClient();
  for (int n = 1; n <= 50; ++n) {
    const auto answer = client->Call(MakeCall(server.url()));
    cr_assert_eq(answer.status, 200);
    cr_assert_str_eq(answer.body.c_str(), std::to_string(n).c_str());
  }
  cr_expect_eq(server.connections(), 1);
}

// Guards against a loop or a lost call when the server closes connections that
// are idle, and their descriptors are used again.
Test(http_client, calls_again_after_idle_connections_were_closed) {
  ScriptedServer server([](int, int) { return Answer("ok"); });
  const auto client = MakeClient();
  for (int n = 1; n <= 20; ++n) {
    cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
    server.CloseIdle();
    std::this_thread::sleep_for(milliseconds(15));
  }
  cr_expect_geq(server.connections(), 20);
}

// Guards against calls that wait for each other or get each other's answer.
Test(http_client, serves_many_calls_at_a_time) {
  ScriptedServer server([](int connection, int request) {
    std::this_thread::sleep_for(milliseconds(1));
    return Answer(std::to_string(connection) + "." + std::to_string(request));
  });
  const auto client = MakeClient();
  constexpr int kCalls = 500;
  std::atomic<int> good = 0;
  std::atomic<int> ended = 0;
  for (int n = 0; n < kCalls; ++n) {
    client->Send(MakeCall(server.url()), [&](const HttpAnswer& answer) {
      good += answer.status == 200 ? 1 : 0;
      ++ended;
    });
  }
  const auto until = steady_clock::now() + std::chrono::seconds(20);
  while (ended < kCalls && steady_clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  cr_expect_eq(good, kCalls);
  cr_expect_leq(server.connections(), 6);
}

// Guards against a call without an answer that never ends, and against taking
// it for one that was not sent.
Test(http_client, gives_up_on_a_silent_server) {
  ScriptedServer server([](int, int) { return std::string(); });
  const auto client = MakeClient();
  auto call = MakeCall(server.url());
  call.timeout = milliseconds(200);
  const auto begin = steady_clock::now();
  const auto answer = client->Call(call);
  cr_expect_eq(answer.status, 0);
  cr_expect(answer.sent);
  cr_expect_geq(steady_clock::now() - begin, milliseconds(190));
  cr_expect_lt(steady_clock::now() - begin, milliseconds(2'000));
}

// Guards against taking a refused connection for a call that may have run.
Test(http_client, tells_that_nothing_was_sent) {
  std::string url;
  {
    const ScriptedServer server([](int, int) { return std::string(); });
    url = server.url();
  }
  const auto answer = MakeClient()->Call(MakeCall(url));
  cr_expect_eq(answer.status, 0);
  cr_expect_not(answer.sent);
}

// Guards against the reuse of a connection that may have gone silent.
Test(http_client, opens_a_fresh_connection_on_request) {
  ScriptedServer server([](int, int) { return Answer("ok"); });
  const auto client = MakeClient();
  cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
  auto call = MakeCall(server.url());
  call.fresh_connection = true;
  cr_assert_eq(client->Call(call).status, 200);
  cr_expect_eq(server.connections(), 2);
}

// Guards against calls that never end: those that wait for a connection, or
// were not yet taken up, when the client is destroyed.
Test(http_client, ends_waiting_calls_when_it_is_destroyed) {
  ScriptedServer server([](int, int) { return std::string(); });
  constexpr int kCalls = 200;
  for (int round = 0; round < 20; ++round) {
    auto client = MakeClient();
    std::atomic<int> ended = 0;
    for (int n = 0; n < kCalls; ++n) {
      client->Send(MakeCall(server.url()), [&](const HttpAnswer& answer) {
        ended += answer.status == 0;
      });
    }
    client.reset();
    cr_expect_eq(ended, kCalls);
  }
}

// Guards against calls that are neither answered nor ended when the client is
// destroyed.
Test(http_client, ends_open_calls_when_it_is_destroyed) {
  ScriptedServer server([](int, int) { return std::string(); });
  auto client = MakeClient();
  std::atomic<int> ended = 0;
  for (int n = 0; n < 4; ++n) {
    client->Send(MakeCall(server.url()), [&](const HttpAnswer& answer) {
      ended += answer.status == 0;
    });
  }
  WaitFor([&] { return server.connections() >= 4; }, std::chrono::seconds(5));
  client.reset();
  cr_expect_eq(ended, 4);
}

// Guards against connections that a former leader keeps to every worker, each
// of which costs a system call each second.
Test(http_client, closes_connections_that_are_idle_for_long) {
  ScriptedServer server([](int, int) { return Answer("ok"); });
  HttpClientOptions options;
  options.max_idle_time = std::chrono::seconds(1);
  const auto client = std::move(*HttpClient::Create(options));
  cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
  cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
  cr_expect_eq(server.connections(), 1);
  std::this_thread::sleep_for(milliseconds(2'100));
  cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
  cr_expect_eq(server.connections(), 2);
}

// Guards against a connection whose descriptor was that of a failed one, and
// which nobody watches.
Test(http_client, connects_after_refused_connections) {
  std::string refusing;
  {
    const ScriptedServer gone([](int, int) { return std::string(); });
    refusing = gone.url();
  }
  const auto client = MakeClient();
  for (int n = 0; n < 10; ++n) {
    cr_assert_eq(client->Call(MakeCall(refusing)).status, 0);
    ScriptedServer server([](int, int) { return Answer("ok"); });
    const auto begin = steady_clock::now();
    cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
    cr_expect_lt(steady_clock::now() - begin, milliseconds(500));
  }
}

// Guards against time-outs that are never noticed, because a timer fired before
// the clock of the library had reached it.
Test(http_client, gives_up_on_each_of_many_silent_calls) {
  ScriptedServer server([](int, int) { return std::string(); });
  HttpClientOptions options;
  constexpr int kCalls = 400;
  options.max_connections_per_address = kCalls;
  const auto client = std::move(*HttpClient::Create(options));
  std::atomic<int> ended = 0;
  std::atomic<int> late = 0;
  for (int n = 0; n < kCalls; ++n) {
    auto call = MakeCall(server.url());
    call.timeout = milliseconds(200 + n);
    const auto due = steady_clock::now() + call.timeout;
    client->Send(std::move(call), [&, due](const HttpAnswer&) {
      constexpr milliseconds kSlack{300};
      late += steady_clock::now() > due + kSlack ? 1 : 0;
      ++ended;
    });
  }
  WaitFor([&] { return ended == kCalls; }, std::chrono::seconds(5));
  cr_expect_eq(ended, kCalls);
  cr_expect_eq(late, 0);
}

// Guards against calls that never end because all connections to their address
// are taken by calls without an answer, and against waiting beyond the time of
// a call.
Test(http_client, ends_calls_that_wait_for_a_connection_in_time) {
  ScriptedServer silent([](int, int) { return std::string(); });
  ScriptedServer sound([](int, int) { return Answer("ok"); });
  const auto client = MakeClient();
  constexpr int kCalls = 60;
  std::atomic<int> ended = 0;
  std::atomic<int> late = 0;
  std::atomic<int> unsent = 0;
  for (int n = 0; n < kCalls; ++n) {
    auto call = MakeCall(silent.url());
    call.timeout = milliseconds(300);
    call.fresh_connection = n % 3 == 0;
    const auto due = steady_clock::now() + call.timeout;
    client->Send(std::move(call), [&, due](const HttpAnswer& answer) {
      constexpr milliseconds kSlack{300};
      late += steady_clock::now() > due + kSlack ? 1 : 0;
      unsent += answer.sent ? 0 : 1;
      ++ended;
    });
  }
  cr_expect_eq(client->Call(MakeCall(sound.url())).status, 200);
  WaitFor([&] { return ended == kCalls; }, std::chrono::seconds(5));
  cr_expect_eq(ended, kCalls);
  cr_expect_eq(late, 0);
  cr_expect_eq(unsent, kCalls - 6, "only the first six were sent");
}
