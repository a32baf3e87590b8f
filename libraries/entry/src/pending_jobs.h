// Jobs that this entry works on: the payloads of interactive jobs, and callers
// that wait for a job. All are keyed by job id, so that an answer never goes to
// another request.
#ifndef CRANBERRYSHUNT_ENTRY_PENDING_JOBS_H_
#define CRANBERRYSHUNT_ENTRY_PENDING_JOBS_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "wire_types.h"

namespace cranberryshunt::entry {

struct PendingJobsLimits {
  std::size_t jobs = 8'192;
  std::size_t payload_bytes = 16 << 20;
};

// Safe for use by several threads.
class PendingJobs {
  struct Job;

 public:
  explicit PendingJobs(PendingJobsLimits limits = {}) : limits_(limits) {}

  // Registers an interactive job before it is submitted; its payload is kept
  // until it is final. Returns false when the table is full.
  bool Add(const std::string& job_id, const wire::JobSpec& spec);
  // Removes a job that was not accepted or that the leader does not know, and
  // ends the waits for it.
  void Remove(const std::string& job_id);

  // The payload of an interactive job, or null.
  std::shared_ptr<const std::string> PayloadOf(const std::string& job_id) const;

  // Stores a status from the leader. A final status drops the payload and ends
  // the waits for the job. A final status that lacks an answer's bytes is
  // ignored for a few seconds when the target may still send them to this
  // entry.
  void UpdateStatus(const wire::JobStatus& status);

  // Stores the result of a task that the target sent to this entry. When all
  // tasks of the job have one, it ends the waits for the job. Does nothing
  // unless the job was added by Add(). Returns true when a waiting caller gets
  // the answer and the leader need not store it.
  bool DeliverResult(const wire::AttemptReport& record,
                     const std::string& worker);

  // Keeps a job in the table for one caller. A waiter that is created before
  // the job is submitted also gets an answer that arrives before the leader's
  // reply to the submission.
  class Waiter {
   public:
    // `caller_disconnected` returns whether the caller has closed its
    // connection.
    Waiter(PendingJobs& jobs,
           std::string job_id,
           std::function<bool()> caller_disconnected);
    ~Waiter();
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    // Waits until the job is final, the caller has disconnected, or `deadline`
    // or the limit of LimitWaits() has passed. Every second it calls `refresh`,
    // which should fetch the status from the leader and pass it to
    // UpdateStatus(). Returns the last known status, if any.
    std::optional<wire::JobStatus> Wait(TimePoint deadline,
                                        const std::function<void()>& refresh);

   private:
    friend class PendingJobs;

    PendingJobs& jobs_;
    const std::string job_id_;
    const std::function<bool()> caller_disconnected_;
    std::shared_ptr<Job> job_;  // Null when the table was full.
  };

  // Makes all present and later waits end at `deadline` at the latest.
  void LimitWaits(TimePoint deadline);

  // Returns at most `limit` jobs that hold a payload and whose status was not
  // updated for `age`. They are not returned again before `age` has passed.
  std::vector<std::string> TakeStaleJobs(Duration age, std::size_t limit);

  std::size_t payload_bytes() const;

 private:
  struct Job {
    std::shared_ptr<const std::string> payload;
    bool has_idempotency_key = false;
    std::int32_t task_count = 1;
    std::vector<const Waiter*> waiters;
    bool final = false;
    std::optional<wire::JobStatus> status;
    // Results from the target, by task index.
    std::map<std::int32_t, wire::TaskStatus> delivered_tasks;
    // When the status was last updated or TakeStaleJobs() returned the job.
    TimePoint checked_at;
    // Until then, a final status that lacks an answer's bytes is ignored.
    std::optional<TimePoint> answer_deadline;
    std::condition_variable changed;
  };
  using JobPtr = std::shared_ptr<Job>;

  bool HasConnectedWaiter(const Job& job) const;

  // Returns whether `status` is to be ignored because the target may still send
  // the answer to this entry. Sets the job's answer_deadline.
  static bool AwaitsAnswer(Job& job, const wire::JobStatus& status);
  void DropPayload(Job& job);
  // Erases the job when no caller waits for it and it is final or has no
  // payload.
  void EraseIfUnused(const std::string& job_id);

  const PendingJobsLimits limits_;
  mutable std::mutex mutex_;
  std::unordered_map<std::string, JobPtr> jobs_;
  std::size_t payload_bytes_ = 0;
  TimePoint wait_limit_ = TimePoint::max();
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_PENDING_JOBS_H_
