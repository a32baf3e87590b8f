// The leader's records of attempts that are placed, running or ending.
#ifndef CRANBERRYSHUNT_CONTROLLER_ATTEMPT_TABLE_H_
#define CRANBERRYSHUNT_CONTROLLER_ATTEMPT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/policy/types.h"
#include "wire_types.h"

namespace cranberryshunt::controller {

enum class Stage {
  kUnassigned,   // The start is not assigned to an entry.
  kStartQueued,  // The start waits for the next poll of an entry.
  kStartSent,    // The start was sent to an entry; no report yet.
  kLookup,       // The state of the attempt is being looked up at its target.
  kRunning,
  kEnding,  // The end is decided but not applied yet.
};

enum class StopReason { kNone, kCancelled, kPreempted };

struct Attempt {
  wire::AttemptKey key;
  std::string worker;
  std::string incarnation;
  std::int64_t fence = 0;
  Stage stage = Stage::kUnassigned;
  std::string entry;               // Entry to which the start is assigned.
  bool start_may_be_sent = false;  // An entry may have received the start,
                                   // possibly from an earlier leader.
  bool ran = false;                // Has been reported as running.
  int deliveries = 0;  // Number of entries that may have received the start.
  TimePoint start_expiry{};  // No start can take effect after this time.
  std::int64_t expiry_clock_ms = 0;  // start_expiry on the worker's clock.
  TimePoint last_listed{};           // Time of the last report that it runs.
  StopReason stop = StopReason::kNone;
  bool checkpoint = false;
  int lookups = 0;
  int invalid_answers = 0;
  std::vector<std::uint64_t> waiting_reports;
  std::optional<TimePoint> due;
};

// Attempts, indexed by task, by worker and by timer.
class AttemptTable {
 public:
  Attempt& Add(Attempt attempt);
  // Returns null when the task has no attempt.
  Attempt* Find(const policy::TaskId& task);
  // Returns null when `key` is not the current attempt of its task.
  Attempt* Find(const wire::AttemptKey& key);
  void Remove(const policy::TaskId& task);

  // Sets the time at which TakeExpired() returns the attempt. Without a time,
  // clears the timer.
  void SetTimer(Attempt& attempt, std::optional<TimePoint> due);
  // Clears the timers that have expired and returns their tasks.
  std::vector<policy::TaskId> TakeExpired(TimePoint now);

  std::vector<policy::TaskId> OnWorker(const std::string& worker) const;
  std::size_t CountOnWorker(const std::string& worker) const;
  // Returns the tasks whose start is queued for or was sent to `entry`.
  std::vector<policy::TaskId> WithEntry(const std::string& entry) const;
  bool HasWorker(const std::string& worker) const {
    return by_worker_.contains(worker);
  }
  std::size_t size() const { return attempts_.size(); }

 private:
  std::map<policy::TaskId, Attempt> attempts_;
  std::map<std::string, std::set<policy::TaskId>> by_worker_;
  std::set<std::pair<TimePoint, policy::TaskId>> timers_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_ATTEMPT_TABLE_H_
