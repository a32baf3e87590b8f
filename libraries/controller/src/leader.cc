#include "leader.h"

#include <algorithm>
#include <utility>

#include "cluster_view.h"
#include "conversions.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::seconds kAlertInterval{1};
constexpr std::chrono::minutes kExpiryInterval{1};
constexpr std::size_t kMaxDecisionsPerCall = 256;
// Limits the decisions per Advance(), so that calls do not wait while a long
// queue is processed.
constexpr std::size_t kMaxDecisionsPerTurn = 2'048;
constexpr std::int32_t kMaxAuditRecordsPerReply = 1'000;

wire::Command BeginTermCommand(const std::string& leader_id,
                               std::int64_t term,
                               std::int64_t at_ms) {
  wire::BeginTerm begin;
  begin.term = term;
  begin.leader_id = leader_id;
  begin.at_ms = at_ms;
  wire::Command command;
  command.__set_begin_term(begin);
  return command;
}

}  // namespace

Result<std::unique_ptr<Leader>> Leader::Create(const CoreOptions& options,
                                               const state::StateMachine& state,
                                               CoreEnvironment& environment,
                                               MetricsRegistry& metrics,
                                               std::int64_t term,
                                               TimePoint now) {
  auto scheduler = policy::Scheduler::Create(options.scheduler);
  if (!scheduler) {
    return tl::unexpected(scheduler.error());
  }
  auto leader = std::unique_ptr<Leader>(new Leader(
      options, state, environment, metrics, term, std::move(*scheduler), now));
  leader->BeginTermAndRestoreFromState(now);
  return leader;
}

Leader::Leader(const CoreOptions& options,
               const state::StateMachine& state,
               CoreEnvironment& environment,
               MetricsRegistry& metrics,
               std::int64_t term,
               std::unique_ptr<policy::Scheduler> scheduler,
               TimePoint now)
    : context_{options,
               state,
               environment,
               metrics,
               term,
               std::move(scheduler),
               // The BeginTerm command raises the fence by one before any
               // placement.
               CommandQueue(state.jobs().fence() + 1),
               WorkerTable(options.worker_lease),
               EntryTable(term, options.entry_lease, options.rules_lease, now),
               OrderQueue(term),
               {}},
      attempts_(
          context_,
          [this](std::uint64_t report) { reports_.OnEndApplied(report); }),
      jobs_(context_, attempts_),
      reports_(context_, attempts_),
      publications_(context_, now),
      polls_(context_, attempts_, jobs_, publications_),
      next_tick_(now),
      next_alert_evaluation_(now),
      next_expiry_(now + kExpiryInterval) {}

void Leader::BeginTermAndRestoreFromState(TimePoint now) {
  context_.commands.Add(
      BeginTermCommand(context_.options.id, context_.term,
                       context_.environment.WallMilliseconds()));
  publications_.BeginTerm();
  context_.workers.BeginTerm(context_.state.workers(), now);
  for (const auto& [identity, worker] : context_.state.workers()) {
    context_.scheduler->UpsertWorker(ToWorkerInfo(worker));
    // The worker gets no tasks until an announcement has reported its clock.
    context_.scheduler->SetAccepting(identity, false);
  }
  const auto open_jobs = context_.state.jobs().open_jobs();
  for (const auto& job_id : open_jobs) {
    RestoreJob(*context_.state.jobs().Find(job_id), now);
  }
}

void Leader::RestoreJob(const state::JobRecord& job, TimePoint now) {
  const std::int64_t age_ms = std::max<std::int64_t>(
      0, context_.environment.WallMilliseconds() - job.submitted_ms);
  const auto request = ToJobRequest(job.job_id, job.spec, "", context_.rules,
                                    std::chrono::milliseconds(age_ms), now);
  std::vector<policy::Scheduler::RestoredTask> tasks;
  for (const auto& task : job.tasks) {
    policy::Scheduler::RestoredTask restored;
    restored.index = task.index;
    restored.attempts = task.attempt;
    restored.finished = task.state == wire::TaskState::kFinal;
    const bool active = task.state == wire::TaskState::kPlaced ||
                        task.state == wire::TaskState::kRunning;
    if (active) {
      restored.worker = task.worker;
    }
    tasks.push_back(std::move(restored));
  }
  context_.scheduler->Restore(request, tasks, now);
  jobs_.AddWatcher(job.job_id, job.entry_id);
  for (const auto& task : job.tasks) {
    if (tasks[static_cast<std::size_t>(task.index)].worker) {
      attempts_.Restore(job, task, now);
    }
  }
}

