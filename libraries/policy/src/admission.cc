// Submission, restoration and cancellation of jobs.
#include <algorithm>

#include "implementation.h"

namespace cranberryshunt::policy {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);
// A refused caller is asked to retry once about this fraction of the queue has
// drained.
constexpr double kDrainedFraction = 0.1;
// Tasks that run no longer than this return borrowed capacity without
// preemption.
constexpr Duration kShortRun = std::chrono::seconds(1);
// Accepts a burst of this many tasks even before a drain rate has been
// measured.
constexpr std::int64_t kMinInteractiveLimit = 500;
constexpr std::size_t kMinHeapSizeToPrune = 1024;

bool IsNegative(const Resources& amount) {
  return amount.milli_cpus < 0 || amount.memory_bytes < 0 ||
         amount.accelerators < 0 || amount.slots < 0;
}

Refused Refuse(ResultCode code, std::string reason) {
  return {code, std::move(reason), Duration::zero()};
}

}  // namespace

Duration Scheduler::Implementation::RetryAfter(Kind kind) const {
  const double rate = kinds[IndexOf(kind)].drain_rate.PerSecond(now);
  const auto queued = static_cast<double>(queues[IndexOf(kind)].queued_tasks());
  if (rate * std::chrono::duration<double>(kMaxRetryAfter).count() <=
      queued * kDrainedFraction) {
    return kMaxRetryAfter;
  }
  const double seconds = queued * kDrainedFraction / rate;
  return std::clamp(std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(seconds)),
                    kMinRetryAfter, kMaxRetryAfter);
}

// Limits the queued interactive tasks of a team to about those that can start
// within max_interactive_wait, since a quick refusal serves the caller better
// than a long wait.
std::int64_t Scheduler::Implementation::TeamQueueLimit(Kind kind) const {
  const std::int64_t limit = options.max_queued_tasks_per_team_and_kind;
  if (kind != Kind::kInteractive ||
      options.max_interactive_wait == Duration::zero()) {
    return limit;
  }
  const double seconds =
      std::chrono::duration<double>(options.max_interactive_wait).count();
  const auto active = static_cast<double>(
      std::max<std::size_t>(1, queues[IndexOf(kind)].active_teams()));
  const auto startable_in_time = static_cast<std::int64_t>(
      kinds[IndexOf(kind)].drain_rate.PerSecond(now) * seconds / active);
  return std::min(limit, std::max(startable_in_time, kMinInteractiveLimit));
}

std::optional<Refused> Scheduler::Implementation::CheckQueueLimits(
    const JobRequest& request) {
  const std::int32_t team = teams.Find(request.team);
  const FairQueue& kind_queue = queue(request.kind);
  if (request.task_count > options.max_queued_tasks_per_team_and_kind) {
    return Refuse(ResultCode::kImpossible,
                  "the job has more tasks than the queue of a team may hold");
  }
  const std::int64_t team_total =
      request.task_count + (team == kNone ? 0 : kind_queue.team_tasks(team));
  const std::int64_t kind_total =
      request.task_count + kind_queue.queued_tasks();
  if (team_total > TeamQueueLimit(request.kind)) {
    return Refused{ResultCode::kQueueFull,
                   "the queue of the team for this kind is full",
                   RetryAfter(request.kind)};
  }
  if (kind_total > options.max_queued_tasks_per_kind) {
    return Refused{ResultCode::kQueueFull, "the queue of this kind is full",
                   RetryAfter(request.kind)};
  }
  return std::nullopt;
}

