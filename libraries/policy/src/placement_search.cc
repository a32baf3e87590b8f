// The placement searches of WorkerTable.
#include <algorithm>
#include <bit>
#include <cmath>

#include "worker_table.h"

namespace cranberryshunt::policy {

namespace {

// Candidates checked per bucket and per group.
constexpr std::size_t kBucketSample = 6;
constexpr std::size_t kGroupSample = 24;
// The search for the tightest fit ends after this many groups with a fit.
constexpr std::size_t kEnoughGroups = 12;
constexpr std::size_t kSpreadSample = 16;
constexpr std::size_t kMaxCachedFailures = 4096;

std::int32_t TasksInDomain(std::span<const DomainCount> counts,
                           std::int32_t domain) {
  const auto it = std::ranges::find(counts, domain, &DomainCount::domain);
  return it == counts.end() ? 0 : it->tasks;
}

std::size_t MixHash(std::size_t hash, std::uint64_t value) {
  return (hash ^ value) * 0x9E3779B97F4A7C15ULL + (hash >> 29U);
}

std::uint64_t BucketsFrom(int bucket) {
  return ~0ULL << static_cast<unsigned>(bucket);
}

}  // namespace

std::size_t WorkerTable::CacheKeyHash::operator()(const CacheKey& key) const {
  std::size_t hash = 0;
  for (const std::int64_t it :
       {key.need.milli_cpus, key.need.memory_bytes, key.need.accelerators,
        key.need.slots, static_cast<std::int64_t>(key.denied_regions),
        static_cast<std::int64_t>(key.ends_before_hold),
        static_cast<std::int64_t>(key.region),
        static_cast<std::int64_t>(key.zone),
        static_cast<std::int64_t>(key.kind)}) {
    hash = MixHash(hash, static_cast<std::uint64_t>(it));
  }
  return hash;
}

WorkerTable::CacheKey WorkerTable::KeyOf(const PlacementQuery& query) {
  return {query.need,   query.denied_regions, query.ends_before_hold,
          query.region, query.zone,           query.kind};
}

bool WorkerTable::Admits(std::int32_t number,
                         const PlacementQuery& query) const {
  const Worker& worker = at(number);
  if (!query.need.FitsIn(worker.free)) {
    return false;
  }
  if (worker.claimed_by && *worker.claimed_by != query.kind) {
    return false;
  }
  if (worker.held_for && *worker.held_for != query.job) {
    if (!query.ends_before_hold &&
        !(query.need + worker.hold).FitsIn(worker.free)) {
      return false;
    }
  }
  // A worker on probation is given single tasks, never a part of a gang.
  if (worker.on_probation && query.kind == Kind::kGang) {
    return false;
  }
  return std::ranges::find(query.excluded, number) == query.excluded.end();
}

double WorkerTable::Score(std::int32_t number,
                          const PlacementQuery& query) const {
  const Worker& worker = at(number);
  const Resources left = worker.free - query.need;
  const double free = DominantShare(left, worker.capacity);
  if (query.order == PlacementQuery::Order::kTightest) {
    return free;
  }
  // The load of a worker is that of its most heavily reserved resource.
  const double load =
      DominantShare(worker.capacity - worker.free, worker.capacity);
  if (query.order == PlacementQuery::Order::kLeastLoaded) {
    return load;
  }
  return TasksInDomain(query.racks, worker.rack) + load / 2;
}

void WorkerTable::TryBucket(const FitGroup& group,
                            int bucket,
                            std::size_t limit,
                            const PlacementQuery& query,
                            Choice& best) {
  const auto& workers = group.bucket(bucket);
  const std::size_t start = random_.Below(workers.size());
  const std::size_t tries = std::min(limit, workers.size());
  for (std::size_t n = 0; n < tries; ++n) {
    std::size_t at = start + n;
    at -= at >= workers.size() ? workers.size() : 0;
    const std::int32_t number = workers[at];
    if (!Admits(number, query)) {
      continue;
    }
    const double score = Score(number, query);
    if (best.worker == kNone || score < best.score) {
      best = {number, score};
    }
  }
}

const std::vector<std::int32_t>& WorkerTable::GroupsIn(
    const PlacementQuery& query) const {
  const std::size_t n = query.need.accelerators > 0 ? 1 : 0;
  const auto& lists = query.zone != kNone ? zone_groups_[n] : region_groups_[n];
  const std::int32_t number = query.zone != kNone ? query.zone : query.region;
  if (number == kNone) {
    return all_groups_[n];
  }
  const auto at = static_cast<std::size_t>(number);
  return at < lists.size() ? lists[at] : no_groups_;
}

bool WorkerTable::IsDenied(const FitGroup& group,
                           const PlacementQuery& query) const {
  if (query.zone != kNone && query.region != kNone &&
      query.region != group.region()) {
    return true;
  }
  return group.region() < 64 &&
         (query.denied_regions >> static_cast<unsigned>(group.region()) & 1U) !=
             0;
}

std::int32_t WorkerTable::SearchTightest(const PlacementQuery& query) {
  const auto& groups = GroupsIn(query);
  Choice best;
  std::size_t found = 0;
  const std::size_t start = random_.Below(groups.size());
  for (std::size_t n = 0; n < groups.size() && found < kEnoughGroups; ++n) {
    const FitGroup& group =
        groups_[static_cast<std::size_t>(groups[(start + n) % groups.size()])];
    if (IsDenied(group, query)) {
      continue;
    }
    Choice in_group;
    std::size_t tried = 0;
    std::uint64_t buckets = group.occupied_buckets() &
                            BucketsFrom(group.LowestBucketFor(query.need));
    while (buckets != 0 && in_group.worker == kNone && tried < kGroupSample) {
      TryBucket(group, std::countr_zero(buckets), kBucketSample, query,
                in_group);
      tried += kBucketSample;
      buckets &= buckets - 1;
    }
    if (in_group.worker == kNone) {
      continue;
    }
    ++found;
    if (best.worker == kNone || in_group.score < best.score) {
      best = in_group;
    }
  }
  return best.worker;
}

std::int32_t WorkerTable::SearchLeastLoaded(const PlacementQuery& query) {
  Choice best;
  for (const std::int32_t it : GroupsIn(query)) {
    const FitGroup& group = groups_[static_cast<std::size_t>(it)];
    if (IsDenied(group, query)) {
      continue;
    }
    Choice in_group;
    std::size_t tried = 0;
    std::uint64_t buckets = group.occupied_buckets();
    while (buckets != 0 && in_group.worker == kNone && tried < kGroupSample) {
      const int top = FitGroup::kBuckets - 1 - std::countl_zero(buckets);
      TryBucket(group, top, kBucketSample, query, in_group);
      tried += kBucketSample;
      buckets &= ~(1ULL << static_cast<unsigned>(top));
    }
    if (in_group.worker != kNone &&
        (best.worker == kNone || in_group.score < best.score)) {
      best = in_group;
    }
  }
  return best.worker;
}

std::int32_t WorkerTable::SearchSpread(const PlacementQuery& query) {
  const auto& groups = GroupsIn(query);
  Choice best;
  for (const std::int32_t it : groups) {
    const FitGroup& group = groups_[static_cast<std::size_t>(it)];
    if (IsDenied(group, query) || group.size() == 0) {
      continue;
    }
    // Outweighs any difference between racks.
    constexpr double kZoneWeight = 1e6;
    const double zone_score =
        kZoneWeight * TasksInDomain(query.zones, group.zone());
    if (best.worker != kNone && best.score < zone_score) {
      continue;
    }
    Choice in_group;
    std::uint64_t buckets = group.occupied_buckets() &
                            BucketsFrom(group.LowestBucketFor(query.need));
    for (std::size_t tried = 0; buckets != 0 && tried < kGroupSample;
         tried += kSpreadSample) {
      const int top = FitGroup::kBuckets - 1 - std::countl_zero(buckets);
      TryBucket(group, top, kSpreadSample, query, in_group);
      buckets &= ~(1ULL << static_cast<unsigned>(top));
    }
    if (in_group.worker != kNone &&
        (best.worker == kNone || zone_score + in_group.score < best.score)) {
      best = {in_group.worker, zone_score + in_group.score};
    }
  }
  return best.worker;
}

std::int32_t WorkerTable::SearchAll(const PlacementQuery& query) const {
  for (const std::int32_t it : GroupsIn(query)) {
    const FitGroup& group = groups_[static_cast<std::size_t>(it)];
    if (IsDenied(group, query)) {
      continue;
    }
    for (std::uint64_t buckets = group.occupied_buckets(); buckets != 0;
         buckets &= buckets - 1) {
      for (const std::int32_t number :
           group.bucket(std::countr_zero(buckets))) {
        if (Admits(number, query)) {
          return number;
        }
      }
    }
  }
  return kNone;
}

std::int32_t WorkerTable::Search(const PlacementQuery& query) {
  std::int32_t found = kNone;
  switch (query.order) {
    case PlacementQuery::Order::kTightest:
      found = SearchTightest(query);
      break;
    case PlacementQuery::Order::kLeastLoaded:
      found = SearchLeastLoaded(query);
      break;
    case PlacementQuery::Order::kSpread:
      found = SearchSpread(query);
      break;
  }
  return found != kNone ? found : SearchAll(query);
}

std::optional<std::int32_t> WorkerTable::SearchReleased(
    const PlacementQuery& query,
    std::uint64_t since) const {
  if (!IsReleaseLogged(since)) {
    return std::nullopt;
  }
  for (std::uint64_t n = since; n < releases_; ++n) {
    const std::int32_t number = released_worker(n);
    const Worker& worker = at(number);
    const bool in_scope =
        worker.startable &&
        (query.region == kNone || query.region == worker.region) &&
        (query.zone == kNone || query.zone == worker.zone) &&
        (worker.region >= 64 ||
         (query.denied_regions >> static_cast<unsigned>(worker.region) & 1U) ==
             0);
    if (in_scope && Admits(number, query)) {
      return number;
    }
  }
  return kNone;
}

std::int32_t WorkerTable::FindWorker(const PlacementQuery& query) {
  if (!query.excluded.empty() || query.owns_hold) {
    return Search(query);
  }
  const CacheKey key = KeyOf(query);
  const auto cached = failed_searches_.find(key);
  if (cached != failed_searches_.end()) {
    const auto found = SearchReleased(query, cached->second);
    if (found == kNone) {
      cached->second = releases_;
      return kNone;
    }
    if (found) {
      // The cached failure remains valid for the releases before its number.
      return *found;
    }
    failed_searches_.erase(cached);
  }
  const std::int32_t found = Search(query);
  if (found == kNone && query.cacheable) {
    if (failed_searches_.size() >= kMaxCachedFailures) {
      failed_searches_.clear();
    }
    failed_searches_.emplace(key, releases_);
  }
  return found;
}

}  // namespace cranberryshunt::policy
