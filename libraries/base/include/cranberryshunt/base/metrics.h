// Metrics of a process: counters, gauges and distributions.
#ifndef CRANBERRYSHUNT_BASE_METRICS_H_
#define CRANBERRYSHUNT_BASE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt {

// Summary of the recent values of a distribution.
struct DistributionSummary {
  std::uint64_t count = 0;
  double mean = 0;
  double p50 = 0;
  double p99 = 0;
  double max = 0;

  bool operator==(const DistributionSummary&) const = default;
};

// The recent values of a metric. They are collected in windows of a fixed
// length, of which the current and the previous one are kept. Safe for use by
// several threads.
class Distribution {
 public:
  explicit Distribution(Duration window = std::chrono::seconds(30));
  ~Distribution();

  void Record(double value, TimePoint now);

  // Summarizes the current window, or the previous one while the current one
  // has no values.
  DistributionSummary Summary(TimePoint now) const;

 private:
  struct Window;

  // Starts a new window if the current one is over at `now`.
  void RotateWindows(TimePoint now) const;

  Duration window_;
  mutable std::mutex mutex_;
  mutable std::unique_ptr<Window> current_;
  mutable std::unique_ptr<Window> previous_;
  mutable TimePoint current_since_{};
};

// Named metrics of a process. A name is in snake_case, includes the unit and
// may be followed by labels, as in `wait_ms{kind="interactive"}`. Counter(),
// Gauge() and ValueDistribution() create the metric at the first call. The
// references that they return stay valid for the life of the registry.
class MetricsRegistry {
 public:
  std::atomic<std::int64_t>& Counter(std::string_view name);
  std::atomic<double>& Gauge(std::string_view name);
  Distribution& ValueDistribution(std::string_view name);

  // Renders `name value` lines: first the counters, then the gauges, then the
  // distributions with a line for each figure of their summary. Each of the
  // three groups is in order of name.
  std::string Render(TimePoint now) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<std::atomic<std::int64_t>>, std::less<>>
      counters_;
  std::map<std::string, std::unique_ptr<std::atomic<double>>, std::less<>>
      gauges_;
  std::map<std::string, std::unique_ptr<Distribution>, std::less<>>
      distributions_;
};

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_METRICS_H_
