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

bool Demand::FitsIn(const Demand& room) const {
  return milli_cpus <= room.milli_cpus && memory_mb <= room.memory_mb &&
         accelerators <= room.accelerators;
}

Demand operator-(Demand a, const Demand& b) {
  a -= b;
  return a;
}

std::int64_t FitCount(const Demand& task,
                      const Demand& room,
                      std::int64_t limit) {
  if (!task.FitsIn(room)) {
    return 0;
  }
  if (task.milli_cpus > 0) {
    limit = std::min(limit, room.milli_cpus / task.milli_cpus);
  }
  if (task.memory_mb > 0) {
    limit = std::min(limit, room.memory_mb / task.memory_mb);
  }
  if (task.accelerators > 0) {
    limit = std::min(limit, room.accelerators / task.accelerators);
  }
  return limit;
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

// The service takes this many workers in one question.
constexpr std::size_t kMaxAsked = 100;

// Time that the service takes for a question about `n` workers.
std::int64_t AnswerMs(const PlanStep& step, std::size_t n) {
  return static_cast<std::int64_t>(
      step.advice.base_ms + step.advice.per_worker_ms * static_cast<double>(n));
}

// The larger share of the processors and of the memory.
double ShareOf(const Demand& part, const Demand& whole) {
  const auto share = [](std::int64_t a, std::int64_t b) {
    return b > 0 ? static_cast<double>(a) / static_cast<double>(b) : 0.0;
  };
  return std::max(share(part.milli_cpus, whole.milli_cpus),
                  share(part.memory_mb, whole.memory_mb));
}

// Share of the worker's larger dimension that would stay free; the smallest
// wins, so that tasks are packed and whole workers stay open for wide steps.
double LeftoverShare(const PlanWorker& worker, const Demand& demand) {
  return ShareOf(worker.FreeCapacity() - demand, worker.capacity);
}

bool HasLabel(const PlanWorker& worker, const std::string& label) {
  return label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                    label) != worker.labels.end();
}

std::int64_t PerWorkerLimit(const PlanStep& step, const PlanWorker& worker) {
  if (step.max_per_worker <= 0) {
    return std::numeric_limits<std::int32_t>::max();
  }
  const auto running = step.running.find(worker.number);
  return step.max_per_worker -
         (running == step.running.end() ? 0 : running->second);
}

// Room for one task of a gang on a worker, and when it is expected.
struct Opening {
  std::int64_t ready_ms = 0;
  PlanWorker* worker = nullptr;
};

// A task that runs longer than expected is expected to run on for as long as it
// is late.
std::int64_t EndOf(const ExpectedEnd& end, std::int64_t now_ms) {
  return end.at_ms >= now_ms ? end.at_ms : now_ms + (now_ms - end.at_ms);
}

