#include "run_estimator.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

constexpr std::uint64_t kEnoughRuns = 5;
// Halving at this count lets a family that changes be learned again after a few
// hundred runs.
constexpr std::uint64_t kMostRuns = 512;
constexpr double kQuantile = 0.9;
// Declarations that the mean error follows.
constexpr int kErrorWindow = 50;
constexpr double kWrongError = 1;

}  // namespace

void RunEstimator::Record(std::int32_t family,
                          Duration run,
                          Duration declared) {
  if (family < 0) {
    return;
  }
  const auto n = static_cast<std::size_t>(family);
  if (n >= families_.size()) {
    families_.resize(n + 1);
  }
  Family& it = families_[n];
  it.runs.Add(run);
  if (it.runs.count() >= kMostRuns) {
    it.runs.Halve();
  }
  if (declared <= Duration::zero() || run <= Duration::zero()) {
    return;
  }
  const double error =
      std::abs(std::log2(static_cast<double>(run.count()) /
                         static_cast<double>(declared.count())));
  it.declared = std::min(it.declared + 1, kErrorWindow);
  it.error += (error - it.error) / it.declared;
}

bool RunEstimator::IsDeclarationUnreliable(std::int32_t family) const {
  const auto n = static_cast<std::size_t>(family);
  return n < families_.size() &&
         families_[n].declared >= static_cast<int>(kEnoughRuns) &&
         families_[n].error > kWrongError;
}

std::optional<Duration> RunEstimator::Estimate(std::int32_t family,
                                               Duration declared) const {
  const auto n = static_cast<std::size_t>(family);
  if (family >= 0 && n < families_.size() &&
      families_[n].runs.count() >= kEnoughRuns) {
    return families_[n].runs.Quantile(kQuantile);
  }
  if (declared > Duration::zero()) {
    return 2 * declared;
  }
  return std::nullopt;
}

}  // namespace cranberryshunt::policy
