#include "cranberryshunt/base/log.h"
#include "leader.h"

namespace cranberryshunt::cell {

void Leader::RecordCrashes(std::set<graph::JobId>& jobs) {
  for (const auto& crash : store_.crashed_workers()) {
    const auto* tracked_worker = workers_.Find(crash.number);
    Log(LogLevel::kWarning, "workers", "worker crashed and is back",
        {{"worker", crash.record.id},
         {"rack", crash.record.rack},
         {"runs", crash.runs.size()},
         {"silent_ms", tracked_worker == nullptr
                           ? std::int64_t{0}
                           : now_ms_ - tracked_worker->last_answer_ms}});
    ++metrics_.Counter("worker_crashes_total");
    for (const auto& it : crash.runs) {
      jobs.insert(it.task.job);
      const auto& job = *store_.FindJob(it.task.job);
      Log(LogLevel::kWarning, "runs", "worker of a run crashed",
          {{"task", graph::FormatTask(it.task)},
           {"run", it.run},
           {"worker", crash.record.id},
           {"crashes", job.CountedTask(it.task).crashes},
           {"state", wire::to_string(job.state())}});
      if (job.state() == wire::GraphJobState::kFailed) {
        ++metrics_.Counter("tasks_given_up_total{reason=\"crashes\"}");
      }
    }
  }
}

}  // namespace cranberryshunt::cell
