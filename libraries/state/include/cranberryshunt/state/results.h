// The results of applying commands.
#ifndef CRANBERRYSHUNT_STATE_RESULTS_H_
#define CRANBERRYSHUNT_STATE_RESULTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::state {

// `code` is `kOk` for a new job, and for a known idempotency key or job id
// whose spec digest is the same. It is `kKeyConflict` if the digest differs. If
// the key or the job id is known, `existing` is true and `job_id` is the id of
// the existing job.
struct SubmitResult {
  ResultCode code = ResultCode::kOk;
  std::string job_id;
  bool existing = false;

  bool operator==(const SubmitResult&) const = default;
};

// `codes` has one code for each task of the command, in the same order:
// `kOk`: The change was applied.
// `kNotFound`: The job, the task or the worker does not exist.
// `kCancelledByCaller`: The job was cancelled.
// `kRevisionConflict`: The command does not match the state, the attempt or the
// fence of the task.
struct TasksResult {
  std::vector<ResultCode> codes;
  std::vector<std::string> finished_jobs;  // Jobs that became final.

  bool operator==(const TasksResult&) const = default;
};

// `codes` has one code for each job of the command, in the same order. `active`
// lists the attempts of the cancelled jobs that are placed or running and must
// be stopped.
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

// `code` is `kOk` or `kRevisionConflict`. A known publication id with the same
// content gets its first result again.
struct PublishResult {
  ResultCode code = ResultCode::kOk;
  std::int64_t revision = 0;
  // The operator, publication and version that are current.
  std::string winner;

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

// This version does not know the type of the command.
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
