#include "log_histogram.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

constexpr double kSmallestMicroseconds = 100;
constexpr double kBucketsPerOctave = 4;
constexpr Duration kWindow = std::chrono::seconds(30);

}  // namespace

void LogHistogram::Add(Duration value) {
  const auto us = static_cast<double>(value.count());
  std::size_t bucket = 0;
  if (us > kSmallestMicroseconds) {
    bucket = static_cast<std::size_t>(
        std::ceil(kBucketsPerOctave * std::log2(us / kSmallestMicroseconds)));
  }
  ++counts_[std::min(bucket, kBuckets - 1)];
  ++count_;
}

void LogHistogram::Halve() {
  count_ = 0;
  for (auto& n : counts_) {
    n /= 2;
    count_ += n;
  }
}

void LogHistogram::Merge(const LogHistogram& other) {
  for (std::size_t n = 0; n < kBuckets; ++n) {
    counts_[n] += other.counts_[n];
  }
  count_ += other.count_;
}

Duration LogHistogram::Quantile(double fraction) const {
  if (count_ == 0) {
    return Duration::zero();
  }
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(fraction * static_cast<double>(count_)));
  std::uint64_t counted = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets && counted + counts_[bucket] < rank) {
    counted += counts_[bucket];
    ++bucket;
  }
  if (bucket == 0) {
    return Duration::zero();
  }
  return Duration(static_cast<std::int64_t>(
      kSmallestMicroseconds *
      std::exp2(static_cast<double>(bucket) / kBucketsPerOctave)));
}

void WaitWindow::Add(Duration wait, TimePoint now) {
  if (now - window_start_ >= kWindow) {
    previous_ = now - window_start_ < 2 * kWindow ? current_ : LogHistogram();
    current_ = LogHistogram();
    window_start_ = now;
  }
  current_.Add(wait);
}

LogHistogram WaitWindow::Recent() const {
  LogHistogram merged = current_;
  merged.Merge(previous_);
  return merged;
}

}  // namespace cranberryshunt::policy
