// Attributes the crashes of workers to the tasks that ran on them.
#include <algorithm>
#include <utility>

#include "cranberryshunt/graph/graph_store.h"
#include "crash_evidence.h"

namespace cranberryshunt::graph {

namespace {

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

bool SameUnit(const Job& job, const TaskKey& a, const TaskKey& b) {
  return a == b || (a.step_key() == b.step_key() && job.step(a.step).gang);
}

}  // namespace

Unrest GraphStore::UnrestAt(std::int64_t at_ms) const {
  return Classify(CountRecent(recent_crashes_, at_ms),
                  CountRecent(recent_external_crashes_, at_ms),
                  workers_.size());
}

bool GraphStore::HasUnrest(std::int64_t at_ms) const {
  return UnrestAt(at_ms) != Unrest::kNone;
}

void GraphStore::RecordCrashTime(bool external, std::int64_t at_ms) {
  const auto record = [&](auto& times) {
    std::erase_if(times, [&](auto it) { return !IsRecent(it, at_ms); });
    times.push_back(at_ms);
  };
  record(recent_crashes_);
  if (external) {
    record(recent_external_crashes_);
  }
}

std::vector<CrashedRun> GraphStore::RunsOn(WorkerNumber worker) const {
  std::vector<CrashedRun> out;
  for (const auto& [id, job] : jobs_) {
    if (!job.active() && job.open_runs() == 0) {
      continue;
    }
    TaskKey key{id, 0, 0, 0};
    for (key.occurrence = 0; key.occurrence < job.occurrences();
         ++key.occurrence) {
      for (key.step = 0; key.step < job.step_count(); ++key.step) {
        for (key.index = 0; key.index < job.step(key.step).task_count;
             ++key.index) {
          if (const auto run = RunOn(job.task(key), worker); run != 0) {
            out.push_back({key, run});
          }
        }
      }
    }
  }
  return out;
}

// Takes back the evidence of crashes that turn out to have another cause.
void GraphStore::RevokeRecentEvidence(std::int64_t at_ms) {
  if (UnrestAt(at_ms) != Unrest::kExternalCrashes) {
    return;
  }
  for (auto& [id, job] : jobs_) {
    if (!job.active() || !job.has_crashes_) {
      continue;
    }
    for (auto& task : job.tasks_) {
      if (IsRecent(task.alone_crash_ms, at_ms)) {
        task.alone_crashes = 0;
      }
    }
  }
}

// Returns whether this is the first time that the crash is counted.
bool GraphStore::CountCrash(CrashedRun& run,
                            const CrashFacts& facts,
                            std::int64_t at_ms) {
  auto& job = jobs_.at(run.task.job);
  auto& task = job.tasks_[job.IndexOf(run.task)];
  if (!job.active() || task.crashed_run >= run.run) {
    return false;
  }
  task.crashed_run = run.run;
  ++task.crashes;
  job.has_crashes_ = true;
  auto known = facts;
  known.recently_started =
      IsRecentStart(task, job.step(run.task.step).long_running, at_ms);
  run.verdict = Judge(known);
  switch (run.verdict) {
    case CrashVerdict::kAlone:
      ++task.alone_crashes;
      task.alone_crash_ms = at_ms;
      break;
    case CrashVerdict::kLongAfterStart:
      // A task that crashes its workers does so each time.
      task.alone_crashes = 0;
      break;
    case CrashVerdict::kOtherCrashes:
    case CrashVerdict::kOtherTasks:
      break;
  }
  return true;
}

void GraphStore::ApplyCrash(WorkerNumber number,
                            const wire::CalledWorker& record,
                            std::int64_t at_ms) {
  if (record.leaving) {
    return;
  }
  CrashedWorker crash{number, record, {}};
  auto runs = RunsOn(number);
  CrashFacts facts;
  facts.alone = std::all_of(runs.begin(), runs.end(), [&](const auto& it) {
    const auto& first = runs.front().task;
    return SameUnit(jobs_.at(first.job), first, it.task);
  });
  facts.unrest = UnrestAt(at_ms);
  const bool external =
      std::none_of(runs.begin(), runs.end(), [&](const auto& it) {
        const auto& job = jobs_.at(it.task.job);
        return IsRecentStart(job.task(it.task),
                             job.step(it.task.step).long_running, at_ms);
      });
  // The crash of a worker that was left to a suspect alone is expected, so it
  // does not excuse the crashes of others.
  const bool expected =
      facts.alone && !external &&
      jobs_.at(runs.front().task.job).IsSuspect(runs.front().task);
  for (auto& it : runs) {
    if (CountCrash(it, facts, at_ms)) {
      crash.runs.push_back(it);
    }
  }
  if (!expected) {
    RecordCrashTime(external, at_ms);
    RevokeRecentEvidence(at_ms);
  }
  for (const auto& it : crash.runs) {
    auto& job = jobs_.at(it.task.job);
    if (job.active() && IsProven(job.task(it.task))) {
      Finish(job, wire::GraphJobState::kFailed, at_ms);
    }
  }
  crashed_workers_.push_back(std::move(crash));
}

}  // namespace cranberryshunt::graph
