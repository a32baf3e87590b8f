#include "cranberryshunt/cell/leader_outage.h"

#include <algorithm>
#include <chrono>

namespace cranberryshunt::cell {

namespace {

using std::chrono::milliseconds;

// A single attempt also fails when its connection breaks or the controller is
// no longer the leader.
constexpr int kFailuresOfOutage = 2;
// An election after the loss of a leader takes between the first and the last
// of these.
constexpr milliseconds kShortestElection{500};
constexpr milliseconds kLongestElection{2'000};
constexpr milliseconds kElectionStep{200};
// Shorter outages are broken connections, which say nothing about elections.
constexpr milliseconds kMinTakeover{250};
constexpr std::size_t kMaxDurations = 16;
// An outage that outlasts the known ones is expected to go on for as long as it
// has lasted, and for this time more.
constexpr Duration kTailScale = milliseconds(2'000);
// Time that a leader needs to answer a call that is sent after an outage: the
// way to another region and back, a commit and the calls before it.
constexpr Duration kAnswerTime = milliseconds(100);
// Retry-After is in whole seconds.
constexpr std::int64_t kRetryUnitMs = 1'000;
constexpr std::int64_t kMaxRetryUnits = 2;
// Of its time, what a call needs when it comes back.
constexpr Duration kTimeAfterRetry = 2 * kAnswerTime;
// Number of calls that are sent together after an outage. Each answer adds one,
// so the groups grow as fast as the leader answers.
constexpr std::size_t kFirstWindow = 1;
// Pauses between attempts to find the leader. The entries of a cell lose it
// together, so the pauses vary by half to either side.
constexpr milliseconds kProbePause{100};
constexpr milliseconds kLongProbePause{200};
constexpr Duration kLongOutage = milliseconds(3'000);

}  // namespace

LeaderOutage::LeaderOutage(const LeaderOutageOptions& options)
    : options_(options), random_(options.seed) {
  for (auto it = kShortestElection; it <= kLongestElection;
       it += kElectionStep) {
    durations_.emplace_back(it);
  }
}

LeaderOutage::Change LeaderOutage::OnAttempt(const LeaderAttempt& attempt) {
  if (attempt.answer == LeaderAnswer::kServed) {
    // A leader that was lost meanwhile may have sent an earlier reply.
    if (failures_ > 0 && attempt.begin < first_failure_) {
      return Change::kNone;
    }
    last_served_ = std::max(last_served_.value_or(attempt.end), attempt.end);
    failures_ = 0;
    if (!ongoing_) {
      return Change::kNone;
    }
    End(attempt.end);
    return Change::kEnded;
  }
  // A first attempt is redirected after each change of leader.
  if (attempt.answer == LeaderAnswer::kRedirected && !attempt.repeated) {
    return Change::kNone;
  }
  // The leader has answered a later attempt.
  if (last_served_ && attempt.begin < *last_served_) {
    return Change::kNone;
  }
  if (failures_ == 0) {
    first_failure_ = attempt.begin;
  }
  ++failures_;
  if (ongoing_ || failures_ < kFailuresOfOutage) {
    return Change::kNone;
  }
  Begin(first_failure_);
  return Change::kBegan;
}

void LeaderOutage::Begin(TimePoint begin) {
  ongoing_ = true;
  released_.clear();
  summary_ = {};
  summary_.begin = begin;
}

void LeaderOutage::End(TimePoint end) {
  ongoing_ = false;
  window_ = kFirstWindow;
  summary_.end = end;
  if (end - summary_.begin < kMinTakeover) {
    return;
  }
  durations_.push_back(end - summary_.begin);
  if (durations_.size() > kMaxDurations) {
    durations_.pop_front();
  }
}

double LeaderOutage::ChanceWithin(Duration time, TimePoint now) const {
  const auto age = now - summary_.begin;
  const auto tail = [](Duration at) {
    return static_cast<double>(kTailScale.count()) /
           static_cast<double>((kTailScale + at).count());
  };
  double ends = tail(age) - tail(age + time);
  double open = tail(age);
  for (const auto it : durations_) {
    if (it > age) {
      open += 1;
      ends += it <= age + time ? 1 : 0;
    }
  }
  return ends / open;
}

// A call that is refused comes back in time if there is time for it.
std::int64_t LeaderOutage::RetryAfterMs(Duration left) {
  const auto units = std::clamp<std::int64_t>(
      ToMilliseconds(left - kTimeAfterRetry) / kRetryUnitMs, 1, kMaxRetryUnits);
  return kRetryUnitMs *
         std::uniform_int_distribution<std::int64_t>(1, units)(random_);
}

bool LeaderOutage::ShouldHold(Duration left, TimePoint now) const {
  if (left <= kAnswerTime) {
    return false;
  }
  if (!ongoing_) {
    return true;
  }
  const bool can_return = left >= milliseconds(kRetryUnitMs) + kTimeAfterRetry;
  return ChanceWithin(left - kAnswerTime, now) >=
         (can_return ? options_.min_chance : options_.min_last_chance);
}

LeaderOutage::Decision LeaderOutage::Decide(CallId call,
                                            TimePoint deadline,
                                            TimePoint now) {
  released_.erase(call);
  if (!ongoing_ && held_.empty()) {
    return {};
  }
  const auto refuse = [&] {
    ++summary_.refused;
    return Decision{Step::kRefuse, {}, RetryAfterMs(deadline - now)};
  };
  if (!ShouldHold(deadline - now, now)) {
    return refuse();
  }
  if (held_.size() >= options_.max_held) {
    const auto [first_deadline, first] = *held_.begin();
    if (deadline <= first_deadline) {
      return refuse();
    }
    displaced_.emplace_back(first, RetryAfterMs(first_deadline - now));
    ++summary_.refused;
    held_.erase(held_.begin());
    deadlines_.erase(first);
  }
  held_.emplace(deadline, call);
  deadlines_[call] = deadline;
  ++summary_.held;
  return {Step::kHold, deadline - kAnswerTime, 0};
}

std::vector<LeaderOutage::CallId> LeaderOutage::Release(TimePoint now) {
  std::vector<CallId> calls;
  if (ongoing_) {
    return calls;
  }
  for (auto it = held_.begin();
       it != held_.end() && released_.size() < window_;) {
    if (it->first - kAnswerTime <= now) {
      ++it;  // TakeRefused() returns it.
      continue;
    }
    calls.push_back(it->second);
    released_.insert(it->second);
    deadlines_.erase(it->second);
    it = held_.erase(it);
    ++summary_.released;
  }
  return calls;
}

std::vector<std::pair<LeaderOutage::CallId, std::int64_t>>
LeaderOutage::TakeRefused(TimePoint now) {
  auto calls = std::exchange(displaced_, {});
  while (!held_.empty() && held_.begin()->first - kAnswerTime <= now) {
    const auto [deadline, call] = *held_.begin();
    calls.emplace_back(call, RetryAfterMs(deadline - now));
    ++summary_.refused;
    held_.erase(held_.begin());
    deadlines_.erase(call);
  }
  return calls;
}

void LeaderOutage::Finish(CallId call) {
  const auto held = deadlines_.find(call);
  if (held != deadlines_.end()) {
    held_.erase({held->second, call});
    deadlines_.erase(held);
  }
  if (released_.erase(call) > 0) {
    ++window_;
  }
}

Duration LeaderOutage::ProbePause(TimePoint now) {
  const auto pause =
      now - summary_.begin < kLongOutage ? kProbePause : kLongProbePause;
  return milliseconds(std::uniform_int_distribution<std::int64_t>(
      pause.count() / 2, pause.count() * 3 / 2)(random_));
}

}  // namespace cranberryshunt::cell
