// What applying a command did.
#ifndef CRANBERRYSHUNT_STATE_RESULTS_H_
#define CRANBERRYSHUNT_STATE_RESULTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::state {

// `kOk` for a new job, or for a known key or job id with the same digest; then
// `existing` is set and `job_id` names the first job. `kKeyConflict` otherwise.
struct SubmitResult {
  ResultCode code = ResultCode::kOk;
  std::string job_id;
  bool existing = false;

  bool operator==(const SubmitResult&) const = default;
};

// One code for each task of the command, in its order. `kOk`: applied.
// `kNotFound`: no such job, task or worker. `kCancelledByCaller`: the job was
// cancelled. `kRevisionConflict`: the task is in another state or at another
// attempt.
struct TasksResult {
  std::vector<ResultCode> codes;
  std::vector<std::string> finished_jobs;  // Became final with this command.

  bool operator==(const TasksResult&) const = default;
};

// `active` lists the attempts of the cancelled jobs that are placed or running
// and must be stopped.
struct CancelResult {
  std::vector<ResultCode> codes;
  std::vector<wire::AttemptKey> active;
  std::vector<std::string> finished_jobs;

  bool operator==(const CancelResult&) const = default;
};

struct WorkersResult {
  bool operator==(const WorkersResult&) const = default;
};

struct DrainResult {
  ResultCode code = ResultCode::kOk;

  bool operator==(const DrainResult&) const = default;
};

// `kOk` or `kRevisionConflict`; a known publication id gets its first result.
struct PublishResult {
  ResultCode code = ResultCode::kOk;
  std::int64_t revision = 0;
  std::string winner;  // Operator and publication that hold the revision.

  bool operator==(const PublishResult&) const = default;
};

struct AuditResult {
  bool operator==(const AuditResult&) const = default;
};

struct ExpireResult {
  std::int64_t dropped_jobs = 0;

  bool operator==(const ExpireResult&) const = default;
};

struct TermResult {
  bool operator==(const TermResult&) const = default;
};

// The command was none that this version knows.
struct UnknownCommand {
  bool operator==(const UnknownCommand&) const = default;
};

using CommandResult = std::variant<UnknownCommand,
                                   SubmitResult,
                                   TasksResult,
                                   CancelResult,
                                   WorkersResult,
                                   DrainResult,
                                   PublishResult,
                                   AuditResult,
                                   ExpireResult,
                                   TermResult>;

}  // namespace cranberryshunt::state

#endif  // CRANBERRYSHUNT_STATE_RESULTS_H_
