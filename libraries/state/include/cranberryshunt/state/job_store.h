// Jobs, their tasks and their idempotency keys.
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

// Every change is a function of the command alone, so that all replicas agree.
class JobStore {
 public:
  SubmitResult Submit(const wire::SubmitJob& command);
  // Refuses placements whose fence is not above every earlier one.
  TasksResult Place(const wire::PlaceTasks& command,
                    const std::map<std::string, wire::Worker>& workers);
  TasksResult Finish(const wire::FinishTasks& command);
  TasksResult Requeue(const wire::RequeueTasks& command, std::int64_t now_ms);
  TasksResult MarkRunning(const wire::MarkRunning& command);
  CancelResult Cancel(const wire::CancelJobs& command);
  ExpireResult Expire(const wire::ExpireKeys& command);
  // Raises the fence counter, so that a new term's fences exceed all earlier
  // ones.
  void IncrementFence() { ++fence_; }

  // Returns null when the job is not known.
  const JobRecord* Find(const std::string& job_id) const;
  const JobRecord* FindByKey(const std::string& team,
                             const std::string& key) const;
  const std::map<std::string, JobRecord>& jobs() const { return jobs_; }
  // Jobs with tasks that are not final.
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

// Returns the attempt that `task` is at.
wire::AttemptKey AttemptOf(const JobRecord& job, const TaskRecord& task);

// Returns what entries and callers see of `job`.
wire::JobStatus StatusOf(const JobRecord& job);

}  // namespace cranberryshunt::state

#endif  // CRANBERRYSHUNT_STATE_JOB_STORE_H_
