// Leases and clocks of the workers, as known to the leader.
#ifndef CRANBERRYSHUNT_CONTROLLER_WORKER_TABLE_H_
#define CRANBERRYSHUNT_CONTROLLER_WORKER_TABLE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "wire_types.h"

namespace cranberryshunt::controller {

struct LiveWorker {
  wire::Worker identity;
  // Worker's clock in the announcement with the latest clock of this
  // incarnation, and when that announcement was received.
  std::int64_t clock_ms = 0;
  TimePoint clock_received{};
  // When the leases were last renewed. For a worker that has not announced
  // itself to this leader, the start of the term.
  TimePoint lease_renewed{};
  bool announced = false;  // Has announced itself to this leader.
  bool lost = false;       // Its leases have expired.
  bool accepting = false;  // As last set in the scheduler.
  std::string via_entry;   // Entry that relayed the newest announcement.
  std::deque<std::string> old_incarnations;
};

// What an announcement changed in the table's record of its worker.
enum class WorkerChange {
  kSame,       // Same incarnation and worker data.
  kChanged,    // Same incarnation, other worker data.
  kNew,        // First announcement of an unknown worker.
  kRestarted,  // New incarnation.
  kStale,      // From a replaced incarnation; ignored.
};

class WorkerTable {
 public:
  explicit WorkerTable(std::chrono::milliseconds worker_lease)
      : worker_lease_(worker_lease) {}

  // Loads the workers from the replicated state. An earlier leader may have
  // renewed their leases up to `now`.
  void BeginTerm(const std::map<std::string, wire::Worker>& workers,
                 TimePoint now);
  // Updates the worker from its announcement and renews its lease, unless the
  // announcement is stale.
  WorkerChange Announce(const wire::WorkerAnnouncement& announcement,
                        const std::string& entry_id,
                        TimePoint now);
  void SetDraining(const std::string& identity, bool draining);
  void Remove(const std::string& identity) { workers_.erase(identity); }

  // Returns null when the worker is not known.
  LiveWorker* Find(const std::string& identity);
  const LiveWorker* Find(const std::string& identity) const;
  const std::map<std::string, LiveWorker>& workers() const { return workers_; }

  // Returns a time on the worker's own clock that is at most `window` after
  // `now`. The worker must have announced itself.
  static std::int64_t ClockAfter(const LiveWorker& worker,
                                 TimePoint now,
                                 Duration window);
  // Returns the time by which the last granted lease has certainly expired.
  TimePoint LeaseEnd(const LiveWorker& worker) const;
  // Returns the end of the lease on the worker's own clock.
  std::int64_t LeaseEndClock(const LiveWorker& worker) const;
  // Returns whether the worker has not announced itself to this leader, or not
  // recently.
  bool IsSilent(const LiveWorker& worker, TimePoint now) const;

  // Marks workers whose leases have expired as lost. Returns the identities of
  // the workers that were not marked before.
  std::vector<std::string> MarkLost(TimePoint now);
  // Returns the workers whose leases expired at least `age` before `now`.
  std::vector<std::string> LostForAtLeast(TimePoint now, Duration age) const;

 private:
  std::chrono::milliseconds worker_lease_;
  std::map<std::string, LiveWorker> workers_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_WORKER_TABLE_H_
