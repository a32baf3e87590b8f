#include "cranberryshunt/rules/rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

#include "metrics_table.h"

namespace cranberryshunt::rules {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view kSuffix = ".rules.yaml";
// Stops a wrong folder from being published by accident, because each published
// revision is sent to every entry.
constexpr std::uintmax_t kMaxFileBytes = 262'144;

bool Matches(const PlacementRule& rule,
             std::string_view service,
             policy::Kind kind,
             std::string_view team) {
  return (rule.service.empty() || rule.service == service) &&
         (!rule.kind || *rule.kind == kind) &&
         (rule.team.empty() || rule.team == team);
}

Result<std::string> ReadFile(const fs::path& path) {
  std::error_code ec;
  const auto size = fs::file_size(path, ec);
  if (ec) {
    return Fail(ResultCode::kIoError, path.string() + ": " + ec.message());
  }
  if (size > kMaxFileBytes) {
    return Fail(
        ResultCode::kTooLarge,
        fmt::format("{}: larger than {} bytes", path.string(), kMaxFileBytes));
  }
  std::ifstream in(path, std::ios::binary);
  std::string content{std::istreambuf_iterator<char>(in), {}};
  if (!in.good() && !in.eof()) {
    return Fail(ResultCode::kIoError, path.string() + ": cannot be read");
  }
  return content;
}

// Returns the path of `file` relative to `directory`. With several directories,
// the path starts with the name of the directory, so that files with equal
// names stay distinct.
std::string PublishedPath(const fs::path& directory,
                          const fs::path& file,
                          bool multiple_directories) {
  const fs::path relative = fs::relative(file, directory);
  if (!multiple_directories) {
    return relative.generic_string();
  }
  const fs::path name = fs::canonical(directory).filename();
  return (name / relative).generic_string();
}

Result<void> CollectDirectory(const std::string& directory,
                              bool multiple_directories,
                              std::vector<SourceFile>& out) {
  try {
    for (const auto& item : fs::recursive_directory_iterator(directory)) {
      if (!item.is_regular_file() ||
          !item.path().filename().string().ends_with(kSuffix)) {
        continue;
      }
      auto content = ReadFile(item.path());
      if (!content) {
        return tl::unexpected(content.error());
      }
      out.push_back(
          {PublishedPath(directory, item.path(), multiple_directories),
           std::move(*content)});
    }
  } catch (const fs::filesystem_error& error) {
    return Fail(ResultCode::kIoError,
                directory + ": " + error.code().message());
  }
  return {};
}

}  // namespace

policy::PlacementConstraint ResolveConstraint(const RuleSet& rules,
                                              std::string_view service,
                                              policy::Kind kind,
                                              std::string_view team) {
  for (const auto& rule : rules.placement) {
    if (Matches(rule, service, kind, team)) {
      return rule.constraint;
    }
  }
  return {};
}

Result<std::vector<SourceFile>> ReadRuleFiles(
    const std::vector<std::string>& directories) {
  std::vector<SourceFile> files;
  for (const auto& directory : directories) {
    auto collected = CollectDirectory(directory, directories.size() > 1, files);
    if (!collected) {
      return tl::unexpected(collected.error());
    }
  }
  if (files.empty()) {
    return Fail(ResultCode::kNotFound,
                fmt::format("no *{} file in the given folders", kSuffix));
  }
  std::sort(files.begin(), files.end(),
            [](const SourceFile& left, const SourceFile& right) {
              return left.path < right.path;
            });
  return files;
}

std::string FormatError(const RuleError& error) {
  return fmt::format("{}:{}: {}", error.source.path, error.source.line,
                     error.message);
}

std::string_view AlertMetricName(AlertMetric metric) {
  for (const auto& choice : kAlertMetrics) {
    if (choice.value == metric) {
      return choice.name;
    }
  }
  return "undefined";
}

}  // namespace cranberryshunt::rules