std::optional<Refused> Scheduler::Implementation::CheckAdmission(
    const JobRequest& request) {
  if (request.task_count < 1 || IsNegative(request.task_resources)) {
    return Refuse(ResultCode::kInvalidField,
                  "a job needs at least one task and no negative resources");
  }
  if (auto refused = CheckQueueLimits(request)) {
    return refused;
  }
  const bool is_gang = request.kind == Kind::kGang;
  const std::int32_t concurrent_tasks = is_gang ? request.task_count : 1;
  if (const std::int32_t team = teams.Find(request.team);
      team != kNone && !shares.IsWithinTeamQuota(
                           team, request.task_resources * concurrent_tasks)) {
    return Refuse(ResultCode::kQuotaExceeded,
                  is_gang ? "the gang exceeds the quota of the team"
                          : "a single task exceeds the quota of the team");
  }
  if (workers.peak_capacity().empty()) {
    return std::nullopt;
  }
  const auto& constraint = request.constraint;
  const std::int32_t region = workers.regions().Find(constraint.require_region);
  const std::int32_t zone =
      workers.zones().Find(constraint.require_availability_zone);
  if ((region == kNone && !constraint.require_region.empty()) ||
      (zone == kNone && !constraint.require_availability_zone.empty())) {
    return Refuse(
        ResultCode::kImpossible,
        "no worker was ever in the required region or availability zone");
  }
  if (!workers.peak_capacity().CanEverFit(request.task_resources,
                                          concurrent_tasks, region, zone)) {
    return Refuse(ResultCode::kImpossible,
                  is_gang ? "the gang is larger than the fleet ever was"
                          : "a task is larger than any worker ever seen");
  }
  return std::nullopt;
}

Job Scheduler::Implementation::MakeJob(const JobRequest& request) {
  Job job;
  job.id = request.job_id;
  job.team = teams.Add(request.team.empty() ? "-" : request.team);
  job.family = families.Add(request.family);
  job.kind = request.kind;
  job.spread = request.constraint.spread;
  job.idempotent = request.idempotent;
  job.prefer_region = workers.regions().Add(request.constraint.prefer_region);
  job.require_region = workers.regions().Add(request.constraint.require_region);
  job.require_zone =
      workers.zones().Add(request.constraint.require_availability_zone);
  job.need = request.task_resources;
  job.expected_run = request.expected_run;
  job.deadline = request.deadline;
  job.submitted_at = now;
  job.unfinished = request.task_count;
  job.tasks.resize(static_cast<std::size_t>(request.task_count));
  for (Task& task : job.tasks) {
    task.queued_at = now;
  }
  const auto estimate = RunEstimate(job);
  const bool is_short =
      estimate ? *estimate <= kShortRun : job.kind == Kind::kInteractive;
  job.unreclaimable = !job.idempotent && !is_short;
  return job;
}

void Scheduler::Implementation::AddDeadline(JobRef ref) {
  const Job& job = jobs.at(ref);
  if (!job.deadline) {
    return;
  }
  deadlines.Add(*job.deadline, ref);
  if (deadlines.size() > kMinHeapSizeToPrune &&
      deadlines.size() > 2 * jobs.size()) {
    deadlines.Prune([this](JobRef it) { return jobs.IsLive(it); });
  }
}

void Scheduler::Implementation::Enqueue(JobRef ref, bool front) {
  Job& job = jobs.at(ref);
  if (job.enqueued || job.queued() == 0) {
    return;
  }
  job.enqueued = true;
  const double share = shares.TeamShare(job.kind, job.team);
  if (front) {
    queue(job.kind).PushFront(job.team, ref, share);
  } else {
    queue(job.kind).PushBack(job.team, ref, share);
  }
}

Admission Scheduler::Implementation::Submit(const JobRequest& request,
                                            TimePoint time) {
  SetNow(time);
  if (jobs.Find(request.job_id)) {
    return Queued();
  }
  if (auto refused = CheckAdmission(request)) {
    ++state(request.kind).refused;
    if (refused->code == ResultCode::kImpossible) {
      impossible_jobs.Add(teams.Add(request.team.empty() ? "-" : request.team),
                          now);
    }
    return *std::move(refused);
  }
  const JobRef ref = jobs.Add(MakeJob(request));
  Job& job = jobs.at(ref);
  job.fit_unchecked = workers.peak_capacity().empty();
  queue(job.kind).AdjustQueuedTasks(job.team, job.queued());
  AddDeadline(ref);
  Enqueue(ref, false);
  return Queued();
}

