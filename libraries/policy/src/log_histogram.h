// A fixed-size sketch of durations.
#ifndef CRANBERRYSHUNT_POLICY_LOG_HISTOGRAM_H_
#define CRANBERRYSHUNT_POLICY_LOG_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt::policy {

// Counts durations in buckets of four to each power of two, from 0.1 ms to
// about 19 days; quantiles are exact to a fifth of their value.
class LogHistogram {
 public:
  void Add(Duration value);
  // Halves all counts, so that newer values weigh more.
  void Halve();
  void Merge(const LogHistogram& other);
  // The upper edge of the bucket that holds the quantile `fraction`; zero when
  // empty.
  Duration Quantile(double fraction) const;
  std::uint64_t count() const { return count_; }

 private:
  static constexpr std::size_t kBuckets = 136;

  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint64_t count_ = 0;
};

// Waiting times of the last one to two windows.
class WaitWindow {
 public:
  void Add(Duration wait, TimePoint now);
  LogHistogram Recent() const;

 private:
  TimePoint since_{};
  LogHistogram current_;
  LogHistogram previous_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_LOG_HISTOGRAM_H_
