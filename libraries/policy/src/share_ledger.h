// Who has reserved how much of the fleet.
#ifndef CRANBERRYSHUNT_POLICY_SHARE_LEDGER_H_
#define CRANBERRYSHUNT_POLICY_SHARE_LEDGER_H_

#include <array>
#include <cstdint>
#include <vector>

#include "cranberryshunt/policy/types.h"

namespace cranberryshunt::policy {

// Returns whether `part` stays within `limit`, whose zero components do not
// limit.
bool IsWithinQuota(const Resources& part, const Resources& limit);

class ShareLedger {
 public:
  void set_fleet(const Resources& fleet) { fleet_ = fleet; }
  const Resources& fleet() const { return fleet_; }

  void Reserve(Kind kind, std::int32_t team, const Resources& amount);
  void Release(Kind kind, std::int32_t team, const Resources& amount);

  void ClearQuotas();
  void SetQuota(std::int32_t team, const Resources& limit);
  // Whether the team's reservations and `more` stay within its quota.
  bool HasQuota(std::int32_t team, const Resources& more) const;
  // Whether `amount` alone stays within the team's quota.
  bool QuotaAllows(std::int32_t team, const Resources& amount) const;

  const Resources& reserved(Kind kind) const {
    return kinds_[static_cast<std::size_t>(kind)];
  }
  // Dominant shares of the fleet.
  double ShareOf(const Resources& amount) const {
    return DominantShare(amount, fleet_);
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

  Resources fleet_;
  std::array<Resources, kKindCount> kinds_;
  std::vector<Team> teams_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_SHARE_LEDGER_H_
