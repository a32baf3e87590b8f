#include "cranberryshunt/rules/rules.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace cranberryshunt::rules {

namespace {

constexpr char kValidRules[] = R"(service: launch-check
placement:
  - {kind: interactive, prefer_region: gold-coast, spread: rack}
  - {kind: batch, team: noosa, require_zone: gc-1}
  - {service: tide, require_region: noosa-heads, spread: availability_zone}
alerts:
  - {name: slow, metric: wait_p99_ms, kind: interactive, above: 500.5, for_seconds: 5}
  - {name: few-workers, metric: live_workers, below: 40}
quotas:
  - {team: noosa, milli_cpus: 64000, memory_bytes: 137438953472, accelerators: 0}
)";

// Returns the formatted errors of one file.
std::vector<std::string> ErrorsOf(const std::string& content) {
  std::vector<std::string> out;
  const auto parsed = Parse({{"a.rules.yaml", content}});
  if (!parsed) {
    for (const auto& error : parsed.error()) {
      out.push_back(FormatError(error));
    }
  }
  return out;
}

bool HasError(const std::vector<std::string>& errors,
              int line,
              std::string_view part) {
  const std::string prefix = "a.rules.yaml:" + std::to_string(line) + ": ";
  return std::any_of(errors.begin(), errors.end(), [&](const std::string& it) {
    return it.starts_with(prefix) && it.find(part) != std::string::npos;
  });
}

}  // namespace

// Guards against values that are dropped or assigned to the wrong field.
Test(rules, parses_every_key) {
  const auto rules = Parse({{"x/a.rules.yaml", kValidRules}});
  cr_assert(rules.has_value());
  cr_assert_eq(rules->placement.size(), 3);
  const auto& first = rules->placement[0];
  cr_assert(first.source == (SourceLocation{"x/a.rules.yaml", 3}));
  cr_assert(first.service == "launch-check");
  cr_assert(first.kind == policy::Kind::kInteractive);
  cr_assert(first.constraint.prefer_region == "gold-coast");
  cr_assert(first.constraint.spread == policy::Spread::kRack);
  cr_assert(rules->placement[1].constraint.require_availability_zone == "gc-1");
  cr_assert(rules->placement[2].service == "tide");
  cr_assert(rules->placement[2].constraint.require_region == "noosa-heads");
  const auto& alert = rules->alerts.at(0);
  cr_assert(alert.metric == AlertMetric::kWaitP99Ms);
  cr_assert(alert.above == 500.5 && !alert.below && alert.for_seconds == 5);
  cr_assert(rules->alerts.at(1).below == 40.0 && !rules->alerts.at(1).kind);
  cr_assert(rules->quotas.at(0) ==
            (policy::Quota{"noosa", {64'000, 137'438'953'472, 0, 0}}));
}

// Guards against a parser that stops at the first error, or whose error
// messages lack the line or the accepted keys.
Test(rules, reports_all_errors_with_lines) {
  const auto errors = ErrorsOf(R"(service: launch-check
placement:
  - {kind: interactive, prefered_region: gold-coast}
  - {kind: batsh}
  - {kind: gang, kind: gang}
  - interactive
alerts:
  - {name: a, metric: wait_p99_ms, above: 5}
  - {name: a, metric: packing, kind: batch, above: 5, below: 2}
  - {metric: queue, above: high, for_seconds: -1}
quotas:
  - {team: noosa, milli_cpus: 12.5}
  - {team: noosa}
  - {memory_bytes: 99999999999999999999}
  - {team: [a]}
quota: []
)");
  cr_expect(HasError(errors, 3, "unknown key 'prefered_region'"));
  cr_expect(HasError(errors, 3, "prefer_region, require_region"));
  cr_expect(HasError(errors, 4, "service, batch, gang, interactive"));
  cr_expect(HasError(errors, 5, "given twice"));
  cr_expect(HasError(errors, 6, "must be a map"));
  cr_expect(HasError(errors, 8, "needs 'kind'"));
  cr_expect(HasError(errors, 9, "takes no 'kind'"));
  cr_expect(HasError(errors, 9, "exactly one of"));
  cr_expect(HasError(errors, 9, "already an alert 'a' at a.rules.yaml:8"));
  cr_expect(HasError(errors, 10, "needs 'name'"));
  cr_expect(HasError(errors, 10, "wait_p50_ms, wait_p99_ms"));
  cr_expect(HasError(errors, 10, "a finite number, not 'high'"));
  cr_expect(HasError(errors, 10, "an integer from 0 to 86400"));
  cr_expect(HasError(errors, 12, "an integer"));
  cr_expect(HasError(errors, 13, "already a quota 'noosa'"));
  cr_expect(HasError(errors, 14, "an integer"));
  cr_expect(HasError(errors, 14, "needs 'team'"));
  cr_expect(HasError(errors, 15, "a name"));
  cr_expect(HasError(errors, 16, "accepted: service, placement, alerts"));
}

