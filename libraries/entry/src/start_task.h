// Carries out one start order.
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

// Largest answer that is committed with a task's result.
inline constexpr std::size_t kMaxStoredAnswerBytes = 64U << 10;

// Clears the bytes of an answer that is not to be stored. Of a damaged answer a
// part stays, so that the leader still sees the damage.
void StripUnstoredAnswer(wire::Answer& answer);

// One run of a start order. It ends with exactly one report, unless the client
// was aborted: then the leader asks another entry to look the attempt up.
class StartTask {
 public:
  // `sent_before`: this entry may have sent a start of the attempt already.
  StartTask(targets::TargetClient& client,
            PendingJobs& jobs,
            Reporter& reporter,
            const wire::StartOrder& order,
            targets::Target target,
            TimePoint received_at,
            bool sent_before);

  void Run();

 private:
  // Sends the start until it is answered or the order is no longer valid.
  void Send(const std::string& payload);
  // Returns whether `result` settles the order.
  bool Settle(const targets::StartResult& result);
  // Finds out by lookups with a bar what became of the attempt.
  void Resolve();
  bool SettleLookup(const targets::LookupResult& result);
  void Report(wire::AttemptState::type state, const std::string& reason);
  void ReportPayloadMissing();
  void ReportRecord(wire::AttemptReport record);

  targets::TargetClient& client_;
  PendingJobs& jobs_;
  Reporter& reporter_;
  const wire::StartOrder& order_;
  const targets::Target target_;
  const TimePoint give_up_;
  bool maybe_sent_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_START_TASK_H_
