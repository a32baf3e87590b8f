// Drives each attempt from its committed placement to its committed end.
#ifndef CRANBERRYSHUNT_CONTROLLER_ATTEMPT_MANAGER_H_
#define CRANBERRYSHUNT_CONTROLLER_ATTEMPT_MANAGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "attempt_table.h"
#include "leader_context.h"

namespace cranberryshunt::controller {

// What a report about an attempt led to.
enum class ReportEffect {
  kUnknownAttempt,  // Not the task's current attempt, or the task is final.
  kRecorded,
  kEnding,  // The end is on its way into the log.
};

class AttemptManager {
 public:
  // Called with each report in Attempt::waiting_reports once the end of the
  // attempt is applied.
  using EndAppliedHandler = std::function<void(std::uint64_t report)>;

  AttemptManager(LeaderContext& context, EndAppliedHandler on_end_applied)
      : context_(context), on_end_applied_(std::move(on_end_applied)) {}

  // A placement was applied: its start may be sent.
  void OnPlaced(const state::JobRecord& job,
                const state::TaskRecord& task,
                TimePoint now);
  // Takes over an attempt of an earlier leader, whose start may have been sent.
  void Restore(const state::JobRecord& job,
               const state::TaskRecord& task,
               TimePoint now);
  // The end of an attempt was applied.
  void OnEndApplied(const policy::TaskId& task);

  // Decides on a start that an entry is about to get.
  StartDecision DecideStart(const wire::AttemptKey& key, TimePoint now);

  ReportEffect Report(const wire::AttemptReport& report, TimePoint now);
  // The worker lists `listed` in an announcement sent at `clock_ms` of its own
  // clock. Ends the attempts that it can no longer start, which matters when
  // it announces itself but cannot be reached by lookups.
  void EndUnlisted(const std::string& worker,
                   std::int64_t clock_ms,
                   const std::vector<wire::AttemptReport>& listed,
                   TimePoint now);
  void RequestStop(const policy::TaskId& task,
                   StopReason reason,
                   bool checkpoint,
                   TimePoint now);
  void Throttle(const policy::TaskId& task, std::int32_t percent);

  // The worker's leases have ended or it restarted: its attempts are over.
  void OnWorkerLost(const std::string& worker,
                    const std::string& reason,
                    TimePoint now);
  // The worker is leaving: withdraws the starts that have not taken effect.
  void OnWorkerLeaving(const std::string& worker, TimePoint now);
  // Moves the starts that the entry holds to other entries.
  void OnEntryLost(const std::string& entry, TimePoint now);

  // Acts on everything that is due.
  void Tick(TimePoint now);

  AttemptTable& table() { return table_; }

 private:
  struct Ending {
    policy::EndKind kind = policy::EndKind::kDone;
    ResultCode code = ResultCode::kOk;  // kOk: what the scheduler says.
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

  void ReportRunning(Attempt& attempt, TimePoint now);
  // Counts the time from submission to the first start.
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
  // The payload is gone, so the attempt can never be started.
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
