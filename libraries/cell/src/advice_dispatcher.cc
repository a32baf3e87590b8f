#include "advice_dispatcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cranberryshunt/base/log.h"

namespace cranberryshunt::cell {

namespace {

// Time that a caller gets beyond the service's own time: two round trips
// between regions, and delays on a busy caller.
constexpr std::int64_t kCallerMarginMs = 1'500;
// A caller counts as gone after this long without a poll.
constexpr std::int64_t kCallerGoneMs = 5'000;
// Interval at which polls, assigned questions and callers are checked for the
// end of their time. A check on each turn of the decision thread would cost
// more than the polls themselves.
constexpr std::int64_t kExpiryCheckMs = 10;
// Callers find a new leader one after another. A number of callers is assumed
// for this long; otherwise each new leader would refuse jobs for no reason.
constexpr std::int64_t kCallerDiscoveryMs = 2'500;

// A caller with more overhead than this is slow, not far away.
constexpr double kSlowCallerMs = 300;
// Weight of a new answer in the overhead of its caller.
constexpr double kOverheadWeight = 0.25;

// Sort key of a question: steps that are on time come before late ones, and
// these before those that are too late to be of use. Jobs beyond the rate of
// their account come before the useless ones. Then follow steps of urgent
// queues before others, and those with the earlier latest start.
std::tuple<int, bool, std::int64_t> SortKey(const AdviceQuestion& question,
                                            std::int64_t now_ms) {
  const auto lateness =
      now_ms <= question.latest_start_ms          ? policy::Lateness::kOnTime
      : now_ms <= question.latest_useful_start_ms ? policy::Lateness::kLate
                                                  : policy::Lateness::kTooLate;
  return {policy::UrgencyRank(lateness, question.over_rate),
          !question.urgent_queue, question.latest_start_ms};
}

}  // namespace

void AdviceDispatcher::Ask(AdviceQuestion question) {
  queued_.push_back(std::move(question));
}

void AdviceDispatcher::CancelQueued(policy::StepId step) {
  std::erase_if(queued_, [&](const auto& it) { return it.step == step; });
}

void AdviceDispatcher::RemoveWorker(std::int64_t worker) {
  for (auto it = queued_.begin(); it != queued_.end();) {
    auto& numbers = it->worker_numbers;
    const auto found = std::find(numbers.begin(), numbers.end(), worker);
    if (found != numbers.end()) {
      it->workers.erase(it->workers.begin() + (found - numbers.begin()));
      numbers.erase(found);
      if (numbers.empty()) {
        RecordFailure(std::move(*it), 0);
        it = queued_.erase(it);
        continue;
      }
    }
    ++it;
  }
}

void AdviceDispatcher::OnPoll(AdviceCall call, std::int64_t now_ms) {
  // Copied because the call is moved below.
  const std::string caller = call.poll.caller;
  last_poll_ms_[caller] = now_ms;
  for (auto& it : call.poll.results) {
    const auto assigned = assigned_.find(it.id);
    if (assigned == assigned_.end() || assigned->second.caller != caller) {
      continue;
    }
    const auto took_ms =
        static_cast<double>(now_ms - assigned->second.assigned_ms -
                            assigned->second.question.expected_ms);
    auto& overhead = overhead_ms_.try_emplace(caller, took_ms).first->second;
    overhead += kOverheadWeight * (took_ms - overhead);
    AdviceOutcome answer;
    answer.caller_ms = now_ms - assigned->second.assigned_ms;
    answer.question = std::move(assigned->second.question);
    assigned_.erase(assigned);
    answer.answered = it.answered;
    answer.allowed = std::move(it.allowed);
    answer.answered_at_ms = now_ms - it.age_ms;
    answers_.push_back(std::move(answer));
  }
  // The caller has lost the questions that it was assigned and does not report.
  for (auto it = assigned_.begin(); it != assigned_.end();) {
    if (it->second.caller == caller) {
      RecordFailure(std::move(it->second.question),
                    now_ms - it->second.assigned_ms);
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

void AdviceDispatcher::RecordFailure(AdviceQuestion question,
                                     std::int64_t caller_ms) {
  AdviceOutcome answer;
  answer.caller_ms = caller_ms;
  answer.question = std::move(question);
  answers_.push_back(std::move(answer));
}

std::map<std::string, AdviceDispatcher::OpenPoll>::iterator
AdviceDispatcher::SelectPoll(const AdviceQuestion& question) {
  const auto overhead = [&](const auto& poll) {
    const auto known = overhead_ms_.find(poll.first);
    return known == overhead_ms_.end() ? 0.0 : known->second;
  };
  const auto has_less = [&](const auto& a, const auto& b) {
    return overhead(a) < overhead(b);
  };
  const auto fastest = std::min_element(polls_.begin(), polls_.end(), has_less);
  if (question.urgent_queue) {
    return fastest;
  }
  auto best = fastest;
  for (auto it = polls_.begin(); it != polls_.end(); ++it) {
    if (overhead(*it) <= kSlowCallerMs && has_less(*best, *it)) {
      best = it;
    }
  }
  return best;
}

void AdviceDispatcher::Assign(std::int64_t now_ms) {
  std::sort(queued_.begin(), queued_.end(), [&](const auto& a, const auto& b) {
    return std::pair(SortKey(a, now_ms), a.step) <
           std::pair(SortKey(b, now_ms), b.step);
  });
  std::size_t assigned_count = 0;
  while (assigned_count < queued_.size() && !polls_.empty()) {
    auto& question = queued_[assigned_count++];
    auto poll = polls_.extract(SelectPoll(question));
    const auto id = next_id_++;
    wire::AdviceOrders reply;
    auto& order = reply.orders.emplace_back();
    order.id = id;
    order.step = question.step_name;
    order.workers = question.workers;
    order.expected_ms = question.expected_ms;
    reply.controllers = controllers_;
    const auto deadline = now_ms + question.expected_ms + kCallerMarginMs;
    assigned_[id] = {std::move(question), poll.key(), now_ms, deadline};
    poll.mapped().call.reply(std::move(reply));
  }
  queued_.erase(queued_.begin(),
                queued_.begin() + static_cast<std::ptrdiff_t>(assigned_count));
}

void AdviceDispatcher::SetControllers(std::vector<std::string> controllers) {
  controllers_ = std::move(controllers);
}

void AdviceDispatcher::Advance(std::int64_t now_ms) {
  if (!queued_.empty()) {
    Assign(now_ms);
  }
  if (now_ms - expiry_checked_ms_ >= kExpiryCheckMs) {
    expiry_checked_ms_ = now_ms;
    Expire(now_ms);
    const auto urgent = std::count_if(
        assigned_.begin(), assigned_.end(),
        [](const auto& it) { return it.second.question.urgent_queue; });
    urgent_share_.Update(now_ms, static_cast<std::size_t>(urgent),
                         CallerCount(now_ms));
  }
}

std::size_t AdviceDispatcher::CallerCount(std::int64_t now_ms) const {
  const auto assumed = now_ms - created_ms_ < kCallerDiscoveryMs
                           ? assumed_callers_
                           : std::size_t{1};
  return std::max({assumed, last_poll_ms_.size(), assigned_.size()});
}

void AdviceDispatcher::Expire(std::int64_t now_ms) {
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
      Log(LogLevel::kWarning, "advice",
          "caller did not report an answer in time",
          {{"caller", it->second.caller},
           {"step", it->second.question.step_name}});
      overhead_ms_[it->second.caller] = kCallerMarginMs;
      RecordFailure(std::move(it->second.question),
                    now_ms - it->second.assigned_ms);
      it = assigned_.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(last_poll_ms_, [&](const auto& it) {
    return now_ms - it.second > kCallerGoneMs;
  });
  std::erase_if(overhead_ms_, [&](const auto& it) {
    return !last_poll_ms_.contains(it.first);
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

std::int64_t AdviceDispatcher::ExpectedWaitMs(std::int64_t now_ms,
                                              bool urgent_queue,
                                              std::int64_t latest_start_ms,
                                              bool over_rate) const {
  AdviceQuestion new_question;
  new_question.urgent_queue = urgent_queue;
  new_question.latest_start_ms = latest_start_ms;
  new_question.over_rate = over_rate;
  const auto order = SortKey(new_question, now_ms);
  const auto overhead_ms = MeanOverheadMs();
  const auto count = CallerCount(now_ms);
  // Callers that are left to urgent queues, those with their questions first.
  auto set_aside = urgent_queue ? std::size_t{0}
                                : std::min(urgent_share_.Of(count), count - 1);
  const auto all_set_aside = set_aside;
  policy::AdviceCallerQueue callers;
  for (const auto& [id, it] : assigned_) {
    if (it.question.urgent_queue && set_aside > 0) {
      --set_aside;
    } else {
      callers.AddCaller(it.assigned_ms + it.question.expected_ms + overhead_ms -
                        now_ms);
    }
  }
  // Callers without an open poll or a question are about to poll, so they count
  // as free.
  while (callers.callers() + all_set_aside - set_aside < count) {
    callers.AddCaller(0);
  }
  callers.SetAside(set_aside);
  for (const auto& it : queued_) {
    if (SortKey(it, now_ms) <= order) {
      callers.AddQuestion(it.expected_ms + overhead_ms);
    }
  }
  return callers.WaitMs();
}

std::int64_t AdviceDispatcher::MeanOverheadMs() const {
  double total = 0;
  for (const auto& [caller, overhead] : overhead_ms_) {
    total += std::clamp(overhead, 0.0, kSlowCallerMs);
  }
  return overhead_ms_.empty()
             ? 0
             : static_cast<std::int64_t>(
                   total / static_cast<double>(overhead_ms_.size()));
}

}  // namespace cranberryshunt::cell
