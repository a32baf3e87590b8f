#include "service_handler.h"

#include <thrift/TApplicationException.h>

#include <algorithm>
#include <future>
#include <memory>
#include <type_traits>
#include <utility>

#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

namespace {

// How long a handler waits for the reply. The wait time that a Publish call
// requests is added to kCallTimeout.
constexpr std::chrono::milliseconds kCallTimeout{5'000};
constexpr std::chrono::milliseconds kPollTimeout{2'000};
constexpr std::int32_t kMaxPublishWaitMs = 30'000;

template <typename T>
void SetStatus(T& reply, const wire::Status& status) {
  if constexpr (std::is_same_v<T, wire::Status>) {
    reply = status;
  } else {
    reply.status = status;
  }
}

}  // namespace

template <typename CallType, typename ReplyType>
void ServiceHandler::PostAndWait(CallType call,
                                 ReplyType& reply,
                                 std::chrono::milliseconds timeout) {
  auto promise = std::make_shared<std::promise<ReplyType>>();
  auto answer = promise->get_future();
  call.reply = [promise](ReplyType value) {
    promise->set_value(std::move(value));
  };
  promise.reset();
  if (!decisions_.Post(std::move(call))) {
    SetStatus(reply, wire::ToStatus(Error(ResultCode::kNotReady,
                                          "too many calls are waiting")));
    return;
  }
  if (answer.wait_for(timeout) != std::future_status::ready) {
    SetStatus(reply, wire::ToStatus(Error(ResultCode::kTimeout,
                                          "no answer within the limit")));
    return;
  }
  try {
    reply = answer.get();
  } catch (const std::future_error&) {
    // The decision thread ended and the call was destroyed without a reply.
    SetStatus(reply, wire::ToStatus(Error(ResultCode::kShuttingDown,
                                          "controller is shutting down")));
  }
}

void ServiceHandler::Submit(wire::SubmitReply& reply,
                            const wire::SubmitRequest& request) {
  PostAndWait(SubmitCall{request, {}}, reply, kCallTimeout);
  // It is unknown whether the job is committed. The exception makes the client
  // submit again to the current leader with the same job id.
  if (reply.status.code == static_cast<int>(ResultCode::kTimeout)) {
    throw apache::thrift::TApplicationException(
        apache::thrift::TApplicationException::INTERNAL_ERROR,
        reply.status.message);
  }
}

void ServiceHandler::Report(wire::ReportReply& reply,
                            const wire::EntryReport& report) {
  PostAndWait(ReportCall{report, {}}, reply, kCallTimeout);
}

void ServiceHandler::Poll(wire::PollReply& reply,
                          const wire::PollRequest& request) {
  PostAndWait(PollCall{request, {}}, reply, kPollTimeout);
}

void ServiceHandler::GetJob(wire::GetJobReply& reply,
                            const wire::GetJobRequest& request) {
  PostAndWait(GetJobCall{request, {}}, reply, kCallTimeout);
}

void ServiceHandler::CancelJobs(wire::CancelReply& reply,
                                const std::string& entry_id,
                                const std::vector<std::string>& job_ids,
                                const std::string& reason) {
  PostAndWait(CancelCall{entry_id, job_ids, reason, {}}, reply, kCallTimeout);
}

void ServiceHandler::Publish(wire::PublishReply& reply,
                             const wire::PublishRequest& request,
                             std::int32_t wait_ms) {
  const std::chrono::milliseconds wait(
      std::clamp(wait_ms, 0, kMaxPublishWaitMs));
  PostAndWait(PublishCall{request, wait, {}}, reply, kCallTimeout + wait);
}

void ServiceHandler::GetRules(wire::RulesReply& reply,
                              std::int64_t if_newer_than) {
  PostAndWait(RulesCall{if_newer_than, {}}, reply, kCallTimeout);
}

void ServiceHandler::GetAudit(wire::AuditReply& reply,
                              std::int64_t after_sequence,
                              std::int32_t limit) {
  PostAndWait(AuditCall{after_sequence, limit, {}}, reply, kCallTimeout);
}

void ServiceHandler::GetCluster(wire::ClusterReply& reply) {
  PostAndWait(ClusterCall{}, reply, kCallTimeout);
}

void ServiceHandler::Drain(wire::Status& reply,
                           const wire::DrainWorker& request) {
  PostAndWait(DrainCall{request, {}}, reply, kCallTimeout);
}

void ServiceHandler::ChangeMembership(wire::Status& reply,
                                      const wire::MembershipChange& change) {
  if (!replica_.HasLease()) {
    reply = wire::ToStatus(
        Error(ResultCode::kNotLeader, "this controller does not lead"),
        replica_.role().leader_address);
    return;
  }
  auto promise = std::make_shared<std::promise<Result<std::int64_t>>>();
  auto answer = promise->get_future();
  replica_.ChangeMembership(change, [promise](Result<std::int64_t> result) {
    promise->set_value(std::move(result));
  });
  if (answer.wait_for(kCallTimeout) != std::future_status::ready) {
    reply = wire::ToStatus(
        Error(ResultCode::kTimeout, "the change is not committed yet"));
    return;
  }
  const auto result = answer.get();
  if (!result) {
    reply = wire::ToStatus(result.error(), replica_.role().leader_address);
    return;
  }
  wire::AuditRecord record;
  record.at_ms = WallClockMilliseconds();
  record.actor = change.operator_name;
  record.action = change.remove ? "remove member" : "add member";
  record.detail = change.member.id + " at " + change.member.address + " disk " +
                  change.member.disk_identity;
  decisions_.Record(std::move(record));
}

void ServiceHandler::DeliverRaft(
    const std::vector<wire::RaftMessage>& messages) {
  replica_.Receive(messages);
}

}  // namespace cranberryshunt::controller
