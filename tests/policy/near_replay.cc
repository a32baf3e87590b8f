#include "near_replay.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace cranberryshunt::policy {

namespace {

constexpr std::int64_t kPlanEveryMs = 5;
constexpr std::int64_t kFullPlanEveryMs = 50;

PlannerOptions OptionsOf(const NearReplayOptions& options) {
  PlannerOptions out;
  out.far_run_factor = options.planned_factor;
  return out;
}

}  // namespace

NearReplay::NearReplay(NearReplayOptions options)
    : options_(options),
      random_(options.seed),
      planner_(OptionsOf(options)),
      far_factors_(options.planned_factor) {
  for (std::int32_t n = 0; n < options_.racks * options_.workers_per_rack;
       ++n) {
    PlanWorker worker;
    worker.number = n + 1;
    worker.service_name = "fleet";
    worker.rack = "r" + std::to_string(n / options_.workers_per_rack);
    worker.capacity = {options_.worker_milli_cpus, 1'000'000, 0};
    worker.usable = true;
    planner_.workers()[worker.number] = worker;
  }
  At(1, [this] { Arrive(); });
  if (options_.drain_at_ms > 0) {
    At(options_.drain_at_ms, [this] { CloseRack(); });
  }
}

void NearReplay::At(std::int64_t at_ms, std::function<void()> action) {
  events_.emplace(at_ms, std::move(action));
}

