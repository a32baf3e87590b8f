#include "fleet_replay.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace cranberryshunt::policy {

namespace {

// Workers in the question that an objective counts for each step.
constexpr double kTypicalWorkersPerQuestion = 30;
constexpr std::int32_t kMaxAttempts = 5;
constexpr double kLateWorthShare = 0.2;
// A job that ends later than this many times its objective earns nothing.
constexpr std::int64_t kLateLimit = 3;
constexpr std::int64_t kQuestionTransitMs = 30;

double AdviceMs(const ReplayKind& kind) {
  return kind.advice_base_ms +
         kTypicalWorkersPerQuestion * kind.advice_per_worker_ms;
}

double ReleaseRate(const ReplayKind& kind) {
  return static_cast<double>(kind.milli_cpus) /
         static_cast<double>(kind.run_ms);
}

bool AllowedByHash(std::int64_t step, std::int64_t worker, double share) {
  std::mt19937_64 random(static_cast<std::uint64_t>(step * 100'003 + worker));
  return std::uniform_real_distribution<>(0, 1)(random) < share;
}

}  // namespace

FleetReplay::FleetReplay(ReplayOptions options, std::vector<ReplayKind> kinds)
    : options_(std::move(options)),
      kinds_(std::move(kinds)),
      random_(options_.seed),
      planner_(options_.planner),
      idle_callers_(options_.callers) {
  for (std::int64_t n = 1; n <= options_.workers; ++n) {
    PlanWorker worker;
    worker.number = n;
    worker.service_name = "fleet";
    worker.capacity = {options_.worker_milli_cpus, 1'000'000, 0};
    worker.usable = true;
    planner_.workers()[n] = worker;
  }
  SetUpAccounts();
  for (const auto& it : kinds_) {
    outcomes_[it.name] = {};
    arrivals_[it.name].seed(options_.seed + arrivals_.size());
    At(1, [this, &it] { Arrive(it); });
  }
  At(kMeasureEveryMs, [this] { Measure(); });
  if (options_.outage_ms > 0) {
    At(options_.outage_begin_ms + options_.outage_ms, [this] { EndOutage(); });
  }
}

void FleetReplay::SetUpAccounts() {
  std::vector<std::pair<std::string, Demand>> limits;
  std::vector<std::pair<AccountNumber, double>> weights;
  for (std::int32_t n = 1; n <= options_.accounts; ++n) {
    const auto name = "account-" + std::to_string(n);
    limits.emplace_back(name, Demand{options_.account_milli_cpus, 0, 0});
    weights.emplace_back(planner_.accounts().NumberOf(name),
                         options_.account_weight);
  }
  planner_.accounts().SetLimits(limits);
  rates_.SetWeights(weights, 0);
}

AccountNumber FleetReplay::NextAccount(const ReplayKind& kind) {
  if (options_.accounts == 0 || kind.account != kNoAccount) {
    return kind.account;
  }
  // The first account is left to the kinds that name it.
  return static_cast<AccountNumber>(2 +
                                    next_account_++ % (options_.accounts - 1));
}

bool FleetReplay::InOutage() const {
  return now_ms_ >= options_.outage_begin_ms &&
         now_ms_ < options_.outage_begin_ms + options_.outage_ms;
}

void FleetReplay::EndOutage() {
  ++term_;
  queued_.clear();
  urgent_share_ = {};
  for (const auto& [id, job] : jobs_by_step_) {
    auto& step = *planner_.FindStep(id);
    StepAdvice advice;
    advice.needed = step.advice.needed;
    advice.base_ms = step.advice.base_ms;
    advice.per_worker_ms = step.advice.per_worker_ms;
    advice.ticket_valid_ms = step.advice.ticket_valid_ms;
    step.advice = std::move(advice);
    step.changed = true;
  }
}

void FleetReplay::At(std::int64_t at_ms, std::function<void()> action) {
  events_.emplace(at_ms, std::move(action));
}

void FleetReplay::Run() {
  const auto end_ms = options_.traffic_ms + options_.drain_ms;
  for (; now_ms_ < end_ms; ++now_ms_) {
    while (!events_.empty() && events_.begin()->first <= now_ms_) {
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    if (InOutage()) {
      continue;
    }
    if (now_ms_ % 10 == 0) {
      urgent_share_.Update(now_ms_, urgent_questions_,
                           static_cast<std::size_t>(options_.callers));
    }
    const auto since_ms = now_ms_ - planned_ms_;
    if (since_ms >= 50 || (plan_due_ && since_ms >= options_.plan_every_ms)) {
      Plan();
    }
    AssignQuestions();
  }
  for (auto& [id, job] : jobs_) {
    outcomes_[job.kind->name].unfinished += Counts(job) ? 1 : 0;
    CountUnserved(job);
  }
  const auto samples =
      static_cast<double>(std::max<std::int64_t>(1, sample_count_));
  used_share_ /= samples;
  held_share_ /= samples;
  busy_callers_ /= samples;
  used_share_while_work_waits_ /=
      static_cast<double>(std::max<std::int64_t>(1, waiting_samples_));
}

void FleetReplay::Arrive(const ReplayKind& kind) {
  if (now_ms_ >= options_.traffic_ms) {
    return;
  }
  auto& random = arrivals_.at(kind.name);
  Job job;
  job.kind = &kind;
  job.id = next_id_++;
  job.account = NextAccount(kind);
  job.sent_ms = now_ms_;
  const bool two =
      std::uniform_real_distribution<>(0, 1)(random) < kind.second_step_share;
  double width = 1;
  if (kind.vary_tasks) {
    // Mean 1; the widest steps are three times as wide as the average.
    width = std::min(3.0, std::lognormal_distribution<>(-0.14, 0.55)(random));
  }
  const auto tasks = std::max<std::int32_t>(
      1, static_cast<std::int32_t>(std::lround(kind.tasks * width)));
  double chain_ms = 0;
  for (int n = 0; n < (two ? 2 : 1); ++n) {
    const auto spread = options_.run_time_spread;
    const auto factor =
        std::lognormal_distribution<>(-spread * spread / 2, spread)(random);
    const auto run_ms = static_cast<double>(kind.run_ms) * factor;
    job.steps.push_back({tasks, tasks, std::llround(run_ms)});
    chain_ms += run_ms + AdviceMs(kind);
  }
  const auto size = static_cast<double>(tasks) / kind.tasks *
                    static_cast<double>(job.steps.size()) /
                    (1 + kind.second_step_share);
  job.size = size;
  job.worth = kind.worth * std::min(4.0, 0.3 + 0.7 * size);
  job.objective_ms = kind.latency_target_ms +
                     static_cast<std::int64_t>(kind.stretch * chain_ms);
  if (Counts(job)) {
    auto& outcome = outcomes_[kind.name];
    ++outcome.owed;
    outcome.worth_owed += job.worth;
  }
  const auto id = job.id;
  jobs_[id] = std::move(job);
  Submit(id);
  const double factor = options_.load ? options_.load(now_ms_) : 1.0;
  const double rate = kind.jobs_per_s * factor;
  const double gap_ms = std::exponential_distribution<>(rate / 1'000)(random);
  At(now_ms_ + std::max<std::int64_t>(1, std::llround(gap_ms)),
     [this, &kind] { Arrive(kind); });
}

LoadSummary FleetReplay::Load(const ReplayKind& kind,
                              std::int64_t slack_ms) const {
  auto load = planner_.SummarizeLoad(now_ms_);
  load.advice_wait_ms = AdviceWaitMs(kind.priority, now_ms_ + slack_ms);
  load.idle_callers = idle_callers_ - static_cast<std::int64_t>(queued_.size());
  return load;
}

std::tuple<int, bool, std::int64_t> FleetReplay::RankOf(
    const PlannedQuestion& question) const {
  const auto step = planner_.steps().find(question.step);
  if (step == planner_.steps().end()) {
    return {UrgencyRank(Lateness::kTooLate, true), true, 0};
  }
  return {
      UrgencyRank(LatenessOf(step->second, now_ms_), step->second.over_rate),
      step->second.priority > 0, LatestStartMs(step->second)};
}

// Like AdviceDispatcher::ExpectedWaitMs(), but doesn't tell apart which callers
// have urgent questions.
double FleetReplay::AdviceWaitMs(std::int32_t priority,
                                 std::int64_t latest_start_ms) const {
  AdviceCallerQueue callers;
  for (const auto it : busy_until_ms_) {
    callers.AddCaller(it + options_.caller_overhead_ms - now_ms_);
  }
  const auto count = static_cast<std::size_t>(options_.callers);
  while (callers.callers() < count) {
    callers.AddCaller(0);
  }
  if (priority > 0) {
    callers.SetAside(urgent_share_.Of(count));
  }
  const auto lateness =
      now_ms_ <= latest_start_ms ? Lateness::kOnTime : Lateness::kLate;
  const std::tuple order(UrgencyRank(lateness, false), priority > 0,
                         latest_start_ms);
  for (const auto& it : queued_) {
    if (RankOf(it) <= order) {
      callers.AddQuestion(it.expected_ms + options_.caller_overhead_ms);
    }
  }
  return static_cast<double>(callers.WaitMs());
}

void FleetReplay::Submit(std::int64_t id) {
  if (InOutage()) {
    At(options_.outage_begin_ms + options_.outage_ms,
       [this, id] { Submit(id); });
    return;
  }
  auto& job = jobs_.at(id);
  const auto& kind = *job.kind;
  NewJob new_job;
  new_job.urgent = kind.priority == 0;
  new_job.critical_path_ms =
      kind.run_ms * static_cast<std::int64_t>(job.steps.size());
  new_job.slack_ms =
      kind.latency_target_ms +
      static_cast<std::int64_t>((kind.stretch - 1) *
                                static_cast<double>(new_job.critical_path_ms)) -
      (now_ms_ - job.sent_ms);
  new_job.gang = kind.gang;
  new_job.advice_ms = static_cast<std::int64_t>(AdviceMs(kind));
  new_job.account = job.account;
  new_job.over_rate = !rates_.HasToken(job.account, now_ms_);
  new_job.next_token_ms = rates_.NextTokenMs(job.account, now_ms_);
  new_job.needs_advice = kind.advice_base_ms > 0;
  new_job.first_demand = {
      kind.milli_cpus * (kind.gang ? job.steps.front().tasks : 1), 100, 0};
  auto load = Load(kind, new_job.slack_ms);
  if (planner_.accounts().HasLimit(job.account)) {
    load.accounts.try_emplace(job.account,
                              LoadOf(planner_.accounts(), job.account));
  }
  const auto decision = DecideAdmission(load, new_job);
  if (!decision.accepted) {
    if (++job.attempts >= kMaxAttempts) {
      outcomes_[kind.name].refused += Counts(job) ? 1 : 0;
      CountUnserved(job);
      jobs_.erase(id);
      return;
    }
    At(now_ms_ + decision.retry_after_ms, [this, id] { Submit(id); });
    return;
  }
  job.over_rate = new_job.over_rate;
  if (job.over_rate) {
    outcomes_[kind.name].over_rate += Counts(job) ? 1 : 0;
  } else {
    rates_.TakeToken(job.account, now_ms_);
  }
  job.accepted_ms = now_ms_;
  At(now_ms_ + options_.commit_ms, [this, id] { AddPlanStep(jobs_.at(id)); });
}

void FleetReplay::AddPlanStep(Job& job) {
  const auto& kind = *job.kind;
  const auto& current = job.steps[job.current];
  PlanStep step;
  step.id = next_id_++;
  step.queue_name = kind.name;
  step.service_name = "fleet";
  step.priority = kind.priority;
  step.demand = {kind.milli_cpus, 100, 0};
  step.gang = kind.gang;
  step.account = job.account;
  step.over_rate = job.over_rate;
  step.expected_run_ms = kind.run_ms;
  step.accepted_ms = job.sent_ms;
  // As in the leader, a step is late once a job would be that runs for less
  // time than expected.
  const auto run_ms = static_cast<std::int64_t>(
      static_cast<double>(kind.run_ms) * std::exp(-options_.run_time_spread));
  const auto chain_ms = [&](std::size_t steps) {
    return static_cast<std::int64_t>(
        static_cast<double>(steps) *
        (static_cast<double>(run_ms) + AdviceMs(kind)));
  };
  step.objective_ms =
      job.sent_ms + kind.latency_target_ms +
      static_cast<std::int64_t>(
          kind.stretch * static_cast<double>(chain_ms(job.steps.size())));
  step.remaining_ms = run_ms + chain_ms(job.steps.size() - job.current - 1);
  step.waiting_since_ms = now_ms_;
  step.waiting.resize(static_cast<std::size_t>(current.tasks));
  std::iota(step.waiting.begin(), step.waiting.end(), 0);
  step.advice.needed = kind.advice_base_ms > 0;
  step.advice.base_ms = kind.advice_base_ms;
  step.advice.per_worker_ms = kind.advice_per_worker_ms;
  step.advice.ticket_valid_ms = options_.ticket_valid_ms;
  jobs_by_step_[step.id] = job.id;
  planner_.AddStep(std::move(step));
  plan_due_ = true;
}

void FleetReplay::Plan() {
  planned_ms_ = now_ms_;
  plan_due_ = false;
  const auto spare = idle_callers_ - static_cast<std::int64_t>(queued_.size());
  const auto plan = planner_.Decide(now_ms_, spare);
  for (AccountNumber n = 1; n < planner_.accounts().end_number(); ++n) {
    most_account_milli_cpus_ = std::max(
        most_account_milli_cpus_, planner_.accounts().UseOf(n).used.milli_cpus);
  }
  for (const auto& it : plan.starts) {
    planner_.FindStep(it.step)->waiting_since_ms = now_ms_;
    StartTask(it);
  }
  for (const auto& it : plan.questions) {
    ++questions_;
    queued_.push_back(it);
  }
}

void FleetReplay::StartTask(const PlannedStart& start) {
  auto& job = jobs_.at(jobs_by_step_.at(start.step));
  const auto& kind = *job.kind;
  const auto begins_ms = now_ms_ + options_.commit_ms + options_.transit_ms;
  if (job.first_start_ms < 0) {
    job.first_start_ms = begins_ms;
    waits_[kind.name].emplace(job.accepted_ms, begins_ms - job.accepted_ms);
    if (Counts(job)) {
      outcomes_[kind.name].first_start_ms.push_back(begins_ms -
                                                    job.accepted_ms);
    }
  }
  for (auto& it : open_answers_[start.step]) {
    it.used = it.used || std::find(it.workers.begin(), it.workers.end(),
                                   start.worker) != it.workers.end();
  }
  auto& worker = planner_.workers().at(start.worker);
  worker.milli_cpus_per_ms += ReleaseRate(kind);
  planner_.MarkWorkerChanged(start.worker);
  const auto& current = job.steps[job.current];
  if (kind.gang && start.index == current.tasks - 1) {
    BeginGangRun(job);
  }
  const auto run_ms = job.run_fails ? current.run_ms / 2 : current.run_ms;
  const auto expected_end_ms = now_ms_ + kind.run_ms;
  At(begins_ms + run_ms + options_.transit_ms,
     [this, step = start.step, worker = start.worker, expected_end_ms] {
       EndTask(step, worker, expected_end_ms);
     });
}

void FleetReplay::EndTask(StepId id,
                          std::int64_t worker_number,
                          std::int64_t expected_end_ms) {
  auto& worker = planner_.workers().at(worker_number);
  auto& job = jobs_.at(jobs_by_step_.at(id));
  const Demand demand{job.kind->milli_cpus, 100, 0};
  worker.used -= demand;
  worker.milli_cpus_per_ms -= ReleaseRate(*job.kind);
  worker.used_over_rate -= job.over_rate ? demand : Demand();
  for (auto& it : worker.accounts) {
    if (it.account == job.account) {
      it.used -= demand;
      it.milli_cpus_per_ms -= ReleaseRate(*job.kind);
    }
  }
  std::erase_if(worker.accounts,
                [](const auto& it) { return it.used == Demand(); });
  const auto end =
      std::find_if(worker.ends.begin(), worker.ends.end(), [&](const auto& it) {
        return it.at_ms == expected_end_ms && it.demand == demand;
      });
  worker.ends.erase(end);
  planner_.MarkWorkerChanged(worker_number);
  plan_due_ = true;
  auto* step = planner_.FindStep(id);
  if (--step->running[worker_number] == 0) {
    step->running.erase(worker_number);
  }
  auto& current = job.steps[job.current];
  if (--current.open > 0) {
    return;
  }
  if (job.run_fails) {
    RepeatGang(job, *step);
    return;
  }
  CloseAnswers(id, true);
  open_answers_.erase(id);
  planner_.RemoveStep(id);
  jobs_by_step_.erase(id);
  if (++job.current < job.steps.size()) {
    At(now_ms_ + options_.commit_ms,
       [this, job_id = job.id] { AddPlanStep(jobs_.at(job_id)); });
  } else {
    EndJob(job);
  }
}

void FleetReplay::BeginGangRun(Job& job) const {
  ++job.gang_runs;
  std::mt19937_64 random(
      static_cast<std::uint64_t>(job.id * 100'003 + job.gang_runs));
  job.run_fails = std::uniform_real_distribution<>(0, 1)(random) <
                  options_.gang_failure_share;
}

void FleetReplay::RepeatGang(Job& job, PlanStep& step) {
  auto& current = job.steps[job.current];
  job.run_fails = false;
  current.open = current.tasks;
  step.waiting.resize(static_cast<std::size_t>(current.tasks));
  std::iota(step.waiting.begin(), step.waiting.end(), 0);
  step.waiting_since_ms = now_ms_;
  step.changed = true;
  planner_.MarkStepWaiting(step);
}

void FleetReplay::EndJob(Job& job) {
  if (!Counts(job)) {
    jobs_.erase(job.id);
    return;
  }
  auto& outcome = outcomes_[job.kind->name];
  const auto took_ms = now_ms_ + options_.commit_ms - job.sent_ms;
  outcome.served.emplace_back(job.size,
                              took_ms <= kLateLimit * job.objective_ms);
  if (took_ms <= job.objective_ms) {
    ++outcome.in_time;
    outcome.worth_earned += job.worth;
  } else {
    ++outcome.late;
    if (took_ms <= kLateLimit * job.objective_ms) {
      outcome.worth_earned += kLateWorthShare * job.worth;
    }
  }
  jobs_.erase(job.id);
}

void FleetReplay::CountUnserved(const Job& job) {
  if (Counts(job)) {
    outcomes_[job.kind->name].served.emplace_back(job.size, false);
  }
}

double ReplayOutcome::ServedShare(double from, double to) const {
  auto ordered = served;
  std::sort(ordered.begin(), ordered.end());
  const auto count = static_cast<double>(ordered.size());
  const auto begin = ordered.begin() + std::lround(from * count);
  const auto end = ordered.begin() + std::lround(to * count);
  const auto n =
      std::count_if(begin, end, [](const auto& it) { return it.second; });
  return begin == end
             ? 1
             : static_cast<double>(n) / static_cast<double>(end - begin);
}

double ReplayOutcome::MeanWaitMs() const {
  const auto sum = std::accumulate(first_start_ms.begin(), first_start_ms.end(),
                                   std::int64_t{0});
  return static_cast<double>(sum) /
         static_cast<double>(std::max<std::size_t>(1, first_start_ms.size()));
}

void FleetReplay::AssignQuestions() {
  if (queued_.empty() || idle_callers_ == 0) {
    return;
  }
  std::stable_sort(
      queued_.begin(), queued_.end(),
      [&](const auto& a, const auto& b) { return RankOf(a) < RankOf(b); });
  while (!queued_.empty() && idle_callers_ > 0) {
    auto question = std::move(queued_.front());
    queued_.pop_front();
    if (planner_.FindStep(question.step) == nullptr) {
      continue;
    }
    --idle_callers_;
    const auto busy_until =
        busy_until_ms_.insert(now_ms_ + question.expected_ms);
    const bool urgent = planner_.FindStep(question.step)->priority == 0;
    urgent_questions_ += urgent ? 1 : 0;
    const bool was_late = LatenessOf(*planner_.FindStep(question.step),
                                     now_ms_) != Lateness::kOnTime;
    At(now_ms_ + question.expected_ms + options_.caller_overhead_ms,
       [this, question, busy_until, was_late, urgent, term = term_] {
         urgent_questions_ -= urgent ? 1 : 0;
         ++idle_callers_;
         busy_until_ms_.erase(busy_until);
         if (term == term_) {
           Answer(question, was_late);
         }
       });
  }
}

void FleetReplay::CloseAnswers(StepId step, bool all) {
  auto& answers = open_answers_[step];
  std::erase_if(answers, [&](const auto& it) {
    if (!all && now_ms_ <= it.valid_until_ms) {
      return false;
    }
    const auto job = jobs_.find(jobs_by_step_[step]);
    if (!it.used && job != jobs_.end()) {
      question_use_[job->second.kind->name].unused_ms += it.busy_ms;
    }
    return true;
  });
}

void FleetReplay::Answer(const PlannedQuestion& question, bool was_late) {
  plan_due_ = true;
  auto* step = planner_.FindStep(question.step);
  if (step == nullptr) {
    return;
  }
  const auto valid_until_ms =
      now_ms_ - 2 * kQuestionTransitMs + options_.ticket_valid_ms;
  const auto& kind = *jobs_.at(jobs_by_step_.at(question.step)).kind;
  const auto share =
      kind.allowed_share > 0 ? kind.allowed_share : options_.allowed_share;
  const auto busy_ms =
      static_cast<double>(question.expected_ms + options_.caller_overhead_ms);
  auto& use = question_use_[kind.name];
  ++use.count;
  use.busy_ms += busy_ms;
  use.late_ms += was_late ? busy_ms : 0;
  use.renewal_ms += question.renewal ? busy_ms : 0;
  CloseAnswers(question.step, false);
  open_answers_[question.step].push_back(
      {question.workers, busy_ms, valid_until_ms, false});
  std::map<std::int64_t, Ticket> tickets;
  for (const auto it : question.workers) {
    if (AllowedByHash(question.step, it, share)) {
      tickets[it] = {"t", valid_until_ms};
    }
  }
  step->advice.EndQuestion(question.workers, question.renewal);
  step->advice.RecordAnswer(question.workers, std::move(tickets));
  step->changed = true;
}

double FleetReplay::Worth() const {
  double owed = 0;
  double earned = 0;
  for (const auto& [name, it] : outcomes_) {
    owed += it.worth_owed;
    earned += it.worth_earned;
  }
  return owed > 0 ? earned / owed : 1;
}

void FleetReplay::Measure() {
  if (now_ms_ >= options_.traffic_ms) {
    return;
  }
  At(now_ms_ + kMeasureEveryMs, [this] { Measure(); });
  double capacity = 0;
  double used = 0;
  double held = 0;
  for (const auto& [number, worker] : planner_.workers()) {
    capacity += static_cast<double>(worker.capacity.milli_cpus);
    used += static_cast<double>(worker.used.milli_cpus);
    held += static_cast<double>(
        std::min(worker.held.milli_cpus, worker.FreeCapacity().milli_cpus));
  }
  ReplaySample sample;
  sample.at_ms = now_ms_;
  double waiting = 0;
  for (const auto& [id, step] : planner_.steps()) {
    if (!step.waiting.empty()) {
      const auto lateness = LatenessOf(step, now_ms_);
      sample.late_steps += lateness != Lateness::kOnTime ? 1 : 0;
      sample.useless_steps += lateness == Lateness::kTooLate ? 1 : 0;
    }
    sample.waiting_tasks += static_cast<std::int64_t>(step.waiting.size());
    waiting += static_cast<double>(step.waiting.size()) *
               static_cast<double>(step.demand.milli_cpus);
  }
  sample.queued_questions = static_cast<std::int64_t>(queued_.size());
  sample.busy_callers = options_.callers - idle_callers_;
  sample.used_share = used / capacity;
  sample.held_share = held / capacity;
  samples_.push_back(sample);
  if (now_ms_ < kWarmUpMs) {
    return;
  }
  ++sample_count_;
  used_share_ += used / capacity;
  held_share_ += held / capacity;
  busy_callers_ += options_.callers - idle_callers_;
  if (waiting > capacity - used) {
    ++waiting_samples_;
    used_share_while_work_waits_ += used / capacity;
  }
}

}  // namespace cranberryshunt::policy
