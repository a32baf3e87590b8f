// Value types of the scheduler's interface.
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

  // The linter mistakes the 0 in the compiler's rewritten comparison for a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskId&) const = default;
};

// Where the tasks of a job may or should run, as set by the job itself and by
// placement rules. An empty string sets no constraint.
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
  std::optional<TimePoint> deadline;  // For the start of the job.
  bool exclusive = false;
  bool idempotent = true;
  // Run times and failures are recorded by family.
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

// Limits a team's reservations over all kinds. A component of 0 is unlimited.
struct Quota {
  std::string team;
  Resources limit;

  bool operator==(const Quota&) const = default;
};

// Results of a submission.

struct Queued {
  bool operator==(const Queued&) const = default;
};

// The job was not queued.
struct Refused {
  ResultCode code = ResultCode::kQueueFull;
  std::string reason;
  Duration retry_after{};  // Zero: a retry will not help.

  bool operator==(const Refused&) const = default;
};

using Admission = std::variant<Queued, Refused>;

// Decisions of the scheduler.

struct Assignment {
  TaskId task;
  std::string worker;

  bool operator==(const Assignment&) const = default;
};

// Starts tasks. Their resources are reserved when the decision is made. All
// tasks of a gang come in one Place.
struct Place {
  std::vector<Assignment> assignments;

  bool operator==(const Place&) const = default;
};

// Stops a task on its worker to free its resources. They stay reserved until
// TaskEnded() is called.
struct Preempt {
  TaskId task;
  std::string worker;
  bool checkpoint = true;

  bool operator==(const Preempt&) const = default;
};

// Slows down a task that uses more than it declared.
struct Throttle {
  TaskId task;
  std::string worker;
  std::int32_t percent = 100;

  bool operator==(const Throttle&) const = default;
};

// Reports that the queued tasks of a job were removed and will not be started.
struct Drop {
  std::string job_id;
  ResultCode code = ResultCode::kDeadlinePassed;
  std::string reason;

  bool operator==(const Drop&) const = default;
};

using Decision = std::variant<Place, Preempt, Throttle, Drop>;

// Ends of attempts.

enum class EndKind : std::uint8_t {
  kDone,
  kFailed,      // The task ran and failed.
  kRefused,     // The worker refused the start; the task did not run.
  kWorkerLost,  // The worker restarted or its lease expired.
  kPreempted,
  kCancelled,
  kWithdrawn,  // The start was cancelled before it took effect.
};

// What happens to a task after the end of an attempt: it is queued again, or
// it has ended with a result.
struct Requeued {
  bool operator==(const Requeued&) const = default;
};
struct Ended {
  ResultCode code = ResultCode::kOk;
  std::string reason;

  bool operator==(const Ended&) const = default;
};
using EndOutcome = std::variant<Requeued, Ended>;

// Reports.

struct KindReport {
  std::int64_t queued = 0;   // Tasks.
  std::int64_t running = 0;  // Tasks.
  double share = 0;          // Reserved dominant share of the fleet, 0 to 1.
  std::int64_t refused = 0;
  std::int64_t preempted = 0;
  std::int64_t preempted_run_ms = 0;  // Run time lost to preemption.
  double wait_p50_ms = 0;
  double wait_p99_ms = 0;
  bool full = false;       // The queue of the kind is at its limit.
  Duration retry_after{};  // Set only if `full`.

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
  // Mean reserved dominant share of the workers that hold at least one task.
  double packing = 0;
  // Descriptions of workers, families and teams that cause many faults.
  std::vector<std::string> culprits;

  bool operator==(const SchedulerReport&) const = default;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_TYPES_H_
