// Finds runs that are open in the committed state although the leader follows
// no such run, so that nobody would ever end them.
#ifndef CRANBERRYSHUNT_CELL_RUN_CHECK_H_
#define CRANBERRYSHUNT_CELL_RUN_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "tracked_worker.h"

namespace cranberryshunt::cell {

class RunCheck {
 public:
  // Returns whether somebody will end the run.
  using HasOwner = std::function<
      bool(const TaskKey& task, std::int32_t run, WorkerNumber worker)>;
  struct OpenRun {
    RunKey key;
    WorkerNumber worker = 0;
  };

  explicit RunCheck(const graph::GraphStore& store) : store_(store) {}

  // Examines the next jobs, about `max_tasks` tasks in all. Returns the runs
  // that have had no owner for `grace_ms`, each once in that time.
  std::vector<OpenRun> Advance(std::int64_t now_ms,
                               std::int64_t grace_ms,
                               std::size_t max_tasks,
                               const HasOwner& has_owner);

 private:
  struct Suspect {
    WorkerNumber worker = 0;
    std::int64_t since_ms = 0;
  };

  // Returns the number of tasks.
  std::size_t ExamineJob(const graph::Job& job,
                         std::int64_t now_ms,
                         const HasOwner& has_owner);

  const graph::GraphStore& store_;
  graph::JobId next_job_ = 0;
  std::map<RunKey, Suspect> suspects_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_RUN_CHECK_H_
