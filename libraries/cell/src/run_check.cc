#include "run_check.h"

namespace cranberryshunt::cell {

std::vector<RunCheck::OpenRun> RunCheck::Advance(std::int64_t now_ms,
                                                 std::int64_t grace_ms,
                                                 std::size_t max_tasks,
                                                 const HasOwner& has_owner) {
  const auto& jobs = store_.jobs();
  std::size_t examined = 0;
  auto job = jobs.lower_bound(next_job_);
  for (; job != jobs.end() && examined < max_tasks; ++job) {
    examined += ExamineJob(job->second, now_ms, has_owner);
  }
  next_job_ = job == jobs.end() ? 0 : job->first;
  std::vector<OpenRun> out;
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    const auto& [task, run] = it->first;
    const auto worker = it->second.worker;
    const auto* owning_job = store_.FindJob(task.job);
    const auto* state =
        owning_job == nullptr ? nullptr : owning_job->FindTask(task);
    if (state == nullptr || state->run != run || has_owner(task, run, worker)) {
      it = suspects_.erase(it);
      continue;
    }
    if (now_ms - it->second.since_ms >= grace_ms) {
      it->second.since_ms = now_ms;
      out.push_back({it->first, worker});
    }
    ++it;
  }
  return out;
}

std::size_t RunCheck::ExamineJob(const graph::Job& job,
                                 std::int64_t now_ms,
                                 const HasOwner& has_owner) {
  if (job.open_runs() == 0) {
    return 1;
  }
  std::size_t examined = 0;
  TaskKey key{job.id(), 0, 0, 0};
  for (key.occurrence = 0; key.occurrence < job.occurrences();
       ++key.occurrence) {
    for (key.step = 0; key.step < job.step_count(); ++key.step) {
      const auto count = job.step(key.step).task_count;
      examined += static_cast<std::size_t>(count);
      for (key.index = 0; key.index < count; ++key.index) {
        const auto& task = job.task(key);
        if (task.run != 0 && !has_owner(key, task.run, task.worker)) {
          suspects_.try_emplace({key, task.run}, Suspect{task.worker, now_ms});
        }
      }
    }
  }
  return examined;
}

}  // namespace cranberryshunt::cell
