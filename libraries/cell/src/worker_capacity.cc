// Capacity of the workers, which may change while they run.
#include "worker_tracker.h"

namespace cranberryshunt::cell {

policy::Demand CapacityOf(const wire::CalledWorker& record) {
  return {record.milli_cpus, record.memory_mb, record.accelerators};
}

policy::Demand TrackedWorker::Capacity() const {
  return policy::Min(CapacityOf(record), reported_capacity);
}

void WorkerTracker::RecordCapacity(WorkerNumber number,
                                   const policy::Demand& capacity) {
  const auto worker = workers_.find(number);
  if (worker == workers_.end() ||
      worker->second.reported_capacity == capacity) {
    return;
  }
  auto& it = worker->second;
  it.reported_capacity = capacity;
  it.full_capacity = policy::Max(it.full_capacity, capacity);
  changed_workers_.insert(number);
}

bool WorkerTracker::HasRoomFor(const TrackedWorker& worker, const Run& run) {
  policy::Demand used = run.demand;
  for (const auto& [key, it] : worker.runs) {
    if (&it != &run && it.phase != RunPhase::kProposed) {
      used += it.demand;
    }
  }
  return used.FitsIn(worker.Capacity());
}

}  // namespace cranberryshunt::cell
