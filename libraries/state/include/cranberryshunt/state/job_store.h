// Stores jobs, their tasks and their idempotency keys.
#ifndef CRANBERRYSHUNT_STATE_JOB_STORE_H_
#define CRANBERRYSHUNT_STATE_JOB_STORE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryshunt/state/results.h"
#include "snapshot_types.h"

namespace cranberryshunt::state {

// Every change depends only on the command and the replicated state, so that
// all replicas agree.
class JobStore {
 public:
  SubmitResult Submit(const wire::SubmitJob& command);
  // Rejects a placement unless its fence is greater than all earlier fences.
  TasksResult Place(const wire::PlaceTasks& command,
                    const std::map<std::string, wire::Worker>& workers);
  TasksResult Finish(const wire::FinishTasks& command);
  TasksResult Requeue(const wire::RequeueTasks& command, std::int64_t now_ms);
  TasksResult MarkRunning(const wire::MarkRunning& command);
  CancelResult Cancel(const wire::CancelJobs& command);
  ExpireResult Expire(const wire::ExpireKeys& command);
  // Called at the start of a term, so that its fences exceed all earlier ones.
  void IncrementFence() { ++fence_; }

  // Returns null if the job does not exist.
  const JobRecord* Find(const std::string& job_id) const;
  const JobRecord* FindByKey(const std::string& team,
                             const std::string& key) const;
  const std::map<std::string, JobRecord>& jobs() const { return jobs_; }
  // Ids of the jobs that have tasks that are not final.
  const std::set<std::string>& open_jobs() const { return open_jobs_; }
  std::int64_t fence() const { return fence_; }

  void Restore(std::int64_t fence, std::vector<JobRecord> jobs);

 private:
  struct TaskLocation {
    JobRecord* job = nullptr;
    TaskRecord* task = nullptr;
  };

  TaskLocation FindTask(const std::string& job_id, std::int32_t index);
  ResultCode PlaceOne(const wire::Placement& placement,
                      const std::map<std::string, wire::Worker>& workers,
                      std::int64_t placed_ms);
  ResultCode FinishOne(const wire::TaskResult& result,
                       std::int64_t now_ms,
                       std::vector<std::string>& finished_jobs);
  void Finalize(JobRecord& job,
                TaskRecord& task,
                const wire::TaskResult& result,
                std::int64_t now_ms,
                std::vector<std::string>& finished_jobs);
  void FinalizeCancelled(JobRecord& job,
                         TaskRecord& task,
                         std::int64_t now_ms,
                         std::vector<std::string>& finished_jobs);
  void AddToIndexes(const JobRecord& job);

  std::map<std::string, JobRecord> jobs_;
  std::map<std::pair<std::string, std::string>, std::string> job_ids_by_key_;
  std::set<std::string> open_jobs_;
  std::set<std::pair<std::int64_t, std::string>> finished_jobs_;
  std::int64_t fence_ = 0;
};

// Returns the key of the latest attempt of `task`.
wire::AttemptKey AttemptOf(const JobRecord& job, const TaskRecord& task);

// Returns the status of `job` as reported to entries and callers.
wire::JobStatus StatusOf(const JobRecord& job);

}  // namespace cranberryshunt::state

#endif  // CRANBERRYSHUNT_STATE_JOB_STORE_H_
