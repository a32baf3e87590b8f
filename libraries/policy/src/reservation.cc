// Reservation of workers for jobs that do not fit.
#include <algorithm>
#include <limits>

#include "implementation.h"

namespace cranberryshunt::policy {

namespace {

// A reservation is planned again once its expected start is overdue by this.
// Planning it again earlier could postpone the start, and tasks that end before
// the later start would keep filling the held workers.
constexpr Duration kReplanDelay = std::chrono::seconds(1);
// A task that has exceeded its estimate or is being preempted is expected to
// end within this time.
constexpr Duration kImminentEnd = std::chrono::seconds(1);
// Workers considered for one reservation, which bounds the planning time.
constexpr std::size_t kMaxCandidates = 512;

std::int64_t MaxCount(std::int64_t free, std::int64_t need) {
  return need > 0 ? std::max<std::int64_t>(0, free) / need
                  : std::numeric_limits<std::int32_t>::max();
}

std::int64_t TasksThatFit(const Resources& free, const Resources& need) {
  return std::min({MaxCount(free.milli_cpus, need.milli_cpus),
                   MaxCount(free.memory_bytes, need.memory_bytes),
                   MaxCount(free.accelerators, need.accelerators),
                   MaxCount(free.slots, need.slots)});
}

struct ExpectedRelease {
  TimePoint end;
  std::size_t candidate;
  Resources amount;
};

struct Candidate {
  std::int32_t worker;
  Resources free;
  std::int64_t fits;
};

}  // namespace

std::optional<TimePoint> Scheduler::Implementation::ExpectedEnd(
    const TaskRef& ref) const {
  const Job& job = jobs.at(ref.job);
  const Task& task = job.tasks[static_cast<std::size_t>(ref.index)];
  if (task.preempting) {
    return now + kImminentEnd;
  }
  const auto estimate = RunEstimate(job);
  if (!estimate || job.kind == Kind::kService) {
    return std::nullopt;
  }
  const TimePoint end = task.placed_at + *estimate;
  return end > now ? end : now + kImminentEnd;
}

void Scheduler::Implementation::DropReservation() {
  if (!reservation) {
    return;
  }
  const auto held = std::move(reservation->workers);
  reservation.reset();
  for (const std::int32_t number : held) {
    workers.at(number).held_for.reset();
    workers.at(number).hold = Resources();
    workers.Refresh(number);
  }
}

// Keeps at most one reservation. Gangs precede other jobs; otherwise the job
// that was submitted earlier comes first.
void Scheduler::Implementation::ReserveFor(JobRef ref, bool within_guarantee) {
  const Job& job = jobs.at(ref);
  if (reservation && jobs.IsLive(reservation->job)) {
    const Job& owner = jobs.at(reservation->job);
    const bool gang = job.kind == Kind::kGang;
    const bool owner_is_gang = owner.kind == Kind::kGang;
    const bool takes_over =
        gang == owner_is_gang ? job.submitted_at < owner.submitted_at : gang;
    const bool same = reservation->job == ref;
    if (same ? now < reservation->refresh_at : !takes_over) {
      return;
    }
  }
  PlanReservation(ref, job.queued(), within_guarantee);
}

void Scheduler::Implementation::PlanReservation(JobRef ref,
                                                std::int32_t count,
                                                bool within_guarantee) {
  DropReservation();
  const Job& job = jobs.at(ref);
  std::vector<Candidate> candidates;
  std::vector<ExpectedRelease> releases;
  std::int64_t fits = 0;
  for (const std::int32_t number :
       workers.Sample(job.require_region, job.require_zone, kMaxCandidates)) {
    const Worker& worker = workers.at(number);
    if (!job.need.FitsIn(worker.capacity) ||
        (worker.claimed_by && *worker.claimed_by != job.kind) ||
        (worker.on_probation && job.kind == Kind::kGang)) {
      continue;
    }
    const std::int64_t worker_fits = TasksThatFit(worker.free, job.need);
    fits += worker_fits;
    candidates.push_back({number, worker.free, worker_fits});
    for (const TaskRef& task : worker.tasks) {
      auto end = ExpectedEnd(task);
      if (within_guarantee && IsPreemptible(task)) {
        end = std::min(end.value_or(TimePoint::max()), now + kImminentEnd);
      }
      if (end) {
        releases.push_back(
            {*end, candidates.size() - 1, jobs.at(task.job).need});
      }
    }
  }
  std::ranges::sort(releases, {}, &ExpectedRelease::end);
  TimePoint start = now;
  for (const ExpectedRelease& it : releases) {
    if (fits >= count) {
      break;
    }
    Candidate& candidate = candidates[it.candidate];
    candidate.free = candidate.free + it.amount;
    const std::int64_t worker_fits = TasksThatFit(candidate.free, job.need);
    fits += worker_fits - candidate.fits;
    candidate.fits = worker_fits;
    start = it.end;
  }
  reservation = Reservation{ref, start, start + kReplanDelay, {}};
  if (fits < count) {
    return;
  }
  std::ranges::stable_sort(candidates, std::ranges::greater(),
                           &Candidate::fits);
  std::int64_t left = count;
  for (const Candidate& it : candidates) {
    if (left <= 0 || it.fits == 0) {
      break;
    }
    const std::int64_t taken = std::min(left, it.fits);
    left -= taken;
    Worker& worker = workers.at(it.worker);
    worker.held_for = ref;
    worker.hold = job.need * taken;
    reservation->workers.push_back(it.worker);
    if (within_guarantee) {
      PreemptForReservation(it.worker);
    }
  }
}

// Preempts tasks of kinds above their guarantee on a held worker, the most
// recently placed first, until the held capacity is expected to become free.
void Scheduler::Implementation::PreemptForReservation(std::int32_t number) {
  const Worker& worker = workers.at(number);
  Resources free = worker.free;
  std::vector<TaskRef> victims;
  for (const TaskRef& ref : worker.tasks) {
    const Job& job = jobs.at(ref.job);
    const Task& task = job.tasks[static_cast<std::size_t>(ref.index)];
    const auto end = ExpectedEnd(ref);
    if (task.preempting || (end && *end <= now + kImminentEnd)) {
      free = free + job.need;
    } else if (IsPreemptible(ref)) {
      victims.push_back(ref);
    }
  }
  std::ranges::stable_sort(victims, std::ranges::greater(),
                           [this](const TaskRef& ref) {
                             return jobs.at(ref.job)
                                 .tasks[static_cast<std::size_t>(ref.index)]
                                 .placed_at;
                           });
  for (const TaskRef& ref : victims) {
    if (worker.hold.FitsIn(free)) {
      return;
    }
    if (IsPreemptible(ref)) {
      free = free + jobs.at(ref.job).need;
      PreemptTask(ref, true);
    }
  }
}

}  // namespace cranberryshunt::policy
