#include "step_tracker.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cranberryshunt::cell {

namespace {

// Number of workers in a typical question; used to estimate the time of an
// answer.
constexpr double kTypicalWorkersPerQuestion = 30;

}  // namespace

std::int64_t ExpectedAdviceMs(const wire::JobQueue& queue) {
  return queue.needs_advice
             ? static_cast<std::int64_t>(queue.advice.base_ms +
                                         kTypicalWorkersPerQuestion *
                                             queue.advice.per_worker_ms)
             : 0;
}

policy::Demand DemandOf(const wire::GraphStep& step) {
  return {step.fills ? 0 : step.milli_cpus, step.memory_mb, step.accelerators};
}

std::vector<std::int64_t> RemainingTimes(const wire::JobQueue& queue,
                                         const wire::GraphJob& job,
                                         const RunTimes& times,
                                         RunLength length,
                                         const policy::AccountLedger& accounts,
                                         policy::AccountNumber account) {
  std::vector<std::int64_t> remaining(job.steps.size(), 0);
  for (auto n = job.steps.size(); n-- > 0;) {
    const auto& step = job.steps[n];
    const auto run_ms = length == RunLength::kExpected
                            ? times.Expected(queue.name, step.estimate_ms)
                            : times.Short(queue.name, step.estimate_ms);
    remaining[n] +=
        run_ms * accounts.WavesOf(account, DemandOf(step), step.task_count);
    for (const auto it : step.depends_on) {
      auto& before = remaining[static_cast<std::size_t>(it)];
      before = std::max(before, remaining[n] + ExpectedAdviceMs(queue));
    }
  }
  return remaining;
}

void StepTracker::RecordAcceptance(graph::JobId job, std::int64_t accepted_ms) {
  accepted_ms_[job] = accepted_ms;
}

void StepTracker::AddUncommitted(const wire::AcceptedGraphJob& accepted,
                                 std::int64_t now_ms) {
  const graph::Job job(accepted);
  if (!job.queue().needs_advice || job.occurrences() != 1 ||
      job.EarliestStartMs(0) > 0) {
    return;
  }
  for (std::int32_t n = 0; n < job.step_count(); ++n) {
    const graph::StepKey key{job.id(), 0, n};
    if (!job.StepReady(key)) {
      continue;
    }
    auto& step = Add(job, key, now_ms);
    step.uncommitted = true;
    step.waiting_since_ms = now_ms;
    step.waiting.resize(static_cast<std::size_t>(job.step(n).task_count));
    std::iota(step.waiting.begin(), step.waiting.end(), 0);
  }
}

void StepTracker::Refresh(graph::JobId id,
                          std::int64_t now_ms,
                          std::int64_t wall_ms) {
  const auto* job = store_.FindJob(id);
  if (job == nullptr) {
    accepted_ms_.erase(id);
    auto it = ids_.lower_bound({id, 0, 0});
    while (it != ids_.end() && it->first.job == id) {
      const auto key = it->first;
      ++it;
      Remove(key);
    }
    return;
  }
  for (std::int32_t k = 0; k < job->occurrences(); ++k) {
    if (job->active() && job->EarliestStartMs(k) > wall_ms) {
      due_jobs_.insert({job->EarliestStartMs(k), id});
      break;
    }
    for (std::int32_t n = 0; n < job->step_count(); ++n) {
      RefreshStep({id, k, n}, now_ms, wall_ms);
    }
  }
}

std::vector<graph::JobId> StepTracker::TakeDueJobs(std::int64_t wall_ms) {
  std::vector<graph::JobId> out;
  while (!due_jobs_.empty() && due_jobs_.begin()->first <= wall_ms) {
    out.push_back(due_jobs_.begin()->second);
    due_jobs_.erase(due_jobs_.begin());
  }
  return out;
}

