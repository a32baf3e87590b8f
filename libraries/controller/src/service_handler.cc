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

// How long a handler waits for the decision thread, beyond what the call itself
// asks for.
constexpr std::chrono::milliseconds kCallLimit{5'000};
constexpr std::chrono::milliseconds kPollLimit{2'000};
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
                                 std::chrono::milliseconds limit) {
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
  if (answer.wait_for(limit) != std::future_status::ready) {
    SetStatus(reply, wire::ToStatus(Error(ResultCode::kTimeout,
                                          "no answer within the limit")));
    return;
  }
  try {
    reply = answer.get();
  } catch (const std::future_error&) {
    // The call was dropped without an answer because the thread ended.
    SetStatus(reply, wire::ToStatus(Error(ResultCode::kShuttingDown,
                                          "controller is shutting down")));
  }
}

void ServiceHandler::Submit(wire::SubmitReply& reply,
                            const wire::SubmitRequest& request) {
  PostAndWait(SubmitCall{request, {}}, reply, kCallLimit);
  // The job may be committed or not. Without an answer the client asks the
  // current leader again with the same job id.
  if (reply.status.code == static_cast<int>(ResultCode::kTimeout)) {
    throw apache::thrift::TApplicationException(
        apache::thrift::TApplicationException::INTERNAL_ERROR,
        reply.status.message);
  }
}

void ServiceHandler::Report(wire::ReportReply& reply,
                            const wire::EntryReport& report) {
  PostAndWait(ReportCall{report, {}}, reply, kCallLimit);
}

void ServiceHandler::Poll(wire::PollReply& reply,
                          const wire::PollRequest& request) {
  PostAndWait(PollCall{request, {}}, reply, kPollLimit);
}

void ServiceHandler::GetJob(wire::GetJobReply& reply,
                            const wire::GetJobRequest& request) {
  PostAndWait(GetJobCall{request, {}}, reply, kCallLimit);
}

void ServiceHandler::CancelJobs(wire::CancelReply& reply,
                                const std::string& entry_id,
                                const std::vector<std::string>& job_ids,
                                const std::string& reason) {
  PostAndWait(CancelCall{entry_id, job_ids, reason, {}}, reply, kCallLimit);
}

void ServiceHandler::Publish(wire::PublishReply& reply,
                             const wire::PublishRequest& request,
                             std::int32_t wait_ms) {
  const std::chrono::milliseconds wait(
      std::clamp(wait_ms, 0, kMaxPublishWaitMs));
  PostAndWait(PublishCall{request, wait, {}}, reply, kCallLimit + wait);
}

void ServiceHandler::GetRules(wire::RulesReply& reply,
                              std::int64_t if_newer_than) {
  PostAndWait(RulesCall{if_newer_than, {}}, reply, kCallLimit);
}

void ServiceHandler::GetAudit(wire::AuditReply& reply,
                              std::int64_t after_sequence,
                              std::int32_t limit) {
  PostAndWait(AuditCall{after_sequence, limit, {}}, reply, kCallLimit);
}

void ServiceHandler::GetCluster(wire::ClusterReply& reply) {
  PostAndWait(ClusterCall{}, reply, kCallLimit);
}

void ServiceHandler::Drain(wire::Status& reply,
                           const wire::DrainWorker& request) {
  PostAndWait(DrainCall{request, {}}, reply, kCallLimit);
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
  if (answer.wait_for(kCallLimit) != std::future_status::ready) {
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
