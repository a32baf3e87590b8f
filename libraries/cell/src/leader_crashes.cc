#include <algorithm>
#include <string>

#include "cranberryshunt/base/log.h"
#include "leader.h"

namespace cranberryshunt::cell {

namespace {

// A task that crashes its workers does so soon after its start, so a suspect
// does not keep other tasks away for longer.
constexpr std::int64_t kExclusiveMs = 3'000;

}  // namespace

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
           {"crashes", job.task(it.task).crashes},
           {"verdict", graph::CrashVerdictName(it.verdict)},
           {"alone_crashes", job.task(it.task).alone_crashes},
           {"state", wire::to_string(job.state())}});
      ++metrics_.Counter(std::string("task_crashes_total{verdict=\"") +
                         graph::CrashVerdictName(it.verdict) + "\"}");
      if (job.state() == wire::GraphJobState::kFailed) {
        ++metrics_.Counter("tasks_given_up_total{reason=\"crashes\"}");
      }
    }
  }
}

bool Leader::IsExclusive(const TrackedWorker& tracked_worker) const {
  return std::any_of(
      tracked_worker.runs.begin(), tracked_worker.runs.end(),
      [&](const auto& it) {
        const auto& [key, run] = it;
        if (run.phase == RunPhase::kInherited ||
            (run.started_ms != 0 && now_ms_ - run.started_ms >= kExclusiveMs)) {
          return false;
        }
        const auto* job = store_.FindJob(key.first.job);
        return job != nullptr && job->FindTask(key.first) != nullptr &&
               job->IsSuspect(key.first);
      });
}

}  // namespace cranberryshunt::cell
