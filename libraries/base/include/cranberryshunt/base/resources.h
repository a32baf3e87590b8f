// Amounts of the resources that workers have and tasks need.
#ifndef CRANBERRYSHUNT_BASE_RESOURCES_H_
#define CRANBERRYSHUNT_BASE_RESOURCES_H_

#include <cstdint>

namespace cranberryshunt {

// An amount of each resource. The amounts are integers, so that sums are exact.
struct Resources {
  std::int64_t milli_cpus = 0;
  std::int64_t memory_bytes = 0;
  std::int64_t accelerators = 0;
  std::int64_t slots = 0;

  bool operator==(const Resources&) const = default;

  // Whether no component exceeds that of `capacity`.
  constexpr bool FitsIn(const Resources& capacity) const {
    return milli_cpus <= capacity.milli_cpus &&
           memory_bytes <= capacity.memory_bytes &&
           accelerators <= capacity.accelerators && slots <= capacity.slots;
  }

  constexpr Resources operator+(const Resources& other) const {
    return {milli_cpus + other.milli_cpus, memory_bytes + other.memory_bytes,
            accelerators + other.accelerators, slots + other.slots};
  }

  constexpr Resources operator-(const Resources& other) const {
    return {milli_cpus - other.milli_cpus, memory_bytes - other.memory_bytes,
            accelerators - other.accelerators, slots - other.slots};
  }

  constexpr Resources operator*(std::int64_t factor) const {
    return {milli_cpus * factor, memory_bytes * factor, accelerators * factor,
            slots * factor};
  }
};

// Returns the largest of the four ratios of a component of `part` to that of
// `total`. A component that is 0 in `total` counts as a ratio of 0.
double DominantShare(const Resources& part, const Resources& total);

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_RESOURCES_H_
