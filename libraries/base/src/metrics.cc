#include "cranberryshunt/base/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace cranberryshunt {

namespace {

namespace acc = boost::accumulators;

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::mean,
                                    acc::tag::max,
                                    acc::tag::tail_quantile<acc::right>>>;

// Number of the largest values of a window that are kept. Quantiles that lie
// among them are exact; in a window with no more values than this, all are.
constexpr std::size_t kTailSize = 4096;

double Quantile(const Accumulator& values, double probability) {
  const std::size_t n = acc::count(values);
  if (n == 0) {
    return 0;
  }
  // If the quantile is below the kept values, the library returns NaN. The
  // lowest kept value is returned instead, as an upper bound.
  const double min_probability =
      n > kTailSize
          ? 1.0 - static_cast<double>(kTailSize - 2) / static_cast<double>(n)
          : 0.0;
  return acc::quantile(values, acc::quantile_probability =
                                   std::max(probability, min_probability));
}

}  // namespace

struct Distribution::Window {
  Accumulator values{acc::right_tail_cache_size = kTailSize};
};

Distribution::Distribution(Duration window)
    : window_(window),
      current_(std::make_unique<Window>()),
      previous_(std::make_unique<Window>()) {}

Distribution::~Distribution() = default;

void Distribution::RotateWindows(TimePoint now) const {
  if (now - current_since_ < window_) {
    return;
  }
  const bool previous_is_recent = now - current_since_ < 2 * window_;
  previous_ =
      previous_is_recent ? std::move(current_) : std::make_unique<Window>();
  current_ = std::make_unique<Window>();
  current_since_ = now;
}

void Distribution::Record(double value, TimePoint now) {
  std::lock_guard lock(mutex_);
  RotateWindows(now);
  current_->values(value);
}

DistributionSummary Distribution::Summary(TimePoint now) const {
  std::lock_guard lock(mutex_);
  RotateWindows(now);
  const auto& recent = acc::count(current_->values) > 0 ? current_ : previous_;
  DistributionSummary summary;
  summary.count = acc::count(recent->values);
  if (summary.count == 0) {
    return summary;
  }
  summary.mean = acc::mean(recent->values);
  summary.max = acc::max(recent->values);
  summary.p50 = Quantile(recent->values, 0.5);
  summary.p99 = Quantile(recent->values, 0.99);
  return summary;
}

namespace {

template <typename Map>
auto& FindOrCreate(Map& map, std::string_view name) {
  auto it = map.find(name);
  if (it == map.end()) {
    using Value = typename Map::mapped_type::element_type;
    it = map.emplace(std::string(name), std::make_unique<Value>()).first;
  }
  return *it->second;
}

// Appends `suffix` to a metric name, before its labels if it has any.
std::string AppendSuffix(const std::string& name, std::string_view suffix) {
  const auto brace = name.find('{');
  if (brace == std::string::npos) {
    return fmt::format("{}_{}", name, suffix);
  }
  return fmt::format("{}_{}{}", name.substr(0, brace), suffix,
                     name.substr(brace));
}

}  // namespace

std::atomic<std::int64_t>& MetricsRegistry::Counter(std::string_view name) {
  std::lock_guard lock(mutex_);
  return FindOrCreate(counters_, name);
}

std::atomic<double>& MetricsRegistry::Gauge(std::string_view name) {
  std::lock_guard lock(mutex_);
  return FindOrCreate(gauges_, name);
}

Distribution& MetricsRegistry::ValueDistribution(std::string_view name) {
  std::lock_guard lock(mutex_);
  return FindOrCreate(distributions_, name);
}

std::string MetricsRegistry::Render(TimePoint now) const {
  std::lock_guard lock(mutex_);
  std::string out;
  for (const auto& [name, value] : counters_) {
    out += fmt::format("{} {}\n", name, value->load());
  }
  for (const auto& [name, value] : gauges_) {
    out += fmt::format("{} {}\n", name, value->load());
  }
  for (const auto& [name, distribution] : distributions_) {
    const auto summary = distribution->Summary(now);
    out += fmt::format("{} {}\n", AppendSuffix(name, "count"), summary.count);
    out += fmt::format("{} {:.3f}\n", AppendSuffix(name, "mean"), summary.mean);
    out += fmt::format("{} {:.3f}\n", AppendSuffix(name, "p50"), summary.p50);
    out += fmt::format("{} {:.3f}\n", AppendSuffix(name, "p99"), summary.p99);
    out += fmt::format("{} {:.3f}\n", AppendSuffix(name, "max"), summary.max);
  }
  return out;
}

}  // namespace cranberryshunt
