// What the leader knows of each attempt that is placed or running.
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
  kUnassigned,   // No entry carries its start.
  kStartQueued,  // Its start waits for the next poll of an entry.
  kStartSent,    // An entry has its start; no report yet.
  kLookup,       // An entry is asked what became of it.
  kRunning,
  kEnding,  // Its end is on its way into the log.
};

enum class StopReason { kNone, kCancelled, kPreempted };

struct Attempt {
  wire::AttemptKey key;
  std::string worker;
  std::string incarnation;
  std::int64_t fence = 0;
  Stage stage = Stage::kUnassigned;
  std::string entry;               // That carries the start.
  bool start_may_be_sent = false;  // Some entry, perhaps of an earlier leader,
                                   // may have had its start.
  bool ran = false;          // Reported as running before.
  int deliveries = 0;        // Entries that got its start from this leader.
  TimePoint start_expiry{};  // No start can take effect later.
  std::int64_t expiry_clock_ms = 0;  // The same on the worker's clock.
  TimePoint listed{};                // Last report that it runs.
  StopReason stop = StopReason::kNone;
  bool checkpoint = false;
  int lookups = 0;
  int invalid_answers = 0;
  std::vector<std::uint64_t> waiting_reports;
  std::optional<TimePoint> due;
};

// Attempts by task, by worker and by time of the next action.
class AttemptTable {
 public:
  Attempt& Add(Attempt attempt);
  // Returns null when the task has no attempt.
  Attempt* Find(const policy::TaskId& task);
  // Returns null when the task is at another attempt.
  Attempt* Find(const wire::AttemptKey& key);
  void Remove(const policy::TaskId& task);

  // Sets when the attempt is returned by TakeExpired(), or never.
  void SetTimer(Attempt& attempt, std::optional<TimePoint> due);
  std::vector<policy::TaskId> TakeExpired(TimePoint now);

  std::vector<policy::TaskId> OnWorker(const std::string& worker) const;
  std::size_t CountOnWorker(const std::string& worker) const;
  // Attempts whose start is with `entry`.
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