void NearReplay::Run() {
  constexpr std::int64_t kLongestRunMs = 600'000;
  while (now_ms_ < kLongestRunMs && !(events_.empty() && jobs_.empty())) {
    ++now_ms_;
    while (!events_.empty() && events_.begin()->first <= now_ms_) {
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    const auto since_ms = now_ms_ - planned_ms_;
    if (since_ms >= kFullPlanEveryMs ||
        (plan_due_ && since_ms >= kPlanEveryMs)) {
      Plan();
    }
  }
}

void NearReplay::Arrive() {
  if (now_ms_ >= options_.traffic_ms) {
    return;
  }
  std::uniform_real_distribution<> uniform(0, 1);
  const auto spread = options_.run_time_spread;
  Job job;
  job.sent_ms = now_ms_;
  job.hot = uniform(random_) < options_.hot_share;
  job.open = options_.tasks;
  job.run_ms = std::llround(
      static_cast<double>(options_.run_ms) *
      std::lognormal_distribution<>(-spread * spread / 2, spread)(random_));
  PlanStep step;
  step.id = next_id_++;
  step.service_name = "fleet";
  step.priority = 1;
  step.demand = {options_.milli_cpus, 100, 0};
  step.gang = job.hot && options_.hot_gangs;
  step.same_rack = step.gang;
  step.data_rack = job.hot && !step.gang ? "r0" : "";
  step.expected_run_ms = std::llround(static_cast<double>(options_.run_ms) *
                                      options_.estimate_error);
  step.far_run_factor = far_factors_.Expected(step.data_rack);
  step.accepted_ms = now_ms_;
  step.remaining_ms = step.expected_run_ms;
  step.objective_ms = now_ms_ + options_.latency_target_ms +
                      std::llround(options_.stretch *
                                   static_cast<double>(step.expected_run_ms));
  step.waiting_since_ms = now_ms_;
  step.waiting.resize(static_cast<std::size_t>(options_.tasks));
  std::iota(step.waiting.begin(), step.waiting.end(), 0);
  job.objective_ms = step.objective_ms;
  jobs_[step.id] = job;
  planner_.AddStep(std::move(step));
  plan_due_ = true;
  const auto fleet = static_cast<double>(options_.racks) *
                     options_.workers_per_rack *
                     static_cast<double>(options_.worker_milli_cpus);
  const auto work = static_cast<double>(options_.tasks) *
                    static_cast<double>(options_.milli_cpus) *
                    static_cast<double>(options_.run_ms);
  const double gap_ms =
      std::exponential_distribution<>(options_.load * fleet / work)(random_);
  At(now_ms_ + std::max<std::int64_t>(1, std::llround(gap_ms)),
     [this] { Arrive(); });
}

void NearReplay::Plan() {
  planned_ms_ = now_ms_;
  plan_due_ = false;
  for (const auto& it : planner_.Decide(now_ms_).starts) {
    planner_.FindStep(it.step)->waiting_since_ms = now_ms_;
    Start(it);
  }
}

void NearReplay::Start(const PlannedStart& start) {
  const auto& job = jobs_.at(start.step);
  near_starts_ += start.nearness == Nearness::kNear ? 1 : 0;
  far_starts_ += start.nearness == Nearness::kFar ? 1 : 0;
  longest_near_wait_ms_ = std::max(longest_near_wait_ms_, start.near_wait_ms);
  double factor =
      start.nearness == Nearness::kFar ? options_.far_run_factor : 1;
  const auto& worker = planner_.workers().at(start.worker);
  factor *= worker.rack == "r0" ? options_.slow_rack : 1;
  const auto id = next_id_++;
  runs_[id] = {start, now_ms_ + start.expected_run_ms, now_ms_};
  At(now_ms_ + std::llround(static_cast<double>(job.run_ms) * factor),
     [this, id] { End(id); });
}

void NearReplay::Release(const TaskRun& run) {
  const auto number = run.start.worker;
  auto& worker = planner_.workers().at(number);
  const Demand demand{options_.milli_cpus, 100, 0};
  worker.used -= demand;
  worker.ends.erase(std::find(worker.ends.begin(), worker.ends.end(),
                              ExpectedEnd{run.expected_end_ms, demand}));
  planner_.MarkWorkerChanged(number);
  auto* step = planner_.FindStep(run.start.step);
  if (--step->running[number] == 0) {
    step->running.erase(number);
  }
  plan_due_ = true;
}

void NearReplay::End(std::int64_t id) {
  const auto run = runs_.extract(id);
  if (run.empty()) {
    return;
  }
  Release(run.mapped());
  const auto step = run.mapped().start.step;
  const auto& known = *planner_.FindStep(step);
  far_factors_.Record(known.data_rack, run.mapped().start.nearness,
                      known.expected_run_ms, now_ms_ - run.mapped().started_ms);
  auto& job = jobs_.at(step);
  auto& finishes = finishes_[job.hot];
  finishes.total_ms += static_cast<double>(now_ms_ - job.sent_ms);
  ++finishes.tasks;
  if (--job.open > 0) {
    return;
  }
  ++ended_jobs_;
  ended_in_time_ += now_ms_ <= job.objective_ms ? 1 : 0;
  planner_.RemoveStep(step);
  jobs_.erase(step);
}

void NearReplay::CloseRack() {
  for (auto& [number, worker] : planner_.workers()) {
    if (worker.rack == "r0") {
      worker.usable = false;
      planner_.MarkWorkerChanged(number);
    }
  }
  if (!options_.lose_rack) {
    return;
  }
  std::vector<TaskRun> lost;
  std::erase_if(runs_, [&](const auto& it) {
    const bool on_rack =
        planner_.workers().at(it.second.start.worker).rack == "r0";
    if (on_rack) {
      lost.push_back(it.second);
    }
    return on_rack;
  });
  for (const auto& it : lost) {
    Release(it);
    auto* step = planner_.FindStep(it.start.step);
    step->waiting.push_back(it.start.index);
    step->changed = true;
    planner_.MarkStepWaiting(*step);
  }
}

double NearReplay::MeanFinishMs(bool hot) const {
  const auto it = finishes_.find(hot);
  return it == finishes_.end()
             ? 0
             : it->second.total_ms / static_cast<double>(it->second.tasks);
}

double NearReplay::MeanFinishMs() const {
  double total_ms = 0;
  std::int64_t tasks = 0;
  for (const auto& [hot, it] : finishes_) {
    total_ms += it.total_ms;
    tasks += it.tasks;
  }
  return total_ms / static_cast<double>(std::max<std::int64_t>(1, tasks));
}

double NearReplay::InTime() const {
  return static_cast<double>(ended_in_time_) /
         static_cast<double>(std::max<std::int64_t>(1, ended_jobs_));
}

}  // namespace cranberryshunt::policy
