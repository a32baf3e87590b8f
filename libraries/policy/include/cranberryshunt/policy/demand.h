// Amounts of the resources that tasks use and workers have.
#ifndef CRANBERRYSHUNT_POLICY_DEMAND_H_
#define CRANBERRYSHUNT_POLICY_DEMAND_H_

#include <cstdint>

namespace cranberryshunt::policy {

// Resources that a task needs, or that a worker has or has reserved.
struct Demand {
  std::int64_t milli_cpus = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Demand&) const = default;
  Demand& operator+=(const Demand& other);
  Demand& operator-=(const Demand& other);
  bool FitsIn(const Demand& available) const;
};

Demand operator-(Demand a, const Demand& b);
// The smaller or larger amount of each resource.
Demand Min(const Demand& a, const Demand& b);
Demand Max(const Demand& a, const Demand& b);
// Returns how many tasks of size `task` fit into `available`, at most `limit`.
std::int64_t FitCount(const Demand& task,
                      const Demand& available,
                      std::int64_t limit);

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_DEMAND_H_
