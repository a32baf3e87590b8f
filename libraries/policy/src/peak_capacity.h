// The largest capacities ever seen, to tell work that can never run.
#ifndef CRANBERRYSHUNT_POLICY_PEAK_CAPACITY_H_
#define CRANBERRYSHUNT_POLICY_PEAK_CAPACITY_H_

#include <cstdint>
#include <vector>

#include "cranberryshunt/base/resources.h"

namespace cranberryshunt::policy {

class PeakCapacity {
 public:
  void AddWorker(std::int32_t region,
                 std::int32_t zone,
                 const Resources& capacity);
  void RemoveWorker(std::int32_t zone, const Resources& capacity);

  bool empty() const { return shapes_.empty(); }
  // Whether the fleet could ever hold `count` tasks at once in the region and
  // availability zone (kNone: any).
  bool CanEverFit(const Resources& need,
                  std::int64_t count,
                  std::int32_t region,
                  std::int32_t zone) const;

 private:
  // Workers of one capacity in one availability zone.
  struct Shape {
    std::int32_t region;
    std::int32_t zone;
    Resources capacity;
    std::int64_t present;
    std::int64_t most;
  };

  Shape* Find(std::int32_t zone, const Resources& capacity);
  void DropDominated();

  std::vector<Shape> shapes_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_PEAK_CAPACITY_H_
