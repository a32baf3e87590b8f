// Measures how fast the waiting work of a queue is placed. Does no I/O and
// reads no clock.
#ifndef CRANBERRYSHUNT_POLICY_PLACEMENT_RATE_H_
#define CRANBERRYSHUNT_POLICY_PLACEMENT_RATE_H_

#include <cmath>
#include <cstdint>
#include <optional>

namespace cranberryshunt::policy {

// Exponential moving average of the amount placed per millisecond.
class PlacementRate {
 public:
  explicit PlacementRate(std::int64_t begin_ms)
      : begin_ms_(begin_ms), updated_ms_(begin_ms) {}

  void Add(double amount, std::int64_t now_ms) {
    decayed_amount_ = DecayedAmount(now_ms) + amount;
    updated_ms_ = now_ms;
  }

  // Returns no value until the rate has been measured for `kMinAgeMs`.
  std::optional<double> PerMs(std::int64_t now_ms) const {
    const auto age_ms = now_ms - begin_ms_;
    if (age_ms < kMinAgeMs) {
      return {};
    }
    const double observed =
        1 - std::exp(-static_cast<double>(age_ms) / kDecayMs);
    return DecayedAmount(now_ms) / (kDecayMs * observed);
  }

  static constexpr std::int64_t kMinAgeMs = 2'000;

 private:
  static constexpr double kDecayMs = 3'000;

  double DecayedAmount(std::int64_t now_ms) const {
    return decayed_amount_ *
           std::exp(-static_cast<double>(now_ms - updated_ms_) / kDecayMs);
  }

  std::int64_t begin_ms_ = 0;
  std::int64_t updated_ms_ = 0;
  double decayed_amount_ = 0;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_PLACEMENT_RATE_H_
