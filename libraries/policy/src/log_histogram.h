// Histogram of durations with logarithmic buckets and a fixed size.
#ifndef CRANBERRYSHUNT_POLICY_LOG_HISTOGRAM_H_
#define CRANBERRYSHUNT_POLICY_LOG_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt::policy {

// Counts durations from 0.1 ms to about 19 days in four buckets per power of
// two. Quantiles are accurate to a fifth of their value.
class LogHistogram {
 public:
  void Add(Duration value);
  // Halves all counts, so that values added later weigh more.
  void Halve();
  // Adds the counts of the other histogram.
  void Merge(const LogHistogram& other);
  // Returns the upper bound of the bucket that holds the quantile `fraction`.
  // Returns zero for an empty histogram and for the lowest bucket.
  Duration Quantile(double fraction) const;
  std::uint64_t count() const { return count_; }

 private:
  static constexpr std::size_t kBuckets = 136;

  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint64_t count_ = 0;
};

// Waiting times of the current and the previous time window.
class WaitWindow {
 public:
  void Add(Duration wait, TimePoint now);
  // Returns the waiting times of both windows.
  LogHistogram Recent() const;

 private:
  TimePoint window_start_{};
  LogHistogram current_;
  LogHistogram previous_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_LOG_HISTOGRAM_H_
