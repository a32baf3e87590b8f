#include "share_tracker.h"

namespace cranberryshunt::policy {

namespace {

bool IsWithin(std::int64_t part, std::int64_t limit) {
  return limit == 0 || part <= limit;
}

}  // namespace

bool IsWithinQuota(const Resources& part, const Resources& limit) {
  return IsWithin(part.milli_cpus, limit.milli_cpus) &&
         IsWithin(part.memory_bytes, limit.memory_bytes) &&
         IsWithin(part.accelerators, limit.accelerators) &&
         IsWithin(part.slots, limit.slots);
}

void ShareTracker::set_fleet(const Resources& fleet) {
  const auto inverse = [](std::int64_t total) {
    return total > 0 ? 1.0 / static_cast<double>(total) : 0.0;
  };
  inverse_capacity_ = {inverse(fleet.milli_cpus), inverse(fleet.memory_bytes),
                       inverse(fleet.accelerators), inverse(fleet.slots)};
}

ShareTracker::Team& ShareTracker::team(std::int32_t number) {
  const auto n = static_cast<std::size_t>(number);
  if (n >= teams_.size()) {
    teams_.resize(n + 1);
  }
  return teams_[n];
}

void ShareTracker::Reserve(Kind kind,
                           std::int32_t number,
                           const Resources& amount) {
  const auto n = static_cast<std::size_t>(kind);
  Team& it = team(number);
  it.total = it.total + amount;
  it.kinds[n] = it.kinds[n] + amount;
  kinds_[n] = kinds_[n] + amount;
}

void ShareTracker::Release(Kind kind,
                           std::int32_t number,
                           const Resources& amount) {
  Reserve(kind, number, Resources() - amount);
}

void ShareTracker::ClearQuotas() {
  for (auto& it : teams_) {
    it.quota = Resources();
  }
}

void ShareTracker::SetQuota(std::int32_t number, const Resources& limit) {
  team(number).quota = limit;
}

bool ShareTracker::HasRemainingQuota(std::int32_t number,
                                     const Resources& more) const {
  const auto n = static_cast<std::size_t>(number);
  return n >= teams_.size() ||
         IsWithinQuota(teams_[n].total + more, teams_[n].quota);
}

bool ShareTracker::IsWithinTeamQuota(std::int32_t number,
                                     const Resources& amount) const {
  const auto n = static_cast<std::size_t>(number);
  return n >= teams_.size() || IsWithinQuota(amount, teams_[n].quota);
}

double ShareTracker::TeamShare(Kind kind, std::int32_t number) const {
  const auto n = static_cast<std::size_t>(number);
  return n < teams_.size()
             ? ShareOf(teams_[n].kinds[static_cast<std::size_t>(kind)])
             : 0;
}

}  // namespace cranberryshunt::policy