void Scheduler::Implementation::Restore(
    const JobRequest& request,
    const std::vector<RestoredTask>& restored,
    TimePoint time) {
  SetNow(time);
  if (jobs.Find(request.job_id)) {
    return;
  }
  const JobRef ref = jobs.Add(MakeJob(request));
  Job& job = jobs.at(ref);
  job.fit_unchecked = true;
  std::vector<bool> not_queued(job.tasks.size());
  for (const RestoredTask& it : restored) {
    const auto n = static_cast<std::size_t>(it.index);
    if (it.index < 0 || n >= job.tasks.size() || not_queued[n]) {
      continue;
    }
    job.tasks[n].attempts = it.attempts;
    job.may_have_run = job.may_have_run || it.attempts > 0 || it.finished;
    if (it.finished) {
      job.tasks[n].state = TaskState::kFinished;
      --job.unfinished;
    }
    not_queued[n] = it.finished || it.worker;
  }
  job.next_new_index = static_cast<std::int32_t>(job.tasks.size());
  for (std::size_t n = job.tasks.size(); n-- > 0;) {
    if (!not_queued[n]) {
      job.requeued.push_back(static_cast<std::int32_t>(n));
    }
  }
  queue(job.kind).AdjustQueuedTasks(job.team, job.queued());
  for (const RestoredTask& it : restored) {
    const auto n = static_cast<std::size_t>(it.index);
    if (n >= job.tasks.size() || !it.worker || it.finished ||
        job.tasks[n].worker != kNone) {
      continue;
    }
    const std::int32_t number = workers.Add(*it.worker);
    // StartTask() subtracts one queued task and counts an attempt, which the
    // statements before and after it offset.
    queue(job.kind).AdjustQueuedTasks(job.team, 1);
    failure_tracker.SetProven(number);
    StartTask(ref, it.index, number);
    job.tasks[n].attempts = it.attempts;
  }
  AddDeadline(ref);
  Enqueue(ref, false);
  RemoveIfFinished(ref);
}

void Scheduler::Implementation::RemoveQueuedTasks(JobRef ref) {
  Job& job = jobs.at(ref);
  std::int32_t removed = 0;
  for (Task& task : job.tasks) {
    if (task.state == TaskState::kQueued ||
        task.state == TaskState::kBackingOff) {
      task.state = TaskState::kFinished;
      ++removed;
    }
  }
  job.next_new_index = static_cast<std::int32_t>(job.tasks.size());
  job.requeued.clear();
  job.backing_off = 0;
  job.unfinished -= removed;
  queue(job.kind).AdjustQueuedTasks(job.team, -removed);
  if (job.enqueued) {
    job.enqueued = false;
    queue(job.kind).MarkStale(job.team);
  }
}

void Scheduler::Implementation::RemoveIfFinished(JobRef ref) {
  if (jobs.at(ref).unfinished == 0) {
    jobs.Remove(ref);
  }
}

std::vector<Assignment> Scheduler::Implementation::Cancel(
    const std::string& job_id) {
  const auto ref = jobs.Find(job_id);
  if (!ref) {
    return {};
  }
  Job& job = jobs.at(*ref);
  job.cancelled = true;
  RemoveQueuedTasks(*ref);
  std::vector<Assignment> to_stop;
  if (job.reserved_tasks > 0) {
    for (std::size_t n = 0; n < job.tasks.size(); ++n) {
      if (job.tasks[n].worker != kNone) {
        to_stop.push_back({{job.id, static_cast<std::int32_t>(n)},
                           workers.at(job.tasks[n].worker).id});
      }
    }
  }
  RemoveIfFinished(*ref);
  return to_stop;
}

}  // namespace cranberryshunt::policy