// Adds the openings for up to `limit` tasks of this size on the worker.
void AddOpenings(PlanWorker& worker,
                 const Demand& task,
                 std::int64_t limit,
                 std::int64_t now_ms,
                 std::vector<Opening>& out) {
  Demand room = worker.FreeCapacity();
  std::int64_t fit = 0;
  const auto add = [&](std::int64_t ready_ms) {
    const auto next = FitCount(task, room, limit);
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
    room += it.demand;
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

bool IsLate(const PlanStep& step, std::int64_t now_ms) {
  return now_ms + step.remaining_ms > step.objective_ms;
}

}  // namespace

// State of one call of Decide().
struct GraphPlanner::Round {
  std::int64_t now_ms = 0;
  bool full = false;
  // Of the usable workers' room, what is held for gangs so far.
  double held_share = 0;
  std::int64_t idle_callers = 0;
  // A gang that can still make its objective waits for room.
  bool gang_waits = false;
  // Of the usable workers' room, what tasks of late steps use.
  double late_share = 0;
  Plan plan;
};

GraphPlanner::GraphPlanner(PlannerOptions options) : options_(options) {}

// Urgent queues first; then jobs that can still make their objective, by the
// latest time at which they must start; then late jobs in order of arrival.
std::vector<PlanStep*> GraphPlanner::StepsByUrgency(std::int64_t now_ms) {
  std::vector<PlanStep*> order;
  order.reserve(steps_.size());
  for (auto& [id, step] : steps_) {
    if (!step.waiting.empty()) {
      order.push_back(&step);
    }
  }
  const auto key = [now_ms](const PlanStep& step) {
    const bool late = IsLate(step, now_ms);
    const auto urgency =
        late ? step.accepted_ms : step.objective_ms - step.remaining_ms;
    return std::tuple(late, step.priority > 0, urgency, step.id);
  };
  std::sort(order.begin(), order.end(),
            [&](const auto* a, const auto* b) { return key(*a) < key(*b); });
  return order;
}

bool GraphPlanner::IsEligible(const PlanStep& step, const PlanWorker& worker) {
  const bool probe_busy =
      worker.probing && worker.used.milli_cpus + worker.used.memory_mb > 0;
  return worker.usable && !probe_busy &&
         worker.service_name == step.service_name &&
         HasLabel(worker, step.required_label) &&
         step.demand.FitsIn(worker.capacity);
}

bool GraphPlanner::IsAffectedByChangedWorkers(const PlanStep& step) const {
  return std::any_of(changed_workers_.begin(), changed_workers_.end(),
                     [&](auto it) { return step.advice.Allows(it); });
}

GraphPlanner::Candidates GraphPlanner::AllowedWorkers(const PlanStep& step,
                                                      bool changed_only) {
  Candidates out;
  const auto add = [&](std::int64_t number) {
    const auto it = workers_.find(number);
    if (it != workers_.end() && IsEligible(step, it->second)) {
      out.push_back(&it->second);
    }
  };
  if (changed_only) {
    for (const auto number : changed_workers_) {
      if (step.advice.Allows(number)) {
        add(number);
      }
    }
  } else if (step.advice.needed) {
    for (const auto& [number, ticket] : step.advice.allowed) {
      add(number);
    }
  } else {
    for (const auto& [number, worker] : workers_) {
      add(number);
    }
  }
  if (step.avoided.empty()) {
    return out;
  }
  // A task that failed on a worker goes elsewhere if it can.
  Candidates preferred;
  for (auto* it : out) {
    if (!step.avoided.contains(it->number)) {
      preferred.push_back(it);
    }
  }
  return preferred.empty() && !changed_only ? out : preferred;
}

Plan GraphPlanner::Decide(std::int64_t now_ms, std::int64_t idle_callers) {
  Round round;
  round.now_ms = now_ms;
  round.idle_callers = idle_callers;
  round.full = now_ms - full_round_at_ms_ >= options_.full_round_ms;
  if (round.full) {
    full_round_at_ms_ = now_ms;
    usable_workers_.clear();
    usable_capacity_.clear();
  }
  for (const auto number : workers_with_held_capacity_) {
    if (const auto it = workers_.find(number); it != workers_.end()) {
      it->second.held = {};
    }
  }
  workers_with_held_capacity_.clear();
  if (round.full) {
    for (const auto& [number, worker] : workers_) {
      if (worker.usable) {
        ++usable_workers_[worker.service_name];
        usable_capacity_[worker.service_name] += worker.capacity;
      }
    }
  }
  for (auto* step : StepsByUrgency(now_ms)) {
    PlaceStep(*step, round);
  }
  changed_workers_.clear();
  return std::move(round.plan);
}

// Late steps take the openings that a gang needs to end in time, and are worth
// less. While such a gang waits they use a small part of the fleet, so that
// each of them ends at last.
bool GraphPlanner::MayStartLate(const PlanStep& step, Round& round) {
  std::int64_t running = 0;
  for (const auto& [worker, tasks] : step.running) {
    running += tasks;
  }
  round.late_share += static_cast<double>(running) *
                      ShareOf(step.demand, usable_capacity_[step.service_name]);
  return !round.gang_waits || round.late_share < options_.max_late_share;
}

void GraphPlanner::PlaceStep(PlanStep& step, Round& round) {
  const bool whole = round.full || step.changed;
  if (!whole && !IsAffectedByChangedWorkers(step)) {
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
    const auto allowed = AllowedWorkers(step, false);
    PlaceGang(step, allowed, round);
    if (step.waiting.empty() || round.held_share >= options_.max_held_share) {
      step.held.clear();
    } else if (whole) {
      ChooseHeldCapacity(step, allowed, round);
    }
    HoldCapacity(step, round);
    round.gang_waits = round.gang_waits || (!late && !step.waiting.empty());
  } else {
    PlaceSingles(step, AllowedWorkers(step, !whole), round);
  }
  if (late) {
    const auto started =
        static_cast<std::int64_t>(waited - step.waiting.size());
    round.late_share +=
        static_cast<double>(started) *
        ShareOf(step.demand, usable_capacity_[step.service_name]);
  }
  if (whole && step.advice.needed && !step.advice.question_pending &&
      !step.waiting.empty()) {
    AskAboutNewWorkers(step, round);
  }
}

void GraphPlanner::Start(PlanStep& step, PlanWorker& worker, Round& round) {
  worker.used += step.demand;
  worker.AddEnd({round.now_ms + step.expected_run_ms, step.demand});
  ++step.running[worker.number];
  round.plan.starts.push_back({step.id, step.waiting.back(), worker.number});
  step.waiting.pop_back();
}

void GraphPlanner::PlaceSingles(PlanStep& step,
                                const Candidates& workers,
                                Round& round) {
  const auto until = round.now_ms + options_.ticket_margin_ms;
  std::vector<std::int64_t> without_ticket;
  while (!step.waiting.empty()) {
    PlanWorker* best = nullptr;
    std::pair<bool, double> best_key;
    without_ticket.clear();
    for (auto* it : workers) {
      if (!step.demand.FitsIn(it->AvailableCapacity()) ||
          PerWorkerLimit(step, *it) <= 0) {
        continue;
      }
      if (!step.advice.HasTicket(it->number, until)) {
        without_ticket.push_back(it->number);
        continue;
      }
      const bool far = !step.data_rack.empty() && it->rack != step.data_rack;
      const std::pair key(far, LeftoverShare(*it, step.demand));
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
  // Racks to try: all together, or each by itself first.
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
    std::vector<std::int64_t> without_ticket;
    for (auto* it : workers) {
      if (!rack.empty() && it->rack != rack) {
        continue;
      }
      const auto n = FitCount(step.demand, it->AvailableCapacity(),
                              std::min(count, PerWorkerLimit(step, *it)));
      if (n <= 0) {
        continue;
      }
      fit += n;
      if (step.advice.HasTicket(it->number, until)) {
        ticketed += n;
        fitting.push_back(it);
      } else {
        without_ticket.push_back(it->number);
      }
    }
    if (ticketed >= count) {
      // Fewest workers first: those with the least room that is left over.
      std::sort(fitting.begin(), fitting.end(), [&](auto* a, auto* b) {
        return LeftoverShare(*a, step.demand) < LeftoverShare(*b, step.demand);
      });
      for (auto* it : fitting) {
        while (!step.waiting.empty() &&
               step.demand.FitsIn(it->AvailableCapacity()) &&
               PerWorkerLimit(step, *it) > 0) {
          Start(step, *it, round);
        }
      }
      return;
    }
    if (fit >= count) {
      PlanQuestion(step, without_ticket, round);
      break;
    }
  }
}

void GraphPlanner::HoldCapacity(const PlanStep& step, Round& round) {
  Demand held;
  for (const auto& it : step.held) {
    const auto worker = workers_.find(it.worker);
    if (worker != workers_.end()) {
      worker->second.held += it.demand;
      workers_with_held_capacity_.push_back(it.worker);
      held += it.demand;
    }
  }
  round.held_share += ShareOf(held, usable_capacity_[step.service_name]);
}

// Keeps the room that a gang will get first, so that smaller work does not take
// it again and again. Each opening counts by itself: draining whole workers
// would leave more of them idle for longer.
void GraphPlanner::ChooseHeldCapacity(PlanStep& step,
                                      const Candidates& workers,
                                      Round& round) {
  step.held.clear();
  step.held_ready_ms = 0;
  const auto count = step.waiting.size();
  std::vector<Opening> openings;
  for (auto* it : workers) {
    // Held for an earlier gang.
    if (it->held != Demand()) {
      continue;
    }
    const auto limit =
        std::min(static_cast<std::int64_t>(count), PerWorkerLimit(step, *it));
    AddOpenings(*it, step.demand, limit, round.now_ms, openings);
  }
  if (openings.size() < count) {
    return;
  }
  std::sort(openings.begin(), openings.end(), [](const auto& a, const auto& b) {
    return std::pair(a.ready_ms, a.worker->number) <
           std::pair(b.ready_ms, b.worker->number);
  });
  for (std::size_t i = 0; i < count; ++i) {
    const auto number = openings[i].worker->number;
    auto held =
        std::find_if(step.held.begin(), step.held.end(),
                     [&](const auto& it) { return it.worker == number; });
    if (held == step.held.end()) {
      held = step.held.insert(held, {number, {}});
    }
    held->demand += step.demand;
  }
  step.held_ready_ms = openings[count - 1].ready_ms;
  AskAboutHeldWorkers(step, round);
}

// Asks for tickets so that they arrive together with the room.
void GraphPlanner::AskAboutHeldWorkers(PlanStep& step, Round& round) {
  const auto until = round.now_ms + options_.ticket_margin_ms;
  std::vector<std::int64_t> stale;
  for (const auto& it : step.held) {
    if (!step.advice.HasTicket(it.worker, until)) {
      stale.push_back(it.worker);
    }
  }
  if (!stale.empty() &&
      step.held_ready_ms - round.now_ms <= AnswerMs(step, stale.size())) {
    PlanQuestion(step, stale, round);
  }
}

// Wide steps need many allowed workers, and most of an answer's time does not
// depend on how many are named.
std::size_t GraphPlanner::MaxWorkersToAsk(const PlanStep& step) const {
  return step.waiting.size() >= options_.wide_step_tasks
             ? kMaxAsked
             : options_.max_workers_asked;
}

// Whether the workers that the service has allowed will do, so that the callers
// of the service stay free for other steps.
bool GraphPlanner::HasEnoughAllowedWorkers(const PlanStep& step,
                                           std::size_t limit,
                                           std::int64_t now_ms) const {
  if (step.advice.asked_workers.empty()) {
    return false;
  }
  const auto count = static_cast<std::int64_t>(step.waiting.size());
  // A gang needs all its places at the same time, so it needs a choice.
  const auto wanted = step.gang ? 2 * count : count;
  std::int64_t places = 0;
  for (const auto& [number, ticket] : step.advice.allowed) {
    const auto it = workers_.find(number);
    if (it != workers_.end() && IsEligible(step, it->second)) {
      places += FitCount(step.demand, it->second.capacity,
                         std::min(count, PerWorkerLimit(step, it->second)));
    }
    if (places >= wanted) {
      break;
    }
  }
  const bool far_off =
      !step.held.empty() && step.held_ready_ms - now_ms > AnswerMs(step, limit);
  return places >= wanted && !far_off;
}

// Asks about workers that the service has not been asked about yet, the
// emptiest first.
void GraphPlanner::AskAboutNewWorkers(PlanStep& step, Round& round) {
  const auto& known = step.advice.asked_workers;
  const auto limit = MaxWorkersToAsk(step);
  if (known.size() >= usable_workers_[step.service_name] ||
      round.plan.questions.size() >= options_.max_questions) {
    return;
  }
  if (HasEnoughAllowedWorkers(step, limit, round.now_ms)) {
    // A gang starts sooner with more workers to choose from.
    if (!step.gang || round.idle_callers <= options_.reserved_callers) {
      return;
    }
    --round.idle_callers;
  }
  // The share that stays free orders them; computed once for each.
  std::vector<std::pair<double, std::int64_t>> unknown;
  for (const auto& [number, worker] : workers_) {
    if (!known.contains(number) && IsEligible(step, worker)) {
      unknown.emplace_back(-LeftoverShare(worker, step.demand), number);
    }
  }
  if (unknown.empty()) {
    return;
  }
  const auto asked = std::min(unknown.size(), limit);
  std::partial_sort(unknown.begin(),
                    unknown.begin() + static_cast<std::ptrdiff_t>(asked),
                    unknown.end());
  std::vector<std::int64_t> numbers;
  for (std::size_t i = 0; i < asked; ++i) {
    numbers.push_back(unknown[i].second);
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
  if (question.workers.size() > kMaxAsked) {
    question.workers.resize(kMaxAsked);
  }
  question.expected_ms = AnswerMs(step, question.workers.size());
  step.advice.question_pending = true;
  round.plan.questions.push_back(std::move(question));
}

}  // namespace cranberryshunt::policy
