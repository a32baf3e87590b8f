// Plans the questions to the advice service: about workers that it has not been
// asked about, and for tickets of workers that it allows.
#include <algorithm>
#include <utility>

#include "plan_round.h"

namespace cranberryshunt::policy {

namespace {

// Larger than any difference between the other parts of the sort key.
constexpr double kNearPreference = 1e6;

// Processors that are expected to be free on the worker at `at_ms`, apart from
// what is held for gangs.
double ExpectedFreeCpus(const PlanWorker& worker, std::int64_t at_ms) {
  auto free = worker.AvailableCapacity().milli_cpus;
  for (const auto& it : worker.ends) {
    if (it.at_ms > at_ms) {
      break;
    }
    free += it.demand.milli_cpus;
  }
  return static_cast<double>(free);
}

}  // namespace

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

// Renews the tickets of a step of single tasks. The question also covers the
// other allowed workers whose tickets have expired: their room comes next, and
// most of the answer time does not depend on the number of workers.
void GraphPlanner::RenewTickets(PlanStep& step,
                                std::vector<std::int64_t> workers,
                                Round& round) {
  const auto until = round.now_ms + options_.ticket_margin_ms;
  for (const auto* it : AllowedWorkers(step, false, round.now_ms)) {
    if (workers.size() >= options_.max_workers_renewed) {
      break;
    }
    if (!step.advice.HasTicket(it->number, until) &&
        std::find(workers.begin(), workers.end(), it->number) ==
            workers.end()) {
      workers.push_back(it->number);
    }
  }
  PlanRenewal(step, std::move(workers), round);
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
      step.gang && (step.held_ready_ms == 0 ||
                    step.held_ready_ms - now_ms > AnswerMs(step, limit));
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
// those first that have the most free capacity beyond what other waiting steps
// are expected to use. A gang asks several questions side by side while callers
// are idle, because its tickets must be valid together.
void GraphPlanner::AskAboutNewWorkers(PlanStep& step, Round& round) {
  const auto& asked_workers = step.advice.asked_workers;
  const auto limit = MaxWorkersToAsk(step);
  const bool may_ask =
      step.advice.open_questions == 0 ||
      (step.gang && step.advice.open_questions < options_.max_open_questions &&
       round.idle_callers > options_.reserved_callers);
  if (!may_ask || step.advice.complete_at_version == workers_version_ ||
      round.plan.questions.size() >= options_.max_questions) {
    return;
  }
  const auto scope = FindQuestionScope(step, limit, round);
  if (scope == QuestionScope::kNone) {
    return;
  }
  const auto usable_ms =
      round.now_ms + AnswerMs(step, limit) + options_.gather_ms;
  // Computes the sort key once for each worker.
  std::vector<std::pair<double, std::int64_t>> candidates;
  for (const auto& it : all_workers_) {
    const auto& worker = *it.worker;
    if (!asked_workers.contains(it.number) &&
        !step.advice.pending_workers.contains(it.number) &&
        IsEligible(step, worker) &&
        (scope == QuestionScope::kAll ||
         step.demand.FitsIn(worker.AvailableCapacity()))) {
      const auto capacity = static_cast<double>(
          std::max<std::int64_t>(1, worker.capacity.milli_cpus));
      candidates.emplace_back(
          step.gang
              ? it.expected_milli_cpus - ExpectedFreeCpus(worker, usable_ms)
              : it.expected_milli_cpus / capacity -
                    LeftoverShare(worker, step.demand),
          it.number);
      // The workers near a step's data come first, however full they are.
      if (!step.gang && MayWaitForNearPlace(step) &&
          worker.rack == step.data_rack) {
        candidates.back().first -= kNearPreference;
      }
    }
  }
  if (candidates.empty()) {
    if (scope == QuestionScope::kAll && step.advice.open_questions == 0) {
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
  AddExpectedUse(step, numbers);
  PlanQuestion(step, std::move(numbers), false, round);
}

// Asks for new tickets of allowed workers. The question goes out beside those
// about new workers, since the room at hand would be lost while it waited.
void GraphPlanner::PlanRenewal(PlanStep& step,
                               std::vector<std::int64_t> workers,
                               Round& round) {
  if (!step.advice.renewal_pending) {
    PlanQuestion(step, std::move(workers), true, round);
  }
}

void GraphPlanner::PlanQuestion(PlanStep& step,
                                std::vector<std::int64_t> workers,
                                bool renewal,
                                Round& round) {
  if (!step.advice.needed || workers.empty() || !round.may_ask ||
      round.plan.questions.size() >= options_.max_questions) {
    return;
  }
  PlannedQuestion question;
  question.step = step.id;
  question.renewal = renewal;
  question.workers = std::move(workers);
  if (question.workers.size() > kMaxWorkersPerQuestion) {
    question.workers.resize(kMaxWorkersPerQuestion);
  }
  question.expected_ms = AnswerMs(step, question.workers.size());
  step.advice.BeginQuestion(
      question.workers, renewal,
      round.now_ms + question.expected_ms + kAnswerTransitMs);
  step.advice.last_question_ms = round.now_ms;
  round.plan.questions.push_back(std::move(question));
}

}  // namespace cranberryshunt::policy
