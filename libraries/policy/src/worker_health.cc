#include "cranberryshunt/policy/worker_health.h"

#include <algorithm>

namespace cranberryshunt::policy {

namespace {

// If one task in 20 fails through its own fault, three failures in a row on a
// healthy worker have a probability of 1 in 8,000.
constexpr std::int32_t kFailuresToQuarantine = 3;
constexpr std::int64_t kFirstQuarantineMs = 1'500;
constexpr std::int32_t kMaxDoublings = 2;
// A task that runs until it is cancelled never ends as a success, so probation
// also ends after this time without a failure.
constexpr std::int64_t kProbationMs = 10'000;

}  // namespace

void WorkerHealth::RecordSuccess(std::int64_t worker) {
  records_.erase(worker);
}

bool WorkerHealth::RecordFailure(std::int64_t worker, std::int64_t now_ms) {
  auto& it = records_[worker];
  if (it.quarantines > 0 && now_ms >= it.quarantined_until_ms + kProbationMs) {
    it = {};
  }
  ++it.failures;
  const bool probing = it.quarantines > 0;
  if (!probing && it.failures < kFailuresToQuarantine) {
    return false;
  }
  if (now_ms < it.quarantined_until_ms) {
    return false;
  }
  const auto doublings = std::min(it.quarantines, kMaxDoublings);
  it.quarantined_until_ms = now_ms + (kFirstQuarantineMs << doublings);
  ++it.quarantines;
  return true;
}

bool WorkerHealth::IsQuarantined(std::int64_t worker,
                                 std::int64_t now_ms) const {
  const auto it = records_.find(worker);
  return it != records_.end() && now_ms < it->second.quarantined_until_ms;
}

bool WorkerHealth::IsProbing(std::int64_t worker, std::int64_t now_ms) const {
  const auto it = records_.find(worker);
  return it != records_.end() && it->second.quarantines > 0 &&
         now_ms < it->second.quarantined_until_ms + kProbationMs;
}

}  // namespace cranberryshunt::policy
