#include "cranberryshunt/policy/graph_planner.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

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

namespace {

// The advice service accepts up to this many workers in one question.
constexpr std::size_t kMaxWorkersPerQuestion = 100;

// Expected time in which the service answers a question about `n` workers.
std::int64_t AnswerMs(const PlanStep& step, std::size_t n) {
  return static_cast<std::int64_t>(
      step.advice.base_ms + step.advice.per_worker_ms * static_cast<double>(n));
}

// The larger of the processor share and the memory share of `part` in `whole`.
double ShareOf(const Demand& part, const Demand& whole) {
  const auto share = [](std::int64_t a, std::int64_t b) {
    return b > 0 ? static_cast<double>(a) / static_cast<double>(b) : 0.0;
  };
  return std::max(share(part.milli_cpus, whole.milli_cpus),
                  share(part.memory_mb, whole.memory_mb));
}

// Larger of the processor and memory shares of the worker that would stay free
// after a task of this size is placed on it. Workers with the smallest share
// are preferred, which packs tasks tightly and keeps whole workers free for
// wide steps.
double LeftoverShare(const PlanWorker& worker, const Demand& demand) {
  return ShareOf(worker.FreeCapacity() - demand, worker.capacity);
}

bool HasLabel(const PlanWorker& worker, const std::string& label) {
  return label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                    label) != worker.labels.end();
}

// How many further tasks of the step the worker may run, according to
// `max_per_worker`.
std::int64_t PerWorkerLimit(const PlanStep& step, const PlanWorker& worker) {
  if (step.max_per_worker <= 0) {
    return std::numeric_limits<std::int32_t>::max();
  }
  const auto running = step.running.find(worker.number);
  return step.max_per_worker -
         (running == step.running.end() ? 0 : running->second);
}

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

// Capacity for one task of a gang on a worker, and the time at which it is
// expected to be free.
struct ExpectedCapacity {
  std::int64_t ready_ms = 0;
  PlanWorker* worker = nullptr;
};

// Expected end of a task. A task that is overdue is expected to run on for as
// long as it is already overdue.
std::int64_t EndOf(const ExpectedEnd& end, std::int64_t now_ms) {
  return end.at_ms >= now_ms ? end.at_ms : now_ms + (now_ms - end.at_ms);
}

// Appends one element to `out` for each task of size `task` that the worker can
// run, up to `limit` elements. Each element contains the time at which the
// capacity is expected to be free. This is `now_ms`, or a later time at which
// other tasks on the worker have ended.
void AddExpectedCapacity(PlanWorker& worker,
                         const Demand& task,
                         std::int64_t limit,
                         std::int64_t now_ms,
                         std::vector<ExpectedCapacity>& out) {
  Demand free = worker.FreeCapacity();
  std::int64_t fit = 0;
  const auto add = [&](std::int64_t ready_ms) {
    const auto next = FitCount(task, free, limit);
    for (; fit < next; ++fit) {
      out.push_back({ready_ms, &worker});
    }
  };
  add(now_ms);
  std::int64_t at_ms = now_ms;
  for (const auto& it : worker.ends) {
    if (fit >= limit) {
      break;
    }
    free += it.demand;
    at_ms = std::max(at_ms, EndOf(it, now_ms));
    add(at_ms);
  }
}

}  // namespace

