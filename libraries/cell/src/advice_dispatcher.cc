#include "advice_dispatcher.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

#include "cranberryshunt/base/log.h"

namespace cranberryshunt::cell {

namespace {

// Beyond the service's own time: two round trips between regions, and a busy
// caller.
constexpr std::int64_t kCallerTimeoutMs = 1'500;
// A caller that has not polled for this long is not counted any more.
constexpr std::int64_t kCallerGoneMs = 5'000;
// Callers find a new leader one after the other. Until then a number is
// assumed, or each new leader would refuse for nothing.
constexpr std::int64_t kCallersArriveMs = 2'500;

// On-time steps of urgent queues first, then other on-time steps, then late
// ones; within each by the latest start.
std::tuple<bool, bool, std::int64_t> OrderOf(const AdviceQuestion& question,
                                             std::int64_t now_ms) {
  return {now_ms > question.latest_start_ms, !question.urgent_queue,
          question.latest_start_ms};
}

}  // namespace

void AdviceDispatcher::Ask(AdviceQuestion question) {
  queued_.push_back(std::move(question));
}

void AdviceDispatcher::CancelQueued(policy::StepId step) {
  std::erase_if(queued_, [&](const auto& it) { return it.step == step; });
}

void AdviceDispatcher::OnPoll(AdviceCall call, std::int64_t now_ms) {
  // A copy: the call is moved away below.
  const std::string caller = call.poll.caller;
  last_poll_ms_[caller] = now_ms;
  for (auto& it : call.poll.results) {
    auto node = assigned_.extract(it.id);
    if (node.empty()) {
      continue;
    }
    AdviceOutcome answer;
    answer.question = std::move(node.mapped().question);
    answer.answered = it.answered;
    answer.allowed = std::move(it.allowed);
    answer.answered_at_ms = now_ms - it.age_ms;
    answers_.push_back(std::move(answer));
  }
  // What the caller had before and does not report was lost with it.
  for (auto it = assigned_.begin(); it != assigned_.end();) {
    if (it->second.caller == caller) {
      RecordFailure(std::move(it->second.question));
      it = assigned_.erase(it);
    } else {
      ++it;
    }
  }
  const auto old = polls_.find(caller);
  if (old != polls_.end()) {
    old->second.call.reply({});
  }
  const auto until = now_ms + call.poll.wait_ms;
  polls_.insert_or_assign(caller, OpenPoll{std::move(call), until});
}

void AdviceDispatcher::RecordFailure(AdviceQuestion question) {
  AdviceOutcome answer;
  answer.question = std::move(question);
  answers_.push_back(std::move(answer));
}

void AdviceDispatcher::Assign(std::int64_t now_ms) {
  std::sort(queued_.begin(), queued_.end(), [&](const auto& a, const auto& b) {
    return std::pair(OrderOf(a, now_ms), a.step) <
           std::pair(OrderOf(b, now_ms), b.step);
  });
  std::size_t taken = 0;
  while (taken < queued_.size() && !polls_.empty()) {
    auto poll = polls_.extract(polls_.begin());
    auto& question = queued_[taken++];
    const auto id = next_id_++;
    wire::AdviceOrders reply;
    auto& order = reply.orders.emplace_back();
    order.id = id;
    order.step = question.step_name;
    order.workers = question.workers;
    order.expected_ms = question.expected_ms;
    reply.controllers = controllers_;
    const auto deadline = now_ms + question.expected_ms + kCallerTimeoutMs;
    assigned_[id] = {std::move(question), poll.key(), now_ms, deadline};
    poll.mapped().call.reply(std::move(reply));
  }
  queued_.erase(queued_.begin(),
                queued_.begin() + static_cast<std::ptrdiff_t>(taken));
}

void AdviceDispatcher::SetControllers(std::vector<std::string> controllers) {
  controllers_ = std::move(controllers);
}

void AdviceDispatcher::Advance(std::int64_t now_ms) {
  if (!queued_.empty()) {
    Assign(now_ms);
  }
  for (auto it = polls_.begin(); it != polls_.end();) {
    if (now_ms >= it->second.until_ms) {
      wire::AdviceOrders reply;
      reply.controllers = controllers_;
      it->second.call.reply(std::move(reply));
      it = polls_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto it = assigned_.begin(); it != assigned_.end();) {
    if (now_ms >= it->second.deadline_ms) {
      Log(LogLevel::kWarning, "advice", "caller did not report in time",
          {{"caller", it->second.caller},
           {"step", it->second.question.step_name}});
      RecordFailure(std::move(it->second.question));
      it = assigned_.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(last_poll_ms_, [&](const auto& it) {
    return now_ms - it.second > kCallerGoneMs;
  });
}

void AdviceDispatcher::Close(const wire::Status& status) {
  for (auto& [caller, poll] : polls_) {
    wire::AdviceOrders reply;
    reply.status = status;
    poll.call.reply(std::move(reply));
  }
  polls_.clear();
}

std::vector<AdviceOutcome> AdviceDispatcher::TakeAnswers() {
  return std::exchange(answers_, {});
}

std::int64_t AdviceDispatcher::ExpectedWaitMs(
    std::int64_t now_ms,
    bool urgent_queue,
    std::int64_t latest_start_ms) const {
  AdviceQuestion asked;
  asked.urgent_queue = urgent_queue;
  asked.latest_start_ms = latest_start_ms;
  const auto order = OrderOf(asked, now_ms);
  // When each caller is free; those that neither wait nor ask are about to
  // poll.
  std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>>
      free_in_ms;
  for (const auto& [id, it] : assigned_) {
    const auto left = it.assigned_ms + it.question.expected_ms - now_ms;
    free_in_ms.push(std::max<std::int64_t>(0, left));
  }
  const auto assumed = now_ms - created_ms_ < kCallersArriveMs
                           ? assumed_callers_
                           : std::size_t{1};
  const auto callers = std::max(assumed, last_poll_ms_.size());
  while (free_in_ms.size() < callers) {
    free_in_ms.push(0);
  }
  for (const auto& it : queued_) {
    if (OrderOf(it, now_ms) <= order) {
      const auto begin = free_in_ms.top();
      free_in_ms.pop();
      free_in_ms.push(begin + it.expected_ms);
    }
  }
  return free_in_ms.top();
}

}  // namespace cranberryshunt::cell
