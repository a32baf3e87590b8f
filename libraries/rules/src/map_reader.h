// Reads YAML maps and reports every error with its line.
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

// Collects the errors of one file.
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

// One word of a closed set of values.
template <typename T>
struct Choice {
  std::string_view name;
  T value;
};

// Joins words as in "a, b, c".
std::string JoinNames(const std::vector<std::string_view>& words);

// A map whose keys were checked against the accepted ones. Each getter reports
// an error and returns nothing when the value has the wrong type or range, and
// returns nothing without an error when the key is absent.
class MapReader {
 public:
  // `map_type` names the map in messages, as in "placement rule".
  MapReader(const YAML::Node& node,
            std::string_view map_type,
            std::vector<std::string_view> accepted,
            ErrorSink& errors);

  // Whether the node is a map at all.
  bool is_map() const { return is_map_; }
  YAML::Mark mark() const { return node_.Mark(); }
  bool Has(std::string_view key) const;
  // The value of a key; an undefined node when it is absent.
  YAML::Node Get(std::string_view key) const;

  std::optional<std::string> Name(std::string_view key);
  std::optional<std::int64_t> Integer(std::string_view key,
                                      std::int64_t minimum,
                                      std::int64_t maximum);
  std::optional<double> Number(std::string_view key);
  template <typename T, std::size_t N>
  std::optional<T> OneOf(std::string_view key, const Choice<T> (&choices)[N]);

  void AddError(const YAML::Mark& mark, std::string message);

 private:
  // The scalar of a key, or nothing.
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
  std::vector<std::string_view> words;
  for (const auto& choice : choices) {
    if (choice.name == *text) {
      return choice.value;
    }
    words.push_back(choice.name);
  }
  AddValueError(key, "one of " + JoinNames(words));
  return std::nullopt;
}

}  // namespace cranberryshunt::rules

#endif  // CRANBERRYSHUNT_RULES_MAP_READER_H_
