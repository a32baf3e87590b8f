// Submissions, cancellations and what is told about jobs.
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
  // The submission is certainly not in the log.
  void OnSubmitFailed(const wire::SubmitJob& command, const Error& error);
  void OnCancelApplied(const wire::CancelJobs& command,
                       const state::CancelResult& applied,
                       TimePoint now);
  // Tells the entries that wait for these jobs.
  void OnFinished(const std::vector<std::string>& job_ids);
  // The scheduler gave up queued tasks of a job.
  void FinishDropped(const policy::Drop& drop);
  // Ends the queued tasks whose payload was only at `entry_id`.
  void FinishJobsWithLostPayload(const std::string& entry_id);
  // An entry that took a job is told of its end by every leader.
  void AddWatcher(const std::string& job_id, const std::string& entry_id);

  // Attempts used so far of a task that may not be committed yet.
  std::int32_t AttemptCount(const policy::TaskId& task) const;
  // Answers every open call, because leadership is lost or the process stops.
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
