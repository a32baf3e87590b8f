#include <fmt/format.h>

#include <array>
#include <limits>
#include <map>
#include <tuple>

#include "cranberryshunt/rules/rules.h"
#include "map_reader.h"
#include "metrics_table.h"

namespace cranberryshunt::rules {

namespace {

constexpr std::int64_t kMaxAmount = std::numeric_limits<std::int64_t>::max();
constexpr int kMaxForSeconds = 86'400;

constexpr Choice<policy::Kind> kKinds[] = {
    {"service", policy::Kind::kService},
    {"batch", policy::Kind::kBatch},
    {"gang", policy::Kind::kGang},
    {"interactive", policy::Kind::kInteractive},
};

constexpr Choice<policy::Spread> kSpreads[] = {
    {"none", policy::Spread::kNone},
    {"rack", policy::Spread::kRack},
    {"availability_zone", policy::Spread::kAvailabilityZone},
};

// The conditions for a placement rule to apply to a job. An empty condition
// matches every job.
struct Selector {
  std::string service;
  std::optional<policy::Kind> kind;
  std::string team;

  bool operator<(const Selector& other) const {
    return std::tie(service, kind, team) <
           std::tie(other.service, other.kind, other.team);
  }
};

// Returns all selectors that match at least the jobs that `selector` matches,
// including `selector` itself.
std::array<Selector, 8> EqualOrWiderSelectors(const Selector& selector) {
  std::array<Selector, 8> out;
  for (std::size_t mask = 0; mask < out.size(); ++mask) {
    out[mask].service = (mask & 1) != 0 ? std::string() : selector.service;
    out[mask].kind = (mask & 2) != 0 ? std::nullopt : selector.kind;
    out[mask].team = (mask & 4) != 0 ? std::string() : selector.team;
  }
  return out;
}

std::string FormatLocation(const SourceLocation& source) {
  return fmt::format("{}:{}", source.path, source.line);
}

// Parses all files into one set of rules.
class Parser {
 public:
  tl::expected<RuleSet, std::vector<RuleError>> Run(
      const std::vector<SourceFile>& files);

 private:
  void ParseFile(const SourceFile& file);
  void ParseDocument(const YAML::Node& root, ErrorSink& sink);
  template <typename ParseItem>
  void ParseList(const MapReader& root,
                 std::string_view key,
                 ErrorSink& sink,
                 ParseItem parse_item);
  void ParsePlacement(const YAML::Node& node, ErrorSink& sink);
  void ParseAlert(const YAML::Node& node, ErrorSink& sink);
  void ParseQuota(const YAML::Node& node, ErrorSink& sink);
  void CheckAlert(const AlertRule& alert, MapReader& reader);
  void CheckUnreachable(const PlacementRule& rule, MapReader& reader);
  // Adds `name` to `seen`, or reports an error when it is already there.
  static void CheckUnique(std::map<std::string, SourceLocation>& seen,
                          const std::string& name,
                          const SourceLocation& source,
                          std::string_view item_type,
                          MapReader& reader);