void StepTracker::RefreshStep(const graph::StepKey& key,
                              std::int64_t now_ms,
                              std::int64_t wall_ms) {
  const auto* job = store_.FindJob(key.job);
  const bool ready = job != nullptr && job->active() && !job->StepDone(key) &&
                     job->StepReady(key) &&
                     job->EarliestStartMs(key.occurrence) <= wall_ms;
  if (!ready) {
    Remove(key);
    return;
  }
  auto* step = Find(key);
  if (step != nullptr && step->uncommitted) {
    step->uncommitted = false;
    step->changed = true;
  }
  UpdateWaitingTasks(*job, key,
                     step != nullptr ? *step : Add(*job, key, now_ms), now_ms);
}

void StepTracker::UpdateWaitingTasks(const graph::Job& job,
                                     const graph::StepKey& key,
                                     policy::PlanStep& step,
                                     std::int64_t now_ms) const {
  const bool waited = !step.waiting.empty();
  const bool was_blocked = step.blocked > 0;
  const auto before = std::exchange(step.waiting, {});
  step.running.clear();
  const auto suspects = std::exchange(step.suspects, {});
  const auto count = job.step(key.step).task_count;
  for (std::int32_t n = 0; n < count; ++n) {
    const graph::TaskKey task{key.job, key.occurrence, key.step, n};
    const auto& state = job.task(task);
    if (state.done) {
      continue;
    }
    if (state.run != 0) {
      ++step.running[state.worker];
    }
    const auto reserved = reserved_.find(task);
    if (state.run != 0) {
      continue;
    }
    if (reserved != reserved_.end()) {
      ++step.running[reserved->second];
    } else {
      step.waiting.push_back(n);
      if (job.IsSuspect(task)) {
        const auto known = suspects.find(n);
        step.suspects[n] = known == suspects.end() ? now_ms : known->second;
      }
    }
  }
  // The committed state has no run of a task that is done, but the run takes
  // its place on the worker until it has ended.
  for (auto it =
           stopping_.lower_bound({{key.job, key.occurrence, key.step, 0}, 0});
       it != stopping_.end() && it->first.first.step_key() == key; ++it) {
    const auto& state = job.task(it->first.first);
    if (state.done || state.run != it->first.second) {
      ++step.running[it->second];
    }
  }
  // A gang starts as a whole, so it waits until no task of its previous run
  // remains.
  step.blocked = 0;
  if (step.gang && static_cast<std::int32_t>(step.waiting.size()) < count) {
    step.blocked = static_cast<std::int32_t>(step.waiting.size());
    step.waiting.clear();
    step.suspects.clear();
  }
  const bool still_blocked = was_blocked && step.blocked > 0;
  if (!waited && !still_blocked) {
    step.waiting_since_ms = now_ms;
    step.unserved_since_ms = 0;
  }
  step.changed = step.changed || step.waiting != before;
  if (before.empty() && !step.waiting.empty()) {
    planner_.MarkStepWaiting(step);
  }
}

policy::PlanStep& StepTracker::Add(const graph::Job& job,
                                   const graph::StepKey& key,
                                   std::int64_t now_ms) {
  const auto& queue = store_.QueueOf(job);
  const auto& spec = job.step(key.step);
  policy::PlanStep step;
  step.id = next_id_++;
  step.queue_name = queue.name;
  step.service_name = queue.service_name;
  step.priority = queue.priority;
  step.demand = DemandOf(spec);
  step.gang = spec.gang;
  step.same_rack = spec.same_rack;
  step.required_label = spec.required_label;
  step.data_rack = spec.data_rack;
  step.max_per_worker = spec.max_per_worker;
  step.long_running = spec.long_running;
  step.account = planner_.accounts().NumberOf(job.account());
  step.over_rate = job.over_rate();
  const auto accepted = accepted_ms_.try_emplace(key.job, now_ms).first;
  // The time of a scheduled occurrence counts from when it is due, which is
  // now.
  step.accepted_ms =
      job.EarliestStartMs(key.occurrence) > 0 ? now_ms : accepted->second;
  // A new leader doesn't know when the steps before this one were done; for it,
  // the step is ready from now on.
  step.ready_ms = spec.depends_on.empty() ? 0 : now_ms;
  SetEstimates(job, key, step);
  step.advice.needed = queue.needs_advice;
  step.advice.base_ms = queue.advice.base_ms;
  step.advice.per_worker_ms = queue.advice.per_worker_ms;
  step.advice.ticket_valid_ms = queue.advice.ticket_valid_ms;
  ids_[key] = step.id;
  keys_[step.id] = key;
  return planner_.AddStep(std::move(step));
}

