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
// Longer waits are split, so that an entry that goes silent is left in time.
constexpr std::chrono::milliseconds kMaxWait{10'000};
// Time to get the answer after the wait has ended at the entry.
constexpr std::chrono::milliseconds kAnswerMargin{1'000};

std::int64_t WaitMilliseconds(const EntryCaller& caller, bool wait) {
  if (!wait) {
    return 0;
  }
  const auto left = caller.time_left() - kAnswerMargin;
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

// Prints a job, or asks again while it is pending and time is left.
int Follow(EntryCaller& caller,
           Result<HttpReply> reply,
           bool wait,
           ExitCode (*exit_code_of)(const json_t*) = &ExitCodeOf) {
  while (true) {
    if (!reply) {
      return ReportError(reply.error(), caller.json());
    }
    if (!IsJobReply(*reply)) {
      return ReportErrorReply(*reply, caller.json());
    }
    const json_t* job = reply->body.get();
    const std::string id = TextOf(job, "job_id");
    const auto wait_ms = WaitMilliseconds(caller, wait);
    if (TextOf(job, "outcome") != "pending" || wait_ms == 0 || id.empty()) {
      Print(job, caller.json());
      return exit_code_of(job);
    }
    reply = caller.Call(
        "GET", fmt::format("/v1/jobs/{}?wait_ms={}", EscapePath(id), wait_ms),
        nullptr);
  }
}

Json JobBody(const SubmitOptions& job) {
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
  const bool harmless =
      job.kind == "interactive" && job.idempotent && !job.exclusive;
  if (keyed.idempotency_key.empty() && !harmless) {
    keyed.idempotency_key = RandomId("submit-");
  }
  EntryCaller caller(options);
  const auto path =
      fmt::format("/v1/jobs?wait_ms={}", WaitMilliseconds(caller, job.wait));
  return Follow(caller, caller.Call("POST", path, JobBody(keyed).get()),
                job.wait);
}

int ShowJob(const ClientOptions& options, const JobReference& job, bool wait) {
  EntryCaller caller(options);
  const std::string base =
      job.job_id.empty() ? fmt::format("/v1/keys/{}/{}", EscapePath(job.team),
                                       EscapePath(job.idempotency_key))
                         : "/v1/jobs/" + EscapePath(job.job_id);
  const auto path =
      fmt::format("{}?wait_ms={}", base, WaitMilliseconds(caller, wait));
  return Follow(caller, caller.Call("GET", path, nullptr), wait);
}

int CancelJob(const ClientOptions& options, const std::string& job_id) {
  EntryCaller caller(options);
  const Json body(json_object());
  auto reply = caller.Call("POST", "/v1/jobs/" + EscapePath(job_id) + "/cancel",
                           body.get());
  const bool unknown_job = reply && IntegerOf(reply->body.get(), "code") ==
                                        static_cast<int>(ResultCode::kNotFound);
  if (unknown_job) {
    return ReportErrorReply(*reply, caller.json());
  }
  // A running task is final only when its worker has stopped it.
  return Follow(caller, std::move(reply), true, [](const json_t* job) {
    const std::string outcome = TextOf(job, "outcome");
    if (outcome == "done") {
      return kExitFailed;  // It ended before it could be cancelled.
    }
    return outcome == "cancelled" ? kExitDone : ExitCodeOf(job);
  });
}

}  // namespace cranberryshunt::client
