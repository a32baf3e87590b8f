#include "headroom.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

constexpr double kHalfLifeSeconds = 60;
// A region that has had no requests for this long keeps no headroom.
constexpr double kIdleSecondsToReset = 300;
constexpr Duration kDecayPeriod = std::chrono::seconds(1);
// Multiple of the recent peak for which capacity is kept, so that demand can
// exceed the peak before it has to wait.
constexpr double kPeakFactor = 1.25;
// Minimum headroom as a fraction of the region's capacity while there is recent
// interactive use, since a few requests do not predict the next peak.
constexpr double kMinFraction = 0.05;
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

bool LeavesHeadroom(std::int64_t free,
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
          fraction(kMinFraction)),
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
  it.idle_seconds = 0;
}

void Headroom::Decay(TimePoint now) {
  if (now - decayed_at_ < kDecayPeriod) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(now - decayed_at_).count();
  const double factor = std::exp2(-seconds / kHalfLifeSeconds);
  for (Region& it : regions_) {
    it.idle_seconds = it.current == Resources() ? it.idle_seconds + seconds : 0;
    it.peak = it.idle_seconds < kIdleSecondsToReset
                  ? Peak(it.current, Scaled(it.peak, factor))
                  : Resources();
  }
  decayed_at_ = now;
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
    const bool leaves_headroom =
        LeavesHeadroom(free.milli_cpus, it.current.milli_cpus,
                       it.peak.milli_cpus, capacity.milli_cpus, guarantee) &&
        LeavesHeadroom(free.memory_bytes, it.current.memory_bytes,
                       it.peak.memory_bytes, capacity.memory_bytes,
                       guarantee) &&
        LeavesHeadroom(free.accelerators, it.current.accelerators,
                       it.peak.accelerators, capacity.accelerators,
                       guarantee) &&
        LeavesHeadroom(free.slots, it.current.slots, it.peak.slots,
                       capacity.slots, guarantee);
    denied |= leaves_headroom ? 0 : 1ULL << n;
  }
  return denied;
}

}  // namespace cranberryshunt::policy
