// Manages each attempt from its committed placement to its committed end.
#ifndef CRANBERRYSHUNT_CONTROLLER_ATTEMPT_MANAGER_H_
#define CRANBERRYSHUNT_CONTROLLER_ATTEMPT_MANAGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "attempt_table.h"
#include "leader_context.h"

namespace cranberryshunt::controller {

// Effect of a report about an attempt.
enum class ReportEffect {
  kUnknownAttempt,  // Not the current attempt of a task, or the task is final.
  kRecorded,
  kEnding,  // The end of the attempt is decided but not applied yet.
};

class AttemptManager {
 public:
  // Called with each report in Attempt::waiting_reports once the end of the
  // attempt is applied.
  using EndAppliedHandler = std::function<void(std::uint64_t report)>;

  AttemptManager(LeaderContext& context, EndAppliedHandler on_end_applied)
      : context_(context), on_end_applied_(std::move(on_end_applied)) {}

  // Called when a placement is applied. Queues the start of the attempt.
  void OnPlaced(const state::JobRecord& job,
                const state::TaskRecord& task,
                TimePoint now);
  // Takes over an attempt that an earlier leader placed. The earlier leader may
  // have sent its start.
  void Restore(const state::JobRecord& job,
               const state::TaskRecord& task,
               TimePoint now);
  // Called when the end of an attempt is applied.
  void OnEndApplied(const policy::TaskId& task);

  // Returns the start order to send to an entry now, or that the start must be
  // dropped.
  StartDecision DecideStart(const wire::AttemptKey& key, TimePoint now);

  ReportEffect Report(const wire::AttemptReport& report, TimePoint now);
  // Ends the attempts on `worker` that are being looked up and were not started
  // before their expiry. The worker sent an announcement that lists the
  // attempts `listed` at `clock_ms` on its own clock. This covers a worker that
  // announces itself but cannot be reached by lookups.
  void EndUnlisted(const std::string& worker,
                   std::int64_t clock_ms,
                   const std::vector<wire::AttemptReport>& listed,
                   TimePoint now);
  void RequestStop(const policy::TaskId& task,
                   StopReason reason,
                   bool checkpoint,
                   TimePoint now);
  void Throttle(const policy::TaskId& task, std::int32_t percent);

  // Ends all attempts on a worker that restarted or whose leases have expired.
  void OnWorkerLost(const std::string& worker,
                    const std::string& reason,
                    TimePoint now);
  // Withdraws the starts on a leaving worker that are not known to run yet.
  void OnWorkerLeaving(const std::string& worker, TimePoint now);
  // Called when an entry is dead or has restarted. Assigns its starts
  // again, except that starts that may have been sent and have expired are
  // looked up.
  void OnEntryLost(const std::string& entry, TimePoint now);

  // Handles the expired timers of attempts.
  void Tick(TimePoint now);

  AttemptTable& table() { return table_; }

 private:
  struct Ending {
    policy::EndKind kind = policy::EndKind::kDone;
    ResultCode code = ResultCode::kOk;  // kOk: End() chooses the code.
    std::string reason = {};
    wire::Answer answer = {};
  };

  Attempt& Track(const state::JobRecord& job, const state::TaskRecord& task);
  void AssignStart(Attempt& attempt, TimePoint now);
  wire::StartOrder MakeStart(const state::JobRecord& job,
                             const Attempt& attempt,
                             const LiveWorker& worker,
                             TimePoint now) const;
  void Withdraw(Attempt& attempt, const std::string& reason, TimePoint now);
  void StartLookup(Attempt& attempt, TimePoint now);
  void SendStop(Attempt& attempt, TimePoint now);
  void OnTimer(Attempt& attempt, TimePoint now);
  std::string ChooseEntry(const Attempt& attempt);

  void MarkAttemptRunning(Attempt& attempt, TimePoint now);
  // Records the time from the submission of the job to the first start.
  void RecordWait(const Attempt& attempt, TimePoint now);
  void ReportDone(Attempt& attempt,
                  const wire::AttemptReport& report,
                  TimePoint now);
  void ReportNotStarted(Attempt& attempt,
                        const wire::AttemptReport& report,
                        TimePoint now);
  void ReportStopped(Attempt& attempt,
                     const wire::AttemptReport& report,
                     TimePoint now);

  void End(Attempt& attempt, Ending ending, TimePoint now);
  // Ends an attempt that can never start because its payload is lost.
  void EndUndeliverable(Attempt& attempt, TimePoint now);
  void CommitRequeue(const Attempt& attempt, const Ending& ending);
  void CommitFinish(const Attempt& attempt,
                    wire::Outcome::type outcome,
                    ResultCode code,
                    const Ending& ending);

  LeaderContext& context_;
  EndAppliedHandler on_end_applied_;
  AttemptTable table_;
  std::size_t next_entry_ = 0;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_ATTEMPT_MANAGER_H_
