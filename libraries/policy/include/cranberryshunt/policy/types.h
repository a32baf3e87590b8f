// Value types of scheduling decisions.
#ifndef CRANBERRYSHUNT_POLICY_TYPES_H_
#define CRANBERRYSHUNT_POLICY_TYPES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/base/resources.h"
#include "cranberryshunt/base/result.h"

namespace cranberryshunt::policy {

enum class Kind : std::uint8_t { kService, kBatch, kGang, kInteractive };
inline constexpr std::size_t kKindCount = 4;

enum class Spread : std::uint8_t { kNone, kRack, kAvailabilityZone };

struct TaskId {
  std::string job_id;
  std::int32_t index = 0;

  // The check takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskId&) const = default;
};

// Where the tasks of a job may or should run; from the job itself and from
// placement rules.
struct PlacementConstraint {
  std::string prefer_region;
  std::string require_region;
  std::string require_availability_zone;
  Spread spread = Spread::kNone;

  bool operator==(const PlacementConstraint&) const = default;
};

struct JobRequest {
  std::string job_id;
  std::string team;
  Kind kind = Kind::kBatch;
  std::int32_t task_count = 1;
  Resources task_resources;
  Duration expected_run{};            // Zero: not declared.
  std::optional<TimePoint> deadline;  // Of the start.
  bool exclusive = false;
  bool idempotent = true;
  std::string family;
  PlacementConstraint constraint;

  bool operator==(const JobRequest&) const = default;
};

struct WorkerInfo {
  std::string id;
  std::string region;
  std::string availability_zone;
  std::string rack;
  Resources capacity;

  bool operator==(const WorkerInfo&) const = default;
};

// Limits of one team over all kinds; a component of 0 is not limited.
struct Quota {
  std::string team;
  Resources limit;

  bool operator==(const Quota&) const = default;
};

// ---- Answers to a submission ----

struct Queued {
  bool operator==(const Queued&) const = default;
};

// The job was not taken and changed nothing.
struct Refused {
  ResultCode code = ResultCode::kQueueFull;
  std::string reason;
  Duration retry_after{};  // Zero: retrying is of no use.

  bool operator==(const Refused&) const = default;
};

using Admission = std::variant<Queued, Refused>;

// ---- Decisions ----

struct Assignment {
  TaskId task;
  std::string worker;

  bool operator==(const Assignment&) const = default;
};

// Starts tasks. The resources are reserved from the moment of the decision. A
// gang comes as one Place with all tasks.
struct Place {
  std::vector<Assignment> assignments;

  bool operator==(const Place&) const = default;
};

// Takes a running task from its worker. Resources stay reserved until
// TaskEnded() is called.
struct Preempt {
  TaskId task;
  std::string worker;
  bool checkpoint = true;

  bool operator==(const Preempt&) const = default;
};

// Slows a task that uses more than it declared.
struct Throttle {
  TaskId task;
  std::string worker;
  std::int32_t percent = 100;

  bool operator==(const Throttle&) const = default;
};

// Ends a queued job that will not be started.
struct Drop {
  std::string job_id;
  ResultCode code = ResultCode::kDeadlinePassed;
  std::string reason;

  bool operator==(const Drop&) const = default;
};

using Decision = std::variant<Place, Preempt, Throttle, Drop>;

// ---- Ends of attempts ----

enum class EndKind : std::uint8_t {
  kDone,
  kFailed,      // The task ran and failed.
  kRefused,     // The worker refused the start; it did not run.
  kWorkerLost,  // The worker restarted or its lease ran out.
  kPreempted,
  kCancelled,
  kWithdrawn,  // The start was taken back before it could take effect.
};

// What the scheduler made of the end of an attempt.
struct Requeued {
  bool operator==(const Requeued&) const = default;
};
struct Ended {
  ResultCode code = ResultCode::kOk;
  std::string reason;

  bool operator==(const Ended&) const = default;
};
using EndOutcome = std::variant<Requeued, Ended>;

// ---- Reports ----

struct KindReport {
  std::int64_t queued = 0;   // Tasks.
  std::int64_t running = 0;  // Tasks.
  double share = 0;          // Dominant share of the fleet reserved, 0 to 1.
  std::int64_t refused = 0;
  std::int64_t preempted = 0;
  std::int64_t preempted_run_ms = 0;  // Run time lost to preemption.
  double wait_p50_ms = 0;
  double wait_p99_ms = 0;
  bool full = false;
  Duration retry_after{};

  bool operator==(const KindReport&) const = default;
};

struct WorkerReport {
  std::string id;
  Resources capacity;
  Resources reserved;
  bool quarantined = false;
  std::string reason;

  bool operator==(const WorkerReport&) const = default;
};

struct SchedulerReport {
  std::array<KindReport, kKindCount> kinds;
  std::vector<WorkerReport> workers;
  double packing =
      0;  // Mean dominant share reserved on workers that hold any task.
  std::vector<std::string>
      culprits;  // Workers and families that fail far more than the fleet.

  bool operator==(const SchedulerReport&) const = default;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_TYPES_H_
