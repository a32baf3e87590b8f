#include <criterion/criterion.h>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "../targets/fake_target.h"
#include "entry_fixture.h"

namespace cranberryshunt::entry {

namespace {

constexpr std::size_t kThreads = 64;

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using targets::FakeAnswer;
using targets::FakeTarget;
using targets::RenderTaskRecord;

// Responds to each start, after 30 ms, with the payload as the answer.
FakeAnswer Echo(const std::string& /*path*/, json_t* body) {
  std::this_thread::sleep_for(milliseconds(30));
  const char* payload = json_string_value(json_object_get(body, "payload"));
  return {200,
          RenderTaskRecord(json_string_value(json_object_get(body, "job_id")),
                           payload == nullptr ? "" : payload)};
}

// Returns the body of an announcement. If `task` is set, the announcement lists
// a finished task that has the fields in `task`.
std::string Announcement(const std::string& identity,
                         int clock_ms,
                         const std::string& task = {}) {
  return R"({"identity":")" + identity +
         R"(","incarnation":"i","address":"127.0.0.1:1","region":"r",)"
         R"("availability_zone":"z","rack":"k","milli_cpus":1000,)"
         R"("memory_bytes":1000,"slots":8,"connections":64,"clock_ms":)" +
         std::to_string(clock_ms) +
         (task.empty()
              ? "}"
              : R"(,"tasks":[{"job_id":"j","state":"done",)" + task + "}]}");
}

}  // namespace

