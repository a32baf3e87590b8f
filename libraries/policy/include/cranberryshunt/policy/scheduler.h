// Decides which queued tasks start where. No I/O and no clock of its own; all
// calls come from one thread.
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
  // A team's interactive requests are refused once those queued would wait
  // about this long at the measured rate; zero sets no such bound.
  Duration max_interactive_wait = std::chrono::seconds(3);
  std::uint64_t seed = 1;  // Of the jitter of retries.
};

class Scheduler {
 public:
  // Fails with kInvalidSettings when the options contradict each other.
  static Result<std::unique_ptr<Scheduler>> Create(
      const SchedulerOptions& options);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Adds a worker or changes its place and capacity. Reservations stay, also
  // when the new capacity is below them.
  void UpsertWorker(const WorkerInfo& worker);
  // Whether new tasks may go to the worker; false while it is leaving, draining
  // or silent.
  void SetAccepting(const std::string& worker, bool accepting);
  // Forgets a worker that holds no tasks. Call TaskEnded() with kWorkerLost for
  // its tasks first.
  void RemoveWorker(const std::string& worker);

  void SetQuotas(const std::vector<Quota>& quotas);

  // Checks and queues a job, in constant time.
  Admission Submit(const JobRequest& job, TimePoint now);
  // Takes over a job and its state when a controller becomes leader: its tasks
  // that are already placed or running, the attempts used so far, and the rest
  // queued. Never refuses.
  struct RestoredTask {
    std::int32_t index = 0;
    std::optional<std::string> worker;  // Empty: queued.
    std::int32_t attempts = 0;
    bool finished = false;
  };
  void Restore(const JobRequest& job,
               const std::vector<RestoredTask>& tasks,
               TimePoint now);

  // Returns up to `limit` decisions. Call again until none come, or at the next
  // event or tick (every 50 ms).
  std::vector<Decision> Decide(TimePoint now, std::size_t limit);

  // The worker said that the task runs, which ends the waiting time.
  void TaskRunning(const TaskId& task, TimePoint now);
  // The attempt ended; its reservation is released. Says whether the task is
  // queued again. A non-idempotent job's task is queued again only after
  // kRefused.
  EndOutcome TaskEnded(const TaskId& task, EndKind end, TimePoint now);
  // Removes the queued tasks of a job and returns the tasks that hold
  // reservations and must be stopped; TaskEnded() with kCancelled follows for
  // each of these.
  std::vector<Assignment> Cancel(const std::string& job_id);
  // What a worker reports of the use of a running task.
  void TaskUsage(const TaskId& task, const Resources& used);

  // How soon Decide() should run again without an event, if anything is due by
  // time.
  std::optional<TimePoint> next_due() const;

  SchedulerReport Report(TimePoint now) const;
  // Only the pressure on the queues; cheap enough for every poll.
  std::array<KindReport, kKindCount> KindReports(TimePoint now) const;

 private:
  struct Implementation;

  explicit Scheduler(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_SCHEDULER_H_
