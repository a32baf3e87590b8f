#include "run_estimator.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

constexpr std::uint64_t kMinRuns = 5;
// The counts of a family are halved when they reach this number, so that the
// estimate follows a change of its run times after a few hundred runs.
constexpr std::uint64_t kMaxRuns = 512;
constexpr double kQuantile = 0.9;
// Number of declarations over which the mean error is taken.
constexpr int kErrorWindow = 50;
constexpr double kUnreliableError = 1;  // A factor of two.

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
  if (it.runs.count() >= kMaxRuns) {
    it.runs.Halve();
  }
  if (declared <= Duration::zero() || run <= Duration::zero()) {
    return;
  }
  const double error =
      std::abs(std::log2(static_cast<double>(run.count()) /
                         static_cast<double>(declared.count())));
  it.declared_runs = std::min(it.declared_runs + 1, kErrorWindow);
  it.mean_error += (error - it.mean_error) / it.declared_runs;
}

bool RunEstimator::IsDeclarationUnreliable(std::int32_t family) const {
  const auto n = static_cast<std::size_t>(family);
  return n < families_.size() &&
         families_[n].declared_runs >= static_cast<int>(kMinRuns) &&
         families_[n].mean_error > kUnreliableError;
}

std::optional<Duration> RunEstimator::Estimate(std::int32_t family,
                                               Duration declared) const {
  const auto n = static_cast<std::size_t>(family);
  if (family >= 0 && n < families_.size() &&
      families_[n].runs.count() >= kMinRuns) {
    return families_[n].runs.Quantile(kQuantile);
  }
  if (declared > Duration::zero()) {
    return 2 * declared;
  }
  return std::nullopt;
}

}  // namespace cranberryshunt::policy
