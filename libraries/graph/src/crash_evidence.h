// Decides what the crash of a worker says about a task that ran on it.
#ifndef CRANBERRYSHUNT_GRAPH_CRASH_EVIDENCE_H_
#define CRANBERRYSHUNT_GRAPH_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cranberryshunt/graph/graph_store.h"

namespace cranberryshunt::graph {

// Workers whose crashes are noticed within this time may have one common cause.
// They come back after different times.
constexpr std::int64_t kCrashWindowMs = 4'000;
// A task that was started longer before has not crashed its worker by starting.
// The time includes that for which the worker was down. Long-running tasks are
// exposed to all crashes of their workers, so their limit is shorter.
constexpr std::int64_t kMaxCrashDelayMs = 20'000;
constexpr std::int64_t kMaxLongRunningCrashDelayMs = 8'000;
// A task is given up after this many crashes if it was alone on the worker at
// so many of them.
constexpr std::int32_t kMaxCrashes = 5;
constexpr std::int32_t kMinAloneCrashes = 2;

// How much the crash of a worker says about the tasks on it.
enum class Unrest {
  kNone,
  kManyCrashes,      // All may be caused by tasks.
  kExternalCrashes,  // Some have another cause.
};

// A run on a worker that crashed.
struct CrashFacts {
  // Whether only this task, or only members of its gang, were on the worker.
  bool alone = false;
  Unrest unrest = Unrest::kNone;
  bool recently_started = false;
};

CrashVerdict Judge(const CrashFacts& facts);

// Whether a task with these crashes is the cause of them.
bool IsProven(const TaskState& task);

// Classifies the recent crashes in a cell with so many workers.
Unrest Classify(std::size_t crashes,
                std::size_t external_crashes,
                std::size_t workers);

bool IsRecentStart(const TaskState& task,
                   bool long_running,
                   std::int64_t at_ms);

// Returns how many of the times are within the window around `at_ms`. A new
// leader's clock may be behind the one of the last leader.
std::size_t CountRecent(const std::vector<std::int64_t>& crashes,
                        std::int64_t at_ms);

bool IsRecent(std::int64_t crash_ms, std::int64_t at_ms);

}  // namespace cranberryshunt::graph

#endif  // CRANBERRYSHUNT_GRAPH_CRASH_EVIDENCE_H_
