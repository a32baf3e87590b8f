// Counts the crashes of workers for the tasks that ran on them.
#include "cranberryshunt/graph/graph_store.h"

namespace cranberryshunt::graph {

namespace {

// A task is given up after this many crashes of workers on which it ran. Tasks
// that ran beside the cause of a crash are counted as well, so the limit is
// above the two crashes that suffice for giving a task up.
constexpr std::int32_t kMaxCrashes = 5;

// Returns the run of the task that was on the worker, or 0. It may have been
// given up before the worker came back.
std::int32_t RunOn(const TaskState& task, WorkerNumber worker) {
  if (task.done) {
    return 0;
  }
  if (task.run != 0 && task.worker == worker) {
    return task.run;
  }
  return task.lost_worker == worker ? task.lost_run : 0;
}

}  // namespace

bool GraphStore::CountCrash(Job& job, const TaskKey& key, std::int32_t run) {
  auto& counted = job.MutableCountedTask(key);
  if (counted.crashed_run >= run) {
    return false;
  }
  counted.crashed_run = run;
  ++counted.crashes;
  return true;
}

void GraphStore::ApplyCrash(WorkerNumber number,
                            const wire::CalledWorker& record,
                            std::int64_t at_ms) {
  if (record.leaving) {
    return;
  }
  CrashedWorker crash{number, record, {}};
  for (auto& [id, job] : jobs_) {
    if (!job.active()) {
      continue;
    }
    TaskKey key{id, 0, 0, 0};
    for (key.occurrence = 0; key.occurrence < job.occurrences();
         ++key.occurrence) {
      for (key.step = 0; key.step < job.step_count(); ++key.step) {
        const auto& step = job.step(key.step);
        for (key.index = 0; key.index < step.task_count; ++key.index) {
          const auto run = RunOn(job.task(key), number);
          if (run == 0 || !CountCrash(job, key, run)) {
            continue;
          }
          crash.runs.push_back({key, run});
          // A long-running task sees crashes that it did not cause.
          if (!step.long_running &&
              job.CountedTask(key).crashes >= kMaxCrashes) {
            Finish(job, wire::GraphJobState::kFailed, at_ms);
          }
        }
      }
    }
  }
  crashed_workers_.push_back(std::move(crash));
}

}  // namespace cranberryshunt::graph
