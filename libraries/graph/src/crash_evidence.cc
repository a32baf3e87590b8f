#include "crash_evidence.h"

#include <algorithm>
#include <cstdlib>

namespace cranberryshunt::graph {

namespace {

// Many workers crash if more than one, and more than one in so many, has
// crashed recently.
constexpr std::size_t kCalmWorkersPerCrash = 8;
constexpr std::size_t kCalmWorkersPerExternalCrash = 24;

bool IsMany(std::size_t crashes, std::size_t workers, std::size_t per_crash) {
  return crashes > std::max<std::size_t>(1, workers / per_crash);
}

}  // namespace

CrashVerdict Judge(const CrashFacts& facts) {
  if (!facts.recently_started) {
    return CrashVerdict::kLongAfterStart;
  }
  if (!facts.alone) {
    return CrashVerdict::kOtherTasks;
  }
  return facts.unrest == Unrest::kExternalCrashes ? CrashVerdict::kOtherCrashes
                                                  : CrashVerdict::kAlone;
}

bool IsProven(const TaskState& task) {
  return task.crashes >= kMaxCrashes && task.alone_crashes >= kMinAloneCrashes;
}

Unrest Classify(std::size_t crashes,
                std::size_t external_crashes,
                std::size_t workers) {
  if (IsMany(external_crashes, workers, kCalmWorkersPerExternalCrash)) {
    return Unrest::kExternalCrashes;
  }
  return IsMany(crashes, workers, kCalmWorkersPerCrash) ? Unrest::kManyCrashes
                                                        : Unrest::kNone;
}

bool IsRecentStart(const TaskState& task,
                   bool long_running,
                   std::int64_t at_ms) {
  return at_ms - task.started_ms <=
         (long_running ? kMaxLongRunningCrashDelayMs : kMaxCrashDelayMs);
}

bool IsRecent(std::int64_t crash_ms, std::int64_t at_ms) {
  return std::abs(at_ms - crash_ms) < kCrashWindowMs;
}

std::size_t CountRecent(const std::vector<std::int64_t>& crashes,
                        std::int64_t at_ms) {
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [&](auto it) { return IsRecent(it, at_ms); }));
}

const char* CrashVerdictName(CrashVerdict verdict) {
  switch (verdict) {
    case CrashVerdict::kAlone:
      return "alone";
    case CrashVerdict::kOtherTasks:
      return "other_tasks";
    case CrashVerdict::kOtherCrashes:
      return "other_crashes";
    case CrashVerdict::kLongAfterStart:
      return "long_after_start";
  }
  return "unknown";
}

}  // namespace cranberryshunt::graph
