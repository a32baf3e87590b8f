// Counts the accepted jobs of each queue of which no task has begun on a
// worker. A committed start that is not confirmed yet does not count as begun.
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
  // The job was accepted or changed; `job` is null once it is forgotten.
  void Update(graph::JobId id, const graph::Job* job);
  // A worker confirmed that a task of the job runs or ran.
  void OnBegun(graph::JobId id);

  std::int64_t Count(const std::string& queue) const;

 private:
  void Remove(graph::JobId id);

  std::unordered_map<graph::JobId, std::string> queues_;  // Of pending jobs.
  std::unordered_set<graph::JobId> begun_;  // Active jobs with a begun task.
  std::map<std::string, std::int64_t> counts_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_PENDING_COUNTER_H_
