// Places the tasks that may crash their workers. Each gets an empty worker,
// which nothing else is placed on meanwhile: a further crash there shows
// whether the task is the cause, and does no harm to others.
#include <algorithm>
#include <iterator>
#include <utility>

#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::policy {

namespace {

bool IsEmpty(const PlanWorker& worker) {
  return worker.ends.empty() && worker.used == Demand();
}

bool MayRunOneMore(const PlanStep& step, const PlanWorker& worker) {
  const auto running = step.running.find(worker.number);
  return step.max_per_worker <= 0 || running == step.running.end() ||
         running->second < step.max_per_worker;
}

std::int64_t LastEndMs(const PlanWorker& worker) {
  return worker.ends.empty() ? 0 : worker.ends.back().at_ms;
}

// Holds the worker that is expected to be empty first, if that is before
// `until_ms`, for the step. A worker that is held already is kept.
void DrainWorkerFor(PlanStep& step,
                    const std::vector<PlanWorker*>& workers,
                    std::int64_t until_ms) {
  const auto earlier = std::exchange(step.held, {});
  PlanWorker* best = nullptr;
  for (auto* it : workers) {
    if (it->held != Demand() || !step.demand.FitsIn(it->capacity) ||
        !MayRunOneMore(step, *it) || LastEndMs(*it) >= until_ms) {
      continue;
    }
    if (!earlier.empty() && earlier.front().worker == it->number) {
      best = it;
      break;
    }
    if (best == nullptr || LastEndMs(*it) < LastEndMs(*best)) {
      best = it;
    }
  }
  if (best != nullptr) {
    step.held.push_back({best->number, Max(best->FreeCapacity(), {})});
  }
}

}  // namespace

// Of the empty workers, the one that has been up for longest is the least
// likely to crash for another reason.
PlanWorker* GraphPlanner::FindEmptyWorker(PlanStep& step,
                                          const Candidates& workers,
                                          std::int64_t now_ms,
                                          Round& round) {
  const auto until = now_ms + options_.ticket_margin_ms;
  std::vector<std::int64_t> without_ticket;
  PlanWorker* best = nullptr;
  const auto key = [&](const PlanWorker& it) {
    return std::pair(step.avoided.contains(it.number), it.number);
  };
  for (auto* it : workers) {
    if (it->exclusive || !IsEmpty(*it) ||
        !step.demand.FitsIn(it->AvailableCapacity()) ||
        !MayRunOneMore(step, *it)) {
      continue;
    }
    if (!step.advice.HasTicket(it->number, until)) {
      without_ticket.push_back(it->number);
    } else if (best == nullptr || key(*it) < key(*best)) {
      best = it;
    }
  }
  if (best == nullptr) {
    PlanRenewal(step, without_ticket, round);
  }
  return best;
}

std::vector<std::int32_t> GraphPlanner::PlaceSuspects(PlanStep& step,
                                                      std::int64_t now_ms,
                                                      Round& round) {
  if (step.suspects.empty()) {
    step.held.clear();
    return {};
  }
  const auto workers = AllowedWorkers(step, false, now_ms);
  std::vector<std::int32_t> out;
  std::vector<std::int32_t> others;
  std::int64_t drain_until_ms = 0;
  for (const auto index : std::exchange(step.waiting, {})) {
    const auto suspect = step.suspects.find(index);
    if (suspect == step.suspects.end()) {
      others.push_back(index);
      continue;
    }
    const auto waited_ms = now_ms - suspect->second;
    if ((unrest_ && waited_ms < options_.max_suspect_hold_ms) ||
        !FitsLimit(step)) {
      out.push_back(index);
      continue;
    }
    if (auto* worker = FindEmptyWorker(step, workers, now_ms, round);
        worker != nullptr) {
      step.waiting.push_back(index);
      Start(step, *worker, round);
      worker->exclusive = true;
      step.suspects.erase(index);
    } else if (waited_ms < options_.max_empty_wait_ms) {
      out.push_back(index);
      drain_until_ms = std::max(drain_until_ms,
                                suspect->second + options_.max_empty_wait_ms);
    } else {
      others.push_back(index);
    }
  }
  step.waiting = std::move(others);
  DrainWorkerFor(step, workers, drain_until_ms);
  return out;
}

void GraphPlanner::PlaceSuspectGang(PlanStep& step,
                                    const Candidates& workers,
                                    std::int64_t now_ms,
                                    Round& round) {
  const auto waited_ms = now_ms - step.suspects.begin()->second;
  if (unrest_ && waited_ms < options_.max_suspect_hold_ms) {
    return;
  }
  Candidates empty;
  std::copy_if(workers.begin(), workers.end(), std::back_inserter(empty),
               [](const auto* it) { return IsEmpty(*it); });
  PlaceGang(step, empty, round);
  if (!step.waiting.empty()) {
    if (waited_ms >= options_.max_empty_wait_ms) {
      PlaceGang(step, workers, round);
    }
    return;
  }
  step.suspects.clear();
  for (auto* it : empty) {
    it->exclusive = !IsEmpty(*it);
  }
}

}  // namespace cranberryshunt::policy
