#include "cranberryshunt/policy/graph_planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

#include "plan_round.h"

namespace cranberryshunt::policy {

Demand& Demand::operator+=(const Demand& other) {
  milli_cpus += other.milli_cpus;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

Demand& Demand::operator-=(const Demand& other) {
  milli_cpus -= other.milli_cpus;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  return *this;
}

WorkerTotals& WorkerTotals::operator+=(const WorkerTotals& other) {
  free += other.free;
  milli_cpus_per_ms += other.milli_cpus_per_ms;
  memory_mb_per_ms += other.memory_mb_per_ms;
  return *this;
}

WorkerTotals& WorkerTotals::operator-=(const WorkerTotals& other) {
  free -= other.free;
  milli_cpus_per_ms -= other.milli_cpus_per_ms;
  memory_mb_per_ms -= other.memory_mb_per_ms;
  return *this;
}

std::int64_t LatestStartMs(const PlanStep& step) {
  return step.objective_ms - step.remaining_ms;
}

std::int64_t LatestUsefulStartMs(const PlanStep& step) {
  // A caller has some use for a job that ends after this many times its
  // objective.
  constexpr double kUsefulObjectives = 2.5;
  if (step.long_running || !step.suspects.empty()) {
    return std::numeric_limits<std::int64_t>::max();
  }
  const auto objective_ms =
      static_cast<double>(step.objective_ms - step.accepted_ms);
  return step.accepted_ms +
         static_cast<std::int64_t>(kUsefulObjectives * objective_ms) -
         step.remaining_ms;
}

int UrgencyRank(Lateness lateness, bool over_rate) {
  constexpr int kRanksOfUse = 2;
  const auto rank = static_cast<int>(lateness);
  if (lateness == Lateness::kTooLate) {
    return kRanksOfUse + rank;
  }
  return over_rate ? kRanksOfUse + rank : rank;
}

Lateness LatenessOf(const PlanStep& step, std::int64_t now_ms) {
  if (now_ms <= LatestStartMs(step)) {
    return Lateness::kOnTime;
  }
  return now_ms <= LatestUsefulStartMs(step) ? Lateness::kLate
                                             : Lateness::kTooLate;
}

bool Demand::FitsIn(const Demand& available) const {
  return milli_cpus <= available.milli_cpus &&
         memory_mb <= available.memory_mb &&
         accelerators <= available.accelerators;
}

Demand operator-(Demand a, const Demand& b) {
  a -= b;
  return a;
}

Demand Min(const Demand& a, const Demand& b) {
  return {std::min(a.milli_cpus, b.milli_cpus),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

Demand Max(const Demand& a, const Demand& b) {
  return {std::max(a.milli_cpus, b.milli_cpus),
          std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}

std::int64_t FitCount(const Demand& task,
                      const Demand& available,
                      std::int64_t limit) {
  if (!task.FitsIn(available)) {
    return 0;
  }
  if (task.milli_cpus > 0) {
    limit = std::min(limit, available.milli_cpus / task.milli_cpus);
  }
  if (task.memory_mb > 0) {
    limit = std::min(limit, available.memory_mb / task.memory_mb);
  }
  if (task.accelerators > 0) {
    limit = std::min(limit, available.accelerators / task.accelerators);
  }
  return limit;
}

void StepAdvice::RecordAnswer(const std::vector<std::int64_t>& asked,
                              std::map<std::int64_t, Ticket> tickets) {
  asked_workers.insert(asked.begin(), asked.end());
  for (const auto it : asked) {
    if (auto ticket = tickets.extract(it); !ticket.empty()) {
      allowed[it] = std::move(ticket.mapped());
    } else if (allowed.erase(it) > 0) {
      // The service does not change its mind about a worker, so it may have
      // answered about another incarnation. The worker can be asked about once
      // more.
      asked_workers.erase(it);
      complete_at_version = 0;
    }
  }
}

void StepAdvice::BeginQuestion(const std::vector<std::int64_t>& workers,
                               bool renewal,
                               std::int64_t due_ms) {
  if (renewal) {
    renewal_pending = true;
    renewal_due_ms = due_ms;
    renewing = {};
    renewing.insert(workers.begin(), workers.end());
  } else {
    ++open_questions;
    pending_workers.insert(workers.begin(), workers.end());
  }
}

void StepAdvice::EndQuestion(const std::vector<std::int64_t>& workers,
                             bool renewal) {
  if (renewal) {
    renewal_pending = false;
    renewing = {};
    return;
  }
  if (--open_questions == 0) {
    pending_workers = {};
    return;
  }
  for (const auto it : workers) {
    pending_workers.erase(it);
  }
}

bool StepAdvice::Allows(std::int64_t worker) const {
  return !needed || allowed.contains(worker);
}

bool StepAdvice::HasTicket(std::int64_t worker, std::int64_t until_ms) const {
  if (!needed) {
    return true;
  }
  const auto ticket = allowed.find(worker);
  return ticket != allowed.end() && ticket->second.valid_until_ms >= until_ms;
}

void PlanWorker::AddEnd(const ExpectedEnd& end) {
  const auto after = std::upper_bound(
      ends.begin(), ends.end(), end,
      [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
  ends.insert(after, end);
}

namespace {

// Whether the workers have room for the waiting tasks once they are idle. Tasks
// that need not run at the same time can use the same room one after another.
bool CanHold(const PlanStep& step, const std::vector<PlanWorker*>& workers) {
  const bool together = step.gang || step.max_per_worker > 0;
  const auto wanted =
      together ? static_cast<std::int64_t>(step.waiting.size()) : 1;
  std::int64_t fit = 0;
  for (const auto* it : workers) {
    fit += FitCount(step.demand, it->capacity,
                    std::min(wanted, PerWorkerLimit(step, *it)));
    if (fit >= wanted) {
      return true;
    }
  }
  return false;
}

WorkerTotals PartOf(const PlanWorker& worker) {
  WorkerTotals part;
  if (worker.usable) {
    // A worker whose capacity has shrunk takes nothing from the others.
    part.free = Max(worker.FreeCapacity(), {});
  }
  part.milli_cpus_per_ms = worker.milli_cpus_per_ms;
  part.memory_mb_per_ms = worker.memory_mb_per_ms;
  return part;
}

}  // namespace

GraphPlanner::GraphPlanner(PlannerOptions options) : options_(options) {}

PlanStep& GraphPlanner::AddStep(PlanStep step) {
  auto& added = steps_[step.id];
  added = std::move(step);
  MarkStepWaiting(added);
  return added;
}

PlanStep* GraphPlanner::FindStep(StepId id) {
  const auto it = steps_.find(id);
  return it == steps_.end() ? nullptr : &it->second;
}

void GraphPlanner::RemoveStep(StepId id) {
  waiting_steps_.erase(id);
  steps_.erase(id);
}

void GraphPlanner::RemoveWorker(std::int64_t number) {
  workers_.erase(number);
  offers_.erase(number);
  accounts_.SetWorkerUse(number, {});
  MarkWorkerChanged(number);
  for (auto& [id, step] : steps_) {
    step.advice.asked_workers.erase(number);
    const auto removed =
        step.advice.allowed.erase(number) + step.avoided.erase(number) +
        step.running.erase(number) +
        std::erase_if(step.held,
                      [&](const auto& it) { return it.worker == number; });
    step.changed = step.changed || removed > 0;
  }
}

// Steps that can still meet their objective precede late ones, and these
// precede those that are too late to be of use. Jobs beyond the rate of their
// account form groups of their own before the last group. Within each group,
// urgent queues precede others. Steps with equal rank so far are ordered by the
// time at which they must begin to gather room, or, if they are late, by the
// time at which they were accepted.
std::vector<PlanStep*> GraphPlanner::StepsByUrgency(std::int64_t now_ms) {
  using Key = std::tuple<int, bool, std::int64_t, StepId>;
  std::vector<std::pair<Key, PlanStep*>> order;
  waiting_steps_.erase_if(
      [](const auto& it) { return it.second->waiting.empty(); });
  order.reserve(waiting_steps_.size());
  for (const auto& [id, step] : waiting_steps_) {
    const auto lateness = LatenessOf(*step, now_ms);
    const auto urgency = lateness == Lateness::kOnTime
                             ? LatestStartMs(*step) - GatherMs(*step)
                             : step->accepted_ms;
    order.emplace_back(Key(UrgencyRank(lateness, step->over_rate),
                           step->priority > 0, urgency, id),
                       step);
  }
  std::sort(order.begin(), order.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<PlanStep*> out;
  out.reserve(order.size());
  for (const auto& [key, step] : order) {
    out.push_back(step);
  }
  return out;
}

std::int64_t GraphPlanner::GatherMs(const PlanStep& step) const {
  return step.gang ? options_.gather_ms_per_task *
                         static_cast<std::int64_t>(step.waiting.size())
                   : 0;
}

bool GraphPlanner::IsEligible(const PlanStep& step, const PlanWorker& worker) {
  return IsOpen(worker) && worker.service_name == step.service_name &&
         HasLabel(worker, step.required_label) &&
         step.demand.FitsIn(worker.capacity);
}

StepWorkers GraphPlanner::WorkersOf(const PlanStep& step) const {
  const auto count = static_cast<std::int64_t>(step.waiting.size());
  StepWorkers out;
  for (const auto& [number, worker] : workers_) {
    if (!IsEligible(step, worker)) {
      continue;
    }
    ++out.eligible;
    if (step.advice.Allows(number)) {
      ++out.allowed;
      out.fit += FitCount(step.demand, worker.FreeCapacity(),
                          std::min(count, PerWorkerLimit(step, worker)));
    }
  }
  return out;
}

GraphPlanner::IndexedWorker* GraphPlanner::FindIndexed(std::int64_t number) {
  // The numbers follow one another unless workers were replaced.
  if (!all_workers_.empty() && number >= all_workers_.front().number) {
    const auto n =
        static_cast<std::size_t>(number - all_workers_.front().number);
    if (n < all_workers_.size() && all_workers_[n].number == number) {
      return &all_workers_[n];
    }
  }
  const auto it = std::lower_bound(
      all_workers_.begin(), all_workers_.end(), number,
      [](const auto& entry, auto key) { return entry.number < key; });
  return it != all_workers_.end() && it->number == number ? &*it : nullptr;
}

PlanWorker* GraphPlanner::FindWorker(std::int64_t number) {
  const auto* entry = FindIndexed(number);
  return entry == nullptr ? nullptr : entry->worker;
}

bool GraphPlanner::IsAffectedByChangedWorkers(const PlanStep& step) const {
  return std::any_of(changed_candidates_.begin(), changed_candidates_.end(),
                     [&](const auto* it) {
                       return step.demand.FitsIn(it->FreeCapacity()) &&
                              step.advice.Allows(it->number);
                     });
}

bool GraphPlanner::IsHeldBack(const PlanStep& step, std::int64_t now_ms) const {
  const bool waits_for_short_tasks =
      !step.long_running && busy_services_.contains(step.service_name);
  // Tasks of a long-running step that start again and again must not keep the
  // others waiting.
  const auto since_ms = step.long_running && step.unserved_since_ms != 0
                            ? step.unserved_since_ms
                            : step.waiting_since_ms;
  return now_ms - since_ms >=
         (waits_for_short_tasks ? options_.max_wait_ms : options_.held_back_ms);
}

Demand GraphPlanner::UsableCapacity(const PlanStep& step,
                                    const PlanWorker& worker,
                                    std::int64_t now_ms) const {
  if (worker.held == Demand() || !IsHeldBack(step, now_ms)) {
    return worker.AvailableCapacity();
  }
  if (step.long_running) {
    return worker.FreeCapacity();
  }
  auto usable = worker.AvailableCapacity();
  if (step.running.empty()) {
    usable += worker.held_long;
  }
  return usable;
}

// Whether one of the workers is expected to have room for a task of the step
// soon. A step that has waited for the longest time relies on none.
bool GraphPlanner::IsFreeSoon(const PlanStep& step,
                              const Candidates& workers,
                              std::int64_t now_ms) const {
  if (step.gang || step.long_running ||
      now_ms - step.waiting_since_ms >= options_.max_wait_ms) {
    return false;
  }
  const auto soon_ms = now_ms + options_.held_back_ms;
  return std::any_of(workers.begin(), workers.end(), [&](const auto* worker) {
    auto free = worker->AvailableCapacity();
    for (const auto& it : worker->ends) {
      if (it.at_ms < now_ms || it.at_ms > soon_ms) {
        break;
      }
      free += it.demand;
    }
    return PerWorkerLimit(step, *worker) > 0 && step.demand.FitsIn(free);
  });
}

GraphPlanner::Candidates GraphPlanner::AllowedWorkers(const PlanStep& step,
                                                      bool changed_only,
                                                      std::int64_t now_ms) {
  Candidates out;
  const auto add = [&](PlanWorker* worker) {
    if (worker != nullptr && IsEligible(step, *worker)) {
      out.push_back(worker);
    }
  };
  if (changed_only) {
    for (auto* it : changed_candidates_) {
      if (step.advice.Allows(it->number)) {
        add(it);
      }
    }
  } else if (step.advice.needed) {
    out.reserve(step.advice.allowed.size());
    for (const auto& [number, ticket] : step.advice.allowed) {
      add(FindWorker(number));
    }
  } else {
    out.reserve(all_workers_.size());
    for (const auto& it : all_workers_) {
      add(it.worker);
    }
  }
  if (step.avoided.empty()) {
    return out;
  }
  // Avoids workers on which a task of the step failed if the others can hold
  // the step.
  Candidates preferred;
  for (auto* it : out) {
    if (!step.avoided.contains(it->number)) {
      preferred.push_back(it);
    }
  }
  if (IsHeldBack(step, now_ms) && !IsFreeSoon(step, preferred, now_ms)) {
    return out;
  }
  return changed_only || CanHold(step, preferred) ? preferred : out;
}

void GraphPlanner::UpdateOffers() {
  for (const auto number : changed_workers_) {
    if (const auto it = workers_.find(number); it != workers_.end()) {
      UpdateOffer(number, it->second);
    } else {
      offers_.erase(number);
    }
  }
  if (offers_.size() != workers_.size()) {
    std::erase_if(offers_,
                  [&](const auto& it) { return !workers_.contains(it.first); });
    for (const auto& [number, worker] : workers_) {
      UpdateOffer(number, worker);
    }
  }
}

void GraphPlanner::UpdateOffer(std::int64_t number, const PlanWorker& worker) {
  auto& known = offers_[number];
  // Starts and ends of tasks change only `open`, and that only while the worker
  // is probed.
  const bool unchanged = known.open == IsOpen(worker) &&
                         known.service_name == worker.service_name &&
                         known.labels == worker.labels &&
                         known.capacity == worker.capacity;
  if (unchanged) {
    return;
  }
  known = {IsOpen(worker), worker.service_name, worker.labels, worker.capacity};
  if (known.open) {
    ++workers_version_;
  }
}

void GraphPlanner::IndexWorkers(bool full) {
  UpdateOffers();
  if (full || workers_.size() != all_workers_.size() ||
      !IndexChangedWorkers()) {
    IndexAllWorkers();
  }
  changed_candidates_.clear();
  for (const auto number : changed_workers_) {
    if (auto* worker = FindWorker(number); worker != nullptr) {
      changed_candidates_.push_back(worker);
    }
  }
}

bool GraphPlanner::IndexChangedWorkers() {
  for (const auto number : changed_workers_) {
    const auto worker = workers_.find(number);
    auto* entry = FindIndexed(number);
    if (worker == workers_.end() || entry == nullptr ||
        entry->worker != &worker->second) {
      return false;
    }
    worker_totals_ -= entry->part;
    entry->part = PartOf(*entry->worker);
    worker_totals_ += entry->part;
  }
  return true;
}

void GraphPlanner::IndexAllWorkers() {
  all_workers_.clear();
  worker_totals_ = {};
  for (auto& [number, worker] : workers_) {
    all_workers_.push_back({number, &worker, PartOf(worker)});
    worker_totals_ += all_workers_.back().part;
  }
  UpdateExpectedUse();
}

void GraphPlanner::UpdateServices() {
  usable_capacity_.clear();
  busy_services_.clear();
  std::map<std::string, Demand> used;
  for (const auto& [number, worker] : workers_) {
    if (worker.usable) {
      usable_capacity_[worker.service_name] += worker.capacity;
      used[worker.service_name] += worker.used;
    }
  }
  for (const auto& [name, capacity] : usable_capacity_) {
    if (ShareOf(used[name], capacity) > options_.busy_share) {
      busy_services_.insert(name);
    }
  }
}

LoadSummary GraphPlanner::SummarizeLoad(std::int64_t now_ms) const {
  LoadSummary load;
  load.cpus.free = static_cast<double>(worker_totals_.free.milli_cpus);
  load.memory.free = static_cast<double>(worker_totals_.free.memory_mb);
  load.cpus.released_per_ms = worker_totals_.milli_cpus_per_ms;
  load.memory.released_per_ms = worker_totals_.memory_mb_per_ms;
  for (const auto& [id, waiting_step] : waiting_steps_) {
    const auto& step = *waiting_step;
    const auto tasks = static_cast<double>(step.waiting.size());
    const auto cpus = tasks * static_cast<double>(step.demand.milli_cpus);
    const auto memory = tasks * static_cast<double>(step.demand.memory_mb);
    load.waiting.push_back({step.priority == 0,
                            step.objective_ms - step.remaining_ms - now_ms,
                            cpus, memory});
  }
  SummarizeAccounts(now_ms, load);
  return load;
}

Plan GraphPlanner::Decide(std::int64_t now_ms, std::int64_t idle_callers) {
  Round round;
  round.now_ms = now_ms;
  round.idle_callers = idle_callers;
  round.full = now_ms - full_round_at_ms_ >= options_.full_round_ms;
  if (round.full) {
    full_round_at_ms_ = now_ms;
  }
  IndexWorkers(round.full);
  for (const auto number : workers_with_held_capacity_) {
    if (auto* worker = FindWorker(number); worker != nullptr) {
      worker->held = {};
      worker->held_long = {};
    }
  }
  workers_with_held_capacity_.clear();
  UpdateAccounts(round.full);
  if (round.full) {
    UpdateRateUse(now_ms);
    UpdateServices();
  }
  for (auto* step : StepsByUrgency(now_ms)) {
    PlaceStep(*step, round);
    CountNearWait(*step, round);
  }
  changed_workers_.clear();
  return std::move(round.plan);
}

// Late steps would take the capacity that a gang needs to meet its objective,
// and they are worth less. While such a gang waits, they may use only a small
// share of the fleet, which still lets each of them finish eventually.
// Long-running tasks would use that share for ever, so they don't count.
bool GraphPlanner::MayStartLate(const PlanStep& step, Round& round) {
  if (step.long_running) {
    return !round.gang_waits || IsHeldBack(step, round.now_ms);
  }
  std::int64_t running = 0;
  for (const auto& [worker, tasks] : step.running) {
    running += tasks;
  }
  round.late_share += static_cast<double>(running) *
                      ShareOf(step.demand, usable_capacity_[step.service_name]);
  return !round.gang_waits || round.late_share < options_.max_late_share;
}

void GraphPlanner::PlaceStep(PlanStep& step, Round& round) {
  if (step.unserved_since_ms == 0) {
    step.unserved_since_ms = round.now_ms;
  }
  const bool was_at_limit = std::exchange(step.at_limit, IsAtLimit(step));
  if (step.at_limit) {
    WaitAtLimit(step, round);
    return;
  }
  const bool plan_fully = round.full || step.changed || was_at_limit;
  round.plan_fully = plan_fully;
  round.may_ask = MayAskForAdvice(step);
  if (step.uncommitted) {
    if (plan_fully && step.advice.needed && round.may_ask) {
      AskAboutNewWorkers(step, round);
    }
    ClaimRoom(step);
    return;
  }
  if (!plan_fully && !IsAffectedByChangedWorkers(step)) {
    if (IsLate(step, round.now_ms)) {
      (void)MayStartLate(step, round);
    }
    if (round.held_share >= options_.max_held_share) {
      step.held.clear();
    }
    HoldCapacity(step, round);
    ClaimRoom(step);
    round.gang_waits =
        round.gang_waits ||
        (step.gang && !step.leaves_far_room && !IsLate(step, round.now_ms));
    return;
  }
  const bool late = IsLate(step, round.now_ms);
  if (late && !MayStartLate(step, round)) {
    return;
  }
  step.changed = false;
  step.planned_ms = round.now_ms;
  const auto waited = step.waiting.size();
  if (step.gang) {
    const auto allowed = AllowedWorkers(step, false, round.now_ms);
    if (step.suspects.empty()) {
      PlaceGang(step, allowed, round);
    } else {
      PlaceSuspectGang(step, allowed, round.now_ms, round);
    }
    if (step.waiting.empty() || round.held_share >= options_.max_held_share) {
      step.held.clear();
    } else if (plan_fully) {
      AssembleGang(step, allowed, round);
    }
    if (step.held.empty()) {
      step.held_since_ms = 0;
    } else if (step.held_since_ms == 0) {
      step.held_since_ms = round.now_ms;
    }
    HoldCapacity(step, round);
    // A gang that leaves far room keeps no late step from using it.
    round.gang_waits = round.gang_waits || (!late && !step.waiting.empty() &&
                                            !step.leaves_far_room);
  } else {
    const auto held_back = PlaceSuspects(step, round.now_ms, round);
    PlaceSingles(step, AllowedWorkers(step, !plan_fully, round.now_ms), round);
    step.waiting.insert(step.waiting.end(), held_back.begin(), held_back.end());
    if (round.held_share >= options_.max_held_share) {
      step.held.clear();
    }
    HoldCapacity(step, round);
  }
  if (late && !step.long_running) {
    const auto started =
        static_cast<std::int64_t>(waited - step.waiting.size());
    round.late_share +=
        static_cast<double>(started) *
        ShareOf(step.demand, usable_capacity_[step.service_name]);
  }
  if (!step.gang) {
    step.at_limit = !step.waiting.empty() && IsAtLimit(step);
  }
  if (plan_fully && step.advice.needed && !step.waiting.empty() &&
      !step.at_limit && round.may_ask) {
    AskAboutNewWorkers(step, round);
  }
  ClaimRoom(step);
}

void GraphPlanner::Start(PlanStep& step,
                         PlanWorker& worker,
                         Round& round,
                         bool spread) {
  const auto start = DescribeStart(step, worker, round, spread);
  worker.used += step.demand;
  auto& indexed = *FindIndexed(worker.number);
  worker_totals_ -= indexed.part;
  indexed.part = PartOf(worker);
  worker_totals_ += indexed.part;
  worker.AddEnd({round.now_ms + start.expected_run_ms, step.demand});
  if (step.account != kNoAccount) {
    AddTask(worker.accounts, step.account, step.demand, start.expected_run_ms);
    accounts_.SetWorkerUse(worker.number, worker.accounts);
  }
  if (step.over_rate) {
    worker.used_over_rate += step.demand;
    cpus_by_rate_.used_over_rate += static_cast<double>(step.demand.milli_cpus);
    memory_by_rate_.used_over_rate +=
        static_cast<double>(step.demand.memory_mb);
  }
  ++step.running[worker.number];
  round.plan.starts.push_back(start);
  step.waiting.pop_back();
  if (step.waiting.empty()) {
    step.unserved_since_ms = 0;
    EndNearWait(step);
  }
}

void GraphPlanner::PlaceSingles(PlanStep& step,
                                const Candidates& workers,
                                Round& round) {
  const auto until = round.now_ms + options_.ticket_margin_ms;
  if (IsLate(step, round.now_ms)) {
    EndNearWait(step);
  }
  std::vector<std::int64_t> without_ticket;
  std::optional<std::size_t> near_waiting;
  while (!step.waiting.empty() && FitsLimit(step)) {
    PlanWorker* best = nullptr;
    std::tuple<bool, bool, bool, double> best_key;
    without_ticket.clear();
    for (auto* it : workers) {
      const bool is_held = !step.demand.FitsIn(it->AvailableCapacity());
      if (!step.demand.FitsIn(UsableCapacity(step, *it, round.now_ms)) ||
          PerWorkerLimit(step, *it) <= 0) {
        continue;
      }
      if (!step.advice.HasTicket(it->number, until)) {
        without_ticket.push_back(it->number);
        continue;
      }
      const bool other_rack =
          !step.data_rack.empty() && it->rack != step.data_rack;
      const std::tuple key(is_held, step.avoided.contains(it->number),
                           other_rack, LeftoverShare(*it, step.demand));
      if (best == nullptr || key < best_key) {
        best = it;
        best_key = key;
      }
    }
    if (best == nullptr) {
      break;
    }
    if (std::get<2>(best_key) && MayWaitForNearPlace(step)) {
      if (!near_waiting) {
        near_waiting = PlanNearWait(step, round);
      }
      if (step.waiting.size() <= *near_waiting) {
        break;
      }
    }
    Start(step, *best, round);
  }
  const bool may_start = !step.waiting.empty() && FitsLimit(step);
  if (round.plan_fully || !without_ticket.empty()) {
    // Tasks that wait for a near place leave room to others.
    step.lacks_room = may_start && without_ticket.empty() && !workers.empty() &&
                      step.waiting.size() > near_waiting.value_or(0);
  }
  if (may_start && !without_ticket.empty()) {
    // Tasks that wait for a near place need no tickets for far ones.
    if (MayWaitForNearPlace(step) && !near_waiting) {
      near_waiting = PlanNearWait(step, round);
    }
    if (step.waiting.size() <= near_waiting.value_or(0)) {
      return;
    }
    RenewTickets(step, std::move(without_ticket), round);
  }
}

}  // namespace cranberryshunt::policy
