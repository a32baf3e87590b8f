// The table of workers with their reservations, and the search for a worker on
// which a task fits.
#ifndef CRANBERRYSHUNT_POLICY_WORKER_TABLE_H_
#define CRANBERRYSHUNT_POLICY_WORKER_TABLE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberryshunt/policy/types.h"
#include "fit_index.h"
#include "interner.h"
#include "job_table.h"
#include "peak_capacity.h"
#include "random.h"

namespace cranberryshunt::policy {

struct Worker {
  std::string id;
  std::int32_t region = kNone;
  std::int32_t zone = kNone;
  std::int32_t rack = kNone;
  Resources capacity;
  // Capacity minus reservations. Negative if the capacity shrank below them.
  Resources free;
  bool present = false;
  bool accepting = true;
  bool quarantined = false;
  bool on_probation = false;
  // Holds as many tasks as allowed for an unproven worker or one on probation.
  bool start_limited = false;
  // Whether the flags above allow new starts. Kept up to date by WorkerTable.
  bool startable = false;
  std::vector<TaskRef> tasks;

  // After reclaiming, the worker accepts only tasks of this kind, until
  // `claimed_until` at the latest.
  std::optional<Kind> claimed_by;
  TimePoint claimed_until{};
  Resources claimed;

  // `hold` is kept free for the job `held_for`, which found no worker so far.
  std::optional<JobRef> held_for;
  Resources hold;

  // Positions in the group for tasks without [0] and with [1] accelerators.
  std::array<FitGroup::Entry, 2> entries;
};

// Requirements for the worker of a task, and how candidates are ordered.
struct PlacementQuery {
  enum class Order : std::uint8_t { kTightest, kLeastLoaded, kSpread };

  Resources need;
  Kind kind = Kind::kBatch;
  Order order = Order::kTightest;
  JobRef job;
  // Whether the task is expected to end before the held capacity is needed, so
  // that it may use that capacity.
  bool ends_before_hold = false;
  // Whether capacity is held for this job, so that cached failures of other
  // jobs do not apply to it.
  bool owns_hold = false;
  // False for a search while tentative reservations exist, since its failure
  // must not be cached for later searches.
  bool cacheable = true;
  std::int32_t region = kNone;  // kNone: any.
  std::int32_t zone = kNone;
  std::uint64_t denied_regions = 0;        // A bit for each region below 64.
  std::span<const std::int32_t> excluded;  // Workers.
  // Tasks of the job in each zone and rack, for kSpread.
  std::span<const DomainCount> zones;
  std::span<const DomainCount> racks;
};

class WorkerTable {
 public:
  explicit WorkerTable(std::uint64_t seed) : random_(seed) {}

  // Returns the number of the worker and adds the worker if it is new.
  std::int32_t Add(const std::string& id);
  std::int32_t Find(const std::string& id) const;
  // Sets the location and capacity of a worker. Reservations are kept.
  void SetInfo(std::int32_t number, const WorkerInfo& info);
  // Removes a worker that holds no tasks. Its number may be used again.
  void Remove(std::int32_t number);
  // Whether the worker is in the region, zone and rack of `info`.
  bool HasLocation(std::int32_t number, const WorkerInfo& info) const;

  Worker& at(std::int32_t number) {
    return workers_[static_cast<std::size_t>(number)];
  }
  const Worker& at(std::int32_t number) const {
    return workers_[static_cast<std::size_t>(number)];
  }
  std::size_t size() const { return workers_.size(); }

  void Reserve(std::int32_t number, const Resources& amount);
  void Release(std::int32_t number, const Resources& amount);
  // Undoes a tentative Reserve() without logging a release.
  void UndoReserve(std::int32_t number, const Resources& amount);
  // Updates the indexes and logs a release. Must be called after a change of a
  // worker's flags, claim or hold.
  void Refresh(std::int32_t number);

  // Returns a worker that satisfies the query, or kNone if there is none. The
  // result is exact: if a worker satisfies the query, one is found.
  std::int32_t FindWorker(const PlacementQuery& query);
  // Whether the worker meets all requirements of the query except those on the
  // region and the availability zone. Does not check Worker::startable.
  bool Admits(std::int32_t number, const PlacementQuery& query) const;
  // Returns up to `limit` startable workers of the region and zone (kNone:
  // any), beginning at a random one.
  std::vector<std::int32_t> Sample(std::int32_t region,
                                   std::int32_t zone,
                                   std::size_t limit);

