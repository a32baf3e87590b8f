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

// A file as it was collected; `path` is relative to the published folder.
struct SourceFile {
  std::string path;
  std::string content;

  bool operator==(const SourceFile&) const = default;
};

struct SourceLocation {
  std::string path;
  int line = 0;  // From 1.

  bool operator==(const SourceLocation&) const = default;
};

// An error with its place, as in "dir/a.rules.yaml:7: unknown key
// 'prefered_region' (accepted: ...)".
struct RuleError {
  SourceLocation source;
  std::string message;

  bool operator==(const RuleError&) const = default;
};

// Applies to jobs that match every selector that is set; the first matching
// rule in order of file and line wins.
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
  std::optional<policy::Kind> kind;  // Required by metrics of one kind of work.
  std::optional<double> above;       // Exactly one of above and below is set.
  std::optional<double> below;
  int for_seconds =
      0;  // How long the condition must hold before the alert fires.

  bool operator==(const AlertRule&) const = default;
};

// A checked set of rules.
struct RuleSet {
  std::vector<PlacementRule> placement;
  std::vector<AlertRule> alerts;
  std::vector<policy::Quota> quotas;

  bool operator==(const RuleSet&) const = default;
};

// Parses and checks files; returns every error found.
tl::expected<RuleSet, std::vector<RuleError>> Parse(
    const std::vector<SourceFile>& files);

// Returns the constraint of the first rule that matches; a default one when
// none does.
policy::PlacementConstraint ResolveConstraint(const RuleSet& rules,
                                              std::string_view service,
                                              policy::Kind kind,
                                              std::string_view team);

// Collects *.rules.yaml below `directories`, in order of path. Fails with
// kIoError or, without any file, kNotFound.
Result<std::vector<SourceFile>> ReadRuleFiles(
    const std::vector<std::string>& directories);

std::string FormatError(const RuleError& error);
std::string_view AlertMetricName(AlertMetric metric);

}  // namespace cranberryshunt::rules

#endif  // CRANBERRYSHUNT_RULES_RULES_H_
