#include "headroom.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

constexpr double kHalfLifeSeconds = 60;
// Without requests for this long, the region keeps no headroom.
constexpr double kForgetSeconds = 300;
constexpr Duration kDecayPeriod = std::chrono::seconds(1);
// Of the recent peak, so that demand may double before it has to wait.
constexpr double kPeakFactor = 1.25;
// The least headroom while there is any interactive work, since a few requests
// say little about the next peak.
constexpr double kLeastFraction = 0.05;
constexpr std::size_t kMaskedRegions = 64;

Resources Peak(const Resources& left, const Resources& right) {
  return {std::max(left.milli_cpus, right.milli_cpus),
          std::max(left.memory_bytes, right.memory_bytes),
          std::max(left.accelerators, right.accelerators),
          std::max(left.slots, right.slots)};
}

Resources Scaled(const Resources& amount, double factor) {
  const auto scale = [factor](std::int64_t n) {
    return static_cast<std::int64_t>(static_cast<double>(n) * factor);
  };
  return {scale(amount.milli_cpus), scale(amount.memory_bytes),
          scale(amount.accelerators), scale(amount.slots)};
}

bool LeavesRoom(std::int64_t free,
                std::int64_t current,
                std::int64_t peak,
                std::int64_t capacity,
                double guarantee) {
  if (peak == 0) {
    return true;
  }
  const auto fraction = [capacity](double part) {
    return static_cast<std::int64_t>(static_cast<double>(capacity) * part);
  };
  const std::int64_t wanted = std::min(
      std::max(
          static_cast<std::int64_t>(kPeakFactor * static_cast<double>(peak)),
          fraction(kLeastFraction)),
      fraction(guarantee));
  return wanted <= current || free >= wanted - current;
}

}  // namespace

Headroom::Region& Headroom::region(std::int32_t number) {
  const auto n = static_cast<std::size_t>(number);
  if (n >= regions_.size()) {
    regions_.resize(n + 1);
  }
  return regions_[n];
}

void Headroom::UpdateReserved(std::int32_t number, const Resources& change) {
  Region& it = region(number);
  it.current = it.current + change;
  it.peak = Peak(it.peak, it.current);
  it.quiet_seconds = 0;
}

void Headroom::Decay(TimePoint now) {
  if (now - decayed_ < kDecayPeriod) {
    return;
  }
  const double seconds = std::chrono::duration<double>(now - decayed_).count();
  const double factor = std::exp2(-seconds / kHalfLifeSeconds);
  for (Region& it : regions_) {
    it.quiet_seconds =
        it.current == Resources() ? it.quiet_seconds + seconds : 0;
    it.peak = it.quiet_seconds < kForgetSeconds
                  ? Peak(it.current, Scaled(it.peak, factor))
                  : Resources();
  }
  decayed_ = now;
}

std::uint64_t Headroom::DeniedRegions(const WorkerTable& workers,
                                      const Resources& need,
                                      double guarantee) const {
  std::uint64_t denied = 0;
  const std::size_t count =
      std::min({regions_.size(), workers.region_count(), kMaskedRegions});
  for (std::size_t n = 0; n < count; ++n) {
    const Region& it = regions_[n];
    const auto number = static_cast<std::int32_t>(n);
    const Resources free = workers.region_free(number) - need;
    const Resources& capacity = workers.region_capacity(number);
    const bool leaves_room =
        LeavesRoom(free.milli_cpus, it.current.milli_cpus, it.peak.milli_cpus,
                   capacity.milli_cpus, guarantee) &&
        LeavesRoom(free.memory_bytes, it.current.memory_bytes,
                   it.peak.memory_bytes, capacity.memory_bytes, guarantee) &&
        LeavesRoom(free.accelerators, it.current.accelerators,
                   it.peak.accelerators, capacity.accelerators, guarantee) &&
        LeavesRoom(free.slots, it.current.slots, it.peak.slots, capacity.slots,
                   guarantee);
    denied |= leaves_room ? 0 : 1ULL << n;
  }
  return denied;
}

}  // namespace cranberryshunt::policy
