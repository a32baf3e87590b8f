#include "output.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <vector>

namespace cranberryshunt::client {

namespace {

// Longer values are cut, because they would wrap the lines of a table.
constexpr std::size_t kMaxCellBytes = 48;

using Row = std::map<std::string, std::string>;

// Replaces control characters, which must not reach the terminal, by spaces.
std::string ReplaceControlCharacters(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
  return text;
}

std::string FormatScalar(const json_t* value) {
  switch (json_typeof(value)) {
    case JSON_STRING:
      return json_string_length(value) == 0
                 ? "-"
                 : ReplaceControlCharacters(json_string_value(value));
    case JSON_INTEGER:
      return fmt::format("{}", json_integer_value(value));
    case JSON_REAL:
      return fmt::format("{:.3f}", json_real_value(value));
    case JSON_TRUE:
      return "yes";
    case JSON_FALSE:
      return "no";
    default:
      return "-";
  }
}

std::string JoinScalars(const json_t* list) {
  std::string out;
  std::size_t index = 0;
  const json_t* item = nullptr;
  json_array_foreach(list, index, item) {
    out += (out.empty() ? "" : ", ") + FormatScalar(item);
  }
  return out.empty() ? "-" : out;
}

bool IsTable(const json_t* value) {
  return json_is_array(value) && json_is_object(json_array_get(value, 0));
}

// Adds the fields of `object` to `row`. The names of nested fields are joined
// with dots. Names that are new are appended to `columns` in order of
// appearance.
void FlattenInto(json_t* object,
                 const std::string& prefix,
                 Row& row,
                 std::vector<std::string>& columns) {
  const char* key = nullptr;
  json_t* value = nullptr;
  json_object_foreach(object, key, value) {
    const std::string name = prefix + key;
    if (json_is_object(value)) {
      FlattenInto(value, name + ".", row, columns);
      continue;
    }
    std::string cell =
        json_is_array(value) ? JoinScalars(value) : FormatScalar(value);
    if (cell.size() > kMaxCellBytes) {
      cell = cell.substr(0, kMaxCellBytes - 3) + "...";
    }
    row[name] = cell.empty() ? "-" : cell;
    if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
      columns.push_back(name);
    }
  }
}

std::string RenderTable(const json_t* list) {
  std::vector<std::string> columns;
  std::vector<Row> rows(1);
  std::size_t index = 0;
  json_t* item = nullptr;
  json_array_foreach(list, index, item) {
    FlattenInto(item, "", rows.emplace_back(), columns);
  }
  for (const auto& column : columns) {
    rows.front()[column] = column;
  }
  std::string out;
  for (auto& row : rows) {
    std::string line = " ";
    for (const auto& column : columns) {
      std::size_t width = 0;
      for (const auto& other : rows) {
        const auto it = other.find(column);
        width = std::max(width, it == other.end() ? 1 : it->second.size());
      }
      const auto it = row.find(column);
      line += fmt::format(" {:<{}}", it == row.end() ? "-" : it->second, width);
    }
    out += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return out;
}

}  // namespace

std::string RenderAsText(const json_t* value) {
  if (IsTable(value)) {
    return RenderTable(value);
  }
  if (!json_is_object(value)) {
    return (json_is_array(value) ? JoinScalars(value) : FormatScalar(value)) +
           "\n";
  }
  std::string out;
  const char* key = nullptr;
  json_t* item = nullptr;
  json_object_foreach(const_cast<json_t*>(value), key, item) {
    if (IsTable(item)) {
      out += fmt::format("{}:\n{}", key, RenderTable(item));
    } else if (json_is_object(item)) {
      Row row;
      std::vector<std::string> columns;
      FlattenInto(item, std::string(key) + ".", row, columns);
      for (const auto& column : columns) {
        out += fmt::format("{}: {}\n", column, row[column]);
      }
    } else {
      out += fmt::format(
          "{}: {}\n", key,
          json_is_array(item) ? JoinScalars(item) : FormatScalar(item));
    }
  }
  return out;
}

void Print(const json_t* value, bool as_json) {
  if (!as_json) {
    fmt::print("{}", RenderAsText(value));
    return;
  }
  char* text = json_dumps(value, JSON_COMPACT);
  fmt::print("{}\n", text == nullptr ? "null" : text);
  std::free(text);
}

}  // namespace cranberryshunt::client
