#include "fit_index.h"

#include <algorithm>

namespace cranberryshunt::policy {

namespace {

double FreeFraction(std::int64_t free, std::int64_t capacity) {
  return capacity > 0
             ? static_cast<double>(free) / static_cast<double>(capacity)
             : 1.0;
}

std::int64_t Larger(std::int64_t left, std::int64_t right) {
  return std::max(left, right);
}

}  // namespace

int FitGroup::BucketOf(const Resources& free, const Resources& capacity) const {
  double fraction =
      std::min({FreeFraction(free.milli_cpus, capacity.milli_cpus),
                FreeFraction(free.memory_bytes, capacity.memory_bytes),
                FreeFraction(free.slots, capacity.slots)});
  if (accelerated_) {
    fraction = std::min(fraction,
                        FreeFraction(free.accelerators, capacity.accelerators));
  }
  return std::clamp(static_cast<int>(fraction * kBuckets), 0, kBuckets - 1);
}

int FitGroup::LowestBucketFor(const Resources& need) const {
  Resources counted = need;
  if (!accelerated_) {
    counted.accelerators = 0;
  }
  const double fraction = DominantShare(counted, largest_);
  return std::clamp(static_cast<int>(fraction * kBuckets), 0, kBuckets - 1);
}

void FitGroup::IncludeCapacity(const Resources& capacity) {
  largest_ = {Larger(largest_.milli_cpus, capacity.milli_cpus),
              Larger(largest_.memory_bytes, capacity.memory_bytes),
              Larger(largest_.accelerators, capacity.accelerators),
              Larger(largest_.slots, capacity.slots)};
}

void FitGroup::Insert(std::int32_t worker, int bucket, Entry& entry) {
  auto& workers = buckets_[static_cast<std::size_t>(bucket)];
  entry.bucket = bucket;
  entry.position = static_cast<std::uint32_t>(workers.size());
  workers.push_back(worker);
  occupied_buckets_ |= 1ULL << static_cast<unsigned>(bucket);
  ++size_;
}

std::int32_t FitGroup::Remove(const Entry& entry) {
  auto& workers = buckets_[static_cast<std::size_t>(entry.bucket)];
  const std::int32_t moved = workers.back();
  const bool was_last = entry.position + 1 == workers.size();
  workers[entry.position] = moved;
  workers.pop_back();
  if (workers.empty()) {
    occupied_buckets_ &= ~(1ULL << static_cast<unsigned>(entry.bucket));
  }
  --size_;
  return was_last ? -1 : moved;
}

}  // namespace cranberryshunt::policy
