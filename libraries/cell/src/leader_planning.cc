#include <algorithm>
#include <utility>

#include "cranberryshunt/base/log.h"
#include "leader.h"

namespace cranberryshunt::cell {

namespace {

// Allowance for the time that an answer takes from the advice service to its
// caller. Tickets age meanwhile.
constexpr std::int64_t kAnswerTransitMs = 30;
// Silence and quarantines change whether a worker is usable without an event,
// so this is checked at intervals.
constexpr std::int64_t kUsabilityCheckMs = 50;
// Jobs that arrive within this time see the same load summary. The steps of
// accepted jobs enter it only once they are committed, which takes longer.
constexpr std::int64_t kMaxCellLoadAgeMs = 5;
// Steps that have waited for this long are logged, up to a number of them.
constexpr std::int64_t kLongWaitMs = 3'000;
constexpr std::size_t kMaxLongWaitsLogged = 3;

}  // namespace

// Copies changed workers to the planner. Whether a worker is usable also
// changes with time alone, so that is checked at regular intervals.
void Leader::UpdatePlanWorkers() {
  for (const auto number : workers_.TakeChangedWorkers()) {
    RefreshPlanWorker(number);
  }
  if (now_ms_ - last_usability_check_ms_ < kUsabilityCheckMs) {
    return;
  }
  last_usability_check_ms_ = now_ms_;
  for (const auto& [number, tracked_worker] : workers_.workers()) {
    const auto worker = planner_.workers().find(number);
    if (worker == planner_.workers().end() ||
        worker->second.usable != IsUsable(tracked_worker) ||
        worker->second.probing != health_.IsProbing(number, now_ms_) ||
        (worker->second.exclusive && !IsExclusive(tracked_worker))) {
      RefreshPlanWorker(number);
    }
  }
}

bool Leader::IsUsable(const TrackedWorker& tracked_worker) const {
  return workers_.IsUsable(tracked_worker, now_ms_) &&
         !health_.IsQuarantined(tracked_worker.number, now_ms_);
}

void Leader::RefreshPlanWorker(graph::WorkerNumber number) {
  const auto* tracked_worker = workers_.Find(number);
  if (tracked_worker == nullptr) {
    planner_.RemoveWorker(number);
    return;
  }
  planner_.MarkWorkerChanged(number);
  policy::PlanWorker worker;
  worker.number = number;
  worker.service_name = tracked_worker->record.service_name;
  worker.rack = tracked_worker->record.rack;
  worker.labels = tracked_worker->record.labels;
  worker.capacity = tracked_worker->Capacity();
  worker.usable = IsUsable(*tracked_worker);
  worker.probing = health_.IsProbing(number, now_ms_);
  worker.exclusive = IsExclusive(*tracked_worker);
  worker.ends.reserve(tracked_worker->runs.size());
  for (const auto& [key, run] : tracked_worker->runs) {
    worker.used += run.demand;
    policy::AddTask(worker.accounts, run.account, run.account_demand,
                    run.expected_run_ms);
    if (run.over_rate) {
      worker.used_over_rate += run.demand;
    }
    const auto started = run.started_ms > 0 ? run.started_ms : now_ms_;
    worker.AddEnd({started + run.expected_run_ms, run.demand});
    const auto run_length_ms =
        static_cast<double>(std::max<std::int64_t>(1, run.expected_run_ms));
    worker.milli_cpus_per_ms +=
        static_cast<double>(run.demand.milli_cpus) / run_length_ms;
    worker.memory_mb_per_ms +=
        static_cast<double>(run.demand.memory_mb) / run_length_ms;
  }
  planner_.workers()[number] = std::move(worker);
}

void Leader::Plan() {
  last_plan_ms_ = now_ms_;
  plan_due_ = false;
  for (const auto it : step_tracker_.TakeRemovedSteps()) {
    advice_dispatcher_.CancelQueued(it);
  }
  UpdatePlanWorkers();
  // No worker is usable yet. A round would only delay the next full one, in
  // which the advice service is asked.
  if (!has_read_list_) {
    return;
  }
  planner_.SetDepartedUse(workers_.DepartedUse());
  const auto spare_callers =
      static_cast<std::int64_t>(advice_dispatcher_.open_polls()) -
      static_cast<std::int64_t>(advice_dispatcher_.queued());
  planner_.set_unrest(store_.HasUnrest(CellMs()));
  const auto plan = planner_.Decide(now_ms_, spare_callers);
  std::map<policy::StepId, std::vector<PendingStart>> gangs;
  for (const auto& it : plan.starts) {
    advice_usage_.RecordPlacement(it.step);
    auto start = ProposeStart(it);
    if (planner_.steps().at(it.step).gang) {
      gangs[it.step].push_back(std::move(start));
    } else {
      SendOnceCommitted({std::move(start)});
    }
  }
  for (auto& [step, starts] : gangs) {
    SendOnceCommitted(std::move(starts));
  }
  LogStarts(plan.starts);
  for (const auto& it : plan.questions) {
    AskAdvice(it);
  }
}

// Logs one line per step, because a line per task would take much of the
// leader's processor time in a large cell.
void Leader::LogStarts(const std::vector<policy::PlannedStart>& starts) const {
  struct NearWait {
    std::int64_t waited_ms = 0;
    std::int64_t near = 0;
  };
  std::map<policy::StepId, std::string> placements;
  std::map<policy::StepId, NearWait> near_waits;
  for (const auto& it : starts) {
    if (it.near_wait_ms > 0) {
      auto& wait = near_waits[it.step];
      wait.waited_ms = it.near_wait_ms;
      wait.near += it.nearness == policy::Nearness::kNear ? 1 : 0;
    }
    auto& text = placements[it.step];
    text += (text.empty() ? "" : ",") + std::to_string(it.index) + "@" +
            workers_.Find(it.worker)->record.id;
  }
  for (const auto& [id, text] : placements) {
    const auto& step = planner_.steps().at(id);
    const LogField name("step", graph::FormatStep(step_tracker_.KeyOf(id)));
    const LogField tasks("tasks", text);
    const LogField waiting("waiting", step.waiting.size());
    const LogField queued("queued_ms", now_ms_ - step.accepted_ms);
    const LogField slack("slack_ms", policy::LatestStartMs(step) - now_ms_);
    if (const auto it = near_waits.find(id); it != near_waits.end()) {
      Log(LogLevel::kInfo, "runs", "tasks are placed",
          {name,
           tasks,
           waiting,
           queued,
           slack,
           {"near_wait_ms", it->second.waited_ms},
           {"near", it->second.near}});
    } else {
      Log(LogLevel::kInfo, "runs", "tasks are placed",
          {name, tasks, waiting, queued, slack});
    }
  }
}

std::int32_t Leader::NextRun(const graph::Job& job,
                             const graph::TaskKey& task) {
  const auto& step = job.step(task.step);
  if (!step.gang) {
    return job.task(task).last_run + 1;
  }
  std::int32_t last_run = 0;
  graph::TaskKey member = task;
  for (member.index = 0; member.index < step.task_count; ++member.index) {
    last_run = std::max(last_run, job.task(member).last_run);
  }
  return last_run + 1;
}

Leader::PendingStart Leader::ProposeStart(const policy::PlannedStart& start) {
  const auto& step_key = step_tracker_.KeyOf(start.step);
  const auto& step = planner_.steps().at(start.step);
  const graph::TaskKey task{step_key.job, step_key.occurrence, step_key.step,
                            start.index};
  const auto& job = *store_.FindJob(task.job);
  const auto run = NextRun(job, task);
  policy::Ticket ticket;
  if (step.advice.needed) {
    ticket = step.advice.allowed.find(start.worker)->second;
  }
  ++metrics_.Counter("starts_total");
  if (start.nearness != policy::Nearness::kAny) {
    ++metrics_.Counter(start.nearness == policy::Nearness::kNear
                           ? "near_starts_total"
                           : "far_starts_total");
  }
  planner_.FindStep(start.step)->waiting_since_ms = now_ms_;
  workers_.Reserve(start.worker, task, run, step.demand, start.expected_run_ms,
                   job.step(task.step).long_running, step.account,
                   step.over_rate);
  step_tracker_.Reserve(task, start.worker);
  wire::RunStart record;
  record.task = graph::ToWire(task);
  record.run = run;
  record.worker = start.worker;
  batch_.starts.push_back(record);
  batch_has_content_ = true;
  proposed_runs_[task] = run;
  return {task,         run,         start.worker,          std::move(ticket),
          step.account, step.demand, store_.table().version};
}

void Leader::SendOnceCommitted(std::vector<PendingStart> starts) {
  continuations_.emplace_back(
      [this, starts = std::move(starts)](bool committed) {
        for (const auto& it : starts) {
          proposed_runs_.erase(it.task);
          step_tracker_.EndReservation(it.task);
        }
        if (committed) {
          SendStarts(starts);
        } else {
          for (const auto& it : starts) {
            workers_.CancelReservation(it.task, it.run);
          }
        }
        step_tracker_.RefreshStep(starts.front().task.step_key(), now_ms_,
                                  wall_ms_);
      });
}

void Leader::SendStarts(const std::vector<PendingStart>& starts) {
  std::vector<std::string> obstacles;
  obstacles.reserve(starts.size());
  for (const auto& it : starts) {
    obstacles.push_back(FindObstacle(it));
  }
  if (ExceedsLoweredLimit(starts)) {
    obstacles.assign(starts.size(), "limit of the account was lowered");
  }
  const bool complete = std::all_of(obstacles.begin(), obstacles.end(),
                                    [](const auto& it) { return it.empty(); });
  const auto& first = starts.front();
  if (complete && store_.FindJob(first.task.job)->step(first.task.step).gang) {
    gang_assembly_.Begin({first.task.step_key(), first.run},
                         static_cast<std::int32_t>(starts.size()), now_ms_);
  }
  for (std::size_t n = 0; n < starts.size(); ++n) {
    if (complete) {
      SendStart(starts[n]);
    } else if (obstacles[n].empty()) {
      RejectStart(starts[n], "another member of the gang cannot start");
    } else {
      RejectStart(starts[n], obstacles[n]);
    }
  }
}

std::string Leader::FindObstacle(const PendingStart& start) const {
  const auto* job = store_.FindJob(start.task.job);
  const auto* state = job == nullptr ? nullptr : job->FindTask(start.task);
  if (state == nullptr || state->run != start.run) {
    // The start had no effect, or the run has a result already.
    return "run is not current";
  }
  if (!job->active()) {
    return "job ended before the start was sent";
  }
  if (!start.ticket.text.empty() && start.ticket.valid_until_ms < now_ms_) {
    return "ticket is not valid any more";
  }
  return workers_.FindObstacle(start.worker, start.task, start.run, now_ms_);
}

void Leader::RejectStart(const PendingStart& start, const std::string& reason) {
  RecordUnsentStart(start.task, start.run, start.worker, reason);
  const auto* job = store_.FindJob(start.task.job);
  const auto* state = job == nullptr ? nullptr : job->FindTask(start.task);
  if (state == nullptr || state->run != start.run) {
    workers_.CancelReservation(start.task, start.run);
    return;
  }
  WorkerTrackerOutput out;
  workers_.RejectStart(start.worker, start.task, start.run, reason, now_ms_,
                       out);
  ApplyOutput(std::move(out));
}

const std::string& Leader::CheckpointOf(const graph::Job& job,
                                        graph::TaskKey task) {
  if (job.step(task.step).gang) {
    task.index = 0;
  }
  return job.task(task).checkpoint;
}

void Leader::SendStart(const PendingStart& start) {
  const auto& job = *store_.FindJob(start.task.job);
  StartOrder order;
  order.task = start.task;
  order.run = start.run;
  order.payload = job.spec().payload;
  order.ticket = start.ticket.text;
  order.checkpoint = CheckpointOf(job, start.task);
  WorkerTrackerOutput out;
  workers_.SendStart(start.worker, start.task, start.run, std::move(order),
                     now_ms_, out);
  ApplyOutput(std::move(out));
}

void Leader::RecordUnsentStart(const graph::TaskKey& task,
                               std::int32_t run,
                               graph::WorkerNumber worker,
                               const std::string& reason) {
  const auto* tracked_worker = workers_.Find(worker);
  Log(LogLevel::kWarning, "runs", "committed start was not sent",
      {{"task", graph::FormatTask(task)},
       {"run", run},
       {"worker_number", worker},
       {"worker",
        tracked_worker == nullptr ? std::string() : tracked_worker->record.id},
       {"reason", reason}});
  ++metrics_.Counter("starts_not_sent_total{reason=\"" + reason + "\"}");
}

void Leader::AskAdvice(const policy::PlannedQuestion& question) {
  const auto& step = planner_.steps().at(question.step);
  AdviceQuestion advice_question;
  advice_question.step = question.step;
  advice_question.step_name =
      graph::FormatStep(step_tracker_.KeyOf(question.step));
  for (const auto it : question.workers) {
    advice_question.workers.push_back(workers_.Find(it)->record.id);
  }
  advice_question.worker_numbers = question.workers;
  advice_question.renewal = question.renewal;
  advice_question.queue = step.queue_name;
  advice_question.expected_ms = question.expected_ms;
  advice_question.latest_start_ms = policy::LatestStartMs(step);
  advice_question.latest_useful_start_ms = policy::LatestUsefulStartMs(step);
  advice_question.urgent_queue = step.priority == 0;
  advice_question.over_rate = step.over_rate;
  ++metrics_.Counter("advice_questions_total");
  advice_dispatcher_.Ask(std::move(advice_question));
}

void Leader::ApplyAdvice() {
  for (auto& it : advice_dispatcher_.TakeAnswers()) {
    plan_due_ = true;
    auto* waiting_step = planner_.FindStep(it.question.step);
    advice_usage_.RecordOutcome(
        it, waiting_step != nullptr,
        it.answered_at_ms + (waiting_step == nullptr
                                 ? 0
                                 : waiting_step->advice.ticket_valid_ms));
    if (waiting_step == nullptr) {
      continue;
    }
    auto& step = *waiting_step;
    auto& advice = step.advice;
    advice.EndQuestion(it.question.worker_numbers, it.question.renewal);
    step.changed = true;
    if (!it.answered) {
      Log(LogLevel::kWarning, "advice",
          "advice service did not answer a question",
          {{"step", it.question.step_name}});
      continue;
    }
    // The answer is valid only for the incarnations that were asked about.
    const auto& question = it.question;
    std::vector<std::int64_t> asked;
    std::map<std::string, std::int64_t> numbers;
    for (std::size_t n = 0; n < question.worker_numbers.size(); ++n) {
      const auto number = question.worker_numbers[n];
      if (workers_.Find(number) != nullptr) {
        asked.push_back(number);
        numbers[question.workers[n]] = number;
      }
    }
    std::map<std::int64_t, policy::Ticket> tickets;
    for (auto& row : it.allowed) {
      const auto number = numbers.find(row.worker);
      if (number != numbers.end()) {
        tickets[number->second] = {
            std::move(row.ticket),
            it.answered_at_ms - kAnswerTransitMs + advice.ticket_valid_ms};
      }
    }
    advice.RecordAnswer(asked, std::move(tickets));
    Log(LogLevel::kInfo, "advice", "advice service answered a question",
        {{"step", it.question.step_name},
         {"asked", it.question.worker_numbers.size()},
         {"allowed", it.allowed.size()},
         {"age_ms", now_ms_ - it.answered_at_ms}});
  }
}

const policy::LoadSummary& Leader::LoadFor(const policy::NewJob& job) {
  if (now_ms_ >= cell_load_ms_ + kMaxCellLoadAgeMs) {
    cell_load_ = planner_.SummarizeLoad(now_ms_);
    cell_load_ms_ = now_ms_;
  }
  cell_load_.answer_ms = workers_.MedianStartAnswerMs(now_ms_);
  cell_load_.advice_wait_ms =
      static_cast<double>(advice_dispatcher_.ExpectedWaitMs(
          now_ms_, job.urgent, now_ms_ + job.slack_ms, job.over_rate));
  cell_load_.idle_callers =
      static_cast<std::int64_t>(advice_dispatcher_.open_polls()) -
      static_cast<std::int64_t>(advice_dispatcher_.queued());
  if (planner_.accounts().HasLimit(job.account)) {
    cell_load_.accounts.try_emplace(
        job.account, policy::LoadOf(planner_.accounts(), job.account));
  }
  return cell_load_;
}

// Logs what an operator needs to tell a fully used cell from one that waits for
// advice, for gangs or for workers.
void Leader::LogLoad() const {
  policy::Demand capacity;
  policy::Demand used;
  policy::Demand held;
  std::size_t usable = 0;
  for (const auto& [number, worker] : planner_.workers()) {
    capacity += worker.capacity;
    used += worker.used;
    held += worker.held;
    usable += worker.usable ? 1 : 0;
  }
  std::int64_t waiting_tasks = 0;
  std::int64_t waiting_cpus = 0;
  std::int64_t waiting_late_cpus = 0;
  std::int64_t waiting_urgent_cpus = 0;
  std::int64_t waiting_urgent_late_cpus = 0;
  for (const auto& [id, step] : planner_.steps()) {
    const auto tasks = static_cast<std::int64_t>(step.waiting.size());
    const auto cpus = tasks * step.demand.milli_cpus;
    const bool late = now_ms_ + step.remaining_ms > step.objective_ms;
    const bool urgent = step.priority == 0;
    waiting_tasks += tasks;
    waiting_cpus += cpus;
    waiting_late_cpus += late ? cpus : 0;
    waiting_urgent_cpus += urgent ? cpus : 0;
    waiting_urgent_late_cpus += urgent && late ? cpus : 0;
  }
  Log(LogLevel::kInfo, "cell", "load",
      {{"workers", planner_.workers().size()},
       {"usable", usable},
       {"cpus", capacity.milli_cpus / 1'000},
       {"cpus_used", used.milli_cpus / 1'000},
       {"cpus_held", held.milli_cpus / 1'000},
       {"cpus_waiting", waiting_cpus / 1'000},
       {"cpus_waiting_late", waiting_late_cpus / 1'000},
       {"cpus_waiting_urgent", waiting_urgent_cpus / 1'000},
       {"cpus_waiting_urgent_late", waiting_urgent_late_cpus / 1'000},
       {"memory_gb", capacity.memory_mb / 1'024},
       {"memory_used_gb", used.memory_mb / 1'024},
       {"steps", planner_.steps().size()},
       {"waiting_tasks", waiting_tasks},
       {"questions_waiting", advice_dispatcher_.queued()},
       {"callers_idle", advice_dispatcher_.open_polls()},
       {"answer_ms", workers_.MedianStartAnswerMs(now_ms_)}});
}

// Logs what the waiting gangs lack, and what the capacity held for them waits
// for.
void Leader::LogGangs() const {
  const auto gangs = planner_.SummarizeGangs(now_ms_);
  Log(LogLevel::kInfo, "cell", "gangs",
      {{"waiting", gangs.waiting},
       {"late", gangs.late},
       {"unplanned", gangs.unplanned},
       {"longest_unplanned_ms", gangs.longest_unplanned_ms},
       {"lacking_tickets", gangs.lacking_tickets},
       {"lacking_room", gangs.lacking_room},
       {"cpus_lacking_tickets", gangs.milli_cpus_lacking_tickets / 1'000},
       {"cpus_lacking_room", gangs.milli_cpus_lacking_room / 1'000},
       {"renewing_without_room", gangs.renewing_without_room}});
}

// Logs what the time of the callers of the advice service was spent on.
void Leader::LogQuestions() {
  for (const auto& [queue, counts] : advice_usage_.TakeCounts(now_ms_)) {
    Log(LogLevel::kInfo, "advice", "questions",
        {{"queue", queue},
         {"used", counts.used},
         {"unused", counts.unused},
         {"unused_renewals", counts.unused_renewals},
         {"gone", counts.gone},
         {"lost", counts.lost},
         {"used_ms", counts.used_ms},
         {"unused_ms", counts.unused_ms}});
  }
}

std::string Leader::DescribeRun(const graph::StepKey& key) const {
  const auto* job = store_.FindJob(key.job);
  graph::TaskKey task{key.job, key.occurrence, key.step, 0};
  for (; task.index < job->step(key.step).task_count; ++task.index) {
    const auto& state = job->task(task);
    if (state.done || state.run == 0) {
      continue;
    }
    const auto* worker = workers_.FindWorkerOf(task, state.run);
    return std::to_string(task.index) + "." + std::to_string(state.run) + "@" +
           (worker == nullptr ? "unknown" : worker->record.id);
  }
  return {};
}

// Logs what the steps that have waited longest wait for.
void Leader::LogLongWaits() const {
  std::vector<std::pair<std::int64_t, const policy::PlanStep*>> waits;
  for (const auto& [id, step] : planner_.steps()) {
    const bool waits_long = (!step.waiting.empty() || step.blocked > 0) &&
                            !step.uncommitted &&
                            now_ms_ - step.waiting_since_ms >= kLongWaitMs;
    if (waits_long) {
      waits.emplace_back(step.waiting_since_ms, &step);
    }
  }
  const auto count = std::min(waits.size(), kMaxLongWaitsLogged);
  std::partial_sort(waits.begin(),
                    waits.begin() + static_cast<std::ptrdiff_t>(count),
                    waits.end(), [](const auto& a, const auto& b) {
                      return std::pair(a.first, a.second->id) <
                             std::pair(b.first, b.second->id);
                    });
  for (std::size_t n = 0; n < count; ++n) {
    const auto& step = *waits[n].second;
    const auto& key = step_tracker_.KeyOf(step.id);
    const auto workers = planner_.WorkersOf(step);
    const auto tasks = static_cast<std::int64_t>(step.waiting.size());
    std::string reason = "capacity";
    if (step.blocked > 0) {
      reason = "run";
    } else if (step.at_limit) {
      reason = "account";
    } else if (step.advice.open_questions > 0 || step.advice.renewal_pending) {
      reason = "advice";
    } else if (workers.allowed == 0) {
      reason = "workers";
    }
    const auto& advice = step.advice;
    Log(LogLevel::kInfo, "runs", "step waits",
        {{"step", graph::FormatStep(key)},
         {"tasks", tasks + step.blocked},
         {"waited_ms", now_ms_ - waits[n].first},
         {"for", reason},
         {"run", DescribeRun(key)},
         {"eligible", workers.eligible},
         {"asked", advice.asked_workers.size()},
         {"allowed", workers.allowed},
         {"fit", workers.fit},
         {"question_age_ms", advice.last_question_ms == 0
                                 ? std::int64_t{-1}
                                 : now_ms_ - advice.last_question_ms},
         {"avoided", step.avoided.size()},
         {"planned_ago_ms",
          step.planned_ms == 0 ? std::int64_t{-1} : now_ms_ - step.planned_ms},
         {"held", step.held.size()},
         {"slack_ms", policy::LatestStartMs(step) - now_ms_},
         {"more_steps", waits.size() - count}});
  }
}

}  // namespace cranberryshunt::cell
