// Counters, gauges and distributions of a process.
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

// Values of the last one to two windows. Safe for use by several threads.
class Distribution {
 public:
  explicit Distribution(Duration window = std::chrono::seconds(30));
  ~Distribution();

  void Record(double value, TimePoint now);
  DistributionSummary Summary(TimePoint now) const;

 private:
  struct Window;

  void Rotate(TimePoint now) const;

  Duration window_;
  mutable std::mutex mutex_;
  mutable std::unique_ptr<Window> current_;
  mutable std::unique_ptr<Window> previous_;
  mutable TimePoint current_since_{};
};

// Named metrics of a process. Names are snake_case with their unit, with
// optional labels, as in `wait_ms{kind="interactive"}`. Returned references
// stay valid for the life of the registry.
class MetricsRegistry {
 public:
  std::atomic<std::int64_t>& Counter(std::string_view name);
  std::atomic<double>& Gauge(std::string_view name);
  Distribution& Values(std::string_view name);

  // Renders one `name value` line for each metric, in order of name.
  std::string Render(TimePoint now) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<std::atomic<std::int64_t>>, std::less<>>
      counters_;
  std::map<std::string, std::unique_ptr<std::atomic<double>>, std::less<>>
      gauges_;
  std::map<std::string, std::unique_ptr<Distribution>, std::less<>> values_;
};

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_METRICS_H_
