// Jobs and tasks in the memory of the scheduler.
#ifndef CRANBERRYSHUNT_POLICY_JOB_TABLE_H_
#define CRANBERRYSHUNT_POLICY_JOB_TABLE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cranberryshunt/policy/types.h"
#include "interner.h"

namespace cranberryshunt::policy {

using JobSlot = std::uint32_t;

// Refers to a job. It becomes stale when the job is removed, since the
// generation of a slot changes with each use.
struct JobRef {
  JobSlot slot = 0;
  std::uint32_t generation = 0;

  bool operator==(const JobRef&) const = default;
};

struct TaskRef {
  JobRef job;
  std::int32_t index = 0;

  bool operator==(const TaskRef&) const = default;
};

enum class TaskState : std::uint8_t {
  kQueued,
  kBackingOff,  // Waits for its retry delay to end.
  kPlaced,      // Holds a reservation but is not reported as running yet.
  kRunning,
  kFinished,
};

struct Task {
  TaskState state = TaskState::kQueued;
  bool preempting = false;  // A Preempt decision was made for the task.
  bool reclaimed = false;   // The preemption reclaims borrowed capacity.
  // Consecutive reports of usage above the declaration.
  std::uint8_t excess_reports = 0;
  std::int16_t failures = 0;
  std::int32_t attempts = 0;
  std::int32_t worker = kNone;
  std::uint32_t position = 0;  // Index in Worker::tasks.
  TimePoint queued_at{};
  TimePoint placed_at{};
};

struct Failure {
  std::int32_t index = 0;
  std::int32_t worker = kNone;
};

// Number of tasks of a job in one rack or availability zone.
struct DomainCount {
  std::int32_t domain = kNone;
  std::int32_t tasks = 0;
};

struct Job {
  std::string id;
  std::int32_t team = kNone;
  std::int32_t family = kNone;
  Kind kind = Kind::kBatch;
  Spread spread = Spread::kNone;
  bool idempotent = true;
  bool may_have_run = false;
  bool enqueued = false;  // Has an entry in its team's queue.
  bool cancelled = false;
  bool faulty = false;
  // Queued without a check against the capacity of the fleet.
  bool fit_unchecked = false;
  // The job is neither idempotent nor short, so what it reserves cannot be
  // reclaimed.
  bool unreclaimable = false;
  std::uint32_t generation = 0;
  std::int32_t prefer_region = kNone;
  std::int32_t require_region = kNone;
  std::int32_t require_zone = kNone;
  std::int32_t reserved_tasks = 0;  // Tasks with a reservation.
  std::int32_t unfinished = 0;      // Tasks that have not ended for good.
  std::int32_t backing_off = 0;
  // First task that has never been taken from the queue.
  std::int32_t next_new_index = 0;
  Resources need;
  Duration expected_run{};
  std::optional<TimePoint> deadline;
  TimePoint submitted_at{};
  TimePoint retry_at{};
  std::vector<Task> tasks;
  std::vector<std::int32_t> requeued;  // Lowest index last.
  std::vector<Failure> failures;
  std::vector<DomainCount> racks;
  std::vector<DomainCount> zones;

  std::int32_t queued() const {
    return static_cast<std::int32_t>(requeued.size() + tasks.size()) -
           next_new_index;
  }
  std::int32_t TakeQueued();
  void Requeue(std::int32_t index);
  static void CountDomain(std::vector<DomainCount>& counts,
                          std::int32_t domain,
                          std::int32_t change);
};

class JobTable {
 public:
  // Adds a job, whose id must be new.
  JobRef Add(Job job);
  void Remove(JobRef ref);
  std::optional<JobRef> Find(std::string_view id) const;
  bool IsLive(JobRef ref) const {
    return ref.slot < jobs_.size() &&
           jobs_[ref.slot].generation == ref.generation;
  }
  Job& at(JobRef ref) { return jobs_[ref.slot]; }
  const Job& at(JobRef ref) const { return jobs_[ref.slot]; }
  std::size_t size() const { return slots_.size(); }

 private:
  // A deque does not move its elements, so the keys of slots_ can refer to the
  // ids of the jobs.
  std::deque<Job> jobs_;
  std::vector<JobSlot> free_slots_;
  std::unordered_map<std::string_view, JobSlot> slots_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_JOB_TABLE_H_
