// Identifiers of step-graph jobs and of their steps and tasks.
#ifndef CRANBERRYSHUNT_GRAPH_TASK_KEY_H_
#define CRANBERRYSHUNT_GRAPH_TASK_KEY_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "wire_types.h"

namespace cranberryshunt::graph {

// The text form of a job's id has 16 lower-case hexadecimal digits.
using JobId = std::uint64_t;

std::optional<JobId> ParseJobId(std::string_view text);
std::string FormatJobId(JobId id);

// One occurrence of a step.
struct StepKey {
  JobId job = 0;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;

  // The linter mistakes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StepKey&) const = default;
};

struct TaskKey {
  JobId job = 0;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::int32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskKey&) const = default;
  StepKey step_key() const { return {job, occurrence, step}; }
};

TaskKey FromWire(const wire::GraphTaskKey& key);
wire::GraphTaskKey ToWire(const TaskKey& key);

// The text forms are "ID.OCCURRENCE.STEP" and "ID.OCCURRENCE.STEP.INDEX".
std::string FormatStep(const StepKey& key);
std::string FormatTask(const TaskKey& key);
std::optional<TaskKey> ParseTask(std::string_view text);

}  // namespace cranberryshunt::graph

template <>
struct std::hash<cranberryshunt::graph::TaskKey> {
  std::size_t operator()(const cranberryshunt::graph::TaskKey& key) const {
    std::uint64_t n = key.job;
    for (const auto part : {key.occurrence, key.step, key.index}) {
      // Multiplier of the FNV hash.
      n = (n ^ static_cast<std::uint32_t>(part)) * 1099511628211U;
    }
    return n;
  }
};

#endif  // CRANBERRYSHUNT_GRAPH_TASK_KEY_H_
