// Jobs from submission to the answer of the target, and invalid requests.
#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/cell.h"
#include "support/json.h"
#include "support/load_generator.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{10'000};

std::string CountAuditRecords(const Cell& cell) {
  const Json audit =
      ParseJson(cell.CallAsOperator("GET", "/v1/audit?after=0", "").body);
  return std::to_string(
      json_array_size(json_object_get(audit.get(), "records")));
}

HttpReply Post(Cell& cell, const std::string& body) {
  return SendHttpRequest("POST", cell.entry_address(0), "/v1/jobs?wait_ms=0",
                         cell.caller_token(), body, kBound);
}

int CountStarts(const Cell& cell, const std::string& request) {
  const auto records = cell.records();
  return static_cast<int>(
      std::count_if(records.begin(), records.end(), [&](const auto& it) {
        return it.event == "start" && it.request == request;
      }));
}

}  // namespace

// Guards against a kind of job that never starts, and against answers that do
// not reach their callers.
Test(path, every_kind_reaches_its_caller) {
  TestSeed();
  Cell cell({});
  cr_assert(cell.Start());
  int n = 0;
  for (const char* kind : {"batch", "gang", "interactive"}) {
    JobRequest job;
    job.request = "path-" + std::to_string(n);
    job.kind = kind;
    job.tasks = job.kind == "gang" ? 4 : 1;
    job.more_payload = "sleep=50;answer_bytes=20000";
    job.key = job.request;
    const auto response = cell.caller().SubmitUntilFinal(job, n++, kBound);
    cr_expect(response.outcome == "done", "%s: outcome %s, code %d", kind,
              response.outcome.c_str(), response.code);
  }
  JobRequest failing;
  failing.request = "failing";
  failing.kind = "batch";
  failing.idempotent = false;
  failing.more_payload = "fail=1";
  const auto response = cell.caller().SubmitUntilFinal(failing, 0, kBound);
  cr_expect(response.outcome == "failed", "outcome %s",
            response.outcome.c_str());
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a response with the outcome "done" but without the answer.
// This happens when the worker's notice of the end arrives before the answer,
// which is too large for the controllers to keep.
Test(path, large_answers_reach_their_callers) {
  Cell cell({});
  cr_assert(cell.Start());
  constexpr int kJobs = 100;
  LoadGenerator load(8, [&](int thread, int n) {
    JobRequest job;
    job.request = "large-" + std::to_string(thread) + "-" + std::to_string(n);
    job.more_payload = "answer_bytes=900000";
    const auto response = cell.caller().SubmitUntilFinal(job, thread, kBound);
    cr_expect(response.outcome == "done", "%s: '%s', code %d %s",
              job.request.c_str(), response.outcome.c_str(), response.code,
              response.reason.c_str());
  });
  cr_expect(WaitUntil(3 * kBound, [&] { return load.iterations() >= kJobs; }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a service that is not started again after it ends, and against
// a command-line client that reports another outcome than the HTTP interface.
Test(path, service_runs_until_cancelled) {
  Cell cell({});
  cr_assert(cell.Start());
  const auto run = [&](std::vector<std::string> arguments) {
    arguments.emplace_back("--json");
    return RunProgram("cranberryshunt", arguments, cell.client_environment(),
                      kBound);
  };
  const auto submitted =
      run({"submit", "--team", "noosa", "--kind", "service", "--milli-cpus",
           "100", "--memory-bytes", "1000000", "--no-wait", "--payload",
           "request=kept;sleep=50"});
  cr_expect_eq(submitted.exit_code, 3, "%s", submitted.output.c_str());
  const std::string id = TextOf(ParseJson(submitted.output).get(), "job_id");
  cr_expect(WaitUntil(kBound, [&] { return CountStarts(cell, "kept") >= 2; }));
  const auto cancelled = run({"cancel", id});
  cr_expect_eq(cancelled.exit_code, 0, "%s", cancelled.output.c_str());
  const auto status = run({"status", id, "--wait"});
  cr_expect_eq(status.exit_code, 1);
  cr_expect_str_eq(TextOf(ParseJson(status.output).get(), "outcome").c_str(),
                   "cancelled");
  cr_expect_eq(run({"status", "no-such-job"}).exit_code, 1);
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against an invalid request that is accepted by guessing what was
// meant, or that creates a job, a rule or an audit record.
Test(path, bad_input_changes_nothing) {
  Cell cell({.controllers = 1, .entries = 1, .target_processes = 1});
  cr_assert(cell.Start());
  const std::string valid_fields =
      R"("team":"a","kind":"batch","milli_cpus":1,"memory_bytes":1)";
  const auto audit_count_before = CountAuditRecords(cell);
  const std::vector<std::string> bodies = {
      "",
      "{",
      "[]",
      "null",
      "{\"team\":\"a\"",
      "{" + valid_fields + ",\"x\":1}",
      "{" + valid_fields + ",\"tasks\":0}",
      "{" + valid_fields + ",\"tasks\":1.5}",
      "{" + valid_fields + ",\"tasks\":99999999999999999999}",
      "{" + valid_fields + ",\"exclusive\":\"yes\"}",
      "{" + valid_fields + ",\"deadline_ms\":-1}",
      R"({"team":"a","kind":"bach","milli_cpus":1,"memory_bytes":1})",
      R"({"team":"","kind":"batch","milli_cpus":1,"memory_bytes":1})",
      R"({"team":"a","kind":"batch","milli_cpus":-1,"memory_bytes":1})",
      R"({"team":"a","kind":"batch","memory_bytes":1})",
      "{" + valid_fields + ",\"payload\":\"" + std::string(70'000, 'x') +
          "\"}"};
  for (const auto& body : bodies) {
    const auto reply = Post(cell, body);
    cr_expect(reply.status == 400 || reply.status == 413, "%d for %.60s",
              reply.status, body.c_str());
    const Json answer = ParseJson(reply.body);
    cr_expect(IntegerOf(json_object_get(answer.get(), "error"), "code") > 0);
  }
  const std::string publication =
      R"({"publication_id":"p","base_revision":0,"version":"1","operator":"o",)"
      R"("files":[{"path":"a.rules.yaml","content":"plcement: []"}]})";
  cr_expect_eq(
      cell.CallAsOperator("POST", "/v1/rules/publish", publication).status,
      400);
  const Json rules =
      ParseJson(cell.CallAsOperator("GET", "/v1/rules", "").body);
  cr_expect_eq(IntegerOf(rules.get(), "revision"), 0);
  cr_expect_str_eq(CountAuditRecords(cell).c_str(), audit_count_before.c_str());

  // A request with a wrong token is refused as well. Unlike the requests above,
  // it creates an audit record.
  for (const char* path : {"/v1/jobs", "/v1/rules/publish"}) {
    cr_expect_eq(SendHttpRequest("POST", cell.entry_address(0), path, "wrong",
                                 "{" + valid_fields + "}", kBound)
                     .status,
                 401);
  }
  cr_expect(WaitUntil(
      kBound, [&] { return CountAuditRecords(cell) != audit_count_before; }));
  const auto records = cell.records();
  cr_expect(std::none_of(records.begin(), records.end(),
                         [](const auto& it) { return it.event == "start"; }));
}

}  // namespace cranberryshunt::test
