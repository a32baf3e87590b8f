// Admission control of step-graph jobs. A new job is accepted only if it is
// expected to meet its latency objective given the work that is already queued
// and running. Does no I/O and reads no clock.
#ifndef CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_
#define CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_

#include <cstdint>
#include <map>
#include <vector>

#include "cranberryshunt/policy/account_ledger.h"

namespace cranberryshunt::policy {

// Load of one resource of the fleet, in milli-CPUs or MB.
struct DimensionLoad {
  double free = 0;
  // Average amount that running tasks release per millisecond.
  double released_per_ms = 0;

  // Adds a running task of this size to `released_per_ms`.
  void AddRunning(double size, std::int64_t expected_run_ms);
};

// Demand of the waiting tasks of a step.
struct WaitingDemand {
  bool urgent = false;
  // Time until the latest start with which the step's job meets its objective;
  // negative if the step is late.
  std::int64_t slack_ms = 0;
  double milli_cpus = 0;
  double memory_mb = 0;
  AccountNumber account = kNoAccount;
  bool over_rate = false;  // Accepted beyond the rate of its account.
  double accelerators = 0;
};

// Use of one resource by an account, in the unit of the resource.
struct AccountDimension {
  double limit = 0;  // 0: none.
  double used = 0;
  double released_per_ms = 0;
};

struct AccountLoad {
  AccountDimension cpus;
  AccountDimension memory;
  AccountDimension accelerators;
};

// Use of one resource of the cell by jobs within and beyond the rates of their
// accounts.
struct RateDimension {
  double capacity = 0;
  // The recent peak of what jobs within their rate used and waited for.
  double peak_within_rate = 0;
  double used_over_rate = 0;
};

AccountLoad LoadOf(const AccountLedger& accounts, AccountNumber account);

// Why a job is refused.
enum class RefusalCause {
  kNone,
  kOverloaded,    // The leader is short of processor time.
  kLate,          // It would end after its objective.
  kAccountLimit,  // The same, because its account is at its limit.
  kOverRate,      // Its account has used up its rate.
};

// For log messages and metrics.
const char* RefusalCauseName(RefusalCause cause);

struct LoadSummary {
  DimensionLoad cpus;
  DimensionLoad memory;
  std::vector<WaitingDemand> waiting;  // In any order.
  // Expected time until the advice service begins a new question.
  double advice_wait_ms = 0;
  // Median time in which workers answered recent start orders. It grows when
  // the leader is short of processor time.
  double answer_ms = 0;
  // Callers of the advice service that have no question.
  std::int64_t idle_callers = 0;
  // Whether tasks of jobs within the rate of their accounts wait although
  // workers are allowed, because these have no room.
  bool lacks_room = false;
  RateDimension cpus_by_rate;
  RateDimension memory_by_rate;
  // The accounts with a limit that have waiting tasks or submit the new job.
  std::map<AccountNumber, AccountLoad> accounts;
};

struct NewJob {
  bool urgent = false;
  std::int64_t critical_path_ms = 0;  // Includes advice, excludes waiting.
  std::int64_t slack_ms = 0;          // Objective minus the critical path.
  AccountNumber account = kNoAccount;
  // Whether the account has used up its rate, and the time until it has a token
  // again.
  bool over_rate = false;
  std::int64_t next_token_ms = 0;
  bool needs_advice = false;
  // What its first steps need to begin: one task, or a whole gang.
  Demand first_demand;
  // Whether a step of it is a gang, and the time in which the advice service is
  // expected to answer a question of it.
  bool gang = false;
  std::int64_t advice_ms = 0;
};

struct AdmissionDecision {
  bool accepted = true;
  std::int64_t expected_wait_ms = 0;
  // Demand of the waiting tasks that are placed before those of the job.
  double preceding_milli_cpus = 0;
  // The part of the wait until the limit of its account leaves room.
  std::int64_t account_wait_ms = 0;
  // Refused because the leader is short of processor time.
  bool overloaded = false;
  RefusalCause cause = RefusalCause::kNone;
  // Delay after which the caller should retry. Set only if the job is refused.
  std::int64_t retry_after_ms = 0;
};

// Accepts the job if the expected wait fits into its slack and the leader is
// not overloaded. A job beyond the rate of its account is accepted only if it
// takes nothing from jobs within their rate: none of these lacks room, their
// recent peak leaves capacity for it, and its questions find an idle caller.
AdmissionDecision DecideAdmission(const LoadSummary& load, const NewJob& job);

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_
