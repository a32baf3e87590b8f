#include "peak_capacity.h"

#include <algorithm>
#include <limits>

#include "interner.h"

namespace cranberryshunt::policy {

namespace {

// Bounds the time of the check of a submission. When the limit is reached,
// shapes are merged into larger ones of the same availability zone.
constexpr std::size_t kMaxShapes = 512;

std::int64_t CountThatFit(std::int64_t capacity, std::int64_t need) {
  return need > 0 ? capacity / need : std::numeric_limits<std::int64_t>::max();
}

std::int64_t TasksThatFit(const Resources& capacity, const Resources& need) {
  return std::min({CountThatFit(capacity.milli_cpus, need.milli_cpus),
                   CountThatFit(capacity.memory_bytes, need.memory_bytes),
                   CountThatFit(capacity.accelerators, need.accelerators),
                   CountThatFit(capacity.slots, need.slots)});
}

}  // namespace

PeakCapacity::Shape* PeakCapacity::Find(std::int32_t zone,
                                        const Resources& capacity) {
  const auto it = std::ranges::find_if(shapes_, [&](const Shape& shape) {
    return shape.zone == zone && shape.capacity == capacity;
  });
  return it == shapes_.end() ? nullptr : &*it;
}

void PeakCapacity::AddWorker(std::int32_t region,
                             std::int32_t zone,
                             const Resources& capacity) {
  Shape* shape = Find(zone, capacity);
  if (shape == nullptr) {
    if (shapes_.size() >= kMaxShapes) {
      MergeDominated();
    }
    shape = &shapes_.emplace_back(Shape{region, zone, capacity, 0, 0});
  }
  ++shape->present;
  shape->peak = std::max(shape->peak, shape->present);
}

void PeakCapacity::RemoveWorker(std::int32_t zone, const Resources& capacity) {
  if (Shape* shape = Find(zone, capacity); shape != nullptr) {
    --shape->present;
  }
}

void PeakCapacity::MergeDominated() {
  for (std::size_t n = shapes_.size(); n-- > 0;) {
    const Shape shape = shapes_[n];
    const auto larger = std::ranges::find_if(shapes_, [&](const Shape& other) {
      return other.zone == shape.zone && other.capacity != shape.capacity &&
             shape.capacity.FitsIn(other.capacity);
    });
    if (larger != shapes_.end()) {
      larger->present += shape.present;
      larger->peak += shape.peak;
      shapes_.erase(shapes_.begin() + static_cast<std::ptrdiff_t>(n));
    }
  }
}

bool PeakCapacity::CanEverFit(const Resources& need,
                              std::int64_t count,
                              std::int32_t region,
                              std::int32_t zone) const {
  std::int64_t found = 0;
  for (const Shape& shape : shapes_) {
    if ((region != kNone && region != shape.region) ||
        (zone != kNone && zone != shape.zone)) {
      continue;
    }
    const std::int64_t tasks_per_worker = TasksThatFit(shape.capacity, need);
    if (tasks_per_worker > 0 &&
        (tasks_per_worker >= count || shape.peak >= count)) {
      return true;
    }
    found += tasks_per_worker * shape.peak;
    if (found >= count) {
      return true;
    }
  }
  return false;
}

}  // namespace cranberryshunt::policy
