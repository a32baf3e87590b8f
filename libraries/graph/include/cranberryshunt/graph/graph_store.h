// Replicated state of a cell with called workers: the routing table, workers,
// jobs and their tasks. Deterministic: no clock, no randomness.
#ifndef CRANBERRYSHUNT_GRAPH_GRAPH_STORE_H_
#define CRANBERRYSHUNT_GRAPH_GRAPH_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/graph/task_key.h"
#include "wire_types.h"

namespace cranberryshunt::graph {

// Number that the store gives to one life of a worker; never reused.
using WorkerNumber = std::int64_t;

struct TaskState {
  std::int32_t last_run = 0;
  std::int32_t run = 0;  // 0: not running.
  std::int32_t failures = 0;
  // Last run of a gang that was counted as failed; kept at the first member.
  std::int32_t failed_run = 0;
  WorkerNumber worker = 0;  // Of the current run.
  bool done = false;
  std::string checkpoint;

  bool operator==(const TaskState&) const = default;
};

class Job {
 public:
  explicit Job(wire::AcceptedGraphJob accepted);

  JobId id() const { return static_cast<JobId>(accepted_.id); }
  const wire::JobQueue& queue() const { return accepted_.queue; }
  const wire::GraphJob& spec() const { return accepted_.job; }
  const wire::GraphStep& step(std::int32_t n) const {
    return accepted_.job.steps[static_cast<std::size_t>(n)];
  }
  std::int32_t step_count() const {
    return static_cast<std::int32_t>(accepted_.job.steps.size());
  }
  std::int32_t occurrences() const { return accepted_.job.occurrences; }
  wire::GraphJobState::type state() const { return state_; }
  bool active() const {
    return state_ == wire::GraphJobState::kQueued ||
           state_ == wire::GraphJobState::kRunning;
  }
  std::int64_t finished_ms() const { return finished_ms_; }
  // Whether a run has ended that is known to have begun on a worker.
  bool started() const { return started_; }

  const TaskState& task(const TaskKey& key) const {
    return tasks_[IndexOf(key)];
  }
  // Null when the job has no such task.
  const TaskState* FindTask(const TaskKey& key) const;
  // Whether a result of that run changes the state: of the current run, or of
  // one that was given up but had ended as done before another was started.
  bool AcceptsResult(const TaskKey& key,
                     std::int32_t run,
                     wire::RunEnd::type how) const;
  // Whether every task of the step is done.
  bool StepDone(const StepKey& key) const;
  // Whether the steps that this one depends on are done.
  bool StepReady(const StepKey& key) const;
  // Unix time from which the occurrence may start; 0: at once.
  std::int64_t EarliestStartMs(std::int32_t occurrence) const;

 private:
  friend class GraphStore;

  std::size_t IndexOf(const TaskKey& key) const;
  std::size_t StepIndexOf(const StepKey& key) const;
  bool Contains(const TaskKey& key) const;

  wire::AcceptedGraphJob accepted_;
  wire::GraphJobState::type state_ = wire::GraphJobState::kQueued;
  std::int64_t finished_ms_ = 0;
  bool started_ = false;
  std::int32_t open_runs_ = 0;
  std::vector<std::int32_t> step_offsets_;
  std::int32_t tasks_per_occurrence_ = 0;
  std::vector<TaskState> tasks_;
  std::vector<std::int32_t> open_tasks_by_step_;  // By occurrence and step.
  std::int64_t open_task_count_ = 0;
};

class GraphStore {
 public:
  // Applies one log entry. Fails with kCorrupt when it cannot be decoded.
  Result<void> Apply(std::string_view entry);
  void Apply(const wire::GraphBatch& batch);

  std::string Snapshot() const;
  // Replaces the whole state. Fails with kCorrupt.
  Result<void> Restore(std::string_view snapshot);

  const wire::RoutingTable& table() const { return table_; }
  // The queue in force under that name; null when there is none.
  const wire::JobQueue* FindQueue(const std::string& name) const;
  // The queue with the longest prefix of `path` at `host`; null without one.
  const wire::JobQueue* MatchQueue(std::string_view host,
                                   std::string_view path) const;
  // The job's queue as it is in force, or as it was at its submission.
  const wire::JobQueue& QueueOf(const Job& job) const;

  const std::map<JobId, Job>& jobs() const { return jobs_; }
  const Job* FindJob(JobId id) const;
  const std::map<WorkerNumber, wire::CalledWorker>& workers() const {
    return workers_;
  }
  // The registered life with this id, if any.
  std::optional<WorkerNumber> FindWorker(const std::string& id) const;

 private:
  void ApplyTable(const wire::RoutingTable& table);
  void ApplyWorker(const wire::CalledWorker& worker);
  void ApplyCancel(JobId id, std::int64_t at_ms);
  void ApplyStart(const wire::RunStart& start);
  void ApplyResult(const wire::RunResult& result, std::int64_t at_ms);
  static void CloseRun(Job& job, TaskState& task);
  void MarkDone(Job& job, const TaskKey& key);
  void CountFailure(Job& job, const TaskKey& key, std::int64_t at_ms);
  static void Finish(Job& job,
                     wire::GraphJobState::type state,
                     std::int64_t at_ms);

  wire::RoutingTable table_;
  WorkerNumber next_worker_ = 1;
  std::map<WorkerNumber, wire::CalledWorker> workers_;
  std::map<std::string, WorkerNumber> workers_by_id_;
  std::map<JobId, Job> jobs_;
};

}  // namespace cranberryshunt::graph

#endif  // CRANBERRYSHUNT_GRAPH_GRAPH_STORE_H_
