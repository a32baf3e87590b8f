#include "cranberryshunt/policy/account_rates.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

constexpr double kMsPerSecond = 1'000;
// Callers are told to retry after this time at most.
constexpr std::int64_t kMaxRetryMs = 10'000;
// Tokens are sums of fractions. Without this tolerance, an account that retries
// exactly when its next token is due could be refused.
constexpr double kWholeToken = 1 - 1e-9;

}  // namespace

// At most one second's worth may be submitted at once, but one job always.
double AccountRates::Bucket::Capacity() const {
  return std::max(1.0, weight);
}

double AccountRates::Bucket::TokensAt(std::int64_t now_ms) const {
  const auto passed_ms =
      static_cast<double>(std::max<std::int64_t>(0, now_ms - filled_ms));
  return std::min(Capacity(), tokens + weight * passed_ms / kMsPerSecond);
}

const AccountRates::Bucket* AccountRates::Find(AccountNumber account) const {
  const auto n = static_cast<std::size_t>(account);
  return n < buckets_.size() && buckets_[n].has_rate ? &buckets_[n] : nullptr;
}

void AccountRates::SetWeights(
    const std::vector<std::pair<AccountNumber, double>>& weights,
    std::int64_t now_ms) {
  const auto former = std::exchange(buckets_, {});
  for (const auto& [account, weight] : weights) {
    const auto n = static_cast<std::size_t>(account);
    if (account == kNoAccount) {
      continue;
    }
    if (n >= buckets_.size()) {
      buckets_.resize(n + 1);
    }
    auto& bucket = buckets_[n];
    bucket.has_rate = true;
    bucket.weight = weight;
    bucket.filled_ms = now_ms;
    const bool known = n < former.size() && former[n].has_rate;
    bucket.tokens =
        known ? std::min(bucket.Capacity(), former[n].TokensAt(now_ms))
              : bucket.Capacity();
  }
}

bool AccountRates::HasToken(AccountNumber account, std::int64_t now_ms) const {
  const auto* bucket = Find(account);
  return bucket == nullptr ||
         (bucket->weight > 0 && bucket->TokensAt(now_ms) >= kWholeToken);
}

void AccountRates::Add(AccountNumber account,
                       double tokens,
                       std::int64_t now_ms) {
  if (Find(account) == nullptr) {
    return;
  }
  auto& bucket = buckets_[static_cast<std::size_t>(account)];
  bucket.tokens =
      std::clamp(bucket.TokensAt(now_ms) + tokens, 0.0, bucket.Capacity());
  bucket.filled_ms = now_ms;
}

void AccountRates::TakeToken(AccountNumber account, std::int64_t now_ms) {
  Add(account, -1, now_ms);
}

void AccountRates::ReturnToken(AccountNumber account, std::int64_t now_ms) {
  Add(account, 1, now_ms);
}

std::int64_t AccountRates::NextTokenMs(AccountNumber account,
                                       std::int64_t now_ms) const {
  if (HasToken(account, now_ms)) {
    return 0;
  }
  const auto* bucket = Find(account);
  if (bucket->weight <= 0) {
    return kMaxRetryMs;
  }
  const double missing = 1 - bucket->TokensAt(now_ms);
  const double wait_ms = std::ceil(missing * kMsPerSecond / bucket->weight);
  return static_cast<std::int64_t>(
      std::clamp(wait_ms, 1.0, static_cast<double>(kMaxRetryMs)));
}

}  // namespace cranberryshunt::policy
