#include "cranberryshunt/cell/advice_caller.h"

#include <utility>

#include "ControllerService.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/controller_client.h"

namespace cranberryshunt::cell {

namespace {

constexpr std::chrono::milliseconds kPollWait{500};
constexpr std::chrono::milliseconds kPollAttempt{1'000};
constexpr std::chrono::milliseconds kPollDeadline{2'000};
// Timeout margin beyond the expected answer time of the service.
constexpr std::chrono::milliseconds kAnswerMargin{700};

}  // namespace

AdviceCaller::AdviceCaller(std::string host,
                           wire::LeaderClient& leader,
                           AdviceSource& source)
    : host_(std::move(host)),
      leader_(leader),
      source_(source),
      thread_([this] { Run(); }) {}

AdviceCaller::~AdviceCaller() {
  stopping_ = true;
  thread_.join();
}

wire::AdviceResult AdviceCaller::Answer(const wire::AdviceOrder& order) {
  wire::AdviceResult result;
  result.id = order.id;
  auto tickets =
      source_.Ask(order.step, order.workers,
                  std::chrono::milliseconds(order.expected_ms) + kAnswerMargin);
  if (tickets) {
    result.answered = true;
    result.allowed = std::move(*tickets);
  } else {
    Log(LogLevel::kWarning, "advice", "advice service did not answer",
        {{"step", order.step}, {"error", tickets.error().message()}});
  }
  return result;
}

void AdviceCaller::Run() {
  std::vector<std::pair<wire::AdviceResult, TimePoint>> answers;
  while (!stopping_) {
    wire::AdviceOrders orders;
    const auto polled =
        leader_.Run(kPollDeadline, kPollAttempt, [&](auto& client) {
          wire::AdvicePoll poll;
          poll.caller = host_;
          poll.wait_ms = static_cast<std::int32_t>(kPollWait.count());
          const auto now = BootClock::now();
          for (const auto& [result, at] : answers) {
            poll.results.push_back(result);
            poll.results.back().age_ms = ToMilliseconds(now - at);
          }
          client.PollAdvice(orders, poll);
          return wire::CallStatus{orders.status.code, orders.status.leader};
        });
    if (!polled) {
      continue;
    }
    answers.clear();
    last_contact_us_ = BootClock::now().time_since_epoch().count();
    leader_.AddControllers(orders.controllers);
    for (const auto& it : orders.orders) {
      auto result = Answer(it);
      answers.emplace_back(std::move(result), BootClock::now());
    }
  }
}

}  // namespace cranberryshunt::cell
