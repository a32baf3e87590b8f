// Replicated state of a cell whose leader calls its workers: the routing table,
// the workers, and the jobs with their tasks. Applying an entry is
// deterministic: it reads neither a clock nor random numbers.
#ifndef CRANBERRYSHUNT_GRAPH_GRAPH_STORE_H_
#define CRANBERRYSHUNT_GRAPH_GRAPH_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/graph/task_key.h"
#include "wire_types.h"

namespace cranberryshunt::graph {

// Identifies one incarnation of a worker. The store assigns the numbers in the
// order of registration and never reuses one.
using WorkerNumber = std::int64_t;

struct TaskState {
  std::int32_t last_run = 0;  // The highest run that was started.
  std::int32_t run = 0;  // The current run, or 0 when the task is not running.
  std::int32_t failures = 0;
  // The last run that was counted as a failure. The failures of a gang are
  // counted in its task with index 0.
  std::int32_t failed_run = 0;
  // Worker of the current run. If the worker was replaced, its next
  // incarnation.
  WorkerNumber worker = 0;
  bool done = false;
  std::string checkpoint;
  // Runs whose worker crashed, and the last run that was counted.
  std::int32_t crashes = 0;
  std::int32_t crashed_run = 0;
  // The last run that ended as lost, and its worker, of which a later
  // incarnation may show that it crashed.
  std::int32_t lost_run = 0;
  WorkerNumber lost_worker = 0;
  // Crashes of workers that the task had for itself (kAlone), and the time of
  // the last of them. All times are those of the batches.
  std::int32_t alone_crashes = 0;
  std::int64_t alone_crash_ms = 0;
  std::int64_t started_ms = 0;  // Start of the last run.

  bool operator==(const TaskState&) const = default;
};

// A task under which so many workers have crashed is suspected of being the
// cause: it gets workers of its own until that is known.
constexpr std::int32_t kSuspectCrashes = 2;

// What the crash of a worker says about a task on it.
enum class CrashVerdict {
  kAlone,           // The task, or its gang, had the worker for itself.
  kOtherTasks,      // Other tasks were on the worker.
  kOtherCrashes,    // Workers crashed meanwhile that no task can have crashed.
  kLongAfterStart,  // The task had run for long before.
};

// For log messages and metrics.
const char* CrashVerdictName(CrashVerdict verdict);

struct CrashFacts;
enum class Unrest;

// A run whose worker crashed.
struct CrashedRun {
  TaskKey task;
  std::int32_t run = 0;
  CrashVerdict verdict = CrashVerdict::kOtherTasks;

  bool operator==(const CrashedRun&) const = default;
};

// An incarnation of a worker that was replaced by a later one although it had
// not said that it would leave.
struct CrashedWorker {
  WorkerNumber number = 0;
  wire::CalledWorker record;
  // Runs on it that were counted as crashed.
  std::vector<CrashedRun> runs;
};

// Whether the second worker says that it was started at the address of the
// first one, under another id, after the start of the first one.
bool IsReplacedBy(const wire::CalledWorker& worker,
                  const wire::CalledWorker& later);

class Job {
 public:
  explicit Job(wire::AcceptedGraphJob accepted);

  JobId id() const { return static_cast<JobId>(accepted_.id); }
  const wire::JobQueue& queue() const { return accepted_.queue; }
  // When the job was first submitted, in the time of the batches. Unknown for
  // jobs that an earlier version accepted.
  std::optional<std::int64_t> submitted_ms() const {
    return accepted_.__isset.submitted_ms
               ? std::optional(accepted_.submitted_ms)
               : std::nullopt;
  }
  // The client account that submitted the job; empty if it had no key.
  const std::string& account() const { return accepted_.account; }
  const wire::GraphJob& spec() const { return accepted_.job; }
  // Whether it was submitted beyond the rate of its account.
  bool over_rate() const { return accepted_.over_rate; }
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
  // Returns whether at least one run of the job has ended that is known to have
  // begun on a worker. Lost runs do not count.
  bool started() const { return started_; }
  // Number of tasks with a current run.
  std::int32_t open_runs() const { return open_runs_; }

  const TaskState& task(const TaskKey& key) const {
    return tasks_[IndexOf(key)];
  }
  // Returns the task that holds the count of failures of this one: for a gang
  // that with index 0.
  const TaskState& CountedTask(const TaskKey& key) const;
  // Whether the task, or a member of its gang, may crash its workers.
  bool IsSuspect(const TaskKey& key) const;
  // Null when the job has no such task.
  const TaskState* FindTask(const TaskKey& key) const;
  // Returns whether the result `how` of the run changes the state of the task.
  // A task that is done accepts no result. Any other task accepts each result
  // of its current run or, while it has no current run, a kDone result of its
  // last run, which had been given up.
  bool AcceptsResult(const TaskKey& key,
                     std::int32_t run,
                     wire::RunEnd::type how) const;
  // Returns whether every task of the step is done.
  bool StepDone(const StepKey& key) const;
  // Returns whether all steps that the step depends on are done.
  bool StepReady(const StepKey& key) const;
  // Returns the Unix time from which the occurrence may start, or 0 when it may
  // start at once.
  std::int64_t EarliestStartMs(std::int32_t occurrence) const;

 private:
  friend class GraphStore;

  std::size_t IndexOf(const TaskKey& key) const;
  std::size_t CountedIndexOf(const TaskKey& key) const;
  TaskState& MutableCountedTask(const TaskKey& key);
  std::size_t StepIndexOf(const StepKey& key) const;
  bool Contains(const TaskKey& key) const;