  // Number of releases so far, that is, of changes that may let a task start on
  // a worker. The workers of the last kReleaseLogSize releases can be looked
  // up.
  std::uint64_t releases() const { return releases_; }
  // Whether all releases from this number on can be looked up.
  bool IsReleaseLogged(std::uint64_t release) const {
    return releases_ - release <= kReleaseLogSize;
  }
  std::int32_t released_worker(std::uint64_t release) const {
    return release_log_[release % kReleaseLogSize];
  }

  // Total capacity of all workers.
  const Resources& capacity() const { return capacity_; }
  const Resources& region_capacity(std::int32_t region) const {
    return regions_[static_cast<std::size_t>(region)].capacity;
  }
  // Free capacity of the startable workers of a region.
  const Resources& region_free(std::int32_t region) const {
    return regions_[static_cast<std::size_t>(region)].free;
  }
  std::size_t region_count() const { return regions_.size(); }
  const PeakCapacity& peak_capacity() const { return peak_capacity_; }

  Interner& regions() { return region_names_; }
  Interner& zones() { return zone_names_; }

 private:
  static constexpr std::uint64_t kReleaseLogSize = 4096;

  struct Region {
    Resources capacity;
    Resources free;
    std::vector<std::int32_t> zones;
  };
  // The parts of a query that identify a failed search.
  struct CacheKey {
    Resources need;
    std::uint64_t denied_regions;
    bool ends_before_hold;
    std::int32_t region;
    std::int32_t zone;
    Kind kind;

    bool operator==(const CacheKey&) const = default;
  };
  struct CacheKeyHash {
    std::size_t operator()(const CacheKey& key) const;
  };
  struct Choice {
    std::int32_t worker = kNone;
    double score = 0;  // Lower is better.
  };

  // Updates the worker's startable flag and adds it to its groups if it is set.
  void Index(std::int32_t number);
  // Removes the worker from its groups and clears its startable flag.
  void Unindex(std::int32_t number);
  void LogRelease(std::int32_t number);
  // Returns the number of the group for the worker's zone and size and adds the
  // group if it is new.
  std::int32_t GroupFor(const Worker& worker, bool accelerated);
  const std::vector<std::int32_t>& GroupsIn(const PlacementQuery& query) const;
  bool IsDenied(const FitGroup& group, const PlacementQuery& query) const;
  static CacheKey KeyOf(const PlacementQuery& query);

  // Searches only the workers released since an earlier search failed. Returns
  // kNone if none of them fits, and nothing if the log does not reach back far
  // enough, so that all workers must be searched.
  std::optional<std::int32_t> SearchReleased(const PlacementQuery& query,
                                             std::uint64_t since) const;
  std::int32_t Search(const PlacementQuery& query);
  std::int32_t SearchTightest(const PlacementQuery& query);
  std::int32_t SearchLeastLoaded(const PlacementQuery& query);
  std::int32_t SearchSpread(const PlacementQuery& query);
  std::int32_t SearchAll(const PlacementQuery& query) const;
  // Updates `best` with up to `limit` workers of the bucket.
  void TryBucket(const FitGroup& group,
                 int bucket,
                 std::size_t limit,
                 const PlacementQuery& query,
                 Choice& best);
  // Returns the score of a worker for the order of the query. Lower is better.
  double Score(std::int32_t number, const PlacementQuery& query) const;

  std::vector<Worker> workers_;
  std::vector<std::int32_t> free_numbers_;
  std::unordered_map<std::string, std::int32_t> numbers_;
  Interner region_names_;
  Interner zone_names_;
  Interner rack_names_;
  std::vector<Region> regions_;
  Resources capacity_;
  PeakCapacity peak_capacity_;

  const std::vector<std::int32_t> no_groups_;
  std::vector<FitGroup> groups_;
  std::vector<std::array<std::int64_t, 5>> group_keys_;
  // Groups for tasks without [0] and with [1] accelerators: all, by region and
  // by zone.
  std::array<std::vector<std::int32_t>, 2> all_groups_;
  std::array<std::vector<std::vector<std::int32_t>>, 2> region_groups_;
  std::array<std::vector<std::vector<std::int32_t>>, 2> zone_groups_;

  std::uint64_t releases_ = 0;
  std::array<std::int32_t, kReleaseLogSize> release_log_{};
  // Number of releases at the time of the last failed search, by query.
  std::unordered_map<CacheKey, std::uint64_t, CacheKeyHash> failed_searches_;
  Random random_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_WORKER_TABLE_H_
