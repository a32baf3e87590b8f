#include "alert_evaluator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cranberryshunt::controller {

namespace {

// Returns the report of the rule's kind, or of all kinds if it names
// none. The values of several kinds are combined.
std::vector<policy::KindReport> KindsOf(const rules::AlertRule& rule,
                                        const policy::SchedulerReport& report) {
  if (rule.kind) {
    return {report.kinds[static_cast<std::size_t>(*rule.kind)]};
  }
  return {report.kinds.begin(), report.kinds.end()};
}

double SumOf(const std::vector<policy::KindReport>& kinds,
             double (*value)(const policy::KindReport&)) {
  double sum = 0;
  for (const auto& kind : kinds) {
    sum += value(kind);
  }
  return sum;
}

double MaximumOf(const std::vector<policy::KindReport>& kinds,
                 double policy::KindReport::*value) {
  double maximum = 0;
  for (const auto& kind : kinds) {
    maximum = std::max(maximum, kind.*value);
  }
  return maximum;
}

double ValueOf(const rules::AlertRule& rule,
               const policy::SchedulerReport& report,
               std::int64_t live_workers) {
  using policy::KindReport;
  using rules::AlertMetric;
  const auto kinds = KindsOf(rule, report);
  switch (rule.metric) {
    case AlertMetric::kWaitP50Ms:
      return MaximumOf(kinds, &KindReport::wait_p50_ms);
    case AlertMetric::kWaitP99Ms:
      return MaximumOf(kinds, &KindReport::wait_p99_ms);
    case AlertMetric::kQueued:
      return SumOf(kinds, [](const KindReport& kind) {
        return static_cast<double>(kind.queued);
      });
    case AlertMetric::kRunning:
      return SumOf(kinds, [](const KindReport& kind) {
        return static_cast<double>(kind.running);
      });
    case AlertMetric::kShare:
      return SumOf(kinds, [](const KindReport& kind) { return kind.share; });
    case AlertMetric::kRefused:
      return SumOf(kinds, [](const KindReport& kind) {
        return static_cast<double>(kind.refused);
      });
    case AlertMetric::kPreempted:
      return SumOf(kinds, [](const KindReport& kind) {
        return static_cast<double>(kind.preempted);
      });
    case AlertMetric::kPacking:
      return report.packing;
    case AlertMetric::kLiveWorkers:
      return static_cast<double>(live_workers);
    case AlertMetric::kQuarantinedWorkers:
      return static_cast<double>(std::count_if(
          report.workers.begin(), report.workers.end(),
          [](const policy::WorkerReport& it) { return it.quarantined; }));
  }
  return 0;
}

bool ConditionHolds(const rules::AlertRule& rule, double value) {
  return (rule.above && value > *rule.above) ||
         (rule.below && value < *rule.below);
}

}  // namespace

std::vector<AlertChange> AlertEvaluator::Evaluate(
    const std::vector<rules::AlertRule>& alerts,
    const policy::SchedulerReport& report,
    std::int64_t live_workers,
    TimePoint now,
    std::int64_t wall_ms) {
  std::vector<AlertChange> changes;
  std::set<std::string> holding;
  for (const auto& rule : alerts) {
    const double value = ValueOf(rule, report, live_workers);
    if (!ConditionHolds(rule, value)) {
      continue;
    }
    holding.insert(rule.name);
    auto [it, began] = conditions_.try_emplace(rule.name);
    Condition& condition = it->second;
    if (began) {
      condition.since = now;
    }
    condition.alert.name = rule.name;
    condition.alert.metric = rules::AlertMetricName(rule.metric);
    condition.alert.value = value;
    condition.alert.threshold = rule.above ? *rule.above : *rule.below;
    if (!condition.firing &&
        now - condition.since >= std::chrono::seconds(rule.for_seconds)) {
      condition.firing = true;
      condition.alert.firing_since_ms = wall_ms;
      changes.push_back({rule.name, true, value});
    }
  }
  std::erase_if(conditions_, [&](const auto& item) {
    if (holding.contains(item.first)) {
      return false;
    }
    if (item.second.firing) {
      changes.push_back({item.first, false, item.second.alert.value});
    }
    return true;
  });
  return changes;
}

std::vector<wire::Alert> AlertEvaluator::firing() const {
  std::vector<wire::Alert> alerts;
  for (const auto& [name, condition] : conditions_) {
    if (condition.firing) {
      alerts.push_back(condition.alert);
    }
  }
  return alerts;
}

}  // namespace cranberryshunt::controller
