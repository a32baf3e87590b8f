#include "cranberryshunt/graph/task_key.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace cranberryshunt::graph {

namespace {

constexpr std::size_t kIdDigits = 16;
constexpr int kHexadecimal = 16;

bool IsLowerHex(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

}  // namespace

std::optional<JobId> ParseJobId(std::string_view text) {
  if (text.size() != kIdDigits) {
    return std::nullopt;
  }
  for (const char c : text) {
    if (!IsLowerHex(c)) {
      return std::nullopt;
    }
  }
  JobId id = 0;
  std::from_chars(text.data(), text.data() + text.size(), id, kHexadecimal);
  return id;
}

std::string FormatJobId(JobId id) {
  std::array<char, kIdDigits + 1> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(id));
  return buf.data();
}

TaskKey FromWire(const wire::GraphTaskKey& key) {
  return {static_cast<JobId>(key.job), key.occurrence, key.step, key.index};
}

wire::GraphTaskKey ToWire(const TaskKey& key) {
  wire::GraphTaskKey out;
  out.job = static_cast<std::int64_t>(key.job);
  out.occurrence = key.occurrence;
  out.step = key.step;
  out.index = key.index;
  return out;
}

std::string FormatStep(const StepKey& key) {
  return FormatJobId(key.job) + "." + std::to_string(key.occurrence) + "." +
         std::to_string(key.step);
}

std::string FormatTask(const TaskKey& key) {
  return FormatStep(key.step_key()) + "." + std::to_string(key.index);
}

std::optional<TaskKey> ParseTask(std::string_view text) {
  if (text.size() < kIdDigits + 1 || text[kIdDigits] != '.') {
    return std::nullopt;
  }
  const auto job = ParseJobId(text.substr(0, kIdDigits));
  if (!job) {
    return std::nullopt;
  }
  TaskKey key{*job, 0, 0, 0};
  const char* at = text.data() + kIdDigits;
  const char* const end = text.data() + text.size();
  for (auto* part : {&key.occurrence, &key.step, &key.index}) {
    if (at == end || *at != '.') {
      return std::nullopt;
    }
    const auto [next, ec] = std::from_chars(at + 1, end, *part);
    if (ec != std::errc() || *part < 0) {
      return std::nullopt;
    }
    at = next;
  }
  if (at != end) {
    return std::nullopt;
  }
  return key;
}

}  // namespace cranberryshunt::graph
