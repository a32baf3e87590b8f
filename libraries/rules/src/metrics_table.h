// Names of the alert metrics in rules files.
#ifndef CRANBERRYSHUNT_RULES_METRICS_TABLE_H_
#define CRANBERRYSHUNT_RULES_METRICS_TABLE_H_

#include "map_reader.h"

namespace cranberryshunt::rules {

inline constexpr Choice<AlertMetric> kAlertMetrics[] = {
    {"wait_p50_ms", AlertMetric::kWaitP50Ms},
    {"wait_p99_ms", AlertMetric::kWaitP99Ms},
    {"queued", AlertMetric::kQueued},
    {"running", AlertMetric::kRunning},
    {"share", AlertMetric::kShare},
    {"refused", AlertMetric::kRefused},
    {"preempted", AlertMetric::kPreempted},
    {"packing", AlertMetric::kPacking},
    {"live_workers", AlertMetric::kLiveWorkers},
    {"quarantined_workers", AlertMetric::kQuarantinedWorkers},
};

// Whether the metric is measured per job kind. These metrics precede kPacking
// in the enum.
constexpr bool MetricNeedsKind(AlertMetric metric) {
  return metric < AlertMetric::kPacking;
}

}  // namespace cranberryshunt::rules

#endif  // CRANBERRYSHUNT_RULES_METRICS_TABLE_H_
