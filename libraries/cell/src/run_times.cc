#include "run_times.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::cell {

namespace {

// Weight of a new sample once a queue has many samples.
constexpr double kMinSampleWeight = 0.02;
// Expected run time of a task without a declared run time, in a queue without
// finished tasks.
constexpr std::int64_t kDefaultRunMs = 1'000;

}  // namespace

void RunTimes::Record(const std::string& queue,
                      std::int64_t declared_ms,
                      std::int64_t run_ms) {
  if (run_ms <= 0) {
    return;
  }
  auto& it = by_queue_[queue];
  ++it.samples;
  const double weight =
      std::max(kMinSampleWeight, 1.0 / static_cast<double>(it.samples));
  const auto run = static_cast<double>(run_ms);
  it.mean_ms += weight * (run - it.mean_ms);
  if (declared_ms > 0) {
    const double sample = std::log(run / static_cast<double>(declared_ms));
    it.log_factor += weight * (sample - it.log_factor);
  }
}

std::int64_t RunTimes::Expected(const std::string& queue,
                                std::int64_t declared_ms) const {
  const auto it = by_queue_.find(queue);
  if (it == by_queue_.end()) {
    return declared_ms > 0 ? declared_ms : kDefaultRunMs;
  }
  const double expected = declared_ms > 0 ? static_cast<double>(declared_ms) *
                                                std::exp(it->second.log_factor)
                                          : it->second.mean_ms;
  return std::max<std::int64_t>(1, std::llround(expected));
}

}  // namespace cranberryshunt::cell