  RuleSet rules_;
  std::vector<RuleError> errors_;
  std::string service_;  // Default for the placement rules of a file.
  std::map<Selector, SourceLocation> selectors_;
  std::map<std::string, SourceLocation> alert_names_;
  std::map<std::string, SourceLocation> quota_teams_;
};

tl::expected<RuleSet, std::vector<RuleError>> Parser::Run(
    const std::vector<SourceFile>& files) {
  std::map<std::string, int> paths;
  for (const auto& file : files) {
    if (++paths[file.path] == 2) {
      errors_.push_back({{file.path, 1}, "the file is given twice"});
    }
    ParseFile(file);
  }
  if (!errors_.empty()) {
    return tl::unexpected(std::move(errors_));
  }
  return std::move(rules_);
}

void Parser::ParseFile(const SourceFile& file) {
  ErrorSink sink(file.path, errors_);
  service_.clear();
  try {
    ParseDocument(YAML::Load(file.content), sink);
  } catch (const YAML::Exception& error) {
    sink.Add(error.mark, "not valid YAML: " + error.msg);
  }
}

void Parser::ParseDocument(const YAML::Node& root, ErrorSink& sink) {
  MapReader reader(root, "rules file",
                   {"service", "placement", "alerts", "quotas"}, sink);
  if (!reader.is_map()) {
    return;
  }
  service_ = reader.Name("service").value_or("");
  ParseList(reader, "placement", sink,
            [&](const YAML::Node& node) { ParsePlacement(node, sink); });
  ParseList(reader, "alerts", sink,
            [&](const YAML::Node& node) { ParseAlert(node, sink); });
  ParseList(reader, "quotas", sink,
            [&](const YAML::Node& node) { ParseQuota(node, sink); });
}

template <typename ParseItem>
void Parser::ParseList(const MapReader& root,
                       std::string_view key,
                       ErrorSink& sink,
                       ParseItem parse_item) {
  if (!root.Has(key)) {
    return;
  }
  const YAML::Node list = root.Get(key);
  if (!list.IsSequence()) {
    sink.Add(list.Mark(), fmt::format("'{}' must be a list", key));
    return;
  }
  for (const auto& node : list) {
    parse_item(node);
  }
}

void Parser::ParsePlacement(const YAML::Node& node, ErrorSink& sink) {
  MapReader reader(node, "placement rule",
                   {"kind", "service", "team", "prefer_region",
                    "require_region", "require_zone", "spread"},
                   sink);
  if (!reader.is_map()) {
    return;
  }
  PlacementRule rule;
  rule.source = sink.LocationOf(node.Mark());
  rule.service = reader.Name("service").value_or(service_);
  rule.kind = reader.OneOf("kind", kKinds);
  rule.team = reader.Name("team").value_or("");
  rule.constraint.prefer_region = reader.Name("prefer_region").value_or("");
  rule.constraint.require_region = reader.Name("require_region").value_or("");
  rule.constraint.require_availability_zone =
      reader.Name("require_zone").value_or("");
  rule.constraint.spread =
      reader.OneOf("spread", kSpreads).value_or(policy::Spread::kNone);
  CheckUnreachable(rule, reader);
  rules_.placement.push_back(std::move(rule));
}

void Parser::CheckUnreachable(const PlacementRule& rule, MapReader& reader) {
  const Selector selector{rule.service, rule.kind, rule.team};
  for (const auto& wider : EqualOrWiderSelectors(selector)) {
    const auto it = selectors_.find(wider);
    if (it != selectors_.end()) {
      reader.AddError(
          reader.mark(),
          fmt::format("this placement rule never applies, because the "
                      "rule at {} matches all of its jobs first",
                      FormatLocation(it->second)));
      return;
    }
  }
  selectors_.emplace(selector, rule.source);
}

void Parser::ParseAlert(const YAML::Node& node, ErrorSink& sink) {
  MapReader reader(node, "alert",
                   {"name", "metric", "kind", "above", "below", "for_seconds"},
                   sink);
  if (!reader.is_map()) {
    return;
  }
  AlertRule alert;
  alert.source = sink.LocationOf(node.Mark());
  alert.name = reader.Name("name").value_or("");
  const auto metric = reader.OneOf("metric", kAlertMetrics);
  alert.kind = reader.OneOf("kind", kKinds);
  alert.above = reader.Number("above");
  alert.below = reader.Number("below");
  alert.for_seconds = static_cast<int>(
      reader.Integer("for_seconds", 0, kMaxForSeconds).value_or(0));
  if (metric) {
    alert.metric = *metric;
  }
  CheckAlert(alert, reader);
  CheckUnique(alert_names_, alert.name, alert.source, "alert", reader);
  rules_.alerts.push_back(std::move(alert));
}

void Parser::CheckAlert(const AlertRule& alert, MapReader& reader) {
  for (const std::string_view key : {"name", "metric"}) {
    if (!reader.Has(key)) {
      reader.AddError(reader.mark(), fmt::format("an alert needs '{}'", key));
    }
  }
  if (reader.Has("above") == reader.Has("below")) {
    reader.AddError(reader.mark(),
                    "an alert needs exactly one of 'above' and 'below'");
  }
  const auto name = AlertMetricName(alert.metric);
  const bool known_metric = reader.Has("metric") &&
                            reader.Get("metric").IsScalar() &&
                            reader.Get("metric").Scalar() == name;
  if (!known_metric) {
    return;
  }
  if (MetricNeedsKind(alert.metric) && !reader.Has("kind")) {
    reader.AddError(reader.mark(),
                    fmt::format("metric '{}' needs 'kind'", name));
  }
  if (!MetricNeedsKind(alert.metric) && reader.Has("kind")) {
    reader.AddError(reader.mark(),
                    fmt::format("metric '{}' is of the whole cell and takes no "
                                "'kind'",
                                name));
  }
}

void Parser::ParseQuota(const YAML::Node& node, ErrorSink& sink) {
  MapReader reader(
      node, "quota",
      {"team", "milli_cpus", "memory_bytes", "accelerators", "slots"}, sink);
  if (!reader.is_map()) {
    return;
  }
  const auto amount = [&](std::string_view key) {
    return reader.Integer(key, 0, kMaxAmount).value_or(0);
  };
  policy::Quota quota;
  quota.team = reader.Name("team").value_or("");
  quota.limit = {amount("milli_cpus"), amount("memory_bytes"),
                 amount("accelerators"), amount("slots")};
  if (!reader.Has("team")) {
    reader.AddError(reader.mark(), "a quota needs 'team'");
  }
  CheckUnique(quota_teams_, quota.team, sink.LocationOf(node.Mark()), "quota",
              reader);
  rules_.quotas.push_back(std::move(quota));
}

void Parser::CheckUnique(std::map<std::string, SourceLocation>& seen,
                         const std::string& name,
                         const SourceLocation& source,
                         std::string_view item_type,
                         MapReader& reader) {
  if (name.empty()) {
    return;
  }
  const auto [it, is_new] = seen.emplace(name, source);
  if (!is_new) {
    reader.AddError(reader.mark(),
                    fmt::format("there is already {} {} '{}' at {}",
                                item_type == "alert" ? "an" : "a", item_type,
                                name, FormatLocation(it->second)));
  }
}

}  // namespace

tl::expected<RuleSet, std::vector<RuleError>> Parse(
    const std::vector<SourceFile>& files) {
  return Parser().Run(files);
}

}  // namespace cranberryshunt::rules
