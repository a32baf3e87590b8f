#include "leader.h"

#include <algorithm>
#include <utility>

#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/codec.h"
#include "nearness.h"

namespace cranberryshunt::cell {

namespace {

// Maximum number of uncommitted batches in the log. More would only lengthen
// the disk queue.
constexpr std::size_t kMaxOpenProposals = 8;
// Number of hosts that are assumed to ask for advice until they have found a
// new leader: the entries of a small deployment, or one host per ten workers of
// a large one.
constexpr std::size_t kMinAssumedCallers = 8;
constexpr std::size_t kWorkersPerCaller = 10;
// Everything that arrives within this time goes into one batch. Sending a batch
// to all members and syncing it to disk takes longer than this.
constexpr std::int64_t kProposeIntervalMs = 4;
// Longer in a large cell, because the cost of sending a batch to four other
// members outweighs the added delay.
constexpr std::int64_t kLargeCellProposeIntervalMs = 10;
// Minimum time between two calls of Advance() on a large cell's leader, so that
// each call handles several events.
constexpr std::chrono::milliseconds kLargeCellMinWait{2};
// A planning round goes through all waiting steps, so one round serves a group
// of events.
constexpr std::int64_t kMinPlanIntervalMs = 5;
// Plans at least this often even without events, because tickets, leases and
// quarantines expire.
constexpr std::int64_t kMaxPlanIntervalMs = 50;
constexpr std::int64_t kMaintenanceMs = 500;
constexpr std::int64_t kMemberCheckMs = 100;
// Interval at which the load of the cell is logged.
constexpr std::int64_t kLoadLogMs = 2'000;
// Advance() must run at least this often, because leases and polls expire
// without an event.
constexpr std::int64_t kMaxWaitMs = 20;
// A worker whose leases have expired is removed after it has been silent for
// this long.
constexpr std::int64_t kRemoveWorkerMs = 20'000;
constexpr std::size_t kMaxExpiredPerBatch = 500;
// Time for a worker's answer that is left when an incomplete gang is stopped.
constexpr std::int64_t kAnswerMs = 1'000;
// From this number of workers on, the leader is short of processor time. Other
// controllers then call the workers, and events are handled in larger groups.
constexpr std::size_t kLargeCellWorkers = 150;

// Time within which all members of a gang must have confirmed their starts, so
// that they can be stopped before the first one has waited too long.
std::int64_t GangAssemblyMs(const EngineOptions& options) {
  const auto timeout_ms = options.gang_timeout.count();
  return std::max(timeout_ms - options.max_stop_time.count() - kAnswerMs,
                  timeout_ms / 2);
}

}  // namespace

Leader::Leader(const EngineOptions& options,
               std::int64_t term,
               const graph::GraphStore& store,
               const RunTimes& run_times,
               const policy::FarFactors& far_factors,
               const RegistrationTimes& registered_ms,
               EngineEnvironment& environment,
               AccessRefusals& access_refusals,
               MetricsRegistry& metrics,
               AccountReport& account_report,
               TimePoint now)
    : options_(options),
      store_(store),
      environment_(environment),
      access_refusals_(access_refusals),
      metrics_(metrics),
      account_report_(account_report),
      now_ms_(ToMilliseconds(now.time_since_epoch())),
      wall_ms_(environment.WallMilliseconds()),
      first_cell_ms_(store.last_batch_ms()),
      first_now_ms_(now_ms_),
      run_times_(run_times),
      planner_({.far_run_factor = options.far_run_factor}),
      step_tracker_(store, planner_, run_times_, far_factors),
      workers_(
          {.term = term,
           .max_lease_ms = options.max_worker_lease.count(),
           .lease_ms = std::min(options.worker_lease, options.max_worker_lease)
                           .count()},
          now_ms_),
      gang_assembly_(GangAssemblyMs(options)),
      advice_dispatcher_(now_ms_,
                         std::max(kMinAssumedCallers,
                                  store.workers().size() / kWorkersPerCaller),
                         term),
      members_({.cell_size = options.cell_size,
                .own_id = options.id,
                .catch_up_ms = options.catch_up_time.count()},
               now_ms_),
      run_check_(store) {
  SyncAccounts();
  RebuildState(registered_ms, far_factors);
}

void Leader::RebuildState(const RegistrationTimes& registered_ms,
                          const policy::FarFactors& far_factors) {
  for (const auto& [number, worker] : store_.workers()) {
    const auto it = registered_ms.find(number);
    workers_.Register(number, worker, now_ms_,
                      it == registered_ms.end() ? now_ms_ : it->second);
  }
  SyncWorkers();
  for (const auto& [id, number] : store_.departed_workers()) {
    workers_.AddDeparted(number, id, now_ms_);
  }
  WorkerTrackerOutput out;
  for (const auto& [id, job] : store_.jobs()) {
    const auto& queue = store_.QueueOf(job);
    for (std::int32_t k = 0; k < job.occurrences(); ++k) {
      for (std::int32_t n = 0; n < job.step_count(); ++n) {
        const auto& step = job.step(n);
        for (std::int32_t i = 0; i < step.task_count; ++i) {
          const graph::TaskKey key{id, k, n, i};
          const auto& task = job.task(key);
          if (task.run != 0) {
            const auto run_ms = far_factors.RunMs(
                step.data_rack, NearnessOf(store_, job, key),
                run_times_.Expected(queue.name, step.estimate_ms));
            workers_.AddInheritedRun(
                task.worker, key, task.run, DemandOf(step), run_ms, now_ms_,
                out,
                {.long_running = step.long_running,
                 .resumed = !CheckpointOf(job, key).empty(),
                 .account = AccountOf(job),
                 .over_rate = job.over_rate()});
          }
        }
        InheritGang(job, {id, k, n});
      }
    }
    pending_.Update(id, &job);
    if (job.active()) {
      if (const auto submitted_ms = job.submitted_ms()) {
        step_tracker_.RecordAcceptance(id,
                                       now_ms_ - (CellMs() - *submitted_ms));
      }
      step_tracker_.Refresh(id, now_ms_, wall_ms_);
    } else {
      workers_.StopJob(id);
    }
  }
  Log(LogLevel::kInfo, "cell", "leading",
      {{"term", workers_.term()},
       {"jobs", store_.jobs().size()},
       {"workers", store_.workers().size()},
       {"table_version", store_.table().version}});
  ApplyOutput(std::move(out));
}

void Leader::SetNow(TimePoint now) {
  now_ms_ = ToMilliseconds(now.time_since_epoch());
  wall_ms_ = environment_.WallMilliseconds();
}

void Leader::SyncWorkers() {
  WorkerTrackerOutput out;
  capacities_.clear();
  for (const auto& [number, worker] : store_.workers()) {
    workers_.Register(number, worker, now_ms_);
    auto& service = capacities_[worker.service_name];
    const auto add = [](auto& known, const policy::Demand& capacity) {
      if (std::find(known.begin(), known.end(), capacity) == known.end()) {
        known.push_back(capacity);
      }
    };
    add(service.committed, CapacityOf(worker));
    add(service.full, workers_.Find(number)->full_capacity);
  }
  std::vector<graph::WorkerNumber> removed;
  for (const auto& [number, tracked_worker] : workers_.workers()) {
    if (!store_.workers().contains(number)) {
      removed.push_back(number);
    }
  }
  for (const auto it : removed) {
    workers_.Remove(it, now_ms_, out);
  }
  ForgetEndedWorkers();
  ApplyOutput(std::move(out));
}

void Leader::ForgetEndedWorkers() {
  for (const auto number : workers_.TakeEndedWorkers()) {
    planner_.RemoveWorker(number);
    health_.Remove(number);
    advice_dispatcher_.RemoveWorker(number);
  }
}

void Leader::OnApplied(const wire::GraphBatch& batch, TimePoint now) {
  SetNow(now);
  if (batch.__isset.table) {
    SyncAccounts();
  }
  std::set<graph::JobId> jobs;
  RecordCrashes(jobs);
  std::vector<graph::WorkerNumber> new_workers;
  if (!batch.workers.empty()) {
    for (const auto& [number, worker] : store_.workers()) {
      if (workers_.Find(number) == nullptr) {
        new_workers.push_back(number);
      }
    }
  }
  if (!batch.workers.empty() || !batch.removed_workers.empty()) {
    SyncWorkers();
  }
  for (const auto it : new_workers) {
    RefreshMovedRuns(it, jobs);
  }
  for (const auto& it : batch.jobs) {
    jobs.insert(static_cast<graph::JobId>(it.id));
  }
  for (const auto it : batch.cancelled_jobs) {
    const auto runs = workers_.StopJob(static_cast<graph::JobId>(it));
    Log(LogLevel::kInfo, "jobs", "job is cancelled",
        {{"job", graph::FormatJobId(static_cast<graph::JobId>(it))},
         {"runs_to_stop", runs}});
    jobs.insert(static_cast<graph::JobId>(it));
  }
  for (const auto& it : batch.starts) {
    jobs.insert(static_cast<graph::JobId>(it.task.job));
  }
  for (const auto& it : batch.results) {
    jobs.insert(static_cast<graph::JobId>(it.task.job));
  }
  for (const auto it : batch.expired_jobs) {
    jobs.insert(static_cast<graph::JobId>(it));
  }
  StopObsoleteRuns(batch);
  for (const auto it : jobs) {
    if (const auto* job = store_.FindJob(it);
        job != nullptr && job->state() == wire::GraphJobState::kFailed) {
      workers_.StopJob(it);
    }
    LogEnds(it, batch.at_ms);
    pending_.Update(it, store_.FindJob(it));
    step_tracker_.Refresh(it, now_ms_, wall_ms_);
  }
  plan_due_ = true;
}

// Steps count their runs by worker, and a worker has a new number after a
// restart.
void Leader::RefreshMovedRuns(graph::WorkerNumber number,
                              std::set<graph::JobId>& jobs) {
  for (const auto& [key, run] : workers_.Find(number)->runs) {
    const auto& [task, run_number] = key;
    if (step_tracker_.IsStopping(task, run_number)) {
      step_tracker_.AddStoppingRun(task, run_number, number);
    }
    jobs.insert(task.job);
  }
}

void Leader::LogEnds(graph::JobId id, std::int64_t at_ms) {
  const auto* job = store_.FindJob(id);
  auto it = done_runs_.lower_bound({id, 0, 0});
  while (it != done_runs_.end() && it->first.job == id) {
    const auto& [key, done] = *it;
    if (job != nullptr && job->active() && !job->StepDone(key)) {
      ++it;
      continue;
    }
    const auto* tracked_worker = workers_.Find(done.longest_worker);
    Log(LogLevel::kInfo, "runs", "step ended",
        {{"step", graph::FormatStep(key)},
         {"done", done.count},
         {"mean_run_ms", done.total_ms / done.count},
         {"longest_run_ms", done.longest_ms},
         {"longest_task", done.longest_index},
         {"longest_worker", tracked_worker == nullptr
                                ? std::string()
                                : tracked_worker->record.id}});
    it = done_runs_.erase(it);
  }
  if (job != nullptr && !job->active() && job->finished_ms() == at_ms) {
    Log(LogLevel::kInfo, "jobs", "job ended",
        {{"job", graph::FormatJobId(id)},
         {"queue", job->queue().name},
         {"state", wire::to_string(job->state())}});
  }
}

// Stops the runs that are useless after these results: the other members of a
// gang that can no longer finish together, and all runs of a failed job.
void Leader::StopObsoleteRuns(const wire::GraphBatch& batch) {
  for (const auto& it : batch.results) {
    const auto key = graph::FromWire(it.task);
    const auto* job = store_.FindJob(key.job);
    if (job == nullptr || job->FindTask(key) == nullptr) {
      continue;
    }
    if (job->state() == wire::GraphJobState::kFailed) {
      workers_.StopJob(key.job);
      continue;
    }
    if (job->step(key.step).gang && it.how != wire::RunEnd::kDone &&
        !job->StepDone(key.step_key())) {
      StopMembers(key.step_key(), it.run);
    }
  }
}

void Leader::OnProposalDone(std::uint64_t id,
                            const Result<std::int64_t>& result,
                            TimePoint now) {
  SetNow(now);
  auto node = open_proposals_.extract(id);
  if (node.empty()) {
    return;
  }
  auto& proposal = node.mapped();
  if (!result) {
    const auto code = result.error().code();
    Log(LogLevel::kWarning, "cell", "batch was not committed",
        {{"code", ResultCodeName(code)}, {"error", result.error().message()}});
    // After any other error the batch may still be committed. The change of
    // leadership that follows decides its fate.
    const bool will_not_commit =
        code == ResultCode::kStorageFull || code == ResultCode::kQueueFull;
    if (!will_not_commit) {
      open_proposals_.insert(std::move(node));
      return;
    }
    // Results must not be dropped with the batch, because nobody reports them
    // again.
    auto& lost = proposal.batch.results;
    batch_.results.insert(batch_.results.end(), lost.begin(), lost.end());
    batch_has_content_ = batch_has_content_ || !lost.empty();
  }
  for (const auto& it : proposal.continuations) {
    it(result.has_value());
  }
  plan_due_ = true;
}

void Leader::OnWorkerReply(OrderId id,
                           const WorkerReply& reply,
                           TimePoint now) {
  SetNow(now);
  auto node = open_orders_.extract(id);
  if (node.empty()) {
    return;
  }
  if (reply.answer == WorkerAnswer::kTicketRefused) {
    ++metrics_.Counter("starts_refused_total{reason=\"ticket\"}");
  } else if (reply.answer == WorkerAnswer::kNoCapacity) {
    ++metrics_.Counter("starts_refused_total{reason=\"room\"}");
  }
  WorkerTrackerOutput out;
  workers_.OnReply(node.mapped().sent, node.mapped().sent_ms, reply, now_ms_,
                   out);
  ApplyOutput(std::move(out));
}

// Adds the results of finished runs to the next batch and queues the orders.
void Leader::ApplyOutput(WorkerTrackerOutput out) {
  std::vector<FinishedRun> current_runs;
  for (const auto& it : out.finished) {
    OnFinished(it, current_runs);
  }
  for (const auto& it : current_runs) {
    wire::RunResult result;
    result.task = graph::ToWire(it.task);
    result.run = it.run;
    result.how = it.how;
    result.checkpoint = it.checkpoint;
    batch_.results.push_back(std::move(result));
    batch_has_content_ = true;
  }
  CountUnknownRuns(out.unknown_runs);
  for (const auto& [task, run] : out.progressing_runs) {
    gang_assembly_.OnProgress(task, run);
  }
  for (const auto& [task, run] : out.started_runs) {
    gang_assembly_.OnMemberStarted(task, run);
    const auto* job = store_.FindJob(task.job);
    if (job != nullptr && job->active()) {
      pending_.OnJobStarted(task.job);
    }
  }
  for (const auto& it : out.ends_to_acknowledge) {
    AcknowledgeOnceCommitted(it.first, it.second, out.finished);
  }
  for (auto& it : out.orders) {
    orders_.push_back(std::move(it));
  }
  for (const auto it : out.workers_to_remove) {
    batch_.removed_workers.push_back(it);
    batch_has_content_ = true;
  }
  if (out.synchronized) {
    RecordListRead();
  }
  plan_due_ = plan_due_ || !out.finished.empty();
}

// The rounds before find few usable workers, so the next full round, which asks
// for advice, must not wait for its turn once there are more.
void Leader::RecordListRead() {
  ++lists_read_;
  if (!has_read_most_lists_ && 2 * lists_read_ >= store_.workers().size()) {
    has_read_most_lists_ = true;
    planner_.RequireFullRound();
    plan_due_ = true;
  }
}

// A worker forgets an end once it is acknowledged, so the committed state must
// show it by then.
void Leader::AcknowledgeOnceCommitted(
    graph::WorkerNumber worker,
    std::int64_t number,
    const std::vector<FinishedRun>& finished) {
  if (!batch_has_content_) {
    workers_.AcknowledgeEnds(worker, number);
    return;
  }
  std::vector<RunKey> done;
  for (const auto& it : finished) {
    if (it.worker == worker && it.how == wire::RunEnd::kDone) {
      done.emplace_back(it.task, it.run);
    }
  }
  continuations_.emplace_back(
      [this, worker, number, done = std::move(done)](bool committed) {
        const bool recorded =
            committed &&
            std::none_of(done.begin(), done.end(), [&](const auto& it) {
              return IsUnrecorded(it.first, it.second);
            });
        if (recorded) {
          workers_.AcknowledgeEnds(worker, number);
        } else {
          workers_.ReprocessEnds(worker);
        }
      });
}

// Whether the committed state lacks the end of a run that has ended as done:
// another batch may have changed the task before the result was applied.
bool Leader::IsUnrecorded(const graph::TaskKey& key, std::int32_t run) const {
  const auto* job = store_.FindJob(key.job);
  const auto* task = job == nullptr ? nullptr : job->FindTask(key);
  return task != nullptr && job->active() && !task->done &&
         run <= task->last_run && !job->step(key.step).long_running;
}

// Current runs that ended as done are logged in one line when their step is
// done. Every other run has a line of its own.
void Leader::LogRun(const FinishedRun& finished, bool current) {
  if (current && finished.how == wire::RunEnd::kDone) {
    auto& done = done_runs_[finished.task.step_key()];
    ++done.count;
    done.total_ms += finished.run_ms;
    if (finished.run_ms > done.longest_ms) {
      done.longest_ms = finished.run_ms;
      done.longest_index = finished.task.index;
      done.longest_worker = finished.worker;
    }
    return;
  }
  const auto* tracked_worker = workers_.Find(finished.worker);
  Log(LogLevel::kInfo, "runs", "run ended",
      {{"task", graph::FormatTask(finished.task)},
       {"run", finished.run},
       {"how", wire::to_string(finished.how)},
       {"worker",
        tracked_worker == nullptr ? std::string() : tracked_worker->record.id},
       {"run_ms", finished.run_ms},
       {"current", current ? "yes" : "no"},
       {"stops", finished.stops_sent},
       {"stop_ms", finished.stop_ms},
       {"reason", finished.reason}});
}

// Returns the runs of the task after this one, if this one has ended as done
// although it was given up. A start that is being committed may or may not take
// effect, so there may be two.
std::set<std::int32_t> Leader::FindLaterRuns(
    const FinishedRun& finished) const {
  const auto* job = store_.FindJob(finished.task.job);
  const auto* task = job == nullptr ? nullptr : job->FindTask(finished.task);
  if (task == nullptr || !job->active() || task->done ||
      finished.how != wire::RunEnd::kDone ||
      job->step(finished.task.step).long_running) {
    return {};
  }
  std::set<std::int32_t> out;
  if (task->last_run > finished.run) {
    out.insert(task->last_run);
  }
  const auto proposed = proposed_runs_.find(finished.task);
  if (proposed != proposed_runs_.end()) {
    out.insert(proposed->second);
  }
  return out;
}

// The task must not start while the end of its earlier run is being committed.
void Leader::ReserveUntilCommitted(const FinishedRun& finished) {
  step_tracker_.Reserve(finished.task, finished.worker);
  step_tracker_.RefreshStep(finished.task.step_key(), now_ms_, wall_ms_);
  continuations_.emplace_back([this, key = finished.task](bool) {
    step_tracker_.EndReservation(key);
    step_tracker_.RefreshStep(key.step_key(), now_ms_, wall_ms_);
  });
}

// Stops what runs of a task whose earlier run has ended as done. For a gang
// that is every member.
void Leader::StopLaterRuns(const FinishedRun& finished,
                           const std::set<std::int32_t>& later_runs) {
  Log(LogLevel::kWarning, "runs", "run ended as done after it was given up",
      {{"task", graph::FormatTask(finished.task)},
       {"run", finished.run},
       {"last_run", *later_runs.rbegin()}});
  const auto& step =
      store_.FindJob(finished.task.job)->step(finished.task.step);
  graph::TaskKey member = finished.task;
  const auto first = step.gang ? 0 : finished.task.index;
  const auto last = step.gang ? step.task_count - 1 : finished.task.index;
  for (member.index = first; member.index <= last; ++member.index) {
    workers_.StopTask(member, 0);
  }
  for (const auto it : later_runs) {
    const auto* worker = workers_.FindWorkerOf(finished.task, it);
    // A start that is still being committed will not be sent.
    if (worker != nullptr &&
        worker->runs.at({finished.task, it}).phase != RunPhase::kProposed) {
      step_tracker_.AddStoppingRun(finished.task, it, worker->number);
    }
  }
}

void Leader::OnFinished(const FinishedRun& finished,
                        std::vector<FinishedRun>& current_runs) {
  const auto* job = store_.FindJob(finished.task.job);
  const auto* task = job == nullptr ? nullptr : job->FindTask(finished.task);
  const bool current =
      job != nullptr &&
      job->AcceptsResult(finished.task, finished.run, finished.how);
  LogRun(finished, current);
  if (step_tracker_.EndStoppingRun(finished.task, finished.run)) {
    step_tracker_.RefreshStep(finished.task.step_key(), now_ms_, wall_ms_);
  }
  const auto incomplete = gang_assembly_.Abandon(finished.task, finished.run);
  if (incomplete && current && job->active() &&
      finished.how != wire::RunEnd::kDone) {
    StopGang(*incomplete, "a member has ended");
  }
  if (const auto later_runs = FindLaterRuns(finished); !later_runs.empty()) {
    StopLaterRuns(finished, later_runs);
    ReserveUntilCommitted(finished);
    for (const auto it : later_runs) {
      current_runs.push_back(finished);
      current_runs.back().run = it;
    }
  }
  if (!current) {
    return;
  }
  if (task->run != finished.run) {
    // The leader had given up this run, but it had ended as done.
    ReserveUntilCommitted(finished);
  }
  if (finished.how == wire::RunEnd::kDone) {
    health_.RecordSuccess(finished.worker);
  } else if (finished.how == wire::RunEnd::kFailed) {
    if (auto* step = step_tracker_.Find(finished.task.step_key());
        step != nullptr) {
      step->avoided.insert(finished.worker);
      step->changed = true;
    }
    if (health_.RecordFailure(finished.worker, now_ms_)) {
      Log(LogLevel::kWarning, "workers", "worker is quarantined",
          {{"worker", finished.worker}});
    }
  }
  current_runs.push_back(finished);
}

EngineOutput Leader::Advance(TimePoint now) {
  SetNow(now);
  WorkerTrackerOutput tracker_out;
  workers_.Advance(now_ms_, tracker_out);
  ApplyOutput(std::move(tracker_out));
  ForgetEndedWorkers();
  HandleUncertainStarts();
  StopOverdueGangs();
  ApplyAdvice();
  for (const auto it : step_tracker_.TakeDueJobs(wall_ms_)) {
    step_tracker_.Refresh(it, now_ms_, wall_ms_);
    plan_due_ = true;
  }
  const auto since_last_plan_ms = now_ms_ - last_plan_ms_;
  if ((plan_due_ && since_last_plan_ms >= kMinPlanIntervalMs) ||
      since_last_plan_ms >= kMaxPlanIntervalMs) {
    Plan();
  }
  EngineOutput out;
  if (now_ms_ - last_maintenance_ms_ >= kMaintenanceMs) {
    RunMaintenance(out);
  }
  if (now_ms_ - last_member_check_ms_ >= kMemberCheckMs) {
    CheckMembers(out);
  }
  FailRunsWithoutOwner();
  advice_dispatcher_.Advance(now_ms_);
  Propose(out);
  for (auto& it : orders_) {
    open_orders_[it.id] = {it, now_ms_};
  }
  out.orders = std::exchange(orders_, {});
  out.max_wait = MaxWait();
  out.min_wait =
      IsLargeCell() ? kLargeCellMinWait : std::chrono::milliseconds(0);
  return out;
}

bool Leader::IsLargeCell() const {
  return store_.workers().size() >= kLargeCellWorkers;
}

std::int64_t Leader::ProposeIntervalMs() const {
  return IsLargeCell() ? kLargeCellProposeIntervalMs : kProposeIntervalMs;
}

std::chrono::milliseconds Leader::MaxWait() const {
  auto until = now_ms_ + kMaxWaitMs;
  if (workers_.worker_scan_skipped()) {
    until = std::min(until, workers_.next_worker_scan_ms());
  }
  if (plan_due_) {
    until = std::min(until, last_plan_ms_ + kMinPlanIntervalMs);
  }
  if (batch_has_content_ && open_proposals_.size() < kMaxOpenProposals) {
    until = std::min(until, last_propose_ms_ + ProposeIntervalMs());
  }
  return std::chrono::milliseconds(std::max<std::int64_t>(1, until - now_ms_));
}

void Leader::RunMaintenance(EngineOutput& out) {
  last_maintenance_ms_ = now_ms_;
  step_tracker_.RefreshEstimates();
  HandleHeldPublications();
  ExpireJobs();
  RemoveSilentWorkers();
  FailLostOrders();
  if (now_ms_ - last_load_log_ms_ >= kLoadLogMs) {
    last_load_log_ms_ = now_ms_;
    LogLoad();
    LogGangs();
    account_report_.Log(planner_);
    LogQuestions();
    LogLongWaits();
  }
  const auto membership = environment_.Members().membership;
  out.helpers.emplace();
  if (IsLargeCell()) {
    out.helpers = members_.LivePeerAddresses(membership, now_ms_);
  }
  std::vector<std::string> controllers;
  for (const auto& it : membership.members) {
    controllers.push_back(it.address);
  }
  advice_dispatcher_.SetControllers(std::move(controllers));
}

void Leader::CheckMembers(EngineOutput& out) {
  last_member_check_ms_ = now_ms_;
  out.membership_change = members_.NextChange(environment_.Members(), now_ms_);
  if (out.membership_change) {
    ++metrics_.Counter("membership_changes_total");
  }
}

void Leader::Propose(EngineOutput& out) {
  if (!batch_has_content_ || open_proposals_.size() >= kMaxOpenProposals ||
      now_ms_ < last_propose_ms_ + ProposeIntervalMs()) {
    return;
  }
  last_propose_ms_ = now_ms_;
  batch_.at_ms = CellMs();
  Proposal proposal;
  proposal.id = next_proposal_++;
  proposal.data = wire::Encode(batch_);
  out.proposals.push_back(std::move(proposal));
  open_proposals_[out.proposals.back().id] = {
      std::exchange(batch_, {}), std::exchange(continuations_, {})};
  batch_has_content_ = false;
}

std::int64_t Leader::CellMs() const {
  return first_cell_ms_ + now_ms_ - first_now_ms_;
}

void Leader::ExpireJobs() {
  const auto cutoff_ms = CellMs() - options_.job_retention.count();
  for (const auto& [id, job] : store_.jobs()) {
    if (!job.active() && job.finished_ms() < cutoff_ms &&
        batch_.expired_jobs.size() < kMaxExpiredPerBatch) {
      batch_.expired_jobs.push_back(static_cast<std::int64_t>(id));
      batch_has_content_ = true;
    }
  }
}

void Leader::RemoveSilentWorkers() {
  for (const auto& [number, tracked_worker] : workers_.workers()) {
    const auto last_contact_ms =
        std::max(tracked_worker.last_answer_ms, tracked_worker.last_report_ms);
    if (!tracked_worker.removed && tracked_worker.leases_expired &&
        tracked_worker.runs.empty() &&
        now_ms_ - last_contact_ms > kRemoveWorkerMs) {
      Log(LogLevel::kInfo, "workers", "silent worker is removed",
          {{"worker", tracked_worker.record.id}});
      batch_.removed_workers.push_back(number);
      batch_has_content_ = true;
    }
  }
}

void Leader::Close(const wire::Status& status) {
  account_report_.Clear();
  const Error error = wire::ToError(status);
  for (const auto& it : std::exchange(held_publications_, {})) {
    it.reply(tl::unexpected(error));
  }
  for (auto& [id, submission] : submitting_) {
    for (auto& it : submission.calls) {
      wire::GraphReply reply;
      reply.status = status;
      reply.may_be_accepted = true;
      it.reply(std::move(reply));
    }
  }
  submitting_.clear();
  advice_dispatcher_.Close(status);
  // The continuations reply to the calls that wait for these proposals.
  for (auto& [id, proposal] : open_proposals_) {
    for (const auto& it : proposal.continuations) {
      it(false);
    }
  }
  open_proposals_.clear();
  for (const auto& it : std::exchange(continuations_, {})) {
    it(false);
  }
  for (auto& [id, calls] : registering_) {
    for (auto& it : calls) {
      it.reply(tl::unexpected(error));
    }
  }
  registering_.clear();
}

}  // namespace cranberryshunt::cell
