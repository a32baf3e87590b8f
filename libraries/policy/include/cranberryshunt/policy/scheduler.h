// Decides which queued tasks start on which workers. Does no I/O and reads no
// clock. Not thread-safe: all calls must come from one thread.
#ifndef CRANBERRYSHUNT_POLICY_SCHEDULER_H_
#define CRANBERRYSHUNT_POLICY_SCHEDULER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cranberryshunt/policy/types.h"

namespace cranberryshunt::policy {

struct SchedulerOptions {
  // Guaranteed fraction of the fleet for each Kind, in the order of the
  // enumeration; the sum is at most 1.
  std::array<double, kKindCount> guaranteed_share = {0.30, 0.25, 0.15, 0.30};
  std::int64_t max_queued_tasks_per_team_and_kind = 20'000;
  std::int64_t max_queued_tasks_per_kind = 100'000;
  // Interactive requests of a team are refused once the team's queued requests
  // would wait about this long at the measured rate of starts. Zero: no limit.
  Duration max_interactive_wait = std::chrono::seconds(3);
  // Seed of all random choices, such as the jitter of retries.
  std::uint64_t seed = 1;
};

class Scheduler {
 public:
  // Fails with kInvalidSettings if the options are inconsistent.
  static Result<std::unique_ptr<Scheduler>> Create(
      const SchedulerOptions& options);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Adds a worker or updates its location and capacity. Existing reservations
  // are kept, even if the new capacity is smaller than their sum.
  void UpsertWorker(const WorkerInfo& worker);
  // Sets whether the worker may be given new tasks. Must be false while it is
  // leaving, draining or silent.
  void SetAccepting(const std::string& worker, bool accepting);
  // Removes a worker. Does nothing while the worker holds tasks, so call
  // TaskEnded() with kWorkerLost for its tasks first.
  void RemoveWorker(const std::string& worker);

  // Replaces all quotas.
  void SetQuotas(const std::vector<Quota>& quotas);

  // Checks a job and queues it if it is admissible. The time that this takes
  // does not depend on the number of queued jobs.
  Admission Submit(const JobRequest& job, TimePoint now);
  // Adds a job with existing state when a controller becomes leader. Tasks with
  // a worker keep their reservation, finished tasks stay finished, and all
  // others are queued. Never refuses the job.
  struct RestoredTask {
    std::int32_t index = 0;
    std::optional<std::string> worker;  // Empty: holds no reservation.
    std::int32_t attempts = 0;
    bool finished = false;
  };
  void Restore(const JobRequest& job,
               const std::vector<RestoredTask>& tasks,
               TimePoint now);

  // Returns up to `limit` decisions. Call it again until it returns none, and
  // then after the next event or at the next tick (every 50 ms).
  std::vector<Decision> Decide(TimePoint now, std::size_t limit);

  // Records that the worker reported the task as running. This ends the task's
  // waiting time.
  void TaskRunning(const TaskId& task, TimePoint now);
  // Records the end of an attempt and releases its reservation. Returns whether
  // the task is queued again. A task of a non-idempotent job is queued again
  // only after kRefused or kWithdrawn, that is, if it did not run.
  EndOutcome TaskEnded(const TaskId& task, EndKind end, TimePoint now);
  // Removes the queued tasks of a job. Returns its tasks that hold
  // reservations; the caller must stop each of them and then call TaskEnded()
  // with kCancelled.
  std::vector<Assignment> Cancel(const std::string& job_id);
  // Records the resource usage of a running task as reported by its worker.
  void TaskUsage(const TaskId& task, const Resources& used);

  // Time at which Decide() should be called again if no event comes first.
  // Empty if nothing depends on time.
  std::optional<TimePoint> next_due() const;

  SchedulerReport Report(TimePoint now) const;
  // Returns only the part of Report() about kinds, which is cheap enough for
  // every poll.
  std::array<KindReport, kKindCount> KindReports(TimePoint now) const;

 private:
  struct Implementation;

  explicit Scheduler(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_SCHEDULER_H_
