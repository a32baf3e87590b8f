// Jobs that this entry carries: payloads of interactive jobs and callers that
// wait, keyed by job id, so that an answer never goes to another request.
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
  // Forgets a job that was not accepted.
  void Remove(const std::string& job_id);

  // The payload of an interactive job, or null.
  std::shared_ptr<const std::string> PayloadOf(const std::string& job_id) const;

  // Takes over a status from the leader and wakes the callers that wait.
  void Update(const wire::JobStatus& status);

  // Takes a result of an added job that came straight from the target. Returns
  // whether a waiting caller gets the answer now and no copy is needed
  // elsewhere.
  bool Deliver(const wire::AttemptReport& record, const std::string& worker);

  // Keeps a job in the table for one caller who waits, or is going to, so that
  // an answer that is faster than the leader's reply is not missed.
  class Waiter {
   public:
    // `peer_is_gone` tells whether the caller has closed its connection.
    Waiter(PendingJobs& jobs,
           std::string job_id,
           std::function<bool()> peer_is_gone);
    ~Waiter();
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    // Waits until the job is final, the caller is gone or `deadline` has
    // passed. Calls `refresh` every second, which asks the leader and calls
    // Update(). Returns the last status known, if any.
    std::optional<wire::JobStatus> Wait(TimePoint deadline,
                                        const std::function<void()>& refresh);

   private:
    friend class PendingJobs;

    PendingJobs& jobs_;
    const std::string job_id_;
    const std::function<bool()> peer_is_gone_;
    std::shared_ptr<Job> job_;  // Null when the table was full.
  };

  // Ends all waits at `deadline` at the latest.
  void LimitWaits(TimePoint deadline);

  // Jobs whose payload is older than `age` and that nobody waits for.
  std::vector<std::string> OldJobs(Duration age, std::size_t limit);

  std::size_t payload_bytes() const;

 private:
  struct Job {
    std::shared_ptr<const std::string> payload;
    bool has_key = false;
    std::int32_t task_count = 1;
    std::vector<const Waiter*> waiters;
    bool final = false;
    std::optional<wire::JobStatus> status;
    std::map<std::int32_t, wire::TaskStatus> direct;
    TimePoint checked_at;
    // Until when a final status without its answer is not taken over.
    std::optional<TimePoint> answer_due;
    std::condition_variable changed;
  };
  using JobPtr = std::shared_ptr<Job>;

  bool HasLiveWaiter(const Job& job) const;

  static bool AwaitsAnswer(Job& job, const wire::JobStatus& status);
  void DropPayload(Job& job);
  void EraseIfDone(const std::string& job_id);

  const PendingJobsLimits limits_;
  mutable std::mutex mutex_;
  std::unordered_map<std::string, JobPtr> jobs_;
  std::size_t payload_bytes_ = 0;
  TimePoint wait_limit_ = TimePoint::max();
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_PENDING_JOBS_H_
