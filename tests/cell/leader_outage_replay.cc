#include "leader_outage_replay.h"

#include <algorithm>
#include <utility>

namespace cranberryshunt::cell {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kOneWayMs = 6;
constexpr std::int64_t kCommitMs = 15;
constexpr std::int64_t kServiceMs = 2;
constexpr std::int64_t kFirstLossMs = 4'000;
constexpr std::int64_t kLossIntervalMs = 12'000;
constexpr std::int64_t kResponseMarginMs = 60;
constexpr int kMaxRetries = 4;
constexpr std::int64_t kBackoffMs = 200;
constexpr std::int64_t kBurstMs = 50;

TimePoint At(std::int64_t ms) {
  return TimePoint(milliseconds(ms));
}

std::int64_t ToMs(TimePoint time) {
  return ToMilliseconds(time.time_since_epoch());
}

struct Caller {
  std::int64_t begin_ms = 0;
  bool counted = false;
  int retries = 0;
  bool served = false;
  // Time that its unsuccessful attempts waited for their answers.
  std::int64_t waited_ms = 0;
  // Time until its first answer.
  std::int64_t first_answer_ms = -1;
};

class Replay {
 public:
  explicit Replay(const OutageLoad& load) : load_(load), random_(load.seed) {
    for (int n = 0; n < load.entries; ++n) {
      entries_.emplace_back(LeaderOutageOptions{
          .max_held = load.max_held,
          .min_chance = load.min_chance,
          .min_last_chance = load.min_last_chance,
          .seed = load.seed * 1'000 + static_cast<std::uint64_t>(n)});
    }
  }

  OutageResult Run();

 private:
  struct Entry {
    explicit Entry(const LeaderOutageOptions& options) : outage(options) {}
    LeaderOutage outage;
    bool probing = false;
    int held = 0;
  };
  // A call of a caller to an entry.
  struct Call {
    LeaderOutage::CallId id = 0;
    std::size_t caller = 0;
    std::size_t entry = 0;
    std::int64_t begin_ms = 0;
    std::int64_t deadline_ms = 0;
    int attempts = 0;
    bool held = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  void Schedule(std::int64_t at_ms, std::function<void()> action) {
    events_.emplace(at_ms, std::move(action));
  }
  bool LeaderServes() const {
    const auto since_ms = now_ms_ - kFirstLossMs;
    return since_ms < 0 || since_ms / kLossIntervalMs >= load_.losses ||
           since_ms % kLossIntervalMs >= load_.lost_ms;
  }
  bool IsCounted(std::int64_t begin_ms) const {
    const auto since_ms = begin_ms - kFirstLossMs + load_.deadline_ms;
    return since_ms >= 0 && since_ms / kLossIntervalMs < load_.losses &&
           since_ms % kLossIntervalMs < load_.deadline_ms + load_.lost_ms;
  }

  void BeginCall(std::size_t caller);
  void Decide(const CallPointer& call);
  void Attempt(const CallPointer& call);
  void OnAttempt(const CallPointer& call, bool served, std::int64_t begin_ms);
  void Answer(const CallPointer& call,
              bool served,
              std::int64_t retry_after_ms);
  void Report(std::size_t entry,
              bool served,
              bool repeated,
              std::int64_t begin_ms);
  void Probe(std::size_t entry);
  void Wake(std::size_t entry);
  std::int64_t ServeAtLeader();

  const OutageLoad load_;
  std::mt19937_64 random_;
  std::int64_t now_ms_ = 0;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::deque<Entry> entries_;
  std::vector<Caller> callers_;
  std::map<LeaderOutage::CallId, CallPointer> held_;
  LeaderOutage::CallId last_call_ = 0;
  std::int64_t leader_free_ms_ = 0;
  std::deque<std::int64_t> arrivals_;
  OutageResult result_;
};

OutageResult Replay::Run() {
  const auto end_ms = kFirstLossMs + load_.losses * kLossIntervalMs;
  std::exponential_distribution<double> gap(load_.calls_per_second / 1'000.0);
  for (double at = gap(random_); at < static_cast<double>(end_ms);
       at += gap(random_)) {
    const auto begin_ms = static_cast<std::int64_t>(at);
    auto& caller = callers_.emplace_back();
    caller.begin_ms = begin_ms;
    caller.counted = IsCounted(begin_ms);
    Schedule(begin_ms, [this, n = callers_.size() - 1] { BeginCall(n); });
  }
  while (!events_.empty()) {
    const auto first = events_.begin();
    now_ms_ = first->first;
    const auto action = std::move(first->second);
    events_.erase(first);
    action();
  }
  double served_ms = 0;
  double unserved_ms = 0;
  double unserved_first_ms = 0;
  for (const auto& it : callers_) {
    if (!it.counted) {
      continue;
    }
    ++result_.calls;
    if (it.served) {
      ++result_.served;
      served_ms += static_cast<double>(it.waited_ms);
    } else {
      unserved_ms += static_cast<double>(it.waited_ms);
      unserved_first_ms += static_cast<double>(it.first_answer_ms);
    }
  }
  result_.served_ms = served_ms / std::max(1, result_.served);
  const auto unserved = std::max(1, result_.calls - result_.served);
  result_.unserved_ms = unserved_ms / unserved;
  result_.unserved_first_ms = unserved_first_ms / unserved;
  return result_;
}

void Replay::BeginCall(std::size_t caller) {
  auto call = std::make_shared<Call>();
  call->id = ++last_call_;
  call->caller = caller;
  call->entry = std::uniform_int_distribution<std::size_t>(
      0, entries_.size() - 1)(random_);
  call->begin_ms = now_ms_;
  call->deadline_ms =
      callers_[caller].begin_ms + load_.deadline_ms - kResponseMarginMs;
  Decide(call);
}

void Replay::Decide(const CallPointer& call) {
  if (load_.retry_alone) {
    Attempt(call);
    return;
  }
  auto& entry = entries_[call->entry];
  const auto decision =
      entry.outage.Decide(call->id, At(call->deadline_ms), At(now_ms_));
  switch (decision.step) {
    case LeaderOutage::Step::kSend:
      Attempt(call);
      break;
    case LeaderOutage::Step::kRefuse:
      Answer(call, false, decision.retry_after_ms);
      break;
    case LeaderOutage::Step::kHold:
      call->held = true;
      held_[call->id] = call;
      result_.held = std::max(result_.held, ++entry.held);
      Schedule(ToMs(decision.hold_until), [this, n = call->entry] { Wake(n); });
      Wake(call->entry);
      break;
  }
}

std::int64_t Replay::ServeAtLeader() {
  arrivals_.push_back(now_ms_);
  while (arrivals_.front() + kBurstMs <= now_ms_) {
    arrivals_.pop_front();
  }
  result_.burst = std::max(result_.burst, static_cast<int>(arrivals_.size()));
  leader_free_ms_ = std::max(leader_free_ms_, now_ms_) + kServiceMs;
  return leader_free_ms_ + kCommitMs + kOneWayMs;
}

// A controller that has lost its leader refuses at once.
void Replay::Attempt(const CallPointer& call) {
  const auto begin_ms = now_ms_;
  Schedule(now_ms_ + kOneWayMs, [this, call, begin_ms] {
    const bool serves = LeaderServes();
    result_.attempts += serves ? 0 : 1;
    const auto reply_ms = serves ? ServeAtLeader() : now_ms_ + kOneWayMs;
    Schedule(reply_ms, [this, call, serves, begin_ms] {
      OnAttempt(call, serves, begin_ms);
    });
  });
}

void Replay::OnAttempt(const CallPointer& call,
                       bool served,
                       std::int64_t begin_ms) {
  if (!load_.retry_alone) {
    Report(call->entry, served, call->attempts > 0, begin_ms);
  }
  if (served) {
    Answer(call, true, 0);
    return;
  }
  const auto& entry = entries_[call->entry];
  if (!load_.retry_alone &&
      (entry.outage.ongoing() || entry.outage.holds_calls())) {
    ++call->attempts;
    Decide(call);
    return;
  }
  const auto pause_ms = std::min(200, 25 * (1 + call->attempts / 2));
  ++call->attempts;
  const auto next_ms = std::min(now_ms_ + pause_ms, call->deadline_ms);
  Schedule(next_ms, [this, call] {
    if (now_ms_ >= call->deadline_ms) {
      Answer(call, false, 0);
    } else {
      Decide(call);
    }
  });
}

void Replay::Answer(const CallPointer& call,
                    bool served,
                    std::int64_t retry_after_ms) {
  if (call->held) {
    entries_[call->entry].outage.Finish(call->id);
    Wake(call->entry);
  }
  auto& caller = callers_[call->caller];
  const auto deadline_ms = caller.begin_ms + load_.deadline_ms;
  caller.waited_ms += now_ms_ - call->begin_ms;
  if (caller.first_answer_ms < 0) {
    caller.first_answer_ms = now_ms_ - caller.begin_ms;
  }
  if (now_ms_ > deadline_ms) {
    result_.late_answers += caller.counted ? 1 : 0;
    return;
  }
  if (served) {
    caller.served = true;
    caller.waited_ms = now_ms_ - caller.begin_ms;
    return;
  }
  auto pause_ms = retry_after_ms;
  if (pause_ms == 0) {
    pause_ms = std::uniform_int_distribution<std::int64_t>(
        kBackoffMs / 2, kBackoffMs * 3 / 2)(random_);
    pause_ms <<= caller.retries;
  }
  if (++caller.retries <= kMaxRetries && now_ms_ + pause_ms < deadline_ms) {
    Schedule(now_ms_ + pause_ms, [this, n = call->caller] { BeginCall(n); });
  }
}

void Replay::Report(std::size_t n,
                    bool served,
                    bool repeated,
                    std::int64_t begin_ms) {
  auto& entry = entries_[n];
  LeaderAttempt attempt;
  attempt.answer = served ? LeaderAnswer::kServed : LeaderAnswer::kNone;
  attempt.repeated = repeated;
  attempt.begin = At(begin_ms);
  attempt.end = At(now_ms_);
  const auto change = entry.outage.OnAttempt(attempt);
  if (change == LeaderOutage::Change::kBegan && !entry.probing) {
    entry.probing = true;
    Probe(n);
  }
  Wake(n);
}

void Replay::Probe(std::size_t n) {
  const auto begin_ms = now_ms_;
  Schedule(now_ms_ + kOneWayMs, [this, n, begin_ms] {
    const bool serves = LeaderServes();
    result_.attempts += serves ? 0 : 1;
    Schedule(now_ms_ + kOneWayMs, [this, n, serves, begin_ms] {
      auto& entry = entries_[n];
      Report(n, serves, false, begin_ms);
      if (!entry.outage.ongoing()) {
        entry.probing = false;
        return;
      }
      const auto pause = entry.outage.ProbePause(At(now_ms_));
      Schedule(now_ms_ + ToMilliseconds(pause), [this, n] {
        if (entries_[n].outage.ongoing()) {
          Probe(n);
        } else {
          entries_[n].probing = false;
        }
      });
    });
  });
}

void Replay::Wake(std::size_t n) {
  auto& entry = entries_[n];
  const auto take = [&](LeaderOutage::CallId id) {
    --entry.held;
    return std::move(held_.extract(id).mapped());
  };
  for (const auto& [id, retry_after_ms] :
       entry.outage.TakeRefused(At(now_ms_))) {
    Answer(take(id), false, retry_after_ms);
  }
  for (const auto id : entry.outage.Release(At(now_ms_))) {
    Attempt(take(id));
  }
}

}  // namespace

OutageResult ReplayOutage(const OutageLoad& load) {
  return Replay(load).Run();
}

}  // namespace cranberryshunt::cell
