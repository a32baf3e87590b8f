// Stops the gangs of which not all members start. Their workers would let the
// others wait, and end them when they have waited too long.
#include "cranberryshunt/base/log.h"
#include "leader.h"

namespace cranberryshunt::cell {

namespace {

// Workers list the progress of a run in percent.
constexpr std::int64_t kProgressUnits = 100;
// Time from the limit of the assembly in which the loss of a member may show:
// a hold that a crashed worker does not answer runs out within it.
constexpr std::int64_t kMemberLossMs = 1'000;

}  // namespace

void Leader::InheritGang(const graph::Job& job, const graph::StepKey& key) {
  const auto& step = job.step(key.step);
  if (!step.gang || !job.active() || job.StepDone(key)) {
    return;
  }
  std::int32_t members = 0;
  std::int32_t run = 0;
  graph::TaskKey member{key.job, key.occurrence, key.step, 0};
  for (; member.index < step.task_count; ++member.index) {
    const auto& task = job.task(member);
    if (task.run != 0) {
      ++members;
      run = task.run;
    }
  }
  if (members == step.task_count) {
    gang_assembly_.Begin({key, run}, members, now_ms_);
  } else if (members > 0) {
    StopGang({{key, run}, {}, now_ms_},
             "a member has ended under another leader");
  }
}

void Leader::HandleUncertainStarts() {
  for (const auto& [task, run] : workers_.TakeUncertainStarts()) {
    const auto* worker = workers_.FindWorkerOf(task, run);
    auto* step = step_tracker_.Find(task.step_key());
    if (worker != nullptr && step != nullptr) {
      step->avoided.insert(worker->number);
      step->changed = true;
    }
    if (const auto incomplete = gang_assembly_.Abandon(task, run)) {
      StopGang(*incomplete, "a start got no clear answer");
    }
  }
}

void Leader::StopOverdueGangs() {
  for (const auto& it : gang_assembly_.TakeOverdue(now_ms_)) {
    StopGang(it, "not all starts were confirmed in time");
  }
  for (const auto& it :
       gang_assembly_.FindWithoutProgress(now_ms_, kMemberLossMs)) {
    if (IsWithoutMember(it)) {
      (void)gang_assembly_.Abandon(
          {it.gang.step.job, it.gang.step.occurrence, it.gang.step.step, 0},
          it.gang.run);
      StopGang(it, "a member's worker cannot be reached");
    }
  }
}

// Whether a gang that has listed no progress probably waits for a member whose
// worker has crashed since it confirmed the start. Of a long gang the first
// percent of progress takes longer than the assembly.
bool Leader::IsWithoutMember(const IncompleteGang& gang) const {
  const auto& [step, run] = gang.gang;
  const auto* job = store_.FindJob(step.job);
  if (job == nullptr || !job->active() || job->StepDone(step)) {
    return false;
  }
  const auto expected_ms = run_times_.Expected(
      store_.QueueOf(*job).name, job->step(step.step).estimate_ms);
  if (expected_ms / kProgressUnits > (now_ms_ - gang.began_ms) / 2) {
    return false;
  }
  graph::TaskKey member{step.job, step.occurrence, step.step, 0};
  for (; member.index < job->step(step.step).task_count; ++member.index) {
    const auto* worker = workers_.FindWorkerOf(member, run);
    if (worker == nullptr || worker->hold_failures > 0) {
      return true;
    }
  }
  return false;
}

void Leader::StopGang(const IncompleteGang& incomplete,
                      const std::string& reason) {
  Log(LogLevel::kWarning, "runs", "incomplete gang is stopped",
      {{"step", graph::FormatStep(incomplete.gang.step)},
       {"run", incomplete.gang.run},
       {"reason", reason},
       {"age_ms", now_ms_ - incomplete.began_ms},
       {"missing", DescribeMissing(incomplete)}});
  ++metrics_.Counter("gangs_stopped_total{reason=\"" + reason + "\"}");
  StopMembers(incomplete.gang.step, incomplete.gang.run);
}

void Leader::StopMembers(const graph::StepKey& key, std::int32_t last_run) {
  const auto* job = store_.FindJob(key.job);
  if (job == nullptr) {
    return;
  }
  graph::TaskKey member{key.job, key.occurrence, key.step, 0};
  for (; member.index < job->step(key.step).task_count; ++member.index) {
    if (job->task(member).last_run <= last_run) {
      workers_.StopTask(member, 0);
    }
  }
}

std::string Leader::DescribeMissing(const IncompleteGang& incomplete) const {
  constexpr std::size_t kMaxListed = 5;
  const auto& [step, run] = incomplete.gang;
  std::string out = std::to_string(incomplete.missing.size());
  std::size_t listed = 0;
  for (const auto index : incomplete.missing) {
    if (++listed > kMaxListed) {
      break;
    }
    const graph::TaskKey member{step.job, step.occurrence, step.step, index};
    const auto* worker = workers_.FindWorkerOf(member, run);
    out += "," + std::to_string(index) + "@";
    out += worker == nullptr
               ? "none"
               : worker->record.id + ":" +
                     RunPhaseName(worker->runs.at({member, run}).phase);
  }
  return out;
}

}  // namespace cranberryshunt::cell
