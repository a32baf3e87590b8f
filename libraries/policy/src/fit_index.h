// Index of workers by free capacity, which finds workers for a task without
// visiting all of them.
#ifndef CRANBERRYSHUNT_POLICY_FIT_INDEX_H_
#define CRANBERRYSHUNT_POLICY_FIT_INDEX_H_

#include <array>
#include <cstdint>
#include <vector>

#include "cranberryshunt/base/resources.h"

namespace cranberryshunt::policy {

// Workers of one availability zone with similar capacity, in 64 buckets by the
// smallest free fraction among their resources.
class FitGroup {
 public:
  static constexpr int kBuckets = 64;

  FitGroup(std::int32_t region, std::int32_t zone, bool accelerated)
      : region_(region), zone_(zone), accelerated_(accelerated) {}

  // Position of a worker in its group.
  struct Entry {
    std::int32_t group = -1;
    std::int32_t bucket = -1;
    std::uint32_t position = 0;
  };

  std::int32_t region() const { return region_; }
  std::int32_t zone() const { return zone_; }
  // Whether accelerators count in the free fraction.
  bool accelerated() const { return accelerated_; }
  // Bit mask of the buckets that are not empty.
  std::uint64_t occupied_buckets() const { return occupied_buckets_; }
  std::size_t size() const { return size_; }
  const std::vector<std::int32_t>& bucket(int number) const {
    return buckets_[static_cast<std::size_t>(number)];
  }

  // Returns the bucket for a worker with `free` left of `capacity`.
  int BucketOf(const Resources& free, const Resources& capacity) const;
  // Returns the lowest bucket to search for `need`. A worker in a lower bucket
  // fits only if its scarcest resource is not the dominant one of `need`.
  int LowestBucketFor(const Resources& need) const;
  // Raises the largest capacity of the group to at least `capacity`.
  void IncludeCapacity(const Resources& capacity);

  // Adds the worker to a bucket and stores its position in `entry`.
  void Insert(std::int32_t worker, int bucket, Entry& entry);
  // Removes the worker at `entry`. Returns the worker that moved to its
  // position, or -1 if none did.
  std::int32_t Remove(const Entry& entry);

 private:
  std::int32_t region_;
  std::int32_t zone_;
  bool accelerated_;
  Resources largest_;  // Largest capacity of each resource.
  std::uint64_t occupied_buckets_ = 0;
  std::size_t size_ = 0;
  std::array<std::vector<std::int32_t>, kBuckets> buckets_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_FIT_INDEX_H_
