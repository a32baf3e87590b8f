// Measures how fast a queue drains.
#ifndef CRANBERRYSHUNT_POLICY_DRAIN_RATE_H_
#define CRANBERRYSHUNT_POLICY_DRAIN_RATE_H_

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt::policy {

// Exponential moving average of the starts per second, over windows of one
// second.
class DrainRate {
 public:
  void OnStart(TimePoint now) {
    AdvanceWindows(now);
    ++count_;
  }

  double PerSecond(TimePoint now) const {
    DrainRate copy = *this;
    copy.AdvanceWindows(now);
    return copy.rate_;
  }

 private:
  static constexpr Duration kWindow = std::chrono::seconds(1);
  // Weight of the newest window.
  static constexpr double kSmoothingFactor = 0.3;
  static constexpr int kMaxWindows = 30;

  void AdvanceWindows(TimePoint now) {
    for (int n = 0; now - window_start_ >= kWindow && n < kMaxWindows; ++n) {
      rate_ += kSmoothingFactor * (count_ - rate_);
      count_ = 0;
      window_start_ += kWindow;
    }
    if (now - window_start_ >= kWindow) {
      window_start_ = now;
    }
  }

  double rate_ = 0;
  double count_ = 0;
  TimePoint window_start_{};
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_DRAIN_RATE_H_
