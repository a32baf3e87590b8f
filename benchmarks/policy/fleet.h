// Fleets of the sizes in docs/design.md.
#ifndef CRANBERRYSHUNT_BENCHMARKS_POLICY_FLEET_H_
#define CRANBERRYSHUNT_BENCHMARKS_POLICY_FLEET_H_

#include <fmt/core.h>

#include "cranberryshunt/policy/types.h"

namespace cranberryshunt::policy {

inline constexpr std::int64_t kGigabyte = 1'000'000'000;
inline constexpr int kSmallFleet = 48;
// Worker capacities of the fleets that the output calls kite and workshop.
inline constexpr Resources kKiteWorker = {32'000, 64 * kGigabyte, 0, 8};
inline constexpr Resources kWorkshopWorker = {64'000, 128 * kGigabyte, 0, 8};

// Creates a worker of the current fleet size. A rack has eight workers, one
// region has two availability zones and another region has one.
inline WorkerInfo SmallFleetWorker(int number, const Resources& capacity) {
  const int rack = number / 8;
  const int zone = rack % 3;
  return {fmt::format("worker-{:05}", number), zone < 2 ? "east" : "west",
          fmt::format("zone-{}", zone), fmt::format("rack-{}", rack), capacity};
}

// Creates a worker of the fleet size expected in two years, with 30
// availability zones in 8 regions. A little more than a third of the workers
// have four accelerators.
inline WorkerInfo LargeFleetWorker(int number) {
  const int zone = number % 30;
  return {fmt::format("worker-{:05}", number),
          fmt::format("region-{}", zone % 8),
          fmt::format("zone-{}", zone),
          fmt::format("rack-{}", number / 240),
          {(60 + number % 9) * 1000L, (240 + number % 7 * 4) * kGigabyte,
           number % 11 < 4 ? 4 : 0, 32}};
}

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_BENCHMARKS_POLICY_FLEET_H_
