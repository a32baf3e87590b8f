#include "cranberryshunt/policy/graph_admission.h"

#include <algorithm>

#include "account_admission.h"

namespace cranberryshunt::policy {

namespace {

// Share of the capacity that tasks of different sizes can use in practice.
constexpr double kPackableShare = 0.9;
// Share of the slack that the expected wait may use. The rest covers run times
// that are longer than expected.
constexpr double kUsableSlackShare = 0.8;
// A wait up to this long is accepted even for a job without slack.
constexpr std::int64_t kMinUsableWaitMs = 150;
// The leader refuses new jobs while the median time in which workers answer
// start orders is above these limits. The higher limit applies to urgent jobs.
// Jobs are refused because leases that are renewed too late cost more than jobs
// that are submitted again. In a large cell whose leader is not overloaded,
// workers answer within 60 to 115 ms. Most of this time is spent on round trips
// between regions and on batching.
constexpr double kMaxAnswerMs = 250;
constexpr double kMaxUrgentAnswerMs = 500;
constexpr std::int64_t kOverloadedRetryMs = 1'000;
constexpr std::int64_t kMinRetryMs = 300;
constexpr std::int64_t kMaxRetryMs = 10'000;

// Whether the waiting tasks are placed before those of the new job. This is the
// order in which the planner places steps.
bool Precedes(const WaitingDemand& waiting, const NewJob& job) {
  if (waiting.over_rate != job.over_rate) {
    return job.over_rate;
  }
  const bool step_late = waiting.slack_ms < 0;
  const bool job_late = job.slack_ms < 0;
  if (step_late != job_late) {
    return job_late;
  }
  if (waiting.urgent != job.urgent) {
    return waiting.urgent;
  }
  return step_late || waiting.slack_ms <= job.slack_ms;
}

// Expected time until the demand is covered. Tasks may also wait for advice
// while capacity is free, so free capacity is subtracted from their demand.
double CapacityWaitMs(const DimensionLoad& load, double demand) {
  const double missing = demand - load.free * kPackableShare;
  if (missing <= 0 || load.released_per_ms <= 0) {
    return 0;
  }
  return missing / (load.released_per_ms * kPackableShare);
}

// Declared run times can make a wait too long for an integer.
std::int64_t ToWaitMs(double wait_ms) {
  constexpr double kLongestWaitMs = 1e12;
  return static_cast<std::int64_t>(std::min(wait_ms, kLongestWaitMs));
}

// Expected time until the job has the tickets for its first tasks. While
// questions wait for callers, the tickets of a gang expire before it has room
// for all its tasks, so it needs a second answer.
double AdviceWaitMs(const LoadSummary& load, const NewJob& job) {
  const double wait_ms = load.advice_wait_ms;
  // A short wait hardly lets the first tickets expire.
  const double second_answer_ms =
      std::min(wait_ms + static_cast<double>(job.advice_ms), 2 * wait_ms);
  return job.gang ? wait_ms + second_answer_ms : wait_ms;
}

}  // namespace

void DimensionLoad::AddRunning(double size, std::int64_t expected_run_ms) {
  released_per_ms +=
      size / static_cast<double>(std::max<std::int64_t>(1, expected_run_ms));
}

const char* RefusalCauseName(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kNone:
      return "none";
    case RefusalCause::kOverloaded:
      return "overloaded";
    case RefusalCause::kLate:
      return "late";
    case RefusalCause::kAccountLimit:
      return "account_limit";
    case RefusalCause::kOverRate:
      return "over_rate";
  }
  return "unknown";
}

AdmissionDecision DecideAdmission(const LoadSummary& load, const NewJob& job) {
  AdmissionDecision decision;
  double memory_mb = 0;
  for (const auto& it : load.waiting) {
    if (Precedes(it, job)) {
      decision.preceding_milli_cpus += it.milli_cpus;
      memory_mb += it.memory_mb;
    }
  }
  const auto cell_wait_ms = [&](const PrecedingDemand& demand) {
    return std::max(CapacityWaitMs(load.cpus, demand.cpus),
                    CapacityWaitMs(load.memory, demand.memory));
  };
  double capacity_wait_ms =
      cell_wait_ms({decision.preceding_milli_cpus, memory_mb});
  const AccountWaits accounts(load, job, Precedes);
  if (accounts.limit_others()) {
    capacity_wait_ms = accounts.CellWaitMs(capacity_wait_ms, cell_wait_ms);
  }
  decision.account_wait_ms = ToWaitMs(accounts.OwnWaitMs());
  decision.overloaded =
      load.answer_ms > (job.urgent ? kMaxUrgentAnswerMs : kMaxAnswerMs);
  decision.expected_wait_ms =
      std::max(decision.account_wait_ms,
               ToWaitMs(std::max(capacity_wait_ms, AdviceWaitMs(load, job))));
  // A job that is already late is still useful to its caller, so it is accepted
  // while it would hardly wait.
  const auto usable_wait_ms =
      std::max(kMinUsableWaitMs,
               static_cast<std::int64_t>(kUsableSlackShare *
                                         static_cast<double>(job.slack_ms)));
  if (decision.expected_wait_ms > usable_wait_ms) {
    decision.accepted = false;
    decision.cause = decision.account_wait_ms > usable_wait_ms
                         ? RefusalCause::kAccountLimit
                         : RefusalCause::kLate;
    decision.retry_after_ms = std::clamp(
        decision.expected_wait_ms - usable_wait_ms, kMinRetryMs, kMaxRetryMs);
  }
  if (job.over_rate && (!decision.accepted || TakesFromOthers(load, job))) {
    decision.accepted = false;
    decision.cause = RefusalCause::kOverRate;
    decision.retry_after_ms =
        std::clamp<std::int64_t>(job.next_token_ms, 1, kMaxRetryMs);
  }
  if (decision.overloaded) {
    decision.accepted = false;
    decision.cause = RefusalCause::kOverloaded;
    decision.retry_after_ms =
        std::max(decision.retry_after_ms, kOverloadedRetryMs);
  }
  return decision;
}

}  // namespace cranberryshunt::policy
