#include "pending_counter.h"

namespace cranberryshunt::cell {

void PendingCounter::Update(graph::JobId id, const graph::Job* job) {
  if (job == nullptr || !job->active()) {
    Remove(id);
    started_jobs_.erase(id);
    return;
  }
  if (job->started()) {
    OnJobStarted(id);
    return;
  }
  if (!started_jobs_.contains(id) &&
      queues_.try_emplace(id, job->queue().name).second) {
    ++counts_[job->queue().name];
  }
}

void PendingCounter::OnJobStarted(graph::JobId id) {
  started_jobs_.insert(id);
  Remove(id);
}

void PendingCounter::Remove(graph::JobId id) {
  const auto node = queues_.extract(id);
  if (!node.empty()) {
    --counts_[node.mapped()];
  }
}

std::int64_t PendingCounter::Count(const std::string& queue) const {
  const auto it = counts_.find(queue);
  return it == counts_.end() ? 0 : it->second;
}

}  // namespace cranberryshunt::cell
