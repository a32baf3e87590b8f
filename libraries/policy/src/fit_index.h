// Finds workers with room without looking at all of them.
#ifndef CRANBERRYSHUNT_POLICY_FIT_INDEX_H_
#define CRANBERRYSHUNT_POLICY_FIT_INDEX_H_

#include <array>
#include <cstdint>
#include <vector>

#include "cranberryshunt/base/resources.h"

namespace cranberryshunt::policy {

// Workers of one availability zone and about one capacity, in 64 buckets by
// their smallest free fraction of any resource.
class FitGroup {
 public:
  static constexpr int kBuckets = 64;

  FitGroup(std::int32_t region, std::int32_t zone, bool accelerated)
      : region_(region), zone_(zone), accelerated_(accelerated) {}

  // Where a worker stands in its group.
  struct Entry {
    std::int32_t group = -1;
    std::int32_t bucket = -1;
    std::uint32_t position = 0;
  };

  std::int32_t region() const { return region_; }
  std::int32_t zone() const { return zone_; }
  // Whether the accelerators count in the free fraction.
  bool accelerated() const { return accelerated_; }
  std::uint64_t occupied_buckets() const { return occupied_buckets_; }
  std::size_t size() const { return size_; }
  const std::vector<std::int32_t>& bucket(int number) const {
    return buckets_[static_cast<std::size_t>(number)];
  }

  // The bucket of a worker with `free` left of `capacity`.
  int BucketOf(const Resources& free, const Resources& capacity) const;
  // Workers below this bucket have room for `need` only when the resource that
  // they lack is not the one that `need` takes most of.
  int LowestBucketFor(const Resources& need) const;
  void IncludeCapacity(const Resources& capacity);

  // Puts the worker into a bucket; the entry says where.
  void Insert(std::int32_t worker, int bucket, Entry& entry);
  // Takes it out; returns the worker that moved to its position, or -1.
  std::int32_t Remove(const Entry& entry);

 private:
  std::int32_t region_;
  std::int32_t zone_;
  bool accelerated_;
  Resources largest_;  // Of each component among the capacities.
  std::uint64_t occupied_buckets_ = 0;
  std::size_t size_ = 0;
  std::array<std::vector<std::int32_t>, kBuckets> buckets_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_FIT_INDEX_H_