// Guards against invalid input that crashes the parser or is accepted as an
// empty set of rules.
Test(rules, rejects_files_that_are_not_rules) {
  for (const char* content :
       {"", "- a", "service: [", "a: b: c", "placement: {}", "service: ~",
        "service: \"a b\"", "placement:\n  - ~", "\x01\x02", "? [a]\n: b"}) {
    cr_expect(!ErrorsOf(content).empty(), "accepted: %s", content);
  }
  cr_expect(!Parse({{"a", kValidRules}, {"a", "service: x"}}).has_value());
  // An error in one file does not suppress the errors of other files.
  const auto both = Parse({{"a", "service: ["}, {"b", "x: 1"}});
  cr_assert(!both && both.error().size() >= 2);
  cr_expect_str_eq(both.error().back().source.path.c_str(), "b");
}

// Guards against accepting a rule that never applies because an earlier rule
// matches all of its jobs.
Test(rules, rejects_hidden_rules) {
  cr_expect(HasError(ErrorsOf("placement:\n"
                              "  - {service: a, kind: batch}\n"
                              "  - {service: a, kind: batch, spread: rack}\n"),
                     3, "rule at a.rules.yaml:2"));
  cr_expect(HasError(ErrorsOf("placement:\n"
                              "  - {kind: batch}\n"
                              "  - {service: a, kind: batch, team: b}\n"),
                     3, "never applies"));
  cr_expect(ErrorsOf("placement:\n"
                     "  - {service: a, kind: batch, team: b}\n"
                     "  - {service: a, kind: batch}\n"
                     "  - {kind: batch}\n")
                .empty());
}

// Guards against a rule that applies to jobs that its selectors do not match.
Test(rules, first_matching_rule_wins) {
  const auto rules = Parse({{"a", R"(service: tide
placement:
  - {kind: batch, team: noosa, require_zone: first}
  - {kind: batch, require_zone: second}
)"},
                            {"b", "placement: [{require_zone: last}]"}});
  cr_assert(rules.has_value());
  const auto zone = [&](const char* service, policy::Kind kind,
                        const char* team) {
    return ResolveConstraint(*rules, service, kind, team)
        .require_availability_zone;
  };
  cr_expect(zone("tide", policy::Kind::kBatch, "noosa") == "first");
  cr_expect(zone("tide", policy::Kind::kBatch, "byron") == "second");
  cr_expect(zone("tide", policy::Kind::kGang, "noosa") == "last");
  cr_expect(zone("gust", policy::Kind::kBatch, "noosa") == "last");
  cr_expect(ResolveConstraint(RuleSet(), "a", policy::Kind::kBatch, "b") ==
            policy::PlacementConstraint());
}

// Guards against skipped files, and against a file order that depends on the
// order in which an operator lists several folders.
Test(rules, collects_recursively_in_order) {
  namespace fs = std::filesystem;
  const fs::path root =
      fs::temp_directory_path() / ("rules_test_" + std::to_string(::getpid()));
  const auto write = [&](const char* path) {
    fs::create_directories((root / path).parent_path());
    std::ofstream(root / path) << "service: " << path << "\n";
  };
  cr_expect(ReadRuleFiles({root}).error().code() == ResultCode::kIoError);
  fs::create_directories(root);
  cr_expect(ReadRuleFiles({root}).error().code() == ResultCode::kNotFound);
  write("one/b.rules.yaml");
  write("one/a/z.rules.yaml");
  write("one/ignored.yaml");
  write("two/b.rules.yaml");
  const auto single = ReadRuleFiles({root / "one"});
  cr_assert(single && single->size() == 2);
  cr_expect(single->at(0).path == "a/z.rules.yaml");
  cr_expect(single->at(1).content == "service: one/b.rules.yaml\n");
  const auto both = ReadRuleFiles({root / "two", root / "one"});
  cr_assert(both && both->size() == 3);
  cr_expect(both->at(2).path == "two/b.rules.yaml");
  fs::remove_all(root);
}

}  // namespace cranberryshunt::rules
