// Reading of JSON objects of which single values are not valid.
#include <utility>
#include <vector>

#include "cranberryshunt/targets/json_reader.h"

namespace cranberryshunt::targets {

namespace {

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

// Finds the ends of values by their brackets and strings, without checking what
// is between these. Does not recurse, so nesting needs no stack.
class JsonScanner {
 public:
  explicit JsonScanner(std::string_view text) : text_(text) {}

  // Skips white space, then `c` if it follows. Returns whether it did.
  bool Skip(char c) {
    SkipSpace();
    if (at_ == text_.size() || text_[at_] != c) {
      return false;
    }
    ++at_;
    return true;
  }

  bool AtEnd() {
    SkipSpace();
    return at_ == text_.size();
  }

  // Returns the text up to the next ',', ':' or closing bracket outside of
  // strings and brackets. Empty if there is none, or if brackets do not match.
  std::string_view NextValue() {
    SkipSpace();
    const auto begin = at_;
    // Closing brackets of the open lists and objects.
    std::string open;
    for (; at_ < text_.size(); ++at_) {
      const char c = text_[at_];
      if (c == '"') {
        if (!SkipString()) {
          return {};
        }
      } else if (c == '[') {
        open.push_back(']');
      } else if (c == '{') {
        open.push_back('}');
      } else if (open.empty()) {
        if (c == ',' || c == ':' || c == ']' || c == '}') {
          return text_.substr(begin, at_ - begin);
        }
      } else if (c == ']' || c == '}') {
        if (c != open.back()) {
          return {};
        }
        open.pop_back();
      }
    }
    return {};
  }

 private:
  void SkipSpace() {
    while (at_ < text_.size() && IsSpace(text_[at_])) {
      ++at_;
    }
  }

  // Moves from the opening to the closing quotation mark. Returns false if
  // there is none.
  bool SkipString() {
    for (++at_; at_ < text_.size(); ++at_) {
      if (text_[at_] == '\\') {
        ++at_;
      } else if (text_[at_] == '"') {
        return true;
      }
    }
    return false;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

// Returns null if `text` is not one valid JSON value.
JsonPtr ParseValue(std::string_view text) {
  return JsonPtr(json_loadb(
      text.data(), text.size(),
      JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL | JSON_DECODE_ANY, nullptr));
}

// Returns null if the end of the list or of an item cannot be found.
JsonPtr ParseItems(std::string_view text) {
  JsonScanner scanner(text);
  JsonPtr list(json_array());
  if (!scanner.Skip('[')) {
    return nullptr;
  }
  if (!scanner.Skip(']')) {
    do {
      const auto item = scanner.NextValue();
      if (item.empty()) {
        return nullptr;
      }
      auto value = ParseValue(item);
      json_array_append_new(list.get(), value ? value.release() : json_null());
    } while (scanner.Skip(','));
    if (!scanner.Skip(']')) {
      return nullptr;
    }
  }
  return scanner.AtEnd() ? std::move(list) : nullptr;
}

// Returns null if the end of the object or of a member cannot be found, or if a
// name occurs twice.
JsonPtr ParseMembers(std::string_view text) {
  JsonScanner scanner(text);
  JsonPtr object(json_object());
  if (!scanner.Skip('{')) {
    return nullptr;
  }
  do {
    const auto name_value = ParseValue(scanner.NextValue());
    if (!json_is_string(name_value.get()) || !scanner.Skip(':')) {
      return nullptr;
    }
    const std::string name(json_string_value(name_value.get()),
                           json_string_length(name_value.get()));
    const auto member = scanner.NextValue();
    if (member.empty() || name.find('\0') != std::string::npos ||
        json_object_get(object.get(), name.c_str()) != nullptr) {
      return nullptr;
    }
    auto value = ParseValue(member);
    if (!value && member.front() == '[') {
      value = ParseItems(member);
    }
    json_object_set_new(object.get(), name.c_str(),
                        value ? value.release() : json_null());
  } while (scanner.Skip(','));
  return scanner.Skip('}') && scanner.AtEnd() ? std::move(object) : nullptr;
}

}  // namespace

Result<JsonPtr> ParseReadableParts(std::string_view text) {
  auto object = ParseObject(text);
  if (!object) {
    if (auto parts = ParseMembers(text)) {
      return parts;
    }
  }
  return object;
}

}  // namespace cranberryshunt::targets
