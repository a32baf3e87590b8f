// Counts the pending jobs of each queue: accepted jobs of which no task has
// started on a worker. A committed start counts only once the worker has
// confirmed it.
#ifndef CRANBERRYSHUNT_CELL_PENDING_COUNTER_H_
#define CRANBERRYSHUNT_CELL_PENDING_COUNTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "cranberryshunt/graph/graph_store.h"

namespace cranberryshunt::cell {

class PendingCounter {
 public:
  // Must be called when a job was accepted or changed. `job` is null once the
  // state has removed the job.
  void Update(graph::JobId id, const graph::Job* job);
  // Must be called when a worker confirmed that a task of the job runs or ran.
  void OnJobStarted(graph::JobId id);

  std::int64_t Count(const std::string& queue) const;

 private:
  void Remove(graph::JobId id);

  std::unordered_map<graph::JobId, std::string> queues_;  // Of pending jobs.
  // Active jobs with a started task.
  std::unordered_set<graph::JobId> started_jobs_;
  std::map<std::string, std::int64_t> counts_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_PENDING_COUNTER_H_
