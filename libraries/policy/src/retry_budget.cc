#include "retry_budget.h"

#include <algorithm>

namespace cranberryshunt::policy {

namespace {

constexpr double kTokensPerStart = 0.1;
constexpr double kTokensPerSecond = 1;
// Enough for the failures on a rack of bad workers until they are quarantined.
constexpr double kMaxTokens = 50;
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr int kMaxDoublings = 8;

}  // namespace

RetryBudget::Bucket& RetryBudget::Refill(std::int32_t team, TimePoint now) {
  const auto n = static_cast<std::size_t>(team);
  if (n >= buckets_.size()) {
    buckets_.resize(n + 1);
  }
  Bucket& bucket = buckets_[n];
  if (!bucket.initialized) {
    bucket = {kMaxTokens, now, true};
    return bucket;
  }
  const double seconds =
      std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens =
      std::min(kMaxTokens, bucket.tokens + seconds * kTokensPerSecond);
  bucket.refilled_at = now;
  return bucket;
}

void RetryBudget::OnStart(std::int32_t team, TimePoint now) {
  Bucket& bucket = Refill(team, now);
  bucket.tokens = std::min(kMaxTokens, bucket.tokens + kTokensPerStart);
}

bool RetryBudget::TryRetry(std::int32_t team, TimePoint now) {
  Bucket& bucket = Refill(team, now);
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

Duration RetryBudget::Backoff(int retry, Random& random) {
  const int doublings = std::clamp(retry - 1, 0, kMaxDoublings);
  const auto base = kFirstBackoff * (1 << doublings);
  const double factor = 0.5 + random.Fraction();
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

}  // namespace cranberryshunt::policy
