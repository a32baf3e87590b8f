#include "run_times.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::cell {

namespace {

// Weight of a new sample in the mean once a queue has many samples.
constexpr double kMinSampleWeight = 0.02;
// What remains of the weight of a sample after each later one: the latest 500
// or so count.
constexpr double kDecay = 0.998;
// Until samples show otherwise, real run times are taken to be proportional to
// the declared ones. Corresponds to a few samples with declared run times that
// differ by a third.
constexpr double kPriorVariation = 0.5;
constexpr std::int64_t kMinDeviationSamples = 10;
// Larger deviations come from tasks of several kinds in one queue.
constexpr double kMaxDeviation = 0.7;
// Expected run time of a task without a declared run time, in a queue without
// finished tasks.
constexpr std::int64_t kDefaultRunMs = 1'000;

}  // namespace

double RunTimes::QueueEstimate::Slope() const {
  return std::clamp(
      (covariation + kPriorVariation) / (declared_variation + kPriorVariation),
      0.0, 1.0);
}

double RunTimes::QueueEstimate::Deviation() const {
  if (declared_samples < kMinDeviationSamples) {
    return 0;
  }
  const double slope = Slope();
  const double squares = run_variation - 2 * slope * covariation +
                         slope * slope * declared_variation;
  return std::min(std::sqrt(std::max(0.0, squares / weight)), kMaxDeviation);
}

void RunTimes::Record(const std::string& queue,
                      std::int64_t declared_ms,
                      std::int64_t run_ms) {
  if (run_ms <= 0) {
    return;
  }
  auto& it = by_queue_[queue];
  ++it.samples;
  const auto run = static_cast<double>(run_ms);
  it.mean_ms +=
      std::max(kMinSampleWeight, 1.0 / static_cast<double>(it.samples)) *
      (run - it.mean_ms);
  if (declared_ms <= 0) {
    return;
  }
  ++it.declared_samples;
  const double x = std::log(static_cast<double>(declared_ms));
  const double y = std::log(run);
  it.weight = it.weight * kDecay + 1;
  it.declared_variation *= kDecay;
  it.run_variation *= kDecay;
  it.covariation *= kDecay;
  const double from_mean_declared = x - it.mean_declared;
  const double from_mean_run = y - it.mean_run;
  it.mean_declared += from_mean_declared / it.weight;
  it.mean_run += from_mean_run / it.weight;
  it.run_variation += from_mean_run * (y - it.mean_run);
  it.declared_variation += from_mean_declared * (x - it.mean_declared);
  it.covariation += from_mean_declared * (y - it.mean_run);
}

std::int64_t RunTimes::Expected(const std::string& queue,
                                std::int64_t declared_ms) const {
  const auto it = by_queue_.find(queue);
  if (it == by_queue_.end()) {
    return declared_ms > 0 ? declared_ms : kDefaultRunMs;
  }
  const auto& known = it->second;
  if (declared_ms <= 0) {
    return std::max<std::int64_t>(1, std::llround(known.mean_ms));
  }
  if (known.declared_samples == 0) {
    return declared_ms;
  }
  const double distance =
      std::log(static_cast<double>(declared_ms)) - known.mean_declared;
  return std::max<std::int64_t>(
      1, std::llround(std::exp(known.mean_run + known.Slope() * distance)));
}

std::int64_t RunTimes::Short(const std::string& queue,
                             std::int64_t declared_ms) const {
  const auto expected = Expected(queue, declared_ms);
  const auto it = by_queue_.find(queue);
  if (it == by_queue_.end()) {
    return expected;
  }
  return std::max<std::int64_t>(
      1, std::llround(static_cast<double>(expected) *
                      std::exp(-it->second.Deviation())));
}

}  // namespace cranberryshunt::cell
