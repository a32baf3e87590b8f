// The largest fleet seen so far, to reject jobs that can never run.
#ifndef CRANBERRYSHUNT_POLICY_PEAK_CAPACITY_H_
#define CRANBERRYSHUNT_POLICY_PEAK_CAPACITY_H_

#include <cstdint>
#include <vector>

#include "cranberryshunt/base/resources.h"

namespace cranberryshunt::policy {

// Records for each availability zone and worker capacity the largest number of
// workers that were present at the same time.
class PeakCapacity {
 public:
  void AddWorker(std::int32_t region,
                 std::int32_t zone,
                 const Resources& capacity);
  void RemoveWorker(std::int32_t zone, const Resources& capacity);

  bool empty() const { return shapes_.empty(); }
  // Whether the fleet was ever large enough to run `count` tasks at once in the
  // region and availability zone (kNone: any).
  bool CanEverFit(const Resources& need,
                  std::int64_t count,
                  std::int32_t region,
                  std::int32_t zone) const;

 private:
  // Counts the workers in an availability zone that have the same capacity.
  // MergeDominated() may add the counts of workers with less capacity.
  struct Shape {
    std::int32_t region;
    std::int32_t zone;
    Resources capacity;
    std::int64_t present;  // Number of workers now.
    std::int64_t peak;     // Largest number of workers so far.
  };

  Shape* Find(std::int32_t zone, const Resources& capacity);
  // Merges each shape into a larger one of the same availability zone, if any.
  void MergeDominated();

  std::vector<Shape> shapes_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_PEAK_CAPACITY_H_
