// Placement of single tasks, and accounting of the resources reserved by tasks.
#include <algorithm>
#include <cassert>

#include "implementation.h"

namespace cranberryshunt::policy {

namespace {

// Bounds the number of tasks that a new worker can fail at once.
constexpr std::size_t kMaxUnprovenTasks = 8;
constexpr std::size_t kMaxProbationTasks = 1;
// A task that has waited this long within the guarantee of its kind gets a
// reservation, as a gang does, so that smaller tasks do not starve it.
constexpr Duration kStarvationWait = std::chrono::seconds(5);
// Time for the workers of a new fleet to announce themselves before a job that
// was queued without a capacity check may be dropped as impossible.
constexpr Duration kFleetStartupTime = std::chrono::seconds(10);
// Tolerates rounding errors in shares, so that a share equal to the guarantee
// counts as within it.
constexpr double kShareTolerance = 1e-9;

PlacementQuery::Order OrderOf(const Job& job) {
  if (job.kind == Kind::kInteractive) {
    return PlacementQuery::Order::kLeastLoaded;
  }
  if (job.kind == Kind::kService || job.spread != Spread::kNone) {
    return PlacementQuery::Order::kSpread;
  }
  return PlacementQuery::Order::kTightest;
}

}  // namespace

double Scheduler::Implementation::Guarantee(Kind kind) const {
  return options.guaranteed_share[IndexOf(kind)];
}

bool Scheduler::Implementation::IsWithinGuarantee(Kind kind,
                                                  const Resources& more) const {
  return shares.ShareOf(shares.reserved(kind) + more) <=
         Guarantee(kind) + kShareTolerance;
}

// Unreclaimable jobs cannot return borrowed capacity, so those of a kind stay
// within its guarantee plus the share that is guaranteed to no kind. The first
// one of a kind may always borrow.
bool Scheduler::Implementation::MayBorrow(const Job& job,
                                          const Resources& more) const {
  const Resources& reserved = kinds[IndexOf(job.kind)].unreclaimable_resources;
  if (!job.unreclaimable || reserved == Resources()) {
    return true;
  }
  double unassigned = 1;
  for (const double share : options.guaranteed_share) {
    unassigned -= share;
  }
  return shares.ShareOf(reserved + more) <=
         Guarantee(job.kind) + std::max(0.0, unassigned) + kShareTolerance;
}

std::optional<Duration> Scheduler::Implementation::RunEstimate(
    const Job& job) const {
  return run_estimator.Estimate(job.family, job.expected_run);
}

// Updates the interactive usage of the worker's region and the job's task
// counts per rack and availability zone. `change` is 1 to add a task and -1 to
// remove it.
void Scheduler::Implementation::UpdatePlacementCounts(Job& job,
                                                      const Worker& worker,
                                                      int change) {
  if (!worker.present) {
    return;
  }
  if (job.kind == Kind::kInteractive) {
    headroom.UpdateReserved(worker.region, job.need * change);
  }
  if (OrderOf(job) == PlacementQuery::Order::kSpread) {
    Job::CountDomain(job.racks, worker.rack, change);
    Job::CountDomain(job.zones, worker.zone, change);
  }
}

PlacementQuery Scheduler::Implementation::MakeQuery(JobRef ref) {
  const Job& job = jobs.at(ref);
  PlacementQuery query;
  query.need = job.need;
  query.kind = job.kind;
  query.order = OrderOf(job);
  query.job = ref;
  query.region = job.require_region;
  query.zone = job.require_zone;
  query.zones = job.zones;
  query.racks = job.racks;
  if (reservation) {
    const auto estimate = RunEstimate(job);
    query.owns_hold = reservation->job == ref;
    query.ends_before_hold =
        estimate && now + *estimate <= reservation->expected_start;
  }
  if (job.kind != Kind::kInteractive) {
    query.denied_regions = headroom.DeniedRegions(
        workers, job.need, Guarantee(Kind::kInteractive));
  }
  return query;
}

// Searches the preferred region first, and the others only if no worker in it
// fits.
std::int32_t Scheduler::Implementation::FindWorker(const Job& job,
                                                   PlacementQuery& query) {
  if (job.prefer_region != kNone && query.region == kNone &&
      query.zone == kNone) {
    query.region = job.prefer_region;
    const std::int32_t in_preferred_region = workers.FindWorker(query);
    query.region = kNone;
    if (in_preferred_region != kNone) {
      return in_preferred_region;
    }
  }
  return workers.FindWorker(query);
}

Scheduler::Implementation::PlacementOutcome Scheduler::Implementation::TryJob(
    JobRef ref) {
  const Job& job = jobs.at(ref);
  if (job.deadline && *job.deadline <= now && !job.may_have_run &&
      job.reserved_tasks == 0) {
    DropJob(ref, ResultCode::kDeadlinePassed,
            "the deadline passed before the job could start");
    return PlacementOutcome::kDropped;
  }
  return job.kind == Kind::kGang ? TryGang(ref) : TryTask(ref);
}

Scheduler::Implementation::PlacementOutcome Scheduler::Implementation::TryTask(
    JobRef ref) {
  Job& job = jobs.at(ref);
  if (!shares.HasRemainingQuota(job.team, job.need)) {
    return PlacementOutcome::kQuotaExhausted;
  }
  if (!MayBorrow(job, job.need)) {
    return PlacementOutcome::kWithheld;
  }
  const std::int32_t next_index =
      job.requeued.empty() ? job.next_new_index : job.requeued.back();
  const auto excluded = FailedWorkers(job, next_index);
  PlacementQuery query = MakeQuery(ref);
  query.excluded = excluded;
  // A kind may use the headroom within its own guarantee, since interactive
  // work can reclaim its guaranteed share.
  const bool within_guarantee = IsWithinGuarantee(job.kind, job.need);
  if (within_guarantee) {
    query.denied_regions = 0;
  }
  const std::int32_t number = FindWorker(job, query);
  if (number == kNone) {
    if (within_guarantee) {
      Reclaim(ref);
    }
    return DropJobOrReserveCapacity(ref, query.denied_regions != 0);
  }
  const std::int32_t index = job.TakeQueued();
  StartTask(ref, index, number);
  decisions.emplace_back(Place{{{{job.id, index}, workers.at(number).id}}});
  return PlacementOutcome::kPlaced;
}

Scheduler::Implementation::PlacementOutcome
Scheduler::Implementation::DropJobOrReserveCapacity(JobRef ref, bool withheld) {
  Job& job = jobs.at(ref);
  if (job.fit_unchecked && first_worker_seen_at &&
      now - *first_worker_seen_at > kFleetStartupTime) {
    job.fit_unchecked = false;
    const std::int32_t concurrent_tasks =
        job.kind == Kind::kGang ? job.queued() : 1;
    if (!workers.peak_capacity().CanEverFit(
            job.need, concurrent_tasks, job.require_region, job.require_zone)) {
      DropJob(ref, ResultCode::kImpossible,
              "the job is larger than the fleet ever was");
      return PlacementOutcome::kDropped;
    }
  }
  const bool within_guarantee =
      IsWithinGuarantee(job.kind, job.need * job.queued());
  if (job.kind == Kind::kGang ||
      (within_guarantee && job.kind != Kind::kInteractive &&
       job.queued() == 1 && now - job.submitted_at >= kStarvationWait)) {
    ReserveFor(ref, within_guarantee);
  }
  return withheld ? PlacementOutcome::kWithheld : PlacementOutcome::kNoCapacity;
}

void Scheduler::Implementation::UpdateShares(Kind kind, std::int32_t team) {
  queue(kind).UpdateShare(team, shares.TeamShare(kind, team));
}

void Scheduler::Implementation::UpdateStartLimit(std::int32_t number) {
  Worker& worker = workers.at(number);
  const std::size_t limit =
      worker.on_probation ? kMaxProbationTasks : kMaxUnprovenTasks;
  const bool limited =
      (worker.on_probation || !failure_tracker.proven(number)) &&
      worker.tasks.size() >= limit;
  if (limited == worker.start_limited) {
    return;
  }
  worker.start_limited = limited;
  if (limited) {
    start_limited_workers.push_back(number);
  } else {
    std::erase(start_limited_workers, number);
  }
  workers.Refresh(number);
}

void Scheduler::Implementation::StartTask(JobRef ref,
                                          std::int32_t index,
                                          std::int32_t number) {
  Job& job = jobs.at(ref);
  Task& task = job.tasks[static_cast<std::size_t>(index)];
  assert(task.worker == kNone);
  task.state = TaskState::kPlaced;
  task.preempting = false;
  task.reclaimed = false;
  task.excess_reports = 0;
  ++task.attempts;
  task.worker = number;
  task.placed_at = now;
  Worker& worker = workers.at(number);
  task.position = static_cast<std::uint32_t>(worker.tasks.size());
  worker.tasks.push_back({ref, index});
  workers.Reserve(number, job.need);
  shares.Reserve(job.kind, job.team, job.need);
  ++job.reserved_tasks;

  KindState& kind_state = state(job.kind);
  ++kind_state.running;
  kind_state.drain_rate.OnStart(now);
  if (job.unreclaimable) {
    kind_state.unreclaimable_resources =
        kind_state.unreclaimable_resources + job.need;
  }
  if (job.idempotent) {
    kind_state.recent_starts.push_back({ref, index});
    CompactRecentStarts(kind_state);
  }
  UpdatePlacementCounts(job, worker, 1);
  if (worker.claimed_by == job.kind) {
    DropClaim(number);
  }
  if (task.attempts == 1) {
    retry_budget.OnStart(job.team, now);
  }
  queue(job.kind).AdjustQueuedTasks(job.team, -1);
  UpdateShares(job.kind, job.team);
  UpdateStartLimit(number);
}

void Scheduler::Implementation::RemoveTaskFromWorker(JobRef ref,
                                                     std::int32_t index) {
  Job& job = jobs.at(ref);
  Task& task = job.tasks[static_cast<std::size_t>(index)];
  const std::int32_t number = task.worker;
  Worker& worker = workers.at(number);
  const TaskRef last = worker.tasks.back();
  worker.tasks[task.position] = last;
  jobs.at(last.job).tasks[static_cast<std::size_t>(last.index)].position =
      task.position;
  worker.tasks.pop_back();
  workers.Release(number, job.need);
  shares.Release(job.kind, job.team, job.need);
  --job.reserved_tasks;

  KindState& kind_state = state(job.kind);
  --kind_state.running;
  if (job.unreclaimable) {
    kind_state.unreclaimable_resources =
        kind_state.unreclaimable_resources - job.need;
  }
  if (task.preempting && task.reclaimed) {
    kind_state.preempting_resources =
        kind_state.preempting_resources - job.need;
  }
  UpdatePlacementCounts(job, worker, -1);
  task.worker = kNone;
  UpdateShares(job.kind, job.team);
  UpdateStartLimit(number);
  for (FairQueue& it : queues) {
    it.UnblockQuota(job.team);
  }
}

}  // namespace cranberryshunt::policy
