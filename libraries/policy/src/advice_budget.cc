// Estimates which workers the waiting steps will use, so that their questions
// to the advice service spread over the fleet.
#include "cranberryshunt/policy/advice_budget.h"

#include <algorithm>
#include <cmath>

#include "plan_round.h"

namespace cranberryshunt::policy {

namespace {

// An urgent question occupies its caller for about 100 ms. The average covers
// some of them, so that a few that arrive together don't refuse other jobs,
// while jobs that arrive in a burst of urgent ones learn of it at once.
constexpr double kUrgentShareMs = 300;

// Expected use of each worker if the waiting tasks of the step spread evenly
// over `workers` of them.
double UseOfEach(const PlanStep& step, std::size_t workers) {
  return static_cast<double>(step.waiting.size()) *
         static_cast<double>(step.demand.milli_cpus) /
         static_cast<double>(std::max<std::size_t>(1, workers));
}

}  // namespace

void AdviceCallerQueue::AddCaller(std::int64_t free_in_ms) {
  free_in_ms_.push(std::max<std::int64_t>(0, free_in_ms));
}

void AdviceCallerQueue::SetAside(std::size_t callers) {
  for (; callers > 0 && free_in_ms_.size() > 1; --callers) {
    free_in_ms_.pop();
  }
}

void AdviceCallerQueue::AddQuestion(std::int64_t busy_ms) {
  if (!free_in_ms_.empty()) {
    const auto begin = free_in_ms_.top();
    free_in_ms_.pop();
    free_in_ms_.push(begin + busy_ms);
  }
}

std::int64_t AdviceCallerQueue::WaitMs() const {
  return free_in_ms_.empty() ? 0 : free_in_ms_.top();
}

void UrgentCallerShare::Update(std::int64_t now_ms,
                               std::size_t urgent,
                               std::size_t callers) {
  const auto elapsed_ms = static_cast<double>(now_ms - updated_ms_);
  updated_ms_ = now_ms;
  const auto now = static_cast<double>(urgent) /
                   static_cast<double>(std::max<std::size_t>(1, callers));
  share_ += (now - share_) * (1 - std::exp(-elapsed_ms / kUrgentShareMs));
}

std::size_t UrgentCallerShare::Of(std::size_t callers) const {
  return static_cast<std::size_t>(
      std::lround(share_ * static_cast<double>(callers)));
}

// Without this estimate all steps that ask at about the same time ask about the
// same workers, those that are free now. These are full when the answers come,
// so the steps have to ask again.
void GraphPlanner::UpdateExpectedUse() {
  for (const auto& [id, step] : waiting_steps_) {
    const auto& advice = step->advice;
    const auto& pending = advice.pending_workers;
    const auto allowed = advice.allowed.size();
    const auto use = UseOfEach(*step, pending.size() + allowed);
    const auto add = [&](std::int64_t number) {
      if (auto* worker = FindIndexed(number); worker != nullptr) {
        worker->expected_milli_cpus += use;
      }
    };
    for (const auto number : pending) {
      add(number);
    }
    for (const auto& [number, ticket] : advice.allowed) {
      add(number);
    }
  }
}

void GraphPlanner::AddExpectedUse(const PlanStep& step,
                                  const std::vector<std::int64_t>& workers) {
  const auto use = UseOfEach(step, workers.size());
  for (const auto number : workers) {
    if (auto* worker = FindIndexed(number); worker != nullptr) {
      worker->expected_milli_cpus += use;
    }
  }
}

}  // namespace cranberryshunt::policy
