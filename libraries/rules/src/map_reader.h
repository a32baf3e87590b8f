// Reads YAML maps and reports each error with its source location.
#ifndef CRANBERRYSHUNT_RULES_MAP_READER_H_
#define CRANBERRYSHUNT_RULES_MAP_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryshunt/rules/rules.h"

namespace cranberryshunt::rules {

// Appends the errors of one file to a list.
class ErrorSink {
 public:
  ErrorSink(std::string path, std::vector<RuleError>& errors)
      : path_(std::move(path)), errors_(errors) {}

  void Add(const YAML::Mark& mark, std::string message);
  SourceLocation LocationOf(const YAML::Mark& mark) const;

 private:
  std::string path_;
  std::vector<RuleError>& errors_;
};

// An accepted name in a rules file and the value that it stands for.
template <typename T>
struct Choice {
  std::string_view name;
  T value;
};

// Joins names with commas, as in "a, b, c".
std::string JoinNames(const std::vector<std::string_view>& names);

// Reads the values of a YAML map. The constructor reports keys that are unknown
// or given twice. A getter returns nullopt when the key is absent. When the
// value has the wrong type or is out of range, the getter reports an error and
// returns nullopt.
class MapReader {
 public:
  // `map_type` names the map in error messages, as in "placement rule".
  MapReader(const YAML::Node& node,
            std::string_view map_type,
            std::vector<std::string_view> accepted_keys,
            ErrorSink& errors);

  // False when the node has another type, which the constructor reports.
  bool is_map() const { return is_map_; }
  YAML::Mark mark() const { return node_.Mark(); }
  bool Has(std::string_view key) const;
  // Returns the value of `key`, or an undefined node when the key is absent.
  YAML::Node Get(std::string_view key) const;

  // Accepts non-empty text without spaces or control characters.
  std::optional<std::string> Name(std::string_view key);
  std::optional<std::int64_t> Integer(std::string_view key,
                                      std::int64_t minimum,
                                      std::int64_t maximum);
  std::optional<double> Number(std::string_view key);
  template <typename T, std::size_t N>
  std::optional<T> OneOf(std::string_view key, const Choice<T> (&choices)[N]);

  void AddError(const YAML::Mark& mark, std::string message);

 private:
  // Returns the text of a scalar. The error for a value that is not a scalar
  // names `type` as the expected type.
  std::optional<std::string> Scalar(std::string_view key,
                                    std::string_view type);
  void AddValueError(std::string_view key, std::string_view expected);

  YAML::Node node_;
  std::string map_type_;
  ErrorSink& errors_;
  bool is_map_ = false;
  std::map<std::string, YAML::Node, std::less<>> values_;
};

template <typename T, std::size_t N>
std::optional<T> MapReader::OneOf(std::string_view key,
                                  const Choice<T> (&choices)[N]) {
  const auto text = Scalar(key, "a word");
  if (!text) {
    return std::nullopt;
  }
  std::vector<std::string_view> names;
  for (const auto& choice : choices) {
    if (choice.name == *text) {
      return choice.value;
    }
    names.push_back(choice.name);
  }
  AddValueError(key, "one of " + JoinNames(names));
  return std::nullopt;
}

}  // namespace cranberryshunt::rules

#endif  // CRANBERRYSHUNT_RULES_MAP_READER_H_
