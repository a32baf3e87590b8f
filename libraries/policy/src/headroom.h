// Capacity that other kinds leave free for interactive requests.
#ifndef CRANBERRYSHUNT_POLICY_HEADROOM_H_
#define CRANBERRYSHUNT_POLICY_HEADROOM_H_

#include <cstdint>
#include <vector>

#include "worker_table.h"

namespace cranberryshunt::policy {

// Reclaiming capacity takes up to a second, which is far longer than
// interactive requests usually wait. Therefore other kinds never borrow the
// capacity that interactive requests would need to reach their recent peak
// again. The headroom is limited to the guaranteed share.
class Headroom {
 public:
  // Adds a change, which may be negative, to the capacity that interactive
  // requests have reserved in a region.
  void UpdateReserved(std::int32_t region, const Resources& change);
  // Lowers the peaks over time. Works at most once a second.
  void Decay(TimePoint now);
  // Returns a bit for each region in which reserving `need` would use a part of
  // the headroom.
  std::uint64_t DeniedRegions(const WorkerTable& workers,
                              const Resources& need,
                              double guarantee) const;

 private:
  struct Region {
    Resources current;
    Resources peak;
    double idle_seconds = 0;  // Time without interactive reservations.
  };

  Region& region(std::int32_t number);

  std::vector<Region> regions_;
  TimePoint decayed_at_{};
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_HEADROOM_H_
