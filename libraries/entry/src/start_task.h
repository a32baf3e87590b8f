// Carries out one start order: starts an attempt of a task on its target.
#ifndef CRANBERRYSHUNT_ENTRY_START_TASK_H_
#define CRANBERRYSHUNT_ENTRY_START_TASK_H_

#include <memory>
#include <string>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/targets/target_client.h"
#include "pending_jobs.h"
#include "reporter.h"
#include "wire_types.h"

namespace cranberryshunt::entry {

// Largest answer, in bytes, that is committed with the result of a task.
inline constexpr std::size_t kMaxStoredAnswerBytes = 64U << 10;

// Clears the bytes of an answer that the leader is not to store, and marks it
// as not stored. This includes every answer above kMaxStoredAnswerBytes. Part
// of a damaged answer is kept, so that the leader can still see that its length
// or checksum is wrong.
void StripUnstoredAnswer(wire::Answer& answer);

// Carries out a start order once and then makes exactly one report. There is no
// report when the client was aborted: the leader then asks another entry to
// look up the attempt.
class StartTask {
 public:
  // `sent_before`: whether this entry may already have sent a start of the
  // attempt.
  StartTask(targets::TargetClient& client,
            PendingJobs& jobs,
            Reporter& reporter,
            const wire::StartOrder& order,
            targets::Target target,
            TimePoint received_at,
            bool sent_before);

  void Run();

 private:
  // Sends the start until the target answers or the order expires.
  void SendUntilAnswered(const std::string& payload);
  // Reports the outcome when `result` is conclusive. Returns whether it was.
  bool ReportStartResult(const targets::StartResult& result);
  // Looks the attempt up until its state is known, and reports it. The lookups
  // make a target that has no record of the attempt refuse to start it later.
  void ResolveByLookup();
  // Reports the attempt's state when `result` is conclusive. For a running
  // interactive attempt, waits for its end first. Returns whether it was
  // conclusive or the client was aborted.
  bool ReportLookupResult(const targets::LookupResult& result);
  void Report(wire::AttemptState::type state, const std::string& reason);
  void ReportPayloadMissing();
  // Delivers an answer to a waiting caller of this entry, and reports `record`.
  void ReportRecord(wire::AttemptReport record);

  targets::TargetClient& client_;
  PendingJobs& jobs_;
  Reporter& reporter_;
  const wire::StartOrder& order_;
  const targets::Target target_;
  const TimePoint valid_until_;
  bool maybe_sent_;  // The target may have received a start of the attempt.
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_START_TASK_H_
