#include "map_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cranberryshunt::rules {

namespace {

// Limits names because they are copied into every placement decision.
constexpr std::size_t kMaxNameBytes = 128;

bool IsNameCharacter(char c) {
  return static_cast<unsigned char>(c) > 0x20 && c != 0x7f;
}

template <typename T>
std::optional<T> ParseNumber(const std::string& text) {
  T value{};
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

void ErrorSink::Add(const YAML::Mark& mark, std::string message) {
  errors_.push_back({LocationOf(mark), std::move(message)});
}

SourceLocation ErrorSink::LocationOf(const YAML::Mark& mark) const {
  // yaml-cpp counts lines from 0 and uses -1 for an unknown position.
  return {path_, std::max(mark.line, 0) + 1};
}

std::string JoinNames(const std::vector<std::string_view>& names) {
  return fmt::format("{}", fmt::join(names, ", "));
}

MapReader::MapReader(const YAML::Node& node,
                     std::string_view map_type,
                     std::vector<std::string_view> accepted_keys,
                     ErrorSink& errors)
    : node_(node), map_type_(map_type), errors_(errors), is_map_(node.IsMap()) {
  const std::string keys = JoinNames(accepted_keys);
  if (!is_map_) {
    AddError(node.Mark(), fmt::format("a {} must be a map (accepted keys: {})",
                                      map_type_, keys));
    return;
  }
  for (const auto& item : node) {
    const std::string key =
        item.first.IsScalar() ? item.first.Scalar() : std::string();
    if (std::find(accepted_keys.begin(), accepted_keys.end(), key) ==
        accepted_keys.end()) {
      AddError(item.first.Mark(),
               fmt::format("unknown key '{}' in a {} (accepted: {})", key,
                           map_type_, keys));
    } else if (!values_.emplace(key, item.second).second) {
      AddError(item.first.Mark(),
               fmt::format("key '{}' is given twice in a {}", key, map_type_));
    }
  }
}

bool MapReader::Has(std::string_view key) const {
  return values_.contains(key);
}

YAML::Node MapReader::Get(std::string_view key) const {
  const auto it = values_.find(key);
  return it == values_.end() ? YAML::Node(YAML::NodeType::Undefined)
                             : it->second;
}

std::optional<std::string> MapReader::Scalar(std::string_view key,
                                             std::string_view type) {
  const auto it = values_.find(key);
  if (it == values_.end()) {
    return std::nullopt;
  }
  if (!it->second.IsScalar()) {
    AddValueError(key, type);
    return std::nullopt;
  }
  return it->second.Scalar();
}

std::optional<std::string> MapReader::Name(std::string_view key) {
  const std::string expected =
      fmt::format("a name of 1 to {} bytes without spaces", kMaxNameBytes);
  auto text = Scalar(key, expected);
  if (text && (text->empty() || text->size() > kMaxNameBytes ||
               !std::all_of(text->begin(), text->end(), IsNameCharacter))) {
    AddValueError(key, expected);
    return std::nullopt;
  }
  return text;
}

std::optional<std::int64_t> MapReader::Integer(std::string_view key,
                                               std::int64_t minimum,
                                               std::int64_t maximum) {
  const std::string expected =
      fmt::format("an integer from {} to {}", minimum, maximum);
  const auto text = Scalar(key, expected);
  if (!text) {
    return std::nullopt;
  }
  const auto value = ParseNumber<std::int64_t>(*text);
  if (!value || *value < minimum || *value > maximum) {
    AddValueError(key, expected);
    return std::nullopt;
  }
  return value;
}

std::optional<double> MapReader::Number(std::string_view key) {
  const auto text = Scalar(key, "a finite number");
  if (!text) {
    return std::nullopt;
  }
  const auto value = ParseNumber<double>(*text);
  if (!value || !std::isfinite(*value)) {
    AddValueError(key, "a finite number");
    return std::nullopt;
  }
  return value;
}

void MapReader::AddError(const YAML::Mark& mark, std::string message) {
  errors_.Add(mark, std::move(message));
}

void MapReader::AddValueError(std::string_view key, std::string_view expected) {
  const auto& value = values_.find(key)->second;
  const std::string found =
      value.IsScalar() ? "'" + value.Scalar().substr(0, kMaxNameBytes) + "'"
                       : "a list, a map or nothing";
  AddError(value.Mark(), fmt::format("'{}' in a {} must be {}, not {}", key,
                                     map_type_, expected, found));
}

}  // namespace cranberryshunt::rules
