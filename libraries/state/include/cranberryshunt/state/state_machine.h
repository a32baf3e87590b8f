// The replicated state: a deterministic function of the committed commands.
#ifndef CRANBERRYSHUNT_STATE_STATE_MACHINE_H_
#define CRANBERRYSHUNT_STATE_STATE_MACHINE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/state/job_store.h"
#include "cranberryshunt/state/records.h"
#include "cranberryshunt/state/results.h"
#include "wire_types.h"

namespace cranberryshunt::state {

// Uses no clock, no random number and no unordered iteration. A command that
// does not fit the state is refused with a code and changes nothing.
class StateMachine {
 public:
  // Applies the batch at `index` of the log; returns one result for each
  // command. A batch at or below index() was applied before and is skipped
  // with an empty list.
  std::vector<CommandResult> Apply(const wire::CommandBatch& batch,
                                   std::int64_t index);

  // Encodes the whole state.
  std::string Snapshot() const;
  // Fails with kCorrupt when `bytes` is no snapshot.
  static Result<StateMachine> Restore(std::string_view bytes);

  std::int64_t index() const { return index_; }
  std::int64_t term() const { return term_; }
  const JobStore& jobs() const { return jobs_; }
  const std::map<std::string, wire::Worker>& workers() const {
    return workers_;
  }
  const RulesHistory& rules() const { return rules_; }
  const AuditTrail& audit() const { return audit_; }

 private:
  CommandResult ApplyOne(const wire::Command& command);
  CancelResult Cancel(const wire::CancelJobs& command);
  WorkersResult UpsertWorkers(const wire::UpsertWorkers& command);
  WorkersResult RemoveWorkers(const wire::RemoveWorkers& command);
  DrainResult Drain(const wire::DrainWorker& command);
  PublishResult Publish(const wire::PublishRules& command);
  AuditResult RecordAudit(const wire::RecordAudit& command);
  TermResult BeginTerm(const wire::BeginTerm& command);
  void AppendAuditRecord(std::int64_t at_ms,
                         const std::string& actor,
                         const std::string& action,
                         const std::string& detail);

  std::int64_t index_ = 0;
  std::int64_t term_ = 0;
  std::int64_t now_ms_ = 0;
  JobStore jobs_;
  std::map<std::string, wire::Worker> workers_;
  RulesHistory rules_;
  AuditTrail audit_;
};

}  // namespace cranberryshunt::state

#endif  // CRANBERRYSHUNT_STATE_STATE_MACHINE_H_
