// The subcommands submit, status and cancel.
#include <fmt/format.h>

#include <algorithm>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/client/client.h"
#include "http.h"
#include "output.h"

namespace cranberryshunt::client {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
// Longest wait in one call. Longer waits are split into several calls, so that
// another entry is tried in time when an entry stops responding.
constexpr std::chrono::milliseconds kMaxWait{10'000};
// Time that is left for the reply after the entry has stopped waiting.
constexpr std::chrono::milliseconds kReplyMargin{1'000};

// How long an entry is to wait for the end of the job, in milliseconds; 0
// without `wait` or when no time is left.
std::int64_t EntryWaitMs(const EntryCaller& caller, bool wait) {
  if (!wait) {
    return 0;
  }
  const auto left = caller.time_left() - kReplyMargin;
  return std::clamp(left, std::chrono::milliseconds(0), kMaxWait).count();
}

ExitCode ExitCodeOf(const json_t* job) {
  const std::string outcome = TextOf(job, "outcome");
  if (outcome == "done") {
    return kExitDone;
  }
  return outcome == "pending" || outcome == "unknown" ? kExitPending
                                                      : kExitFailed;
}

bool IsJobReply(const HttpReply& reply) {
  return json_object_get(reply.body.get(), "outcome") != nullptr &&
         (reply.status == kHttpOk || reply.status == kHttpAccepted);
}

// Prints the job of `reply` and returns its exit code. With `wait`, repeats the
// query first while the job is pending and time is left.
int WaitAndPrintJob(EntryCaller& caller,
                    Result<HttpReply> reply,
                    bool wait,
                    ExitCode (*exit_code_of)(const json_t*) = &ExitCodeOf) {
  while (true) {
    if (!reply) {
      return PrintError(reply.error(), caller.json());
    }
    if (!IsJobReply(*reply)) {
      return PrintErrorReply(*reply, caller.json());
    }
    const json_t* job = reply->body.get();
    const std::string id = TextOf(job, "job_id");
    const auto wait_ms = EntryWaitMs(caller, wait);
    if (TextOf(job, "outcome") != "pending" || wait_ms == 0 || id.empty()) {
      Print(job, caller.json());
      return exit_code_of(job);
    }
    reply = caller.Call(
        "GET",
        fmt::format("/v1/jobs/{}?wait_ms={}", EscapePathSegment(id), wait_ms),
        nullptr);
  }
}

Json EncodeJob(const SubmitOptions& job) {
  Json body(json_object());
  json_t* raw = body.get();
  SetText(raw, "team", job.team);
  SetText(raw, "kind", job.kind);
  SetText(raw, "service", job.service);
  SetInteger(raw, "tasks", job.tasks);
  SetInteger(raw, "milli_cpus", job.milli_cpus);
  SetInteger(raw, "memory_bytes", job.memory_bytes);
  SetInteger(raw, "accelerators", job.accelerators);
  SetInteger(raw, "slots", job.slots);
  if (job.expected_run_ms) {
    SetInteger(raw, "expected_run_ms", *job.expected_run_ms);
  }
  if (job.deadline_ms) {
    SetInteger(raw, "deadline_ms", *job.deadline_ms);
  }
  SetText(raw, "region", job.region);
  SetText(raw, "availability_zone", job.availability_zone);
  json_object_set_new(raw, "exclusive", json_boolean(job.exclusive));
  json_object_set_new(raw, "idempotent", json_boolean(job.idempotent));
  SetText(raw, "idempotency_key", job.idempotency_key);
  SetText(raw, "family", job.family);
  SetText(raw, "payload", job.payload);
  return body;
}

}  // namespace

int SubmitJob(const ClientOptions& options, const SubmitOptions& job) {
  SubmitOptions keyed = job;
  const bool safe_to_run_twice =
      job.kind == "interactive" && job.idempotent && !job.exclusive;
  if (keyed.idempotency_key.empty() && !safe_to_run_twice) {
    keyed.idempotency_key = RandomId("submit-");
  }
  EntryCaller caller(options);
  const auto path =
      fmt::format("/v1/jobs?wait_ms={}", EntryWaitMs(caller, job.wait));
  return WaitAndPrintJob(
      caller, caller.Call("POST", path, EncodeJob(keyed).get()), job.wait);
}

int ShowJob(const ClientOptions& options, const JobReference& job, bool wait) {
  EntryCaller caller(options);
  const std::string base =
      job.job_id.empty()
          ? fmt::format("/v1/keys/{}/{}", EscapePathSegment(job.team),
                        EscapePathSegment(job.idempotency_key))
          : "/v1/jobs/" + EscapePathSegment(job.job_id);
  const auto path =
      fmt::format("{}?wait_ms={}", base, EntryWaitMs(caller, wait));
  return WaitAndPrintJob(caller, caller.Call("GET", path, nullptr), wait);
}

int CancelJob(const ClientOptions& options, const std::string& job_id) {
  EntryCaller caller(options);
  const Json body(json_object());
  auto reply = caller.Call(
      "POST", "/v1/jobs/" + EscapePathSegment(job_id) + "/cancel", body.get());
  const bool unknown_job = reply && IntegerOf(reply->body.get(), "code") ==
                                        static_cast<int>(ResultCode::kNotFound);
  if (unknown_job) {
    return PrintErrorReply(*reply, caller.json());
  }
  // A running task has no final outcome until its worker has stopped it, so the
  // job is waited for.
  return WaitAndPrintJob(caller, std::move(reply), true, [](const json_t* job) {
    const std::string outcome = TextOf(job, "outcome");
    if (outcome == "done") {
      return kExitFailed;  // The job ended before it could be cancelled.
    }
    return outcome == "cancelled" ? kExitDone : ExitCodeOf(job);
  });
}

}  // namespace cranberryshunt::client
