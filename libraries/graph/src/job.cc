#include <algorithm>
#include <utility>

#include "cranberryshunt/graph/graph_store.h"

namespace cranberryshunt::graph {

Job::Job(wire::AcceptedGraphJob accepted) : accepted_(std::move(accepted)) {
  for (const auto& it : accepted_.job.steps) {
    step_offsets_.push_back(tasks_per_occurrence_);
    tasks_per_occurrence_ += it.task_count;
  }
  const auto n = static_cast<std::size_t>(tasks_per_occurrence_) *
                 static_cast<std::size_t>(occurrences());
  tasks_.resize(n);
  open_task_count_ = static_cast<std::int64_t>(n);
  for (std::int32_t k = 0; k < occurrences(); ++k) {
    for (const auto& it : accepted_.job.steps) {
      open_tasks_by_step_.push_back(it.task_count);
    }
  }
}

std::size_t Job::IndexOf(const TaskKey& key) const {
  const auto occurrence = static_cast<std::size_t>(key.occurrence);
  const auto per_occurrence = static_cast<std::size_t>(tasks_per_occurrence_);
  const auto offset = step_offsets_[static_cast<std::size_t>(key.step)];
  return occurrence * per_occurrence + static_cast<std::size_t>(offset) +
         static_cast<std::size_t>(key.index);
}

std::size_t Job::CountedIndexOf(const TaskKey& key) const {
  TaskKey counted = key;
  if (step(key.step).gang) {
    counted.index = 0;
  }
  return IndexOf(counted);
}

const TaskState& Job::CountedTask(const TaskKey& key) const {
  return tasks_[CountedIndexOf(key)];
}

TaskState& Job::MutableCountedTask(const TaskKey& key) {
  return tasks_[CountedIndexOf(key)];
}

bool Job::Contains(const TaskKey& key) const {
  return key.occurrence >= 0 && key.occurrence < occurrences() &&
         key.step >= 0 && key.step < step_count() && key.index >= 0 &&
         key.index < step(key.step).task_count;
}

bool Job::IsSuspect(const TaskKey& key) const {
  if (!has_crashes_) {
    return false;
  }
  const auto first = IndexOf({key.job, key.occurrence, key.step, 0});
  const auto count = static_cast<std::size_t>(step(key.step).task_count);
  const auto is_suspect = [](const auto& task) {
    return task.crashes >= kSuspectCrashes;
  };
  return step(key.step).gang
             ? std::any_of(
                   tasks_.begin() + static_cast<std::ptrdiff_t>(first),
                   tasks_.begin() + static_cast<std::ptrdiff_t>(first + count),
                   is_suspect)
             : is_suspect(task(key));
}

const TaskState* Job::FindTask(const TaskKey& key) const {
  return Contains(key) ? &tasks_[IndexOf(key)] : nullptr;
}

bool Job::AcceptsResult(const TaskKey& key,
                        std::int32_t run,
                        wire::RunEnd::type how) const {
  const auto* task = FindTask(key);
  if (task == nullptr || task->done || run == 0) {
    return false;
  }
  if (task->run == run) {
    return true;
  }
  return how == wire::RunEnd::kDone && task->run == 0 && task->last_run == run;
}

std::size_t Job::StepIndexOf(const StepKey& key) const {
  return static_cast<std::size_t>(key.occurrence) * accepted_.job.steps.size() +
         static_cast<std::size_t>(key.step);
}

bool Job::StepDone(const StepKey& key) const {
  return open_tasks_by_step_[StepIndexOf(key)] == 0;
}

bool Job::StepReady(const StepKey& key) const {
  for (const auto it : step(key.step).depends_on) {
    if (!StepDone({key.job, key.occurrence, it})) {
      return false;
    }
  }
  return true;
}

std::int64_t Job::EarliestStartMs(std::int32_t occurrence) const {
  const auto& spec = accepted_.job;
  return spec.first_due_ms == 0
             ? 0
             : spec.first_due_ms + occurrence * spec.interval_ms;
}

}  // namespace cranberryshunt::graph
