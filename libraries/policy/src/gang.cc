// Placement of gangs, whose remaining tasks all start together or not at all.
#include <algorithm>

#include "implementation.h"

namespace cranberryshunt::policy {

namespace {

// Placing a large gang takes one search per task, so it is not retried on every
// release.
constexpr Duration kRetryPeriod = std::chrono::milliseconds(10);
constexpr std::int32_t kSmallGang = 4;

}  // namespace

// Returns the regions to try in order, with kNone for any region. A single
// region is preferred, since the tasks of a gang would otherwise exchange data
// over the links between regions.
std::vector<std::int32_t> Scheduler::Implementation::GangRegions(
    const Job& job) {
  if (job.require_region != kNone || job.require_zone != kNone) {
    return {job.require_region};
  }
  std::vector<std::int32_t> regions;
  if (job.prefer_region != kNone) {
    regions.push_back(job.prefer_region);
  }
  for (std::size_t n = 0; n < workers.region_count(); ++n) {
    if (static_cast<std::int32_t>(n) != job.prefer_region) {
      regions.push_back(static_cast<std::int32_t>(n));
    }
  }
  regions.push_back(kNone);
  return regions;
}

std::optional<std::vector<std::int32_t>>
Scheduler::Implementation::FindGangPlaces(JobRef ref,
                                          std::int32_t region,
                                          std::uint64_t denied) {
  const Job& job = jobs.at(ref);
  PlacementQuery query = MakeQuery(ref);
  query.region = region;
  query.denied_regions = denied;
  query.cacheable = false;
  std::vector<std::int32_t> excluded;
  for (const Failure& it : job.failures) {
    excluded.push_back(it.worker);
  }
  query.excluded = excluded;
  std::vector<std::int32_t> places;
  for (std::int32_t n = 0; n < job.queued(); ++n) {
    const std::int32_t number = workers.FindWorker(query);
    if (number == kNone) {
      break;
    }
    workers.Reserve(number, job.need);
    places.push_back(number);
  }
  for (const std::int32_t number : places) {
    workers.UndoReserve(number, job.need);
  }
  if (static_cast<std::int32_t>(places.size()) < job.queued()) {
    return std::nullopt;
  }
  return places;
}

Scheduler::Implementation::PlacementOutcome Scheduler::Implementation::TryGang(
    JobRef ref) {
  Job& job = jobs.at(ref);
  if (job.reserved_tasks > 0 || job.backing_off > 0 || now < job.retry_at) {
    return PlacementOutcome::kWithheld;
  }
  const Resources total = job.need * job.queued();
  if (!shares.HasRemainingQuota(job.team, total)) {
    return PlacementOutcome::kQuotaExhausted;
  }
  if (!MayBorrow(job, total)) {
    return PlacementOutcome::kWithheld;
  }
  if (job.queued() > kSmallGang) {
    job.retry_at = now + kRetryPeriod;
  }
  const bool within_guarantee = IsWithinGuarantee(Kind::kGang, total);
  const std::uint64_t denied =
      within_guarantee ? 0
                       : headroom.DeniedRegions(workers, total,
                                                Guarantee(Kind::kInteractive));
  std::optional<std::vector<std::int32_t>> places;
  for (const std::int32_t region : GangRegions(job)) {
    places = FindGangPlaces(ref, region, denied);
    if (places) {
      break;
    }
  }
  if (!places) {
    // Reported as a lack of capacity, not as withheld, even if the headroom
    // denied some regions.
    return DropJobOrReserveCapacity(ref, false);
  }
  if (reservation && reservation->job == ref) {
    DropReservation();
  }
  Place place;
  for (const std::int32_t number : *places) {
    const std::int32_t index = job.TakeQueued();
    StartTask(ref, index, number);
    place.assignments.push_back({{job.id, index}, workers.at(number).id});
  }
  decisions.emplace_back(std::move(place));
  return PlacementOutcome::kPlaced;
}

// Preempts all running tasks of a gang, since it cannot continue without one of
// them. The gang is then queued again as a whole.
void Scheduler::Implementation::StopGang(JobRef ref) {
  const Job& job = jobs.at(ref);
  for (std::size_t n = 0; n < job.tasks.size(); ++n) {
    if (job.tasks[n].worker != kNone && !job.tasks[n].preempting) {
      PreemptTask({ref, static_cast<std::int32_t>(n)}, false);
    }
  }
}

}  // namespace cranberryshunt::policy