  wire::AcceptedGraphJob accepted_;
  wire::GraphJobState::type state_ = wire::GraphJobState::kQueued;
  std::int64_t finished_ms_ = 0;
  bool started_ = false;
  std::int32_t open_runs_ = 0;  // Tasks with a current run.
  // Whether a worker crashed under any of its tasks.
  bool has_crashes_ = false;
  std::vector<std::int32_t> step_offsets_;
  std::int32_t tasks_per_occurrence_ = 0;
  std::vector<TaskState> tasks_;
  // Numbers of tasks that are not done: for each step of an occurrence, indexed
  // by StepIndexOf(), and in total.
  std::vector<std::int32_t> open_tasks_by_step_;
  std::int64_t open_task_count_ = 0;
};

class GraphStore {
 public:
  // Applies one log entry. Fails with kCorrupt when it cannot be decoded.
  Result<void> Apply(std::string_view entry);
  void Apply(const wire::GraphBatch& batch);

  std::string Snapshot() const;
  // Latest time of an applied batch. After Restore() from a snapshot of an
  // older version, the latest time at which a job ended.
  std::int64_t last_batch_ms() const { return last_batch_ms_; }
  // Replaces the whole state. Fails with kCorrupt, without changing the state,
  // when the snapshot cannot be decoded or a job has the wrong number of tasks.
  Result<void> Restore(std::string_view snapshot);

  const wire::RoutingTable& table() const { return table_; }
  // Returns the queue of this name in the routing table, or null.
  const wire::JobQueue* FindQueue(const std::string& name) const;
  // Returns the queue of `host` whose path prefix is the longest one that
  // matches `path`, or null.
  const wire::JobQueue* MatchQueue(std::string_view host,
                                   std::string_view path) const;
  // Returns the job's queue from the routing table or, when the table does not
  // have it any more, as it was when the job was accepted.
  const wire::JobQueue& QueueOf(const Job& job) const;

  // Returns the name of the account with a key of this digest, if any. The
  // time that this takes depends neither on the number of accounts nor on the
  // key.
  std::optional<std::string> FindAccount(std::string_view key_digest) const;
  // Returns the account of this name in the routing table, or null.
  const wire::ClientAccount* FindAccountByName(const std::string& name) const;

  const std::map<JobId, Job>& jobs() const { return jobs_; }
  const Job* FindJob(JobId id) const;
  const std::map<WorkerNumber, wire::CalledWorker>& workers() const {
    return workers_;
  }
  // Returns the numbers, by worker id, of workers that have left while runs on
  // them were open. The next incarnation of such a worker gets these runs.
  const std::map<std::string, WorkerNumber>& departed_workers() const {
    return departed_workers_;
  }
  // Returns the workers that crashed according to the last applied batch.
  const std::vector<CrashedWorker>& crashed_workers() const {
    return crashed_workers_;
  }
  // Returns whether so many workers have crashed within the last seconds that a
  // crash says little about the task on the worker.
  bool HasUnrest(std::int64_t at_ms) const;
  // Returns the registered incarnation of the worker with this id, if any.
  std::optional<WorkerNumber> FindWorker(const std::string& id) const;

 private:
  void ApplyTable(const wire::RoutingTable& table);
  void IndexAccounts();
  void ApplyWorker(const wire::CalledWorker& worker, std::int64_t at_ms);
  void ApplyRemoval(WorkerNumber number, std::int64_t at_ms);
  void ForgetIdleDepartedWorkers();
  // Moves the open runs of a worker to its next incarnation, which may have
  // carried out their starts. Only its list shows that they have ended.
  void MoveRuns(WorkerNumber from, WorkerNumber to);
  void ApplyCancel(JobId id, std::int64_t at_ms);
  void ApplyStart(const wire::RunStart& start, std::int64_t at_ms);
  void ApplyResult(const wire::RunResult& result, std::int64_t at_ms);
  static void CloseRun(Job& job, TaskState& task);
  void MarkDone(Job& job, const TaskKey& key);
  void CountFailure(Job& job, const TaskKey& key, std::int64_t at_ms);
  // Counts the crash of a worker for the runs that were on it.
  void ApplyCrash(WorkerNumber number,
                  const wire::CalledWorker& record,
                  std::int64_t at_ms);
  bool CountCrash(CrashedRun& run, const CrashFacts& facts, std::int64_t at_ms);
  void RecordCrashTime(bool external, std::int64_t at_ms);
  Unrest UnrestAt(std::int64_t at_ms) const;
  void RevokeRecentEvidence(std::int64_t at_ms);
  // Returns the runs that are or may have been on the worker.
  std::vector<CrashedRun> RunsOn(WorkerNumber worker) const;
  static void Finish(Job& job,
                     wire::GraphJobState::type state,
                     std::int64_t at_ms);

  std::int64_t last_batch_ms_ = 0;
  wire::RoutingTable table_;
  // Positions of the accounts in the routing table, by the digests of their
  // keys and by name.
  std::unordered_map<std::string, std::size_t> accounts_by_digest_;
  std::unordered_map<std::string, std::size_t> accounts_by_name_;
  WorkerNumber next_worker_ = 1;
  std::map<WorkerNumber, wire::CalledWorker> workers_;
  std::unordered_map<std::string, WorkerNumber> workers_by_id_;
  std::map<std::string, WorkerNumber> departed_workers_;
  std::map<JobId, Job> jobs_;
  std::vector<CrashedWorker> crashed_workers_;
  // Times of the recent crashes, except of workers that a suspect had for
  // itself, and of those that no task on the worker can have caused.
  std::vector<std::int64_t> recent_crashes_;
  std::vector<std::int64_t> recent_external_crashes_;
};

}  // namespace cranberryshunt::graph

#endif  // CRANBERRYSHUNT_GRAPH_GRAPH_STORE_H_
