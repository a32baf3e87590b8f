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

std::string RenderAnswer(const std::string& body) {
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

// Guards against a new connection for each call, which the platform charges
// for.
Test(http_client, reuses_its_connection) {
  ScriptedServer server(
      [](int, int request) { return RenderAnswer(std::to_string(request)); });
  const auto client = MakeClient();
  for (int n = 1; n <= 50; ++n) {
    const auto answer = client->Call(MakeCall(server.url()));
    cr_assert_eq(answer.status, 200);
    cr_assert_str_eq(answer.body.c_str(), std::to_string(n).c_str());
  }
  cr_expect_eq(server.accepted_connections(), 1);
}

// Guards against an endless loop or a lost call after the server has closed
// idle connections and their file descriptors are reused.
Test(http_client, calls_again_after_idle_connections_were_closed) {
  ScriptedServer server([](int, int) { return RenderAnswer("ok"); });
  const auto client = MakeClient();
  for (int n = 1; n <= 20; ++n) {
    cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
    server.CloseIdleConnections();
    std::this_thread::sleep_for(milliseconds(15));
  }
  cr_expect_geq(server.accepted_connections(), 20);
}

// Guards against a call that reaches another process than the one that has
// answered on its connection.
Test(http_client, sends_a_call_only_on_its_connection) {
  ScriptedServer server([](int, int) { return RenderAnswer("ok"); });
  const auto client = MakeClient();
  auto call = MakeCall(server.url());
  call.idempotent = true;
  call.connection_group = "group";
  const auto first = client->Call(call);
  cr_assert_eq(first.status, 200);
  cr_assert_neq(first.connection, 0);
  auto bound = call;
  bound.connection = first.connection;
  cr_expect_eq(client->Call(bound).connection, first.connection);
  server.CloseIdleConnections();
  std::this_thread::sleep_for(milliseconds(15));
  const auto refused = client->Call(bound);
  cr_expect_eq(refused.status, 0);
  cr_expect_eq(server.accepted_connections(), 1);
  const auto second = client->Call(call);
  cr_expect_eq(second.status, 200);
  cr_expect_neq(second.connection, first.connection);
  cr_expect_eq(client->Call(bound).status, 0);
  cr_expect_eq(server.accepted_connections(), 2);
}

// Guards against an order that is taken for one to a known process although it
// was written to a new connection, which another process may have accepted.
Test(http_client, tells_whether_a_connection_was_reused) {
  ScriptedServer server([](int, int request) {
    return request == 3 ? std::string(ScriptedServer::kResetConnection)
                        : RenderAnswer("ok");
  });
  const auto client = MakeClient();
  auto call = MakeCall(server.url());
  cr_expect_not(client->Call(call).reused_connection);
  cr_expect(client->Call(call).reused_connection);
  const auto unanswered = client->Call(call);
  cr_expect_eq(unanswered.status, 0);
  cr_expect(unanswered.reused_connection);
  call.idempotent = true;
  for (int n = 0; n < 2; ++n) {
    (void)client->Call(call);
  }
  // The third call of the second connection is repeated on another one.
  const auto repeated = client->Call(call);
  cr_expect_eq(repeated.status, 200);
  cr_expect_not(repeated.reused_connection);
}

// Guards against calls of a group that find their connection in use by others.
Test(http_client, keeps_connections_of_groups_apart) {
  ScriptedServer server([](int, int) { return RenderAnswer("ok"); });
  const auto client = MakeClient();
  auto call = MakeCall(server.url());
  cr_assert_eq(client->Call(call).status, 200);
  call.connection_group = "group";
  const auto first = client->Call(call);
  cr_assert_eq(first.status, 200);
  cr_expect_eq(server.accepted_connections(), 2);
  cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
  cr_expect_eq(client->Call(call).connection, first.connection);
  cr_expect_eq(server.accepted_connections(), 2);
}

// Guards against calls that block each other or get the answer of another call.
Test(http_client, serves_many_calls_at_a_time) {
  ScriptedServer server([](int connection, int request) {
    std::this_thread::sleep_for(milliseconds(1));
    return RenderAnswer(std::to_string(connection) + "." +
                        std::to_string(request));
  });
  const auto client = MakeClient();
  constexpr int kCalls = 500;
  std::atomic<int> succeeded = 0;
  std::atomic<int> ended = 0;
  for (int n = 0; n < kCalls; ++n) {
    client->Send(MakeCall(server.url()), [&](const HttpAnswer& answer) {
      succeeded += answer.status == 200 ? 1 : 0;
      ++ended;
    });
  }
  const auto deadline = steady_clock::now() + std::chrono::seconds(20);
  while (ended < kCalls && steady_clock::now() < deadline) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  cr_expect_eq(succeeded, kCalls);
  cr_expect_leq(server.accepted_connections(), 6);
}

// Guards against a call that never ends because the server does not answer, and
// against reporting it as not sent.
Test(http_client, ends_a_call_to_a_silent_server) {
  ScriptedServer server([](int, int) { return std::string(); });
  const auto client = MakeClient();
  auto call = MakeCall(server.url());
  call.timeout = milliseconds(200);
  const auto begin = steady_clock::now();
  const auto answer = client->Call(call);
  cr_expect_eq(answer.status, 0);
  cr_expect(answer.sent);
  cr_expect_not(answer.refused);
  cr_expect_geq(steady_clock::now() - begin, milliseconds(190));
  cr_expect_lt(steady_clock::now() - begin, milliseconds(2'000));
}

// Guards against reporting a refused connection as a call that may have been
// executed, or as a host that doesn't answer.
Test(http_client, reports_a_refused_connection_as_not_sent) {
  std::string url;
  {
    const ScriptedServer server([](int, int) { return std::string(); });
    url = server.url();
  }
  const auto answer = MakeClient()->Call(MakeCall(url));
  cr_expect_eq(answer.status, 0);
  cr_expect_not(answer.sent);
  cr_expect(answer.refused);
}

namespace {

// Makes a call on a connection that has served another one before.
HttpAnswer CallOnReusedConnection(const ScriptedServer& server,
                                  HttpClient& client,
                                  bool idempotent) {
  cr_assert_eq(client.Call(MakeCall(server.url())).status, 200);
  auto call = MakeCall(server.url());
  call.method = "POST";
  call.idempotent = idempotent;
  return client.Call(call);
}

}  // namespace

// Guards against reporting a call as not sent that the server has read before
// it reset the connection and refused further ones.
Test(http_client, reports_a_call_as_sent_after_a_reset_and_a_refusal) {
  ScriptedServer* self = nullptr;
  std::atomic<int> executed = 0;
  ScriptedServer server([&](int, int request) {
    if (request == 1) {
      return RenderAnswer("ok");
    }
    ++executed;
    self->RefuseConnections();
    return std::string(ScriptedServer::kResetConnection);
  });
  self = &server;
  const auto client = MakeClient();
  const auto answer = CallOnReusedConnection(server, *client, false);
  cr_expect_eq(executed, 1);
  cr_expect_eq(answer.status, 0);
  cr_expect(answer.sent);
  cr_expect_not(answer.refused);
}

// Guards against sending a call a second time after its connection was reset:
// the answer to the second copy, such as a refusal, doesn't apply to the first.
Test(http_client, sends_a_call_at_most_once) {
  std::atomic<int> executed = 0;
  ScriptedServer server([&](int connection, int request) {
    if (connection == 1 && request == 1) {
      return RenderAnswer("ok");
    }
    ++executed;
    return connection == 1 ? std::string(ScriptedServer::kResetConnection)
                           : std::string(
                                 "HTTP/1.1 503 Service Unavailable\r\n"
                                 "Content-Length: 0\r\n\r\n");
  });
  const auto client = MakeClient();
  const auto answer = CallOnReusedConnection(server, *client, false);
  cr_expect_eq(executed, 1);
  cr_expect_eq(answer.status, 0, "status %d", answer.status);
  cr_expect(answer.sent);
}

// Guards against failing a call that may be executed twice because its
// connection was reset.
Test(http_client, repeats_an_idempotent_call_after_a_reset) {
  ScriptedServer server([&](int connection, int request) {
    return connection == 1 && request == 2
               ? std::string(ScriptedServer::kResetConnection)
               : RenderAnswer("ok");
  });
  const auto client = MakeClient();
  const auto answer = CallOnReusedConnection(server, *client, true);
  cr_expect_eq(answer.status, 200);
  cr_expect_eq(server.accepted_connections(), 2);
}

// Guards against reusing a connection that may no longer respond although the
// caller requested a new one.
Test(http_client, opens_a_new_connection_on_request) {
  ScriptedServer server([](int, int) { return RenderAnswer("ok"); });
  const auto client = MakeClient();
  cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
  auto call = MakeCall(server.url());
  call.fresh_connection = true;
  cr_assert_eq(client->Call(call).status, 200);
  cr_expect_eq(server.accepted_connections(), 2);
}

// Guards against calls that never end when the client is destroyed while they
// wait for a connection, or before its thread has seen them.
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

// Guards against calls in flight that never end when the client is destroyed.
Test(http_client, ends_open_calls_when_it_is_destroyed) {
  ScriptedServer server([](int, int) { return std::string(); });
  auto client = MakeClient();
  std::atomic<int> ended = 0;
  for (int n = 0; n < 4; ++n) {
    client->Send(MakeCall(server.url()), [&](const HttpAnswer& answer) {
      ended += answer.status == 0;
    });
  }
  WaitFor([&] { return server.accepted_connections() >= 4; },
          std::chrono::seconds(5));
  client.reset();
  cr_expect_eq(ended, 4);
}

// Guards against a former leader keeping idle connections to every worker. Each
// of them costs a system call each second.
Test(http_client, closes_connections_after_the_idle_time) {
  ScriptedServer server([](int, int) { return RenderAnswer("ok"); });
  HttpClientOptions options;
  options.max_idle_time = std::chrono::seconds(1);
  const auto client = std::move(*HttpClient::Create(options));
  cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
  cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
  cr_expect_eq(server.accepted_connections(), 1);
  std::this_thread::sleep_for(milliseconds(2'100));
  cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
  cr_expect_eq(server.accepted_connections(), 2);
}

// Guards against a connection that gets the file descriptor of a failed one and
// is not registered with epoll.
Test(http_client, connects_after_refused_connections) {
  std::string refusing_url;
  {
    const ScriptedServer closed_server([](int, int) { return std::string(); });
    refusing_url = closed_server.url();
  }
  const auto client = MakeClient();
  for (int n = 0; n < 10; ++n) {
    cr_assert_eq(client->Call(MakeCall(refusing_url)).status, 0);
    ScriptedServer server([](int, int) { return RenderAnswer("ok"); });
    const auto begin = steady_clock::now();
    cr_assert_eq(client->Call(MakeCall(server.url())).status, 200);
    cr_expect_lt(steady_clock::now() - begin, milliseconds(500));
  }
}

// Guards against timeouts that are never detected because a timer fired before
// libcurl's clock had reached its time.
Test(http_client, ends_each_of_many_unanswered_calls) {
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
    const auto deadline = steady_clock::now() + call.timeout;
    client->Send(std::move(call), [&, deadline](const HttpAnswer&) {
      constexpr milliseconds kSlack{300};
      late += steady_clock::now() > deadline + kSlack ? 1 : 0;
      ++ended;
    });
  }
  WaitFor([&] { return ended == kCalls; }, std::chrono::seconds(5));
  cr_expect_eq(ended, kCalls);
  cr_expect_eq(late, 0);
}

// Guards against calls that wait for a connection beyond their deadline, or
// forever, because unanswered calls use all connections to their address.
Test(http_client, ends_calls_that_wait_for_a_connection_in_time) {
  ScriptedServer silent([](int, int) { return std::string(); });
  ScriptedServer responsive([](int, int) { return RenderAnswer("ok"); });
  const auto client = MakeClient();
  constexpr int kCalls = 60;
  std::atomic<int> ended = 0;
  std::atomic<int> late = 0;
  std::atomic<int> unsent = 0;
  for (int n = 0; n < kCalls; ++n) {
    auto call = MakeCall(silent.url());
    call.timeout = milliseconds(300);
    call.fresh_connection = n % 3 == 0;
    const auto deadline = steady_clock::now() + call.timeout;
    client->Send(std::move(call), [&, deadline](const HttpAnswer& answer) {
      constexpr milliseconds kSlack{300};
      late += steady_clock::now() > deadline + kSlack ? 1 : 0;
      unsent += answer.sent ? 0 : 1;
      ++ended;
    });
  }
  cr_expect_eq(client->Call(MakeCall(responsive.url())).status, 200);
  WaitFor([&] { return ended == kCalls; }, std::chrono::seconds(5));
  cr_expect_eq(ended, kCalls);
  cr_expect_eq(late, 0);
  cr_expect_eq(unsent, kCalls - 6, "only the first six were sent");
}
