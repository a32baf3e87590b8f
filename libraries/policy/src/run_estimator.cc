#include "run_estimator.h"

namespace cranberryshunt::policy {

namespace {

constexpr std::uint64_t kEnoughRuns = 5;
// Halving at this count lets a family that changes be learned again after a few
// hundred runs.
constexpr std::uint64_t kMostRuns = 512;
constexpr double kQuantile = 0.9;

}  // namespace

void RunEstimator::Record(std::int32_t family, Duration run) {
  if (family < 0) {
    return;
  }
  const auto n = static_cast<std::size_t>(family);
  if (n >= families_.size()) {
    families_.resize(n + 1);
  }
  families_[n].Add(run);
  if (families_[n].count() >= kMostRuns) {
    families_[n].Halve();
  }
}

std::optional<Duration> RunEstimator::Estimate(std::int32_t family,
                                               Duration declared) const {
  const auto n = static_cast<std::size_t>(family);
  if (family >= 0 && n < families_.size() &&
      families_[n].count() >= kEnoughRuns) {
    return families_[n].Quantile(kQuantile);
  }
  if (declared > Duration::zero()) {
    return 2 * declared;
  }
  return std::nullopt;
}

}  // namespace cranberryshunt::policy