void StepTracker::SetEstimates(const graph::Job& job,
                               const graph::StepKey& key,
                               policy::PlanStep& step) const {
  const auto& queue = store_.QueueOf(job);
  step.expected_run_ms =
      run_times_.Expected(queue.name, job.step(key.step).estimate_ms);
  step.far_run_factor = far_factors_.Expected(step.data_rack);
  // The objective follows the real run time, so a job that runs for less than
  // expected has less time to wait. A step counts as late once such a job would
  // be: if all waited until even odds, half of them would end late.
  const auto remaining =
      RemainingTimes(queue, job.spec(), run_times_, RunLength::kShort,
                     planner_.accounts(), step.account);
  step.remaining_ms = remaining[static_cast<std::size_t>(key.step)] -
                      StartedWavesMs(job, key, step);
  const auto critical_path_ms =
      *std::max_element(remaining.begin(), remaining.end());
  step.objective_ms =
      step.accepted_ms + queue.latency_target_ms +
      static_cast<std::int64_t>(
          queue.stretch *
          static_cast<double>(critical_path_ms + ExpectedAdviceMs(queue)));
}

// The waves of the step that have started already.
std::int64_t StepTracker::StartedWavesMs(const graph::Job& job,
                                         const graph::StepKey& key,
                                         const policy::PlanStep& step) const {
  const auto& accounts = planner_.accounts();
  if (step.waiting.empty() || !accounts.HasLimit(step.account)) {
    return 0;
  }
  const auto& spec = job.step(key.step);
  const auto all = accounts.WavesOf(step.account, step.demand, spec.task_count);
  const auto left =
      accounts.WavesOf(step.account, step.demand,
                       static_cast<std::int64_t>(step.waiting.size()));
  return (all - left) *
         run_times_.Short(store_.QueueOf(job).name, spec.estimate_ms);
}

void StepTracker::RefreshEstimates() {
  for (const auto& [id, step] : planner_.waiting_steps()) {
    const auto& key = keys_.at(id);
    const auto* job = store_.FindJob(key.job);
    if (job != nullptr && !step->waiting.empty()) {
      SetEstimates(*job, key, *step);
    }
  }
}

policy::PlanStep* StepTracker::Find(const graph::StepKey& key) {
  const auto id = ids_.find(key);
  return id == ids_.end() ? nullptr : planner_.FindStep(id->second);
}

void StepTracker::Remove(const graph::StepKey& key) {
  const auto id = ids_.find(key);
  if (id == ids_.end()) {
    return;
  }
  planner_.RemoveStep(id->second);
  keys_.erase(id->second);
  removed_steps_.push_back(id->second);
  ids_.erase(id);
}

void StepTracker::Reserve(const graph::TaskKey& task,
                          graph::WorkerNumber worker) {
  reserved_[task] = worker;
}

void StepTracker::EndReservation(const graph::TaskKey& task) {
  reserved_.erase(task);
}

void StepTracker::AddStoppingRun(const graph::TaskKey& task,
                                 std::int32_t run,
                                 graph::WorkerNumber worker) {
  stopping_[{task, run}] = worker;
}

bool StepTracker::EndStoppingRun(const graph::TaskKey& task, std::int32_t run) {
  return stopping_.erase({task, run}) > 0;
}

std::vector<policy::StepId> StepTracker::TakeRemovedSteps() {
  return std::exchange(removed_steps_, {});
}

}  // namespace cranberryshunt::cell
