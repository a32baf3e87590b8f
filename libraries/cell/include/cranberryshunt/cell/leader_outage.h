// Decides what becomes of calls while no controller serves as the leader.
#ifndef CRANBERRYSHUNT_CELL_LEADER_OUTAGE_H_
#define CRANBERRYSHUNT_CELL_LEADER_OUTAGE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt::cell {

struct LeaderOutageOptions {
  // Each held call occupies a thread of its process.
  std::size_t max_held = 256;
  // A call is held if a leader is found within its time with this probability.
  double min_chance = 0.5;
  // The same for a call that has no time to come back after a Retry-After.
  double min_last_chance = 0.05;
  // Of the random numbers that spread attempts and retries.
  std::uint64_t seed = 0;
};

// What an attempt to call the leader showed.
enum class LeaderAnswer {
  kServed,      // The leader replied.
  kRedirected,  // The controller is not the leader and named another one.
  // It is not the leader and named no other that can be reached, or it did not
  // reply.
  kNone,
};

struct LeaderAttempt {
  LeaderAnswer answer = LeaderAnswer::kNone;
  // Whether an earlier attempt of the same call has failed.
  bool repeated = false;
  TimePoint begin;
  TimePoint end;
};

// Follows the attempts of one process to call the leader. An outage is a time
// in which no controller answers as the leader. Calls are held in the outage,
// or refused if a leader is not likely to be found within their time. After it,
// the held calls are released, those with the least time left first. Has no
// clock and no thread of its own.
class LeaderOutage {
 public:
  using CallId = std::uint64_t;

  enum class Step { kSend, kHold, kRefuse };
  struct Decision {
    Step step = Step::kSend;
    TimePoint hold_until;             // Of kHold.
    std::int64_t retry_after_ms = 0;  // Of kRefuse.
  };
  enum class Change { kNone, kBegan, kEnded };
  // Figures of the present outage, or of the last one.
  struct Summary {
    TimePoint begin;
    TimePoint end;
    std::int64_t held = 0;      // Calls that were held.
    std::int64_t refused = 0;   // Held or not.
    std::int64_t released = 0;  // Calls that were sent after they were held.
  };

  explicit LeaderOutage(const LeaderOutageOptions& options = {});

  Change OnAttempt(const LeaderAttempt& attempt);

  // Decides about a call that is about to be sent, or sent again, and must be
  // answered by `deadline`. A call that is held stays so until Release() or
  // TakeRefused() returns it.
  Decision Decide(CallId call, TimePoint deadline, TimePoint now);
  // Returns the held calls that are to be sent now.
  std::vector<CallId> Release(TimePoint now);
  // Returns held calls that can't be served any more, or that have made room
  // for others, each with its Retry-After in milliseconds.
  std::vector<std::pair<CallId, std::int64_t>> TakeRefused(TimePoint now);
  // The call has ended. It has no effect on a call that never was held.
  void Finish(CallId call);

  // Whether no leader is known to serve.
  bool ongoing() const { return ongoing_; }
  // Whether calls are held, so that others must not overtake them.
  bool holds_calls() const { return !held_.empty(); }
  // Time until the next attempt to find the leader.
  Duration ProbePause(TimePoint now);
  // Probability that a leader is found within `time`.
  double ChanceWithin(Duration time, TimePoint now) const;
  const Summary& summary() const { return summary_; }

 private:
  void Begin(TimePoint begin);
  void End(TimePoint end);
  bool ShouldHold(Duration left, TimePoint now) const;
  std::int64_t RetryAfterMs(Duration left);

  const LeaderOutageOptions options_;
  std::mt19937_64 random_;
  bool ongoing_ = false;
  std::optional<TimePoint> last_served_;
  // Failed attempts since a leader answered, and the begin of the first one.
  int failures_ = 0;
  TimePoint first_failure_;
  // How long the last outages took, after the ones assumed at first.
  std::deque<Duration> durations_;
  // In order of urgency.
  std::set<std::pair<TimePoint, CallId>> held_;
  std::map<CallId, TimePoint> deadlines_;
  // Calls that were held, and have been sent since the outage ended.
  std::set<CallId> released_;
  // How many of these may wait for an answer at a time.
  std::size_t window_ = 0;
  // Calls that made room for others, with their Retry-After in milliseconds.
  std::vector<std::pair<CallId, std::int64_t>> displaced_;
  Summary summary_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_LEADER_OUTAGE_H_
