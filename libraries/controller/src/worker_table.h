// Leases and clocks of the workers, as the leader sees them.
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
  // Clock of the worker in an announcement, and when that was received.
  std::int64_t clock_ms = 0;
  TimePoint clock_received{};
  // When its leases were last renewed; at the latest the leader's election.
  TimePoint lease_renewed{};
  bool announced = false;  // To this leader.
  bool lost = false;       // Its leases ran out.
  bool accepting = false;  // What the scheduler was told.
  std::string via_entry;   // Entry of the newest announcement.
  std::deque<std::string> old_incarnations;
};

enum class AnnouncementEffect {
  kSame,
  kChanged,    // Same incarnation, other identity data.
  kNew,        // First announcement of an unknown worker.
  kRestarted,  // New incarnation.
  kStale,      // Of an incarnation that was replaced; changes nothing.
};

class WorkerTable {
 public:
  explicit WorkerTable(std::chrono::milliseconds worker_lease)
      : worker_lease_(worker_lease) {}

  // Takes over the workers of the state. An earlier leader may have renewed
  // their leases up to `now`.
  void BeginTerm(const std::map<std::string, wire::Worker>& workers,
                 TimePoint now);
  AnnouncementEffect Announce(const wire::WorkerAnnouncement& announcement,
                              const std::string& entry_id,
                              TimePoint now);
  void SetDraining(const std::string& identity, bool draining);
  void Remove(const std::string& identity) { workers_.erase(identity); }

  // Returns null when the worker is not known.
  LiveWorker* Find(const std::string& identity);
  const LiveWorker* Find(const std::string& identity) const;
  const std::map<std::string, LiveWorker>& workers() const { return workers_; }

  // The time of the worker's own clock that lies `window` after now, or
  // earlier. The worker must have announced itself.
  static std::int64_t ClockAfter(const LiveWorker& worker,
                                 TimePoint now,
                                 Duration window);
  // When the last lease that was granted has ended for certain.
  TimePoint LeaseEnd(const LiveWorker& worker) const;
  // The end of the lease on the worker's own clock.
  std::int64_t LeaseEndClock(const LiveWorker& worker) const;
  bool IsSilent(const LiveWorker& worker, TimePoint now) const;

  // Marks the workers whose leases have ended since the last call as lost and
  // returns their names.
  std::vector<std::string> MarkLost(TimePoint now);
  // Workers that were lost at least `age` before `now`.
  std::vector<std::string> LostForAtLeast(TimePoint now, Duration age) const;

 private:
  std::chrono::milliseconds worker_lease_;
  std::map<std::string, LiveWorker> workers_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_WORKER_TABLE_H_
