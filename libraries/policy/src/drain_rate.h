// How fast a queue drains.
#ifndef CRANBERRYSHUNT_POLICY_DRAIN_RATE_H_
#define CRANBERRYSHUNT_POLICY_DRAIN_RATE_H_

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt::policy {

// Starts per second, averaged over some seconds.
class DrainRate {
 public:
  void OnStart(TimePoint now) {
    Roll(now);
    ++count_;
  }

  double PerSecond(TimePoint now) const {
    DrainRate copy = *this;
    copy.Roll(now);
    return copy.rate_;
  }

 private:
  static constexpr Duration kWindow = std::chrono::seconds(1);
  static constexpr double kWeight = 0.3;  // Of the newest window.
  static constexpr int kMostWindows = 30;

  void Roll(TimePoint now) {
    for (int n = 0; now - since_ >= kWindow && n < kMostWindows; ++n) {
      rate_ += kWeight * (count_ - rate_);
      count_ = 0;
      since_ += kWindow;
    }
    if (now - since_ >= kWindow) {
      since_ = now;
    }
  }

  double rate_ = 0;
  double count_ = 0;
  TimePoint since_{};
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_DRAIN_RATE_H_
