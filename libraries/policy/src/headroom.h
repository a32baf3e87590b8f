// Room that other kinds leave free for interactive requests.
#ifndef CRANBERRYSHUNT_POLICY_HEADROOM_H_
#define CRANBERRYSHUNT_POLICY_HEADROOM_H_

#include <cstdint>
#include <vector>

#include "worker_table.h"

namespace cranberryshunt::policy {

// Reclaiming takes up to a second, which is far longer than interactive
// requests usually wait. Therefore other kinds never borrow the room that
// recent peaks of interactive use would need, up to the guaranteed share.
class Headroom {
 public:
  // Adds to what interactive work has reserved in a region.
  void UpdateReserved(std::int32_t region, const Resources& change);
  void Decay(TimePoint now);
  // A bit for each region in which `need` would take from the headroom.
  std::uint64_t DeniedRegions(const WorkerTable& workers,
                              const Resources& need,
                              double guarantee) const;

 private:
  struct Region {
    Resources current;
    Resources peak;
    double quiet_seconds = 0;
  };

  Region& region(std::int32_t number);

  std::vector<Region> regions_;
  TimePoint decayed_{};
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_HEADROOM_H_