void PlanWorker::AddEnd(const ExpectedEnd& end) {
  const auto after = std::upper_bound(
      ends.begin(), ends.end(), end,
      [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
  ends.insert(after, end);
}

namespace {

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

// Whether the worker may be given tasks, apart from its free capacity.
bool IsOpen(const PlanWorker& worker) {
  const bool probe_busy =
      worker.probing && worker.used.milli_cpus + worker.used.memory_mb > 0;
  return worker.usable && !probe_busy && !worker.exclusive;
}

// Whether the step's job is expected to end after its objective even if the
// step started now.
bool IsLate(const PlanStep& step, std::int64_t now_ms) {
  return now_ms + step.remaining_ms > step.objective_ms;
}

}  // namespace

// State of one call of Decide().
struct GraphPlanner::Round {
  std::int64_t now_ms = 0;
  bool full = false;
  // Share of the usable capacity that is held for gangs so far.
  double held_share = 0;
  std::int64_t idle_callers = 0;
  // Whether a gang that can still meet its objective waits for capacity.
  bool gang_waits = false;
  // Share of the usable capacity that tasks of late steps use.
  double late_share = 0;
  Plan plan;
};

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

// Steps that can still meet their objective precede late ones. Within each of
// these groups, urgent queues precede others. Steps with equal rank so far are
// ordered by the latest time at which they must start, or, if they are late, by
// the time at which they were accepted.
std::vector<PlanStep*> GraphPlanner::StepsByUrgency(std::int64_t now_ms) {
  using Key = std::tuple<bool, bool, std::int64_t, StepId>;
  std::vector<std::pair<Key, PlanStep*>> order;
  waiting_steps_.erase_if(
      [](const auto& it) { return it.second->waiting.empty(); });
  order.reserve(waiting_steps_.size());
  for (const auto& [id, step] : waiting_steps_) {
    const bool late = IsLate(*step, now_ms);
    const auto urgency =
        late ? step->accepted_ms : step->objective_ms - step->remaining_ms;
    order.emplace_back(Key(late, step->priority > 0, urgency, id), step);
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
  if (step.avoided.empty() || IsHeldBack(step, now_ms)) {
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
  if (round.full) {
    UpdateServices();
  }
  for (auto* step : StepsByUrgency(now_ms)) {
    PlaceStep(*step, round);
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
  const bool plan_fully = round.full || step.changed;
  if (!plan_fully && !IsAffectedByChangedWorkers(step)) {
    if (IsLate(step, round.now_ms)) {
      (void)MayStartLate(step, round);
    }
    if (round.held_share >= options_.max_held_share) {
      step.held.clear();
    }
    HoldCapacity(step, round);
    round.gang_waits =
        round.gang_waits || (step.gang && !IsLate(step, round.now_ms));
    return;
  }
  const bool late = IsLate(step, round.now_ms);
  if (late && !MayStartLate(step, round)) {
    return;
  }
  step.changed = false;
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
      ChooseHeldCapacity(step, allowed, round);
    }
    if (step.held.empty()) {
      step.held_since_ms = 0;
    } else if (step.held_since_ms == 0) {
      step.held_since_ms = round.now_ms;
    }
    HoldCapacity(step, round);
    round.gang_waits = round.gang_waits || (!late && !step.waiting.empty());
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
  if (plan_fully && step.advice.needed && !step.advice.question_pending &&
      !step.waiting.empty()) {
    AskAboutNewWorkers(step, round);
  }
}

void GraphPlanner::Start(PlanStep& step, PlanWorker& worker, Round& round) {
  worker.used += step.demand;
  auto& indexed = *FindIndexed(worker.number);
  worker_totals_ -= indexed.part;
  indexed.part = PartOf(worker);
  worker_totals_ += indexed.part;
  worker.AddEnd({round.now_ms + step.expected_run_ms, step.demand});
  ++step.running[worker.number];
  round.plan.starts.push_back({step.id, step.waiting.back(), worker.number});
  step.waiting.pop_back();
  if (step.waiting.empty()) {
    step.unserved_since_ms = 0;
  }
}

void GraphPlanner::PlaceSingles(PlanStep& step,
                                const Candidates& workers,
                                Round& round) {
  const auto until = round.now_ms + options_.ticket_margin_ms;
  std::vector<std::int64_t> without_ticket;
  while (!step.waiting.empty()) {
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
    Start(step, *best, round);
  }
  if (!step.waiting.empty() && !without_ticket.empty()) {
    PlanQuestion(step, without_ticket, round);
  }
}

void GraphPlanner::PlaceGang(PlanStep& step,
                             const Candidates& workers,
                             Round& round) {
  const auto until = round.now_ms + options_.ticket_margin_ms;
  const auto count = static_cast<std::int64_t>(step.waiting.size());
  // Starting the first member changes what the others may use, so the capacity
  // is determined before.
  std::map<const PlanWorker*, Demand> usable;
  for (const auto* it : workers) {
    usable[it] = UsableCapacity(step, *it, round.now_ms);
  }
  // Racks to try. The empty name stands for all racks together; for `same_rack`
  // each single rack is tried first.
  std::vector<std::string> racks;
  if (step.same_rack) {
    for (const auto* it : workers) {
      if (std::find(racks.begin(), racks.end(), it->rack) == racks.end()) {
        racks.push_back(it->rack);
      }
    }
  }
  racks.emplace_back();
  for (const auto& rack : racks) {
    Candidates fitting;
    std::int64_t fit = 0;
    std::int64_t ticketed = 0;
    std::vector<std::int64_t> with_room;
    for (auto* it : workers) {
      if (!rack.empty() && it->rack != rack) {
        continue;
      }
      const auto n = FitCount(step.demand, usable[it],
                              std::min(count, PerWorkerLimit(step, *it)));
      if (n <= 0) {
        continue;
      }
      fit += n;
      with_room.push_back(it->number);
      if (step.advice.HasTicket(it->number, until)) {
        ticketed += n;
        fitting.push_back(it);
      }
    }
    if (ticketed >= count) {
      // Workers with the least capacity left over come first, so that the gang
      // uses few workers.
      const auto key = [&](const auto* it) {
        return std::pair(step.avoided.contains(it->number),
                         LeftoverShare(*it, step.demand));
      };
      std::sort(fitting.begin(), fitting.end(),
                [&](auto* a, auto* b) { return key(a) < key(b); });
      for (auto* it : fitting) {
        while (!step.waiting.empty() && step.demand.FitsIn(usable[it]) &&
               PerWorkerLimit(step, *it) > 0) {
          Start(step, *it, round);
          usable[it] -= step.demand;
        }
      }
      return;
    }
    if (fit >= count) {
      PlanQuestion(step, MissingTickets(step, with_room, round.now_ms), round);
      break;
    }
  }
}

void GraphPlanner::HoldCapacity(const PlanStep& step, Round& round) {
  const bool held_long =
      step.held_since_ms != 0 &&
      round.now_ms - step.held_since_ms >= options_.max_wait_ms;
  Demand held;
  for (const auto& it : step.held) {
    auto* worker = FindWorker(it.worker);
    if (worker != nullptr) {
      worker->held += it.demand;
      if (held_long) {
        worker->held_long += it.demand;
      }
      workers_with_held_capacity_.push_back(it.worker);
      held += it.demand;
    }
  }
  round.held_share += ShareOf(held, usable_capacity_[step.service_name]);
}

// Holds for the gang the capacity that becomes free first, since smaller tasks
// would otherwise keep taking it. Capacity is held for each task separately:
// draining whole workers would leave more of them idle for longer.
void GraphPlanner::ChooseHeldCapacity(PlanStep& step,
                                      const Candidates& workers,
                                      Round& round) {
  step.held.clear();
  step.held_ready_ms = 0;
  const auto count = step.waiting.size();
  std::vector<ExpectedCapacity> expected_capacity;
  for (auto* it : workers) {
    // Skips workers with capacity held for a gang that precedes this one.
    if (it->held != Demand()) {
      continue;
    }
    const auto limit =
        std::min(static_cast<std::int64_t>(count), PerWorkerLimit(step, *it));
    AddExpectedCapacity(*it, step.demand, limit, round.now_ms,
                        expected_capacity);
  }
  if (expected_capacity.size() < count) {
    return;
  }
  std::sort(expected_capacity.begin(), expected_capacity.end(),
            [](const auto& a, const auto& b) {
              return std::pair(a.ready_ms, a.worker->number) <
                     std::pair(b.ready_ms, b.worker->number);
            });
  for (std::size_t i = 0; i < count; ++i) {
    const auto number = expected_capacity[i].worker->number;
    auto held =
        std::find_if(step.held.begin(), step.held.end(),
                     [&](const auto& it) { return it.worker == number; });
    if (held == step.held.end()) {
      held = step.held.insert(held, {number, {}});
    }
    held->demand += step.demand;
  }
  step.held_ready_ms = expected_capacity[count - 1].ready_ms;
  AskAboutHeldWorkers(step, round);
}

// Asks for missing tickets once the held capacity is expected to be free by the
// time of the answer.
void GraphPlanner::AskAboutHeldWorkers(PlanStep& step, Round& round) {
  std::vector<std::int64_t> held;
  for (const auto& it : step.held) {
    held.push_back(it.worker);
  }
  const auto missing = MissingTickets(step, held, round.now_ms);
  if (!missing.empty() &&
      step.held_ready_ms - round.now_ms <= AnswerMs(step, missing.size())) {
    PlanQuestion(step, missing, round);
  }
}

// A gang needs all its tickets at the same time. Those that would expire before
// the answer are renewed in the same question, because they would be asked for
// next while the new ones expire.
std::vector<std::int64_t> GraphPlanner::MissingTickets(
    const PlanStep& step,
    const std::vector<std::int64_t>& workers,
    std::int64_t now_ms) const {
  const auto until = now_ms + options_.ticket_margin_ms;
  const auto answered =
      until + AnswerMs(step, std::min(workers.size(), kMaxWorkersPerQuestion));
  std::vector<std::int64_t> missing;
  std::vector<std::int64_t> expiring;
  for (const auto it : workers) {
    if (!step.advice.HasTicket(it, until)) {
      missing.push_back(it);
    } else if (!step.advice.HasTicket(it, answered)) {
      expiring.push_back(it);
    }
  }
  if (!missing.empty()) {
    missing.insert(missing.end(), expiring.begin(), expiring.end());
  }
  return missing;
}

// Wide steps need many allowed workers, and most of the answer time does not
// depend on the number of workers in the question.
std::size_t GraphPlanner::MaxWorkersToAsk(const PlanStep& step) const {
  return step.waiting.size() >= options_.wide_step_tasks
             ? kMaxWorkersPerQuestion
             : options_.max_workers_asked;
}

std::int64_t GraphPlanner::FitOnAllowedWorkers(const PlanStep& step,
                                               bool idle,
                                               std::int64_t limit) {
  const auto count = static_cast<std::int64_t>(step.waiting.size());
  std::int64_t fit = 0;
  for (const auto& [number, ticket] : step.advice.allowed) {
    const auto* worker = FindWorker(number);
    if (worker != nullptr && IsEligible(step, *worker) &&
        !step.avoided.contains(number)) {
      fit += FitCount(step.demand,
                      idle ? worker->capacity : worker->AvailableCapacity(),
                      std::min(count, PerWorkerLimit(step, *worker)));
    }
    if (fit >= limit) {
      break;
    }
  }
  return fit;
}

// Whether the workers that the service has allowed are enough for the waiting
// tasks, so that callers of the service can stay free for other steps. They are
// not enough if a further answer would come before the held capacity is free.
bool GraphPlanner::HasEnoughAllowedWorkers(const PlanStep& step,
                                           std::size_t limit,
                                           std::int64_t now_ms) {
  if (step.advice.asked_workers.empty()) {
    return false;
  }
  const auto count = static_cast<std::int64_t>(step.waiting.size());
  // A gang needs capacity for all its tasks at the same time, so it needs more
  // workers to choose from.
  const auto wanted = step.gang ? 2 * count : count;
  const bool answer_comes_first =
      !step.held.empty() && step.held_ready_ms - now_ms > AnswerMs(step, limit);
  return !answer_comes_first &&
         FitOnAllowedWorkers(step, true, wanted) >= wanted;
}

// The tasks on the allowed workers may go on for very long, so a step doesn't
// rely on their end for ever.
GraphPlanner::QuestionScope GraphPlanner::FindQuestionScope(
    const PlanStep& step,
    std::size_t limit,
    const Round& round) {
  if (!HasEnoughAllowedWorkers(step, limit, round.now_ms)) {
    return QuestionScope::kAll;
  }
  // A gang can start sooner with more workers to choose from, so it asks while
  // enough callers are idle.
  if (step.gang && round.idle_callers > options_.reserved_callers) {
    return QuestionScope::kAll;
  }
  const auto waited_ms = round.now_ms - step.waiting_since_ms;
  if (waited_ms < options_.held_back_ms ||
      (round.idle_callers <= 0 && waited_ms < options_.max_wait_ms)) {
    return QuestionScope::kNone;
  }
  const auto count = static_cast<std::int64_t>(step.waiting.size());
  if (FitOnAllowedWorkers(step, false, count) >= count) {
    return QuestionScope::kNone;
  }
  return IsLate(step, round.now_ms) && waited_ms >= options_.long_wait_ms &&
                 round.idle_callers > 0
             ? QuestionScope::kAll
             : QuestionScope::kWithRoom;
}

// Asks about eligible workers that the service has not been asked about yet,
// those with the most free capacity first.
void GraphPlanner::AskAboutNewWorkers(PlanStep& step, Round& round) {
  const auto& asked_workers = step.advice.asked_workers;
  const auto limit = MaxWorkersToAsk(step);
  if (step.advice.complete_at_version == workers_version_ ||
      round.plan.questions.size() >= options_.max_questions) {
    return;
  }
  const auto scope = FindQuestionScope(step, limit, round);
  if (scope == QuestionScope::kNone) {
    return;
  }
  // Computes the sort key once for each worker.
  std::vector<std::pair<double, std::int64_t>> candidates;
  for (const auto& it : all_workers_) {
    const auto& worker = *it.worker;
    if (!asked_workers.contains(it.number) && IsEligible(step, worker) &&
        (scope == QuestionScope::kAll ||
         step.demand.FitsIn(worker.AvailableCapacity()))) {
      candidates.emplace_back(-LeftoverShare(worker, step.demand), it.number);
    }
  }
  if (candidates.empty()) {
    if (scope == QuestionScope::kAll) {
      step.advice.complete_at_version = workers_version_;
    }
    return;
  }
  --round.idle_callers;
  const auto asked = std::min(candidates.size(), limit);
  const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(asked);
  std::nth_element(candidates.begin(), last, candidates.end());
  std::sort(candidates.begin(), last);
  std::vector<std::int64_t> numbers;
  for (std::size_t i = 0; i < asked; ++i) {
    numbers.push_back(candidates[i].second);
  }
  PlanQuestion(step, numbers, round);
}

void GraphPlanner::PlanQuestion(PlanStep& step,
                                const std::vector<std::int64_t>& workers,
                                Round& round) {
  if (step.advice.question_pending || !step.advice.needed || workers.empty() ||
      round.plan.questions.size() >= options_.max_questions) {
    return;
  }
  PlannedQuestion question;
  question.step = step.id;
  question.workers = workers;
  if (question.workers.size() > kMaxWorkersPerQuestion) {
    question.workers.resize(kMaxWorkersPerQuestion);
  }
  question.expected_ms = AnswerMs(step, question.workers.size());
  step.advice.question_pending = true;
  step.advice.last_question_ms = round.now_ms;
  round.plan.questions.push_back(std::move(question));
}

}  // namespace cranberryshunt::policy