// Guards against an answer that reaches the wrong caller, and against
// an answer that its caller has received being sent to the leader as well.
Test(entry, each_caller_gets_its_own_answer) {
  FakeTarget target(&Echo);
  EntryFixture cell(target.address());
  cr_assert(cell.WaitForReady());
  std::vector<std::thread> callers;
  callers.reserve(kThreads);
  std::atomic<int> correct = 0;
  for (int i = 0; i < 60; ++i) {
    callers.emplace_back([&, i] {
      const std::string payload = "payload-" + std::to_string(i) + ".";
      const auto reply = cell.Submit("interactive", payload, 20'000);
      correct += reply.status == 200 && reply.Contains(payload) &&
                 reply.Contains("\"outcome\":\"done\"");
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  cr_assert_eq(correct, 60);
  cr_assert(cell.controller.WaitFor(
      [&] { return cell.controller.results.size() >= 60; }));
  cell.controller.Locked([&] {
    for (const auto& result : cell.controller.results) {
      cr_assert(result.answer.bytes.empty() && !result.answer.stored);
      cr_assert_gt(result.answer.length, 0);
      cr_assert_eq(result.fence, 7);
    }
    for (const auto& submit : cell.controller.submitted) {
      cr_assert(submit.spec.payload.empty(),
                "the payload was sent to the leader");
    }
  });
}

// Guards against the answer of a job with an idempotency key being lost before
// its caller queries the job again.
Test(entry, answers_of_keyed_jobs_are_stored) {
  FakeTarget target(&Echo);
  EntryFixture cell(target.address());
  cr_assert(cell.WaitForReady());
  const auto reply =
      cell.Submit("interactive", "keep", 20'000, R"(,"idempotency_key":"k")");
  cr_assert_eq(reply.status, 200);
  cr_assert(cell.controller.WaitFor(
      [&] { return !cell.controller.results.empty(); }));
  cr_assert(cell.controller.Locked([&] {
    const auto& answer = cell.controller.results.front().answer;
    return answer.stored && answer.bytes == "keep";
  }));
}

// Guards against an answer that is missed because it arrives before the
// leader's reply to the submission.
Test(entry, an_answer_may_come_before_the_submit_reply) {
  FakeTarget target(&Echo);
  EntryFixture cell(target.address());
  cr_assert(cell.WaitForReady());
  cell.controller.Locked([&] { cell.controller.reply_after_result = true; });
  const std::string big(100'000, 'x');
  const auto reply = cell.Submit("interactive", big, 20'000);
  cr_assert_eq(reply.status, 200);
  cr_assert(reply.Contains(big));
}

// Guards against invalid requests that are accepted, and against errors that do
// not name the field.
Test(entry, invalid_requests_are_refused_and_the_field_is_named) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  struct Case {
    const char* body;
    const char* name;
    const char* field;
  };
  const Case cases[] = {
      {"{", "invalid_json", ""},
      {"[]", "invalid_json", ""},
      {R"({"kind":"batch","milli_cpus":1,"memory_bytes":1})", "missing_field",
       "team"},
      {R"({"team":"t","kind":"x","milli_cpus":1,"memory_bytes":1})",
       "invalid_field", "kind"},
      {R"({"team":"t","kind":"batch","milli_cpus":"1","memory_bytes":1})",
       "wrong_type", "milli_cpus"},
      {R"({"team":"t","kind":"batch","milli_cpus":1.5,"memory_bytes":1})",
       "wrong_type", "milli_cpus"},
      {R"({"team":"t","kind":"batch","milli_cpus":1,"memory_bytes":-1})",
       "invalid_field", "memory_bytes"},
      {R"({"team":"t","kind":"batch","milli_cpus":1,"memory_bytes":1,"tasks":0})",
       "invalid_field", "tasks"},
      {R"({"team":"t","kind":"batch","milli_cpus":1,"memory_bytes":1,"cpu":0})",
       "unknown_field", "cpu"},
      {R"({"team":"t","kind":"batch","milli_cpus":1,"memory_bytes":99999999999999999999})",
       "invalid_json", ""},
      {R"({"team":"t","team":"u","kind":"batch","milli_cpus":1,"memory_bytes":1})",
       "invalid_json", ""},
  };
  for (const auto& it : cases) {
    const auto reply = Fetch(cell.url + "/v1/jobs", "caller", it.body);
    cr_assert_eq(reply.status, 400, "%s", it.body);
    cr_assert(reply.Contains(it.name), "%s: %s", it.body, reply.body.c_str());
    cr_assert(reply.Contains(it.field), "%s: %s", it.body, reply.body.c_str());
  }
  auto reply = Fetch(cell.url + "/v1/targets/announce", "target",
                     Announcement("w", 1, R"("index":0,"attempt":"1")"));
  cr_assert_eq(reply.status, 400);
  cr_assert(reply.Contains("tasks[0].attempt"), "%s", reply.body.c_str());
  cr_assert_eq(
      Fetch(cell.url + "/v1/jobs", "caller", std::string((1 << 20) + 1, 'x'))
          .status,
      413);
  reply = Fetch(cell.url + "/v1/jobs?wait_ms=1x", "caller", "{}");
  cr_assert_eq(reply.status, 400);
  cr_assert(cell.controller.submitted.empty());
}

// Guards against the refusal of an announcement because of one damaged answer,
// which would end the leases of its worker's tasks, and against the leader not
// seeing the damage.
Test(entry, damaged_answers_of_announcements_reach_the_leader) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  const std::string large(100'000, 'x');
  for (const auto& answer : {std::string("ab"), large}) {
    const std::string task =
        R"("index":0,"attempt":1,"answer_length":100000,"answer_crc32":1,)"
        R"("answer":")" +
        answer + "\"";
    cr_assert_eq(Fetch(cell.url + "/v1/targets/announce", "target",
                       Announcement("w", 1, task))
                     .status,
                 200);
  }
  cell.controller.Locked([&] {
    cr_assert_eq(cell.controller.announced_attempts.size(), 2U);
    for (const auto& record : cell.controller.announced_attempts) {
      const auto& answer = record.answer;
      cr_assert(answer.stored && !answer.bytes.empty());
      cr_assert_lt(answer.bytes.size(), 100'000U);
      cr_assert(answer.length == 100'000 && answer.crc32 == 1);
    }
  });
}

// Guards against tokens of another role being accepted, and against refusals
// that are not recorded in the audit trail or that flood it.
Test(entry, refused_tokens_are_audited_at_a_limited_rate) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  for (int i = 0; i < 30; ++i) {
    cr_assert_eq(Fetch(cell.url + "/v1/cluster", "caller").status, 401);
  }
  cr_assert_eq(Fetch(cell.url + "/v1/jobs", "", "{}").status, 401);
  cr_assert_eq(Fetch(cell.url + "/v1/cluster", "operator").status, 200);
  cr_assert(
      cell.controller.WaitFor([&] { return !cell.controller.audit.empty(); }));
  cr_assert(cell.controller.Locked([&] {
    const auto& record = cell.controller.audit.front();
    return record.action == "refuse_token" &&
           record.detail.find("operator") != std::string::npos &&
           cell.controller.audit.size() < 30;
  }));
}

// Guards against an entry that admits work without a valid rules lease.
Test(entry, an_expired_rules_lease_stops_admission) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  cell.controller.Locked([&] { cell.controller.rules_lease_ms = 0; });
  cr_assert(cell.WaitForReady(503));
  const auto reply = cell.Submit("batch", "", 0);
  cr_assert_eq(reply.status, 503);
  cr_assert(reply.Contains("not_run") && reply.Contains("not_ready"));
  cr_assert(reply.headers.find("Retry-After") != std::string::npos);
  cr_assert(cell.controller.submitted.empty());
}

// Guards against calls to the leader for a kind whose queue is full, and
// against a full queue of one kind that stops submissions of another.
Test(entry, full_queues_are_refused_locally) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  cell.controller.Locked([&] {
    wire::KindPressure pressure;
    pressure.kind = wire::JobKind::kBatch;
    pressure.full = true;
    pressure.retry_after_ms = 1'500;
    cell.controller.pressure = {pressure};
  });
  HttpReply reply;
  do {
    reply = cell.Submit("batch", "", 0);
  } while (reply.status == 202);
  cr_assert_eq(reply.status, 429);
  cr_assert(reply.Contains("not_run"));
  cr_assert(reply.headers.find("Retry-After: 2") != std::string::npos);
  cr_assert_eq(cell.Submit("service", "", 0).status, 202);
}

// Guards against reporting `not_run` for a job that the leader may have
// committed.
Test(entry, an_undetermined_submission_is_unknown) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  cell.controller.Locked([&] { cell.controller.break_submit_calls = true; });
  auto reply = cell.Submit("batch", "", 0);
  cr_assert_eq(reply.status, 504);
  cr_assert(reply.Contains("\"outcome\":\"unknown\"") &&
            reply.Contains("\"code\":1403"));
  cell.controller.Locked([&] {
    const auto& submitted = cell.controller.submitted;
    cr_assert_gt(submitted.size(), 1U);
    cr_assert(submitted.front().job_id == submitted.back().job_id);
    cr_assert(reply.Contains(submitted.front().job_id));
    cell.controller.break_submit_calls = false;
    cell.controller.submit_code = static_cast<int>(ResultCode::kStorageFull);
  });
  reply = cell.Submit("batch", "", 0);
  cr_assert_eq(reply.status, 503);
  cr_assert(reply.Contains("\"outcome\":\"not_run\"") &&
            reply.Contains("storage_full"));
}

// Guards against the outcome `unknown` when a repeated call to the next leader
// determines the outcome, and against a refusal when an earlier call may have
// been carried out.
Test(entry, a_leader_change_repeats_the_submission) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  cell.controller.Locked([&] { cell.controller.transient_submit_errors = 2; });
  cr_assert_eq(cell.Submit("batch", "", 0).status, 202);
  cell.controller.Locked([&] {
    const auto& submitted = cell.controller.submitted;
    cr_assert_eq(submitted.size(), 3U);
    cr_assert(submitted[0].job_id == submitted[2].job_id);
    cell.controller.transient_submit_errors = 1;
    cell.controller.submit_code = static_cast<int>(ResultCode::kQueueFull);
  });
  cr_assert(cell.Submit("batch", "", 0).Contains("\"outcome\":\"unknown\""));
}

// Guards against a shutdown that cuts off requests in flight or still admits
// new work.
Test(entry, shutdown_answers_everything_in_flight) {
  std::atomic<int> starts = 0;
  FakeTarget target([&](const std::string& path, json_t* body) {
    ++starts;
    std::this_thread::sleep_for(milliseconds(400));
    return Echo(path, body);
  });
  EntryFixture cell(target.address());
  cr_assert(cell.WaitForReady());
  std::vector<std::thread> callers;
  callers.reserve(kThreads);
  std::atomic<int> answered = 0;
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back([&] {
      const auto reply = cell.Submit("interactive", "p", 20'000);
      answered += reply.status == 200 && reply.Contains("\"done\"");
    });
  }
  while (starts < 20) {
    std::this_thread::yield();
  }
  std::int64_t interrupted = -1;
  std::thread stopper([&] { interrupted = cell.entry->Shutdown(); });
  cr_assert(cell.WaitForReady(503));
  const auto refused = cell.Submit("batch", "", 0);
  cr_assert(refused.status == 0 ||
            (refused.status == 503 &&
             refused.headers.find("Connection: close") != std::string::npos));
  for (auto& caller : callers) {
    caller.join();
  }
  stopper.join();
  cr_assert_eq(interrupted, 0);
  cr_assert_eq(answered, 20);
  cr_assert_eq(Fetch(cell.url + "/healthz", "").status, 0);
  cr_assert(cell.controller.Locked(
      [&] { return cell.controller.polls.back().draining; }));
}

// Guards against an Abort() that does not end a running Shutdown(), and against
// interrupted requests that are not counted. An operator's second signal calls
// Abort().
Test(entry, an_abort_ends_the_shutdown_and_counts_interrupted_requests) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  std::thread caller([&] { cell.Submit("batch", "", 20'000); });
  cr_assert(cell.controller.WaitFor(
      [&] { return !cell.controller.submitted.empty(); }));
  std::int64_t interrupted = -1;
  const auto begin = steady_clock::now();
  std::thread stopper([&] { interrupted = cell.entry->Shutdown(); });
  cr_assert(cell.WaitForReady(503));
  cell.entry->Abort();
  stopper.join();
  caller.join();
  cr_assert_eq(interrupted, 1);
  cr_assert(steady_clock::now() - begin < std::chrono::seconds(10));
}

// Guards against connections that are reset because the listening socket is
// closed during their handshake or their first request.
Test(entry, closing_the_listener_cuts_no_connection) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  std::atomic<bool> stop = false;
  std::atomic<int> cut_off = 0;
  std::atomic<int> complete = 0;
  std::vector<std::thread> callers;
  callers.reserve(kThreads);
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&] {
      while (!stop) {
        const auto reply = Fetch(cell.url + "/healthz", "");
        complete += reply.status == 200;
        cut_off += reply.status == 0 && reply.connected;
      }
    });
  }
  while (complete < 100) {
    std::this_thread::yield();
  }
  cr_assert_eq(cell.entry->Shutdown(), 0);
  stop = true;
  for (auto& caller : callers) {
    caller.join();
  }
  cr_assert_eq(cut_off, 0);
}