void Leader::Handle(Call call, TimePoint now) {
  struct Visitor {
    Leader& leader;
    TimePoint now;

    void operator()(SubmitCall& it) const {
      leader.jobs_.Submit(std::move(it), now);
    }
    void operator()(ReportCall& it) const {
      leader.reports_.Report(std::move(it), now);
    }
    void operator()(PollCall& it) const {
      leader.polls_.Poll(std::move(it), now);
    }
    void operator()(GetJobCall& it) const { leader.jobs_.GetJob(it); }
    void operator()(CancelCall& it) const {
      leader.jobs_.Cancel(std::move(it));
    }
    void operator()(PublishCall& it) const {
      leader.publications_.Publish(std::move(it), now);
    }
    void operator()(RulesCall& it) const {
      const auto& rules = leader.context_.state.rules();
      wire::RulesReply reply;
      reply.revision = rules.revision();
      if (rules.revision() > it.if_newer_than) {
        reply.publication = rules.current();
      }
      it.reply(std::move(reply));
    }
    void operator()(AuditCall& it) const {
      wire::AuditReply reply;
      const auto limit = std::clamp(it.limit, 1, kMaxAuditRecordsPerReply);
      reply.records = leader.context_.state.audit().After(
          it.after_sequence, static_cast<std::size_t>(limit));
      it.reply(std::move(reply));
    }
    void operator()(ClusterCall& it) const {
      it.reply(DescribeCluster(leader.context_, leader.alerts_.firing(),
                               leader.reports_.bytes_between_regions(), now));
    }
    void operator()(DrainCall& it) const { leader.Drain(std::move(it)); }
  };
  std::visit(Visitor{*this, now}, call);
}

void Leader::Drain(DrainCall call) {
  call.request.at_ms = context_.environment.WallMilliseconds();
  wire::Command command;
  command.__set_drain_worker(call.request);
  context_.commands.Add(std::move(command));
  pending_drains_.push_back(std::move(call));
}

void Leader::Advance(TimePoint now) {
  if (now >= next_tick_) {
    next_tick_ = now + kTickInterval;
    context_.commands.Resume();
    reports_.Tick(now);
    polls_.Tick(now);
    publications_.Tick(now);
    attempts_.Tick(now);
  }
  if (now >= next_alert_evaluation_) {
    next_alert_evaluation_ = now + kAlertInterval;
    EvaluateAlerts(now);
  }
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryInterval;
    ExpireKeys();
  }
  Decide(now);
  // Without the lease, another leader may have withdrawn the orders that a poll
  // would return.
  if (context_.environment.HasLease(context_.term)) {
    polls_.Serve(now);
  }
}

void Leader::Decide(TimePoint now) {
  std::size_t count = 0;
  while (count < kMaxDecisionsPerTurn) {
    const auto decisions =
        context_.scheduler->Decide(now, kMaxDecisionsPerCall);
    if (decisions.empty()) {
      return;
    }
    count += decisions.size();
    for (const auto& decision : decisions) {
      ExecuteDecision(decision, now);
    }
  }
}

void Leader::ExecuteDecision(const policy::Decision& decision, TimePoint now) {
  struct Visitor {
    Leader& leader;
    TimePoint now;

    void operator()(const policy::Place& place) const {
      for (const auto& assignment : place.assignments) {
        leader.context_.commands.AddPlacement(
            leader.MakePlacement(assignment),
            leader.context_.environment.WallMilliseconds());
      }
    }
    void operator()(const policy::Preempt& preempt) const {
      leader.attempts_.RequestStop(preempt.task, StopReason::kPreempted,
                                   preempt.checkpoint, now);
    }
    void operator()(const policy::Throttle& throttle) const {
      leader.attempts_.Throttle(throttle.task, throttle.percent);
    }
    void operator()(const policy::Drop& drop) const {
      leader.jobs_.FinishDropped(drop);
    }
  };
  std::visit(Visitor{*this, now}, decision);
}

wire::Placement Leader::MakePlacement(
    const policy::Assignment& assignment) const {
  wire::Placement placement;
  placement.attempt.job_id = assignment.task.job_id;
  placement.attempt.index = assignment.task.index;
  placement.attempt.attempt = jobs_.AttemptCount(assignment.task) + 1;
  placement.worker = assignment.worker;
  if (const LiveWorker* worker = context_.workers.Find(assignment.worker)) {
    placement.incarnation = worker->identity.incarnation;
  }
  return placement;
}

void Leader::EvaluateAlerts(TimePoint now) {
  const auto& workers = context_.workers.workers();
  const auto live_workers =
      std::count_if(workers.begin(), workers.end(), [&](const auto& item) {
        return !item.second.lost &&
               !context_.workers.IsSilent(item.second, now);
      });
  const std::int64_t wall_ms = context_.environment.WallMilliseconds();
  const auto changes =
      alerts_.Evaluate(context_.rules.alerts, context_.scheduler->Report(now),
                       live_workers, now, wall_ms);
  for (const auto& change : changes) {
    const char* action = change.firing ? "alert firing" : "alert cleared";
    Log(LogLevel::kWarning, "controller", action,
        {{"alert", change.name}, {"value", change.value}});
    wire::AuditRecord record;
    record.at_ms = wall_ms;
    record.actor = context_.options.id;
    record.action = action;
    record.detail = change.name;
    context_.commands.Record(record);
  }
}

void Leader::ExpireKeys() {
  wire::Command command;
  wire::ExpireKeys expire;
  expire.finished_before_ms = context_.environment.WallMilliseconds() -
                              context_.options.key_retention.count();
  command.__set_expire_keys(expire);
  context_.commands.Add(std::move(command));
}

void Leader::Abandon(const wire::Status& status) {
  jobs_.Abandon(status);
  reports_.FailPendingReports(status);
  publications_.Abandon(status);
  polls_.Abandon(status);
  for (const auto& call : pending_drains_) {
    call.reply(status);
  }
  pending_drains_.clear();
}

}  // namespace cranberryshunt::controller
