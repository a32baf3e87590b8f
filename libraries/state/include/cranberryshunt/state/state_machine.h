// The replicated state, which is a deterministic function of the committed
// commands.
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

// Uses no clock, no random numbers and no iteration over unordered containers,
// so that all replicas compute the same state. A change that does not match the
// state is rejected with a result code.
class StateMachine {
 public:
  // Applies the batch at `index` of the log and returns one result for each
  // command. If `index` is at most index(), the batch was applied before, and
  // an empty list is returned.
  std::vector<CommandResult> Apply(const wire::CommandBatch& batch,
                                   std::int64_t index);

  // Returns the encoded state.
  std::string Snapshot() const;
  // Fails with kCorrupt if `bytes` is not an encoded snapshot.
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
