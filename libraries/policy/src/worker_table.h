// Workers, what is reserved on them, and where work fits.
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
  Resources free;  // Negative when the capacity shrank below reservations.
  bool present = false;
  bool accepting = true;
  bool quarantined = false;
  bool on_probation = false;
  bool start_limited = false;  // Has as many unproven starts as it may have.
  bool startable = false;      // None of the above stands against a start.
  std::vector<TaskRef> tasks;

  // Kept free for one kind until `claimed_until`, after reclaiming.
  std::optional<Kind> claimed_by;
  TimePoint claimed_until{};
  Resources claimed;

  // Kept for a gang that starts at `held_until` or earlier.
  std::optional<JobRef> held_for;
  Resources hold;

  std::array<FitGroup::Entry, 2> entries;  // Plain and accelerated.
};

// What a place must satisfy and how the candidates are ordered.
struct PlacementQuery {
  enum class Order : std::uint8_t { kTightest, kLeastLoaded, kSpread };

  Resources need;
  Kind kind = Kind::kBatch;
  Order order = Order::kTightest;
  JobRef job;
  // Whether the task is expected to end before the reservation of a gang is
  // due.
  bool ends_before_hold = false;
  // Whether workers are held for this job, so that answers to others do not
  // apply to it.
  bool owns_hold = false;
  // False for a search among tentative reservations, whose failure says nothing
  // about later searches.
  bool cacheable = true;
  std::int32_t region = kNone;  // kNone: any.
  std::int32_t zone = kNone;
  std::uint64_t denied_regions = 0;  // A bit for each region below 64.
  std::span<const std::int32_t> excluded;
  std::span<const DomainCount> zones;  // Tasks of the job, for kSpread.
  std::span<const DomainCount> racks;
};

class WorkerTable {
 public:
  explicit WorkerTable(std::uint64_t seed) : random_(seed) {}

  // Returns the worker's number, adding it when it is new.
  std::int32_t Add(const std::string& id);
  std::int32_t Find(const std::string& id) const;
  void SetInfo(std::int32_t number, const WorkerInfo& info);
  void Remove(std::int32_t number);
  // Whether the worker's place is that of `info`.
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
  // Takes back a tentative Reserve().
  void UndoReserve(std::int32_t number, const Resources& amount);
  // Call after a change of a flag, claim or hold.
  void Refresh(std::int32_t number);

  // Returns a worker that satisfies the query, or kNone. Exact: kNone means
  // that there is none.
  std::int32_t FindWorker(const PlacementQuery& query);
  bool Admits(std::int32_t number, const PlacementQuery& query) const;
  // Up to `limit` startable workers of the region and zone.
  std::vector<std::int32_t> Sample(std::int32_t region,
                                   std::int32_t zone,
                                   std::size_t limit);

  // Numbers of changes that gave a worker more room. The last few can be
  // looked up.
  std::uint64_t releases() const { return releases_; }
  bool IsReleaseLogged(std::uint64_t release) const {
    return releases_ - release <= kReleaseLogSize;
  }
  std::int32_t released_worker(std::uint64_t release) const {
    return release_log_[release % kReleaseLogSize];
  }

  const Resources& capacity() const { return capacity_; }
  const Resources& region_capacity(std::int32_t region) const {
    return regions_[static_cast<std::size_t>(region)].capacity;
  }
  // Free room on the startable workers of a region.
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

  void Index(std::int32_t number);
  void Unindex(std::int32_t number);
  void LogRelease(std::int32_t number);
  std::int32_t GroupFor(const Worker& worker, bool accelerated);
  const std::vector<std::int32_t>& GroupsIn(const PlacementQuery& query) const;
  bool IsDenied(const FitGroup& group, const PlacementQuery& query) const;
  static CacheKey KeyOf(const PlacementQuery& query);

  // What the last failed search left to check: nothing, some workers, or all.
  std::optional<std::int32_t> SearchReleased(const PlacementQuery& query,
                                             std::uint64_t since) const;
  std::int32_t Search(const PlacementQuery& query);
  std::int32_t SearchTightest(const PlacementQuery& query);
  std::int32_t SearchLeastLoaded(const PlacementQuery& query);
  std::int32_t SearchSpread(const PlacementQuery& query);
  std::int32_t SearchAll(const PlacementQuery& query) const;
  void TryBucket(const FitGroup& group,
                 int bucket,
                 std::size_t limit,
                 const PlacementQuery& query,
                 Choice& best);
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
  // By plain and accelerated; all, by region and by zone.
  std::array<std::vector<std::int32_t>, 2> all_groups_;
  std::array<std::vector<std::vector<std::int32_t>>, 2> region_groups_;
  std::array<std::vector<std::vector<std::int32_t>>, 2> zone_groups_;

  std::uint64_t releases_ = 0;
  std::array<std::int32_t, kReleaseLogSize> release_log_{};
  std::unordered_map<CacheKey, std::uint64_t, CacheKeyHash> failed_searches_;
  Random random_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_WORKER_TABLE_H_
