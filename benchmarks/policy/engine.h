// Common interface of the scheduler and of the baseline that the benchmark
// compares it with.
#ifndef CRANBERRYSHUNT_BENCHMARKS_POLICY_ENGINE_H_
#define CRANBERRYSHUNT_BENCHMARKS_POLICY_ENGINE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryshunt/policy/scheduler.h"

namespace cranberryshunt::policy {

class Engine {
 public:
  virtual ~Engine() = default;
  virtual std::string_view name() const = 0;
  virtual void AddWorker(const WorkerInfo& worker) = 0;
  // Returns whether the job was accepted.
  virtual bool Submit(const JobRequest& job, TimePoint now) = 0;
  virtual std::vector<Decision> Decide(TimePoint now, std::size_t limit) = 0;
  virtual void TaskRunning(const TaskId& task, TimePoint now) = 0;
  // Returns whether the task is queued again.
  virtual bool TaskEnded(const TaskId& task, EndKind end, TimePoint now) = 0;
  virtual std::vector<Assignment> Cancel(const std::string& job) = 0;
  virtual std::vector<std::string> culprits(TimePoint now) const = 0;
};

std::unique_ptr<Engine> MakeSchedulerEngine(
    const SchedulerOptions& options = {});
// The baseline: one FIFO queue with the scheduler's default limit per kind,
// placement on the first worker that fits, and no guaranteed shares. Up to 64
// entries at the front of the queue that do not fit are skipped. A failed task
// is attempted up to three times.
std::unique_ptr<Engine> MakeFirstFitEngine();

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_BENCHMARKS_POLICY_ENGINE_H_
