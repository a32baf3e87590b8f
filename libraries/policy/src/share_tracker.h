// Tracks how much of the fleet each kind and each team has reserved.
#ifndef CRANBERRYSHUNT_POLICY_SHARE_TRACKER_H_
#define CRANBERRYSHUNT_POLICY_SHARE_TRACKER_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include "cranberryshunt/policy/types.h"

namespace cranberryshunt::policy {

// Whether `part` does not exceed `limit`. A zero component of `limit` sets no
// limit.
bool IsWithinQuota(const Resources& part, const Resources& limit);

class ShareTracker {
 public:
  // Sets the total capacity on which shares are based.
  void set_fleet(const Resources& fleet);

  void Reserve(Kind kind, std::int32_t team, const Resources& amount);
  void Release(Kind kind, std::int32_t team, const Resources& amount);

  void ClearQuotas();
  void SetQuota(std::int32_t team, const Resources& limit);
  // Whether the team's reservations plus `more` stay within its quota.
  bool HasRemainingQuota(std::int32_t team, const Resources& more) const;
  // Whether `amount` alone stays within the team's quota.
  bool IsWithinTeamQuota(std::int32_t team, const Resources& amount) const;

  const Resources& reserved(Kind kind) const {
    return kinds_[static_cast<std::size_t>(kind)];
  }
  // Returns the dominant share of `amount` in the capacity of the fleet.
  double ShareOf(const Resources& amount) const {
    return std::max(
        {static_cast<double>(amount.milli_cpus) * inverse_capacity_[0],
         static_cast<double>(amount.memory_bytes) * inverse_capacity_[1],
         static_cast<double>(amount.accelerators) * inverse_capacity_[2],
         static_cast<double>(amount.slots) * inverse_capacity_[3]});
  }
  double KindShare(Kind kind) const { return ShareOf(reserved(kind)); }
  double TeamShare(Kind kind, std::int32_t team) const;

 private:
  struct Team {
    Resources total;
    std::array<Resources, kKindCount> kinds;
    Resources quota;
  };

  Team& team(std::int32_t number);

  // 1 / capacity of the fleet for each resource, or 0 if the fleet has none of
  // it. Shares are computed several times for each decision, and divisions
  // would dominate their cost.
  std::array<double, 4> inverse_capacity_{};
  std::array<Resources, kKindCount> kinds_;
  std::vector<Team> teams_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_SHARE_TRACKER_H_
