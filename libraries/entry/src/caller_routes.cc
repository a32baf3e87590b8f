#include <optional>
#include <utility>

#include "context.h"
#include "cranberryshunt/base/bytes.h"
#include "json_output.h"
#include "request_parsers.h"
#include "submission.h"

namespace cranberryshunt::entry {

namespace {

using std::chrono::milliseconds;

// Response for a job that was not accepted: it did not run and never will.
HttpResponse NotRunResponse(const std::string& job_id,
                            const Error& error,
                            std::int64_t retry_after_ms) {
  wire::JobStatus job;
  job.job_id = job_id;
  job.outcome = wire::Outcome::kNotRun;
  job.code = static_cast<int>(error.code());
  job.reason = error.message();
  job.retryable = IsRetryable(error.code());
  HttpResponse response =
      JsonResponse(HttpStatusOf(error.code()), RenderJob(job, retry_after_ms));
  response.retry_after_ms = retry_after_ms;
  return response;
}

// Response for a job that may or may not have been committed.
HttpResponse OutcomeUnknownResponse(const std::string& job_id,
                                    const std::string& reason) {
  wire::JobStatus job;
  job.job_id = job_id;
  job.outcome = wire::Outcome::kUnknown;
  job.code = static_cast<int>(ResultCode::kOutcomeUnknown);
  job.reason = reason;
  return JsonResponse(HttpStatusOf(ResultCode::kOutcomeUnknown),
                      RenderJob(job));
}

HttpResponse JobResponse(const wire::JobStatus& job) {
  const bool pending = job.outcome == wire::Outcome::kPending;
  return JsonResponse(pending ? 202 : 200, RenderJob(job));
}

wire::GetJobRequest MakeGetJobRequest(const Context& context,
                                      const std::string& job_id) {
  wire::GetJobRequest query;
  query.entry_id = context.options.id;
  query.job_id = job_id;
  return query;
}

// Waits until the job is final or `deadline` passes and returns its last known
// status. `job` is the status known so far.
wire::JobStatus WaitForJob(Context& context,
                           PendingJobs::Waiter& waiter,
                           const wire::JobStatus& job,
                           TimePoint deadline) {
  if (job.outcome != wire::Outcome::kPending) {
    return job;
  }
  auto status = waiter.Wait(deadline, [&] {
    auto query = MakeGetJobRequest(context, job.job_id);
    query.watch = true;
    if (const auto reply =
            context.leader_calls.GetJob(LeaderLane::kStatus, query)) {
      context.jobs.UpdateStatus(reply->job);
    }
  });
  return status ? *status : job;
}

// Admits a submission, or returns the response that refuses it. Makes no call
// to the leader.
tl::expected<Admission::Ticket, HttpResponse> AdmitLocally(
    Context& context,
    wire::JobKind::type kind) {
  if (const auto refusal = context.readiness.RefusalReason(BootClock::now())) {
    constexpr std::int64_t kRetryAfterMs = 1'000;
    auto response = NotRunResponse("", *refusal, kRetryAfterMs);
    response.close = context.readiness.draining();
    return tl::unexpected(std::move(response));
  }
  auto ticket = context.admission.AdmitSubmission(kind);
  if (!ticket) {
    ++context.metrics.Counter("refused{kind=\"" + std::string(KindName(kind)) +
                              "\"}");
    return tl::unexpected(NotRunResponse(
        "", Error(ticket.error().code, "too much work of this kind is waiting"),
        ticket.error().retry_after_ms));
  }
  return std::move(*ticket);
}

wire::SubmitRequest MakeSubmitRequest(const Context& context,
                                      const wire::JobSpec& spec,
                                      std::int64_t wait_ms) {
  wire::SubmitRequest submit;
  submit.entry_id = context.options.id;
  submit.region = context.options.region;
  submit.availability_zone = context.options.availability_zone;
  submit.job_id = RandomId("j");
  submit.spec = spec;
  const bool interactive = submit.spec.kind == wire::JobKind::kInteractive;
  submit.watch = interactive || wait_ms > 0;
  if (interactive) {
    submit.spec.payload_digest = Digest63(submit.spec.payload);
    submit.spec.payload.clear();
  }
  return submit;
}

// Submits an admitted job to the leader and waits until it is final or
// `deadline` passes.
HttpResponse SubmitAndWait(Context& context,
                           const HttpRequest& request,
                           const wire::SubmitRequest& submit,
                           TimePoint deadline) {
  const auto caller_disconnected = [&request] {
    return request.PeerHasClosed();
  };
  std::optional<PendingJobs::Waiter> waiter;
  const bool waits = BootClock::now() < deadline;
  if (waits) {
    waiter.emplace(context.jobs, submit.job_id, caller_disconnected);
  }
  const auto outcome = SubmitToLeader(context.leader_calls, submit);
  if (const auto* refused = std::get_if<SubmitRefused>(&outcome)) {
    context.jobs.Remove(submit.job_id);
    return NotRunResponse(submit.job_id, refused->error,
                          refused->retry_after_ms);
  }
  if (const auto* undetermined = std::get_if<SubmitUndetermined>(&outcome)) {
    // The payload is kept, because the job may have been committed and the
    // leader may still order its start.
    return OutcomeUnknownResponse(submit.job_id, undetermined->detail);
  }
  const auto& job = std::get<Submitted>(outcome).job;
  if (job.job_id != submit.job_id) {
    // The idempotency key belongs to an earlier job.
    context.jobs.Remove(submit.job_id);
    if (waits) {
      waiter.emplace(context.jobs, job.job_id, caller_disconnected);
    }
  }
  return JobResponse(waits ? WaitForJob(context, *waiter, job, deadline) : job);
}

HttpResponse Submit(Context& context, const HttpRequest& request) {
  const auto wait_ms = ParseWaitMs(request.Parameter("wait_ms"));
  if (!wait_ms) {
    return ErrorResponse(wait_ms.error());
  }
  auto spec = ParseJobSpec(request.body(), context.options.max_body_bytes);
  if (!spec) {
    return ErrorResponse(spec.error());
  }
  auto ticket = AdmitLocally(context, spec->kind);
  if (!ticket) {
    return std::move(ticket.error());
  }
  const auto deadline = BootClock::now() + milliseconds(*wait_ms);
  const auto submit = MakeSubmitRequest(context, *spec, *wait_ms);
  const bool interactive = spec->kind == wire::JobKind::kInteractive;
  if (interactive && !context.jobs.Add(submit.job_id, *spec)) {
    constexpr std::int64_t kRetryAfterMs = 1'000;
    return NotRunResponse(
        submit.job_id,
        Error(ResultCode::kQueueFull, "this entry holds too many jobs"),
        kRetryAfterMs);
  }
  return SubmitAndWait(context, request, submit, deadline);
}

// Handles a status query, with the wait that the caller asks for.
HttpResponse QueryJob(Context& context,
                      const HttpRequest& request,
                      wire::GetJobRequest query) {
  const auto wait_ms = ParseWaitMs(request.Parameter("wait_ms"));
  if (!wait_ms) {
    return ErrorResponse(wait_ms.error());
  }
  const auto ticket = context.admission.Admit(RequestClass::kStatus);
  if (!ticket) {
    return ErrorResponse(
        Error(ticket.error().code, "too many requests wait at this entry"),
        ticket.error().retry_after_ms);
  }
  const auto deadline = BootClock::now() + milliseconds(*wait_ms);
  query.watch = *wait_ms > 0;
  const auto reply = context.leader_calls.GetJob(LeaderLane::kStatus, query);
  if (!reply) {
    return ErrorResponse(reply.error());
  }
  if (*wait_ms == 0) {
    return JobResponse(reply->job);
  }
  PendingJobs::Waiter waiter(context.jobs, reply->job.job_id,
                             [&request] { return request.PeerHasClosed(); });
  return JobResponse(WaitForJob(context, waiter, reply->job, deadline));
}

HttpResponse GetJob(Context& context, const HttpRequest& request) {
  return QueryJob(context, request,
                  MakeGetJobRequest(context, request.Parameter("id")));
}

HttpResponse GetJobByKey(Context& context, const HttpRequest& request) {
  auto query = MakeGetJobRequest(context, "");
  query.team = request.Parameter("team");
  query.idempotency_key = request.Parameter("key");
  return QueryJob(context, request, query);
}

HttpResponse Cancel(Context& context, const HttpRequest& request) {
  const auto ticket = context.admission.Admit(RequestClass::kStatus);
  if (!ticket) {
    return ErrorResponse(
        Error(ticket.error().code, "too many requests wait at this entry"),
        ticket.error().retry_after_ms);
  }
  const std::string job_id = request.Parameter("id");
  const auto reply = context.leader_calls.Run<wire::CancelReply>(
      LeaderLane::kStatus, LeaderCalls::Limits(), [&](auto& client, auto& out) {
        client.CancelJobs(out, context.options.id, {job_id},
                          "cancelled by the caller");
      });
  if (!reply) {
    return ErrorResponse(reply.error());
  }
  if (reply->jobs.empty()) {
    return ErrorResponse(Error(ResultCode::kNotFound, "there is no such job"));
  }
  context.jobs.UpdateStatus(reply->jobs.front());
  return JobResponse(reply->jobs.front());
}

}  // namespace

void AddCallerRoutes(Context& context, std::vector<HttpRoute>& routes) {
  const auto add = [&](const char* method, const char* path,
                       HttpResponse (*handler)(Context&, const HttpRequest&)) {
    routes.push_back(
        {method, path,
         AuthorizedHandler(context, Role::kCaller,
                           context.options.max_body_bytes,
                           [&context, handler](const HttpRequest& request) {
                             return handler(context, request);
                           })});
  };
  add("POST", "/v1/jobs", &Submit);
  add("GET", "/v1/jobs/:id", &GetJob);
  add("POST", "/v1/jobs/:id/cancel", &Cancel);
  add("GET", "/v1/keys/:team/:key", &GetJobByKey);
}

}  // namespace cranberryshunt::entry
