#include "cranberryshunt/policy/far_factor.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

// What remains of the weight of a sample after each later one: the latest 200
// or so count.
constexpr double kDecay = 0.995;
// The configured factor counts as much as this many pairs of a near and a far
// run. Logarithms of run times deviate by 0.45 in the loads of the replays, so
// the difference of ten pairs is off by 0.2.
constexpr double kPriorPairs = 10;

}  // namespace

void FarFactors::Mean::Add(double sample) {
  weight = weight * kDecay + 1;
  value += (sample - value) / weight;
}

void FarFactors::Record(const std::string& rack,
                        Nearness nearness,
                        std::int64_t expected_ms,
                        std::int64_t run_ms) {
  if (configured_ <= 1 || nearness == Nearness::kAny || expected_ms <= 0 ||
      run_ms <= 0) {
    return;
  }
  auto& samples = by_rack_[rack];
  (nearness == Nearness::kNear ? samples.near : samples.far)
      .Add(std::log(static_cast<double>(run_ms) /
                    static_cast<double>(expected_ms)));
}

double FarFactors::Expected(const std::string& rack) const {
  const auto it = by_rack_.find(rack);
  if (configured_ <= 1) {
    return 1;
  }
  if (it == by_rack_.end()) {
    return configured_;
  }
  const auto& [near, far] = it->second;
  const double pairs =
      near.weight > 0 && far.weight > 0
          ? near.weight * far.weight / (near.weight + far.weight)
          : 0;
  const double learned = far.value - near.value;
  return std::max(
      1.0, std::exp((kPriorPairs * std::log(configured_) + pairs * learned) /
                    (kPriorPairs + pairs)));
}

std::int64_t FarFactors::RunMs(const std::string& rack,
                               Nearness nearness,
                               std::int64_t near_run_ms) const {
  return nearness == Nearness::kFar
             ? std::llround(static_cast<double>(near_run_ms) * Expected(rack))
             : near_run_ms;
}

std::int64_t FarFactors::NearRunMs(const std::string& rack,
                                   Nearness nearness,
                                   std::int64_t run_ms) const {
  return nearness == Nearness::kFar
             ? std::llround(static_cast<double>(run_ms) / Expected(rack))
             : run_ms;
}

}  // namespace cranberryshunt::policy
