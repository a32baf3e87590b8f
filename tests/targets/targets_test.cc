#include <criterion/criterion.h>

#include <chrono>
#include <condition_variable>

#include "cranberryshunt/targets/json_reader.h"
#include "cranberryshunt/targets/target_client.h"
#include "fake_target.h"
#include "http/socket_peer.h"

namespace cranberryshunt::targets {

namespace {

constexpr std::size_t kThreads = 64;

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Required limit of the recovery from connections that no longer respond.
constexpr std::chrono::seconds kRecoveryBound{3};

wire::StartOrder MakeOrder(const std::string& job_id) {
  wire::StartOrder order;
  order.attempt.job_id = job_id;
  order.attempt.attempt = 1;
  order.kind = wire::JobKind::kInteractive;
  return order;
}

std::string JobIdOf(json_t* body) {
  return json_string_value(json_object_get(body, "job_id"));
}

TargetClient MakeClient(int entry_count) {
  TargetClientOptions options;
  options.token = "t";
  options.entry_count = entry_count;
  return TargetClient(options);
}

}  // namespace

// Guards against a new connection for each call, and against more connections
// than this entry's share of the target's limit.
Test(targets, reuses_connections_within_the_limit) {
  FakeTarget fake([](const std::string&, json_t* body) {
    std::this_thread::sleep_for(milliseconds(5));
    return FakeAnswer{200, RenderTaskRecord(JobIdOf(body), "a")};
  });
  auto client = MakeClient(2);
  const Target target{fake.address(), 6};
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  std::atomic<int> finished = 0;
  for (int i = 0; i < 12; ++i) {
    threads.emplace_back([&, i] {
      const auto order = MakeOrder("j" + std::to_string(i));
      const auto result =
          i % 2 == 0 ? client.StartAndWait(target, order, "p", Reuse::kAllowed)
                     : client.Start(target, order, "p", Reuse::kAllowed);
      const auto* done = std::get_if<Finished>(&result);
      finished += done != nullptr && done->record.attempt == order.attempt;
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  cr_assert_eq(finished, 12);
  cr_assert_leq(fake.max_open_connections(), 3);
  cr_assert_leq(fake.accepted_connections(), 3);
}

// Guards against accepting a truncated or altered answer, or the answer of
// another attempt.
Test(targets, refuses_answers_that_fail_a_check) {
  const std::string complete = RenderTaskRecord("j1", "the answer");
  std::string altered = complete;
  altered.replace(altered.find("the answer"), 10, "The answer");
  std::string shorter = complete;
  shorter.replace(shorter.find("the answer"), 10, "the answ");
  const std::vector<FakeAnswer> answers{
      {200, complete, complete.size() - 3},
      {200, altered},
      {200, shorter},
      {200, RenderTaskRecord("j2", "the answer")},
      {200, RenderTaskRecord("j1", "the answer", 2)},
      {200, complete.substr(0, complete.size() - 3)},
      // The target has discarded the answer after an acknowledgement.
      {200, R"({"job_id":"j1","index":0,"attempt":1,"state":"done"})"},
      {500, complete},
  };
  std::size_t next = 0;
  FakeTarget fake(
      [&](const std::string&, json_t*) { return answers.at(next); });
  auto client = MakeClient(1);
  for (; next < answers.size(); ++next) {
    const auto started = client.StartAndWait(
        {fake.address(), 4}, MakeOrder("j1"), "p", Reuse::kAllowed);
    cr_assert(std::holds_alternative<Undetermined>(started), "start %zu", next);
    const auto found = client.Lookup(
        {fake.address(), 4}, MakeOrder("j1").attempt, false, Reuse::kAllowed);
    cr_assert(std::holds_alternative<Undetermined>(found), "lookup %zu", next);
  }
}

// Guards against reporting a call as sent that never left this host, and
// against treating a refusal as a failure.
Test(targets, distinguishes_unsent_refused_and_unknown_attempts) {
  auto client = MakeClient(1);
  std::string closed_address;
  {
    FakeTarget closed_target(
        [](const std::string&, json_t*) { return FakeAnswer{}; });
    closed_address = closed_target.address();
  }
  const auto order = MakeOrder("j1");
  auto started = client.Start({closed_address, 4}, order, "p", Reuse::kAllowed);
  cr_assert(std::holds_alternative<NotSent>(started));
  FakeTarget fake([](const std::string& path, json_t*) {
    return path == "/v1/tasks/lookup"
               ? FakeAnswer{404, "{}"}
               : FakeAnswer{409, R"({"reason":"capacity"})"};
  });
  const Target target{fake.address(), 4};
  started = client.Start(target, order, "p", Reuse::kAllowed);
  const auto* refused = std::get_if<RefusedByTarget>(&started);
  cr_assert_not_null(refused);
  cr_assert(refused->reason == "capacity");
  const auto found =
      client.Lookup(target, order.attempt, true, Reuse::kForbidden);
  cr_assert(std::holds_alternative<NotFound>(found));
}

// Guards against a waiting start that hangs on a connection that no longer
// delivers anything, and against later calls that use connections of the same
// age.
Test(targets, recovers_from_silent_connections) {
  constexpr int kIdleConnections = 4;
  std::mutex mutex;
  std::condition_variable changed;
  bool release = false;
  int starts = 0;
  int lookups = 0;
  int awaited_lookups = 0;
  FakeTarget fake([&](const std::string& path, json_t* body) {
    std::unique_lock lock(mutex);
    const bool start = path == "/v1/tasks/start";
    ++(start ? starts : lookups);
    changed.notify_all();
    // Simultaneous lookups are answered together, so that each uses its own
    // connection.
    changed.wait_for(lock, milliseconds(1'500), [&] {
      return start ? release : lookups >= awaited_lookups;
    });
    return FakeAnswer{200, RenderTaskRecord(JobIdOf(body), "late")};
  });
  auto client = MakeClient(1);
  const Target target{fake.address(), 16};
  const auto order = MakeOrder("j1");
  const auto look_up = [&] {
    const auto begin = steady_clock::now();
    const auto found =
        client.Lookup(target, order.attempt, false, Reuse::kAllowed);
    return std::holds_alternative<Found>(found) &&
           steady_clock::now() - begin < milliseconds(900);
  };
  const auto look_up_simultaneously = [&] {
    {
      std::lock_guard lock(mutex);
      awaited_lookups = lookups + kIdleConnections;
    }
    std::atomic<int> successful = 0;
    std::vector<std::thread> threads;
    threads.reserve(kIdleConnections);
    for (int i = 0; i < kIdleConnections; ++i) {
      threads.emplace_back([&] { successful += look_up() ? 1 : 0; });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    return successful.load();
  };
  cr_assert_eq(look_up_simultaneously(), kIdleConnections);
  StartResult result;
  std::thread caller([&] {
    result = client.StartAndWait(target, order, "p", Reuse::kForbidden);
  });
  {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return starts > 0; });
    fake.SilenceOpenConnections();
    release = true;
    changed.notify_all();
  }
  const auto silent_since = steady_clock::now();
  caller.join();
  cr_assert(steady_clock::now() - silent_since < kRecoveryBound);
  const auto* done = std::get_if<Finished>(&result);
  cr_assert_not_null(done);
  cr_assert(done->record.answer.bytes == "late");
  cr_assert_eq(look_up_simultaneously(), kIdleConnections,
               "a retired connection was used again");
}

// Guards against waiting starts that occupy the only connection, which lookups
// need.
Test(targets, waiting_starts_do_not_occupy_a_single_connection) {
  std::atomic<int> lookups = 0;
  FakeTarget fake([&](const std::string& path, json_t* body) {
    if (path == "/v1/tasks/start") {
      cr_assert(json_is_false(json_object_get(body, "wait")));
      return FakeAnswer{202, "{}"};
    }
    return FakeAnswer{200,
                      RenderTaskRecord(JobIdOf(body), "", 1,
                                       ++lookups < 3 ? "running" : "done")};
  });
  auto client = MakeClient(9);
  const auto result = client.StartAndWait({fake.address(), 4}, MakeOrder("j1"),
                                          "p", Reuse::kAllowed);
  cr_assert(std::holds_alternative<Finished>(result));
  cr_assert_eq(fake.max_open_connections(), 1);
}

// Guards against losing a whole text because of one value that jansson refuses.
Test(json_reader, reads_what_is_beside_an_invalid_value) {
  const std::string nested(3'000, '[');
  const std::string values[] = {"99999999999999999999",
                                "1e999",
                                "\"\\ud800\"",
                                "\"\xff\"",
                                "{\"a\":1,\"a\":2}",
                                "nonsense",
                                nested + std::string(nested.size(), ']'),
                                "[\"]\\\"\",1e999]"};
  for (const auto& it : values) {
    std::string text = "{\"a\":[1, ";
    text.append(it).append(" ,\"]\"],\"b\": ").append(it);
    text.append(",\"c\":{\"d\":\"}\"},\"e\":[]}");
    const auto object = ParseReadableParts(text);
    cr_assert(object.has_value(), "%s", it.c_str());
    const auto* list = json_object_get(object->get(), "a");
    cr_assert_eq(json_array_size(list), 3, "%s", it.c_str());
    cr_expect_eq(json_integer_value(json_array_get(list, 0)), 1);
    cr_expect(json_is_null(json_array_get(list, 1)));
    cr_expect_str_eq(json_string_value(json_array_get(list, 2)), "]");
    cr_expect(json_is_object(json_object_get(object->get(), "c")));
    cr_expect_eq(json_array_size(json_object_get(object->get(), "e")), 0);
  }
}

// Guards against reading a part of a list of which the items cannot be told
// apart.
Test(json_reader, reads_no_part_of_a_list_with_a_missing_item) {
  for (const char* it : {"{\"a\":[1,1e999,],\"b\":2}",
                         "{\"a\":[1 1:1],\"b\":2}", "{\"a\":[,],\"b\":2}"}) {
    const auto object = ParseReadableParts(it);
    cr_assert(object.has_value(), "%s", it);
    cr_expect(json_is_null(json_object_get(object->get(), "a")), "%s", it);
    cr_expect_eq(json_integer_value(json_object_get(object->get(), "b")), 2);
  }
}

// Guards against guessing where values end in a text that is cut off or has
// brackets that do not match.
Test(json_reader, refuses_values_that_cannot_be_told_apart) {
  const char* const texts[] = {"",
                               "{",
                               "[1e999]",
                               "{\"a\":[1e999",
                               "{\"a\":[1e999]",
                               "{\"a\":[1e999}}",
                               "{\"a\":1e999,}",
                               "{\"a\":1e999}x",
                               "{\"a\":1e999 \"b\":1}",
                               "{\"a\":1e999,\"a\":1}",
                               "{\"a\":\"1e999}",
                               "{\"a\":\"\\",
                               "{a:1e999}",
                               "{\"a\\u0000\":1e999}",
                               "{1e999}"};
  for (const char* it : texts) {
    cr_expect_not(ParseReadableParts(it).has_value(), "%s", it);
  }
  cr_expect_not(ParseReadableParts(std::string(1U << 20, '[')).has_value());
}

// Guards against reporting a start as not sent that the target has read before
// it reset the connection and refused further ones.
Test(targets, reports_a_start_as_undetermined_after_a_reset_and_a_refusal) {
  http::ScriptedServer* self = nullptr;
  http::ScriptedServer server([&](int, int request) {
    if (request == 1) {
      return std::string("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    }
    self->RefuseConnections();
    return std::string(http::ScriptedServer::kResetConnection);
  });
  self = &server;
  auto client = MakeClient(1);
  const std::string scheme = "http://";
  const Target target{server.url().substr(scheme.size(), server.url().size() -
                                                             scheme.size() - 1),
                      6};
  cr_assert(std::holds_alternative<Accepted>(
      client.Start(target, MakeOrder("j1"), "p", Reuse::kAllowed)));
  cr_expect(std::holds_alternative<Undetermined>(
      client.Start(target, MakeOrder("j2"), "p", Reuse::kAllowed)));
  cr_expect_eq(server.accepted_connections(), 1);
}

}  // namespace cranberryshunt::targets