// Guards against replies of the leader that reach the wrong target, and
// against a target that waits too long when the leader is not reachable.
Test(entry, announcements_get_their_own_reply_or_503) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  std::atomic<int> correct = 0;
  for (int i = 0; i < 20; ++i) {
    threads.emplace_back([&, i] {
      const auto reply = Fetch(cell.url + "/v1/targets/announce", "target",
                               Announcement("w", 1'000 + i));
      correct += reply.status == 200 &&
                 reply.Contains("\"clock_ms\":" + std::to_string(1'000 + i));
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  cr_assert_eq(correct, 20);
  cell.controller.Locked([&] { cell.controller.break_report_calls = true; });
  const auto begin = steady_clock::now();
  const auto reply =
      Fetch(cell.url + "/v1/targets/announce", "target", Announcement("w", 1));
  cr_assert_eq(reply.status, 503);
  cr_assert(steady_clock::now() - begin < milliseconds(2'500));
}

// Guards against reporting `never_started` for an attempt that the target may
// have started, and `unknown` for an attempt that was never sent.
Test(entry, failed_starts_are_reported_with_their_known_state) {
  std::atomic<bool> target_accepts_bars = true;
  FakeTarget target([&](const std::string& path, json_t* body) {
    // Starts get no usable response, so the entry must look the attempt up.
    const bool lookup = path == "/v1/tasks/lookup";
    if (lookup && target_accepts_bars &&
        json_is_true(json_object_get(body, "bar"))) {
      return FakeAnswer{404, "{}"};
    }
    return FakeAnswer{500, "{}"};
  });
  EntryFixture cell(target.address());
  cr_assert(cell.WaitForReady());
  const auto state_of = [&](const std::string& job_id, bool reachable,
                            std::int64_t valid_ms) {
    wire::StartOrder start;
    start.attempt.job_id = job_id;
    start.kind = wire::JobKind::kBatch;
    start.address = reachable ? target.address() : "127.0.0.1:1";
    start.valid_ms = valid_ms;
    cell.controller.OrderStart(start);
    auto state = wire::AttemptState::kRunning;
    cr_assert(cell.controller.WaitFor([&] {
      for (const auto& result : cell.controller.results) {
        if (result.attempt.job_id == job_id) {
          state = result.state;
          return true;
        }
      }
      return false;
    }));
    return state;
  };
  cr_assert_eq(state_of("late", true, 0), wire::AttemptState::kNeverStarted);
  cr_assert_eq(state_of("barred", true, 100),
               wire::AttemptState::kNeverStarted);
  cr_assert_eq(state_of("unsent", false, 100),
               wire::AttemptState::kNeverStarted);
  target_accepts_bars = false;
  cr_assert_eq(state_of("lost", true, 100), wire::AttemptState::kUnknown);
}

// Guards against a start that is lost because its connection to the target went
// silent.
Test(entry, recovers_when_open_target_connections_go_silent) {
  std::mutex mutex;
  std::set<std::string> started;
  FakeTarget target([&](const std::string& path, json_t* body) {
    const std::string job = json_string_value(json_object_get(body, "job_id"));
    std::lock_guard lock(mutex);
    if (path == "/v1/tasks/start") {
      started.insert(job);
    } else if (!started.contains(job)) {
      return FakeAnswer{404, "{}"};
    }
    return FakeAnswer{200, RenderTaskRecord(job, "answer")};
  });
  EntryFixture cell(target.address());
  cr_assert(cell.WaitForReady());
  cr_assert_eq(cell.Submit("interactive", "a", 20'000).status, 200);
  target.SilenceOpenConnections();
  const auto begin = steady_clock::now();
  cr_assert_eq(cell.Submit("interactive", "b", 20'000).status, 200);
  cr_assert(steady_clock::now() - begin < std::chrono::seconds(3));
}

// Guards against keys that reach the leader percent-encoded, and against an
// encoded slash that is taken for a path separator.
Test(entry, keys_in_paths_are_unescaped) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  cr_assert_eq(Fetch(cell.url + "/v1/keys/t%20m/a%2Fb%25", "caller").status,
               202);
  cell.controller.Locked([&] {
    cr_assert(cell.controller.queries.front().team == "t m");
    cr_assert(cell.controller.queries.front().idempotency_key == "a/b%");
  });
}

// Guards against callers that are not notified of the end of a job that is not
// interactive, or that get its answer without the bytes that the leader stores.
Test(entry, an_update_of_the_leader_ends_a_wait) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  HttpReply reply;
  std::thread caller([&] { reply = cell.Submit("batch", "p", 20'000); });
  cr_assert(cell.controller.WaitFor(
      [&] { return !cell.controller.submitted.empty(); }));
  wire::JobStatus job;
  job.job_id = cell.controller.Locked(
      [&] { return cell.controller.submitted.front().job_id; });
  job.outcome = wire::Outcome::kFailed;
  job.code = static_cast<int>(ResultCode::kTaskFailed);
  job.tasks.resize(1);
  job.tasks[0].outcome = wire::Outcome::kFailed;
  job.tasks[0].answer.bytes = "why";
  job.tasks[0].answer.length = 3;
  const auto begin = steady_clock::now();
  cell.controller.AddUpdate(job);
  caller.join();
  cr_assert(steady_clock::now() - begin < milliseconds(900),
            "the update did not end the wait");
  cr_assert_eq(reply.status, 200);
  cr_assert(reply.Contains("\"outcome\":\"failed\"") &&
            reply.Contains("\"answer\":\"why\""));
}

// Guards against results that are lost when the leader fails to commit them.
Test(entry, results_are_reported_again_after_a_failure) {
  FakeTarget target(&Echo);
  EntryFixture cell(target.address());
  cr_assert(cell.WaitForReady());
  cell.controller.Locked([&] { cell.controller.refuse_reports = true; });
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(cell.Submit("interactive", "p", 20'000).status, 200);
  }
  cr_assert(cell.controller.WaitFor(
      [&] { return cell.controller.refused_result_count >= 3; }));
  cell.controller.Locked([&] { cell.controller.refuse_reports = false; });
  cr_assert(cell.controller.WaitFor(
      [&] { return cell.controller.results.size() >= 3; }));
}

// Guards against requests of operators that are altered before they reach the
// leader, and against a revision conflict whose response does not name the
// winner.
Test(entry, operator_requests_reach_the_leader) {
  EntryFixture cell;
  cr_assert(cell.WaitForReady());
  const auto post = [&](const std::string& path, const std::string& body) {
    return Fetch(cell.url + path, "operator", body, "POST");
  };
  const std::string publication =
      R"("publication_id":"p2","version":"v","operator":"bo",)"
      R"("files":[{"path":"a.rules.yaml","content":"service: a\n"}]})";
  auto reply =
      post("/v1/rules/publish", R"({"base_revision":0,)" + publication);
  cr_assert_eq(reply.status, 409);
  cr_assert(reply.Contains("revision_conflict") && reply.Contains("ann/p1"));
  reply = post("/v1/rules/publish", R"({"base_revision":1,)" + publication);
  cr_assert_eq(reply.status, 200);
  cr_assert(reply.Contains("\"revision\":2"));
  const std::string invalid_rules =
      R"({"files":[{"path":"a.rules.yaml","content":"servise: a\n"}]})";
  reply = post("/v1/rules/check", invalid_rules);
  cr_assert_eq(reply.status, 400);
  cr_assert(reply.Contains("a.rules.yaml") && reply.Contains("\"line\":1"));
  cr_assert_eq(post("/v1/workers/w%201/drain", "").status, 200);
  cr_assert_eq(post("/v1/controllers", R"({"id":"c4","address":"127.0.0.1:9",)"
                                       R"("disk_identity":"d","voter":false})")
                   .status,
               200);
  cell.controller.Locked([&] {
    cr_assert(cell.controller.drained.identity == "w 1");
    cr_assert(cell.controller.drained.draining);
    cr_assert(cell.controller.membership.member.address == "127.0.0.1:9");
    cr_assert_not(cell.controller.membership.remove);
  });
  cr_assert_eq(
      Fetch(cell.url + "/v1/controllers/c4", "operator", "", "DELETE").status,
      200);
  cr_assert(cell.controller.Locked(
      [&] { return cell.controller.membership.remove; }));
  reply = Fetch(cell.url + "/v1/jobs/j1/cancel", "caller", "", "POST");
  cr_assert(reply.status == 200 && reply.Contains("\"cancelled\""));
  reply = Fetch(cell.url + "/v1/jobs/none/cancel", "caller", "", "POST");
  cr_assert_eq(reply.status, 404);
  cr_assert(Fetch(cell.url + "/metrics", "").Contains("resident_bytes"));
}

// Guards against an entry that ignores the orders of a new leader: their
// sequence numbers start again, so it could take them for orders that it has
// already received.
Test(entry, orders_of_a_new_session_are_not_taken_for_old_ones) {
  FakeTarget target(&Echo);
  EntryFixture cell(target.address());
  cr_assert(cell.WaitForReady());
  cr_assert_eq(cell.Submit("interactive", "a", 20'000).status, 200);
  cell.controller.StartSession(2);
  cr_assert_eq(cell.Submit("interactive", "b", 20'000).status, 200);
  cr_assert(cell.controller.Locked(
      [&] { return cell.controller.polls.back().session == 2; }));
}

}  // namespace cranberryshunt::entry
