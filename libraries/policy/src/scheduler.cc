#include "cranberryshunt/policy/scheduler.h"

#include <numeric>
#include <utility>

#include "implementation.h"

namespace cranberryshunt::policy {

namespace {

// Tolerates rounding errors in a sum of decimal fractions such as 0.3 + 0.25,
// which can raise it above 1.
constexpr double kShareTolerance = 1e-9;

}  // namespace

Scheduler::Implementation::Implementation(
    const SchedulerOptions& scheduler_options)
    : options(scheduler_options),
      random(scheduler_options.seed),
      workers(scheduler_options.seed + 1),
      queues{FairQueue(jobs), FairQueue(jobs), FairQueue(jobs),
             FairQueue(jobs)} {}

Result<std::unique_ptr<Scheduler>> Scheduler::Create(
    const SchedulerOptions& options) {
  const auto& shares = options.guaranteed_share;
  for (const double share : shares) {
    if (!(share >= 0 && share <= 1)) {
      return Fail(ResultCode::kInvalidSettings,
                  "a guaranteed share must be between 0 and 1",
                  "guaranteed_share");
    }
  }
  if (std::accumulate(shares.begin(), shares.end(), 0.0) >
      1 + kShareTolerance) {
    return Fail(ResultCode::kInvalidSettings,
                "the sum of the guaranteed shares must not exceed 1",
                "guaranteed_share");
  }
  if (options.max_queued_tasks_per_team_and_kind < 1 ||
      options.max_queued_tasks_per_kind <
          options.max_queued_tasks_per_team_and_kind) {
    return Fail(ResultCode::kInvalidSettings,
                "the queue limit of a kind must be at least that of a team and "
                "kind, and both must be at least 1",
                "max_queued_tasks_per_kind");
  }
  return std::unique_ptr<Scheduler>(
      new Scheduler(std::make_unique<Implementation>(options)));
}

Scheduler::Scheduler(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Scheduler::~Scheduler() = default;

void Scheduler::UpsertWorker(const WorkerInfo& worker) {
  implementation_->UpsertWorker(worker);
}

void Scheduler::SetAccepting(const std::string& worker, bool accepting) {
  implementation_->SetAccepting(worker, accepting);
}

void Scheduler::RemoveWorker(const std::string& worker) {
  implementation_->RemoveWorker(worker);
}

void Scheduler::SetQuotas(const std::vector<Quota>& quotas) {
  implementation_->SetQuotas(quotas);
}

Admission Scheduler::Submit(const JobRequest& job, TimePoint now) {
  return implementation_->Submit(job, now);
}

void Scheduler::Restore(const JobRequest& job,
                        const std::vector<RestoredTask>& tasks,
                        TimePoint now) {
  implementation_->Restore(job, tasks, now);
}

std::vector<Decision> Scheduler::Decide(TimePoint now, std::size_t limit) {
  return implementation_->Decide(now, limit);
}

void Scheduler::TaskRunning(const TaskId& task, TimePoint now) {
  implementation_->TaskRunning(task, now);
}

EndOutcome Scheduler::TaskEnded(const TaskId& task,
                                EndKind end,
                                TimePoint now) {
  return implementation_->TaskEnded(task, end, now);
}

std::vector<Assignment> Scheduler::Cancel(const std::string& job_id) {
  return implementation_->Cancel(job_id);
}

void Scheduler::TaskUsage(const TaskId& task, const Resources& used) {
  implementation_->ThrottleOrStopExcessUsage(task, used);
}

std::optional<TimePoint> Scheduler::next_due() const {
  return implementation_->NextDue();
}

SchedulerReport Scheduler::Report(TimePoint now) const {
  implementation_->SetNow(now);
  return implementation_->Report();
}

std::array<KindReport, kKindCount> Scheduler::KindReports(TimePoint now) const {
  implementation_->SetNow(now);
  return implementation_->KindReports();
}

}  // namespace cranberryshunt::policy
