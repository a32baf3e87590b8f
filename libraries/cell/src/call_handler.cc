#include "call_handler.h"

#include <future>
#include <memory>
#include <utility>

#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::cell {

namespace {

// Entries give up on a call earlier than this. A commit takes some round trips.
constexpr std::chrono::milliseconds kCallLimit{5'000};
// Added to the wait that a poll requests.
constexpr std::chrono::milliseconds kPollMargin{500};
constexpr std::chrono::milliseconds kJoinLimit{500};

}  // namespace

wire::GraphReply ReplyWithoutDecision(const Error& error) {
  wire::GraphReply reply;
  reply.status = wire::ToStatus(error);
  reply.may_be_accepted = error.code() == ResultCode::kTimeout;
  return reply;
}

template <typename T, typename Make>
Result<T> CallHandler::PostAndWait(Make make, std::chrono::milliseconds limit) {
  auto promise = std::make_shared<std::promise<T>>();
  auto future = promise->get_future();
  const auto reply = [promise](T value) {
    promise->set_value(std::move(value));
  };
  if (!decisions_.Post(make(reply))) {
    return Fail(ResultCode::kQueueFull, "too many calls are queued");
  }
  if (future.wait_for(limit) != std::future_status::ready) {
    return Fail(ResultCode::kTimeout, "the call was not decided in time");
  }
  return future.get();
}

void CallHandler::CallGraph(wire::GraphReply& reply,
                            const wire::GraphRequest& request) {
  if (auto read = decisions_.ReadJob(request)) {
    reply = std::move(*read);
    reply.process_id = process_id_;
    return;
  }
  auto result = PostAndWait<wire::GraphReply>(
      [&](auto done) {
        return Call(GraphCall{request, std::move(done)});
      },
      kCallLimit);
  reply = result ? std::move(*result) : ReplyWithoutDecision(result.error());
  reply.process_id = process_id_;
}

void CallHandler::PollAdvice(wire::AdviceOrders& reply,
                             const wire::AdvicePoll& poll) {
  auto result = PostAndWait<wire::AdviceOrders>(
      [&](auto done) {
        return Call(AdviceCall{poll, std::move(done)});
      },
      std::chrono::milliseconds(poll.wait_ms) + kPollMargin);
  if (result) {
    reply = std::move(*result);
  } else {
    reply.status = wire::ToStatus(result.error());
  }
}

void CallHandler::Join(wire::Status& reply, const wire::Member& member) {
  auto result = PostAndWait<wire::Status>(
      [&](auto done) {
        return Call(JoinCall{member, std::move(done)});
      },
      kJoinLimit);
  reply = result ? std::move(*result) : wire::ToStatus(result.error());
}

void CallHandler::Leave(wire::Status& reply, const wire::Member& member) {
  auto result = PostAndWait<wire::Status>(
      [&](auto done) {
        return Call(LeaveCall{member, std::move(done)});
      },
      kJoinLimit);
  reply = result ? std::move(*result) : wire::ToStatus(result.error());
}

void CallHandler::RelayOrders(const std::string& leader,
                              const std::vector<wire::RelayedOrder>& orders) {
  relay_.OnOrders(leader, orders);
}

void CallHandler::RelayReplies(const std::vector<wire::RelayedReply>& replies) {
  relay_.OnReplies(replies);
}

void CallHandler::DeliverRaft(const std::vector<wire::RaftMessage>& messages) {
  replica_.Receive(messages);
}

}  // namespace cranberryshunt::cell
