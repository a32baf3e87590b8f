// Placement rules, alert rules and quotas.
#ifndef CRANBERRYSHUNT_RULES_RULES_H_
#define CRANBERRYSHUNT_RULES_RULES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/policy/types.h"

namespace cranberryshunt::rules {

// A rules file. `path` is relative to the published folder and starts with the
// name of the folder when several folders are published.
struct SourceFile {
  std::string path;
  std::string content;

  bool operator==(const SourceFile&) const = default;
};

struct SourceLocation {
  std::string path;
  int line = 0;  // The first line is 1.

  bool operator==(const SourceLocation&) const = default;
};

// An error and its location. FormatError() returns it as
// "dir/a.rules.yaml:7: unknown key 'prefered_region' ... (accepted: ...)".
struct RuleError {
  SourceLocation source;
  std::string message;

  bool operator==(const RuleError&) const = default;
};

// Sets the placement constraint of the jobs that match `service`, `kind` and
// `team`; a selector that is not set matches every job. If several rules match
// a job, the first one in order of file and line applies.
struct PlacementRule {
  SourceLocation source;
  std::string service;
  std::optional<policy::Kind> kind;
  std::string team;
  policy::PlacementConstraint constraint;

  bool operator==(const PlacementRule&) const = default;
};

enum class AlertMetric {
  kWaitP50Ms,
  kWaitP99Ms,
  kQueued,
  kRunning,
  kShare,
  kRefused,
  kPreempted,
  kPacking,
  kLiveWorkers,
  kQuarantinedWorkers,
};

struct AlertRule {
  SourceLocation source;
  std::string name;
  AlertMetric metric = AlertMetric::kWaitP99Ms;
  std::optional<policy::Kind> kind;  // Set if the metric is measured per kind.
  std::optional<double> above;       // Exactly one of above and below is set.
  std::optional<double> below;
  // How long the condition must hold before the alert fires.
  int for_seconds = 0;

  bool operator==(const AlertRule&) const = default;
};

// The validated rules of all files.
struct RuleSet {
  std::vector<PlacementRule> placement;
  std::vector<AlertRule> alerts;
  std::vector<policy::Quota> quotas;

  bool operator==(const RuleSet&) const = default;
};

// Parses and validates rules files. Returns either the rules or all errors.
tl::expected<RuleSet, std::vector<RuleError>> Parse(
    const std::vector<SourceFile>& files);

// Returns the constraint of the first matching placement rule, or a default
// constraint when no rule matches.
policy::PlacementConstraint ResolveConstraint(const RuleSet& rules,
                                              std::string_view service,
                                              policy::Kind kind,
                                              std::string_view team);

// Reads all *.rules.yaml files below `directories` and sorts them by path.
// Fails with kIoError, kTooLarge, or kNotFound when there is no such file.
Result<std::vector<SourceFile>> ReadRuleFiles(
    const std::vector<std::string>& directories);

std::string FormatError(const RuleError& error);
std::string_view AlertMetricName(AlertMetric metric);

}  // namespace cranberryshunt::rules

#endif  // CRANBERRYSHUNT_RULES_RULES_H_
