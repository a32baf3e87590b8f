#include "worker_table.h"

#include <algorithm>

#include "core_types.h"

namespace cranberryshunt::controller {

namespace {

// A worker announces itself every second. After three missed announcements it
// gets no new tasks, well before its leases expire.
constexpr std::chrono::milliseconds kMaxSilence{3'500};

// Enough to recognize announcements that arrive out of order through different
// entries.
constexpr std::size_t kMaxOldIncarnations = 8;

}  // namespace

void WorkerTable::BeginTerm(const std::map<std::string, wire::Worker>& workers,
                            TimePoint now) {
  for (const auto& [identity, worker] : workers) {
    LiveWorker live;
    live.identity = worker;
    live.lease_renewed = now;
    workers_[identity] = std::move(live);
  }
}

WorkerChange WorkerTable::Announce(const wire::WorkerAnnouncement& announcement,
                                   const std::string& entry_id,
                                   TimePoint now) {
  const auto& worker = announcement.worker;
  auto [it, is_new] = workers_.try_emplace(worker.identity);
  LiveWorker& live = it->second;
  if (std::find(live.old_incarnations.begin(), live.old_incarnations.end(),
                worker.incarnation) != live.old_incarnations.end()) {
    return WorkerChange::kStale;
  }
  WorkerChange change = is_new ? WorkerChange::kNew : WorkerChange::kSame;
  if (!is_new && live.identity.incarnation != worker.incarnation) {
    change = WorkerChange::kRestarted;
    live.old_incarnations.push_back(live.identity.incarnation);
    if (live.old_incarnations.size() > kMaxOldIncarnations) {
      live.old_incarnations.pop_front();
    }
    live.announced = false;
  }
  wire::Worker updated = worker;
  updated.draining = live.identity.draining;
  if (change == WorkerChange::kSame && updated != live.identity) {
    change = WorkerChange::kChanged;
  }
  live.identity = std::move(updated);
  // An announcement that arrives out of order must not move the clock back.
  if (!live.announced || announcement.clock_ms >= live.clock_ms) {
    live.clock_ms = announcement.clock_ms;
    live.clock_received = now;
  }
  live.lease_renewed = now;
  live.announced = true;
  live.lost = false;
  live.via_entry = entry_id;
  return change;
}

void WorkerTable::SetDraining(const std::string& identity, bool draining) {
  if (LiveWorker* worker = Find(identity)) {
    worker->identity.draining = draining;
  }
}

LiveWorker* WorkerTable::Find(const std::string& identity) {
  auto it = workers_.find(identity);
  return it == workers_.end() ? nullptr : &it->second;
}

const LiveWorker* WorkerTable::Find(const std::string& identity) const {
  auto it = workers_.find(identity);
  return it == workers_.end() ? nullptr : &it->second;
}

std::int64_t WorkerTable::ClockAfter(const LiveWorker& worker,
                                     TimePoint now,
                                     Duration window) {
  return worker.clock_ms + ToMilliseconds(now - worker.clock_received + window);
}

TimePoint WorkerTable::LeaseEnd(const LiveWorker& worker) const {
  return worker.lease_renewed + WithClockMargin(worker_lease_);
}

std::int64_t WorkerTable::LeaseEndClock(const LiveWorker& worker) const {
  return worker.clock_ms + worker_lease_.count();
}

bool WorkerTable::IsSilent(const LiveWorker& worker, TimePoint now) const {
  return !worker.announced || now - worker.lease_renewed > kMaxSilence;
}

std::vector<std::string> WorkerTable::MarkLost(TimePoint now) {
  std::vector<std::string> lost;
  for (auto& [identity, worker] : workers_) {
    if (!worker.lost && now >= LeaseEnd(worker)) {
      worker.lost = true;
      lost.push_back(identity);
    }
  }
  return lost;
}

std::vector<std::string> WorkerTable::LostForAtLeast(TimePoint now,
                                                     Duration age) const {
  std::vector<std::string> lost;
  for (const auto& [identity, worker] : workers_) {
    if (worker.lost && now >= LeaseEnd(worker) + age) {
      lost.push_back(identity);
    }
  }
  return lost;
}

}  // namespace cranberryshunt::controller
