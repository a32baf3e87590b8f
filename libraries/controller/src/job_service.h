// Handles submissions, cancellations, job queries and notifications of finished
// jobs.
#ifndef CRANBERRYSHUNT_CONTROLLER_JOB_SERVICE_H_
#define CRANBERRYSHUNT_CONTROLLER_JOB_SERVICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "attempt_manager.h"
#include "leader_context.h"

namespace cranberryshunt::controller {

class JobService {
 public:
  JobService(LeaderContext& context, AttemptManager& attempts)
      : context_(context), attempts_(attempts) {}

  void Submit(SubmitCall call, TimePoint now);
  void GetJob(const GetJobCall& call);
  void Cancel(CancelCall call);

  void OnSubmitApplied(const wire::SubmitJob& command,
                       const state::SubmitResult& applied);
  // Rejects a submission that is certainly not in the log.
  void OnSubmitFailed(const wire::SubmitJob& command, const Error& error);
  void OnCancelApplied(const wire::CancelJobs& command,
                       const state::CancelResult& applied,
                       TimePoint now);
  // Sends the final status of the jobs to the entries that watch them.
  void OnFinished(const std::vector<std::string>& job_ids);
  // Finishes the queued tasks of a job that the scheduler has dropped.
  void FinishDropped(const policy::Drop& drop);
  // Finishes the queued tasks of jobs whose payload was held only by
  // `entry_id`.
  void FinishJobsWithLostPayload(const std::string& entry_id);
  // Registers `entry_id` to be notified when the job finishes. Each leader
  // registers the entry that accepted the job.
  void AddWatcher(const std::string& job_id, const std::string& entry_id);

  // Returns the number of attempts of a task so far; 0 if its job is not
  // committed yet.
  std::int32_t AttemptCount(const policy::TaskId& task) const;
  // Replies with an error to every open call, because leadership is lost or the
  // process stops.
  void Abandon(const wire::Status& status);

 private:
  struct PendingSubmit {
    wire::SubmitJob command;
    std::vector<Reply<wire::SubmitReply>> replies;
  };

  struct PendingCancel {
    wire::CancelJobs command;
    CancelCall call;
  };

  bool ReplyToDuplicate(SubmitCall& call, std::int64_t digest);
  bool JoinPending(SubmitCall& call, std::int64_t digest);
  void Refuse(const Reply<wire::SubmitReply>& reply,
              const std::string& job_id,
              const wire::Status& status) const;
  void FinishQueued(const std::string& job_id,
                    ResultCode code,
                    const std::string& reason);
  wire::CancelReply MakeCancelReply(
      const std::vector<std::string>& job_ids) const;

  LeaderContext& context_;
  AttemptManager& attempts_;
  std::map<std::string, PendingSubmit> pending_submits_;
  std::map<std::pair<std::string, std::string>, std::string> pending_keys_;
  std::map<std::string, std::set<std::string>> watchers_;
  std::deque<PendingCancel> pending_cancels_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_JOB_SERVICE_H_
