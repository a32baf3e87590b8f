#include "near_wait.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

#include "expected_room.h"
#include "plan_round.h"

namespace cranberryshunt::policy {

namespace {

// Part of the gain that a wait must be expected to leave when it begins. A wait
// that has begun goes on until the whole gain is gone, so that small changes of
// the expected times don't end it. With 0.05, tasks finished up to 3% later in
// the replays (tests/policy/near_wait_replay_test.cc).
constexpr double kMargin = 0.3;
// A wait ends after this many times the gain, in case the expected times are
// wrong again and again. The time in which there was no room at all counts too,
// so with 1, tasks of a full fleet took far places that they had better left.
constexpr double kMaxWaitPerGain = 3;

// Limits the forecast for tasks that need next to nothing.
constexpr std::int64_t kMaxOpeningsPerWorker = 64;

constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max() / 4;

std::int64_t TimesFactor(std::int64_t run_ms, double factor) {
  return std::llround(static_cast<double>(run_ms) * factor);
}

// When the wait of the step began, which a new leader knows as well: the time
// of the acceptance, or for a later step of the job, the time at which it
// became ready.
std::int64_t WaitBeganMs(const PlanStep& step) {
  return std::max(step.accepted_ms, step.ready_ms);
}

}  // namespace

std::int64_t LongestNearWaitMs(const NearWait& wait) {
  const auto slack_ms = wait.latest_start_ms - wait.now_ms;
  const auto gain_ms =
      TimesFactor(wait.run_ms, wait.far_run_factor) - wait.run_ms;
  if (slack_ms < 0 || gain_ms <= 0) {
    return -1;
  }
  const auto margin_ms = wait.waiting ? 0 : TimesFactor(gain_ms, kMargin);
  const auto waited_ms = wait.now_ms - wait.since_ms;
  const auto longest_ms = std::min(
      wait.far_delay_ms + gain_ms - margin_ms,
      wait.far_delay_ms + TimesFactor(gain_ms, kMaxWaitPerGain) - waited_ms);
  const bool far_is_late = wait.far_delay_ms + gain_ms > slack_ms;
  return far_is_late ? std::max(longest_ms, slack_ms)
                     : std::min(longest_ms, slack_ms);
}

std::int64_t OpeningAt(const std::vector<std::int64_t>& openings,
                       std::size_t position,
                       std::int64_t run_ms) {
  const auto turn = static_cast<std::int64_t>(position / openings.size());
  return openings[position % openings.size()] + turn * run_ms;
}

double GraphPlanner::FarRunFactor(const PlanStep& step) const {
  if (options_.far_run_factor <= 1) {
    return 1;
  }
  return std::max(1.0, step.far_run_factor > 0 ? step.far_run_factor
                                               : options_.far_run_factor);
}

// A long-running task has no finish to compare.
bool GraphPlanner::MayWaitForNearPlace(const PlanStep& step) const {
  const bool prefers_rack =
      step.gang ? step.same_rack : !step.data_rack.empty();
  return prefers_rack && options_.far_run_factor > 1 && !step.long_running;
}

PlannedStart GraphPlanner::DescribeStart(const PlanStep& step,
                                         const PlanWorker& worker,
                                         const Round& round,
                                         bool spread) const {
  PlannedStart start{step.id, step.waiting.back(), worker.number};
  if (step.gang ? step.same_rack : !step.data_rack.empty()) {
    const bool far = step.gang ? spread : worker.rack != step.data_rack;
    start.nearness = far ? Nearness::kFar : Nearness::kNear;
  }
  start.expected_run_ms =
      start.nearness == Nearness::kFar
          ? TimesFactor(step.expected_run_ms, FarRunFactor(step))
          : step.expected_run_ms;
  if (step.near_wait_since_ms != 0) {
    start.near_wait_ms = round.now_ms - step.near_wait_since_ms;
  }
  return start;
}

std::vector<std::int64_t> GraphPlanner::NearOpenings(const PlanStep& step,
                                                     const PlanWorker& worker,
                                                     const Round& round) const {
  const auto& advice = step.advice;
  auto openings =
      ExpectedRoom(worker, worker.AvailableCapacity(), step.demand,
                   std::clamp<std::int64_t>(PerWorkerLimit(step, worker), 0,
                                            kMaxOpeningsPerWorker),
                   round.now_ms);
  for (auto& it : openings) {
    if (advice.HasTicket(worker.number, it + options_.ticket_margin_ms)) {
      continue;
    }
    const bool renewing =
        advice.renewal_pending && advice.renewing.contains(worker.number);
    it = std::max(it, renewing
                          ? advice.renewal_due_ms
                          : round.now_ms + AnswerMs(step, step.waiting.size()) +
                                kAnswerTransitMs);
  }
  return openings;
}

std::size_t GraphPlanner::CountTasksAhead(const PlanStep& step,
                                          const std::string& rack,
                                          const Round& round) {
  const auto tasks = round.near_tasks.find(rack);
  if (tasks == round.near_tasks.end()) {
    return 0;
  }
  double ahead = 0;
  for (const auto& it : tasks->second) {
    ahead += static_cast<double>(it.count) * ShareOf(it.demand, step.demand);
  }
  return static_cast<std::size_t>(std::ceil(ahead));
}

std::size_t GraphPlanner::PlanNearWait(PlanStep& step, Round& round) {
  NearWait wait;
  wait.now_ms = round.now_ms;
  wait.since_ms = WaitBeganMs(step);
  wait.run_ms = step.expected_run_ms;
  wait.far_run_factor = FarRunFactor(step);
  wait.latest_start_ms = LatestStartMs(step);
  const auto longest_new_wait_ms = LongestNearWaitMs(wait);
  wait.waiting = true;
  const auto longest_begun_wait_ms = LongestNearWaitMs(wait);
  std::vector<std::int64_t> openings;
  std::vector<std::int64_t> without_ticket;
  if (longest_begun_wait_ms >= 0) {
    const auto answer_ms =
        AnswerMs(step, step.waiting.size()) + kAnswerTransitMs;
    if (round.racks.empty()) {
      for (const auto& it : all_workers_) {
        round.racks[it.worker->rack].push_back(it.worker);
      }
    }
    for (const auto* it : round.racks[step.data_rack]) {
      if (!IsEligible(step, *it) || !step.advice.Allows(it->number) ||
          step.avoided.contains(it->number)) {
        continue;
      }
      const auto ready = NearOpenings(step, *it, round);
      openings.insert(openings.end(), ready.begin(), ready.end());
      // A ticket that would come after the room is renewed now.
      if (!ready.empty() && ready.front() <= round.now_ms + answer_ms &&
          !step.advice.HasTicket(it->number,
                                 ready.front() + options_.ticket_margin_ms)) {
        without_ticket.push_back(it->number);
      }
    }
  }
  const auto ahead = CountTasksAhead(step, step.data_rack, round);
  // Only the openings from the first one that the step may get must be in
  // order, unless there are too few for all.
  if (ahead + step.waiting.size() <= openings.size()) {
    const auto first = openings.begin() + static_cast<std::ptrdiff_t>(ahead);
    std::nth_element(openings.begin(), first, openings.end());
    std::partial_sort(first,
                      first + static_cast<std::ptrdiff_t>(step.waiting.size()),
                      openings.end());
  } else {
    std::sort(openings.begin(), openings.end());
  }
  std::size_t count = 0;
  while (!openings.empty() && count < step.waiting.size()) {
    const auto wait_ms =
        OpeningAt(openings, ahead + count, step.expected_run_ms) - round.now_ms;
    if (wait_ms > (count < step.near_waiting ? longest_begun_wait_ms
                                             : longest_new_wait_ms)) {
      break;
    }
    ++count;
  }
  step.near_waiting = count;
  if (count == 0) {
    step.near_wait_since_ms = 0;
  } else {
    if (step.near_wait_since_ms == 0) {
      step.near_wait_since_ms = round.now_ms;
    }
    PlanRenewal(step, std::move(without_ticket), round);
  }
  return count;
}

void GraphPlanner::ChooseNearRack(PlanStep& step,
                                  const Candidates& workers,
                                  const Round& round) {
  if (!MayWaitForNearPlace(step)) {
    return;
  }
  step.leaves_far_room = false;
  const auto earlier = std::exchange(step.near_rack, {});
  const auto count = step.waiting.size();
  std::vector<std::int64_t> anywhere;
  std::map<std::string, std::vector<std::int64_t>> by_rack;
  for (const auto* it : workers) {
    // As in AssembleGang(), without workers that are held for gangs before it.
    if (it->held == Demand()) {
      const auto ready = NearOpenings(step, *it, round);
      anywhere.insert(anywhere.end(), ready.begin(), ready.end());
      auto& rack = by_rack[it->rack];
      rack.insert(rack.end(), ready.begin(), ready.end());
    }
  }
  if (count == 0 || anywhere.size() < count) {
    EndNearWait(step);
    return;
  }
  std::sort(anywhere.begin(), anywhere.end());
  NearWait wait;
  wait.now_ms = round.now_ms;
  wait.since_ms = WaitBeganMs(step);
  wait.run_ms = step.expected_run_ms;
  wait.far_run_factor = FarRunFactor(step);
  wait.far_delay_ms = anywhere[count - 1] - round.now_ms;
  wait.latest_start_ms = LatestStartMs(step);
  std::int64_t best_ms = kNever;
  for (auto& [rack, openings] : by_rack) {
    const auto last = count - 1 + CountTasksAhead(step, rack, round);
    if (rack.empty() || openings.size() <= last) {
      continue;
    }
    std::sort(openings.begin(), openings.end());
    wait.waiting = rack == earlier;
    // The gain that is left at the end of the wait.
    const auto left_ms =
        LongestNearWaitMs(wait) - (openings[last] - round.now_ms);
    if (left_ms >= 0 && -left_ms < best_ms) {
      best_ms = -left_ms;
      step.near_rack = rack;
    }
  }
  if (step.near_rack.empty()) {
    EndNearWait(step);
  }
}

bool GraphPlanner::WaitsForNearRack(PlanStep& step, const Round& round) {
  if (step.near_rack.empty()) {
    return false;
  }
  step.leaves_far_room = true;
  if (step.near_wait_since_ms == 0) {
    step.near_wait_since_ms = round.now_ms;
  }
  return true;
}

bool GraphPlanner::IsRackTooSlow(const PlanStep& step,
                                 const std::string& rack) const {
  return MayWaitForNearPlace(step) && !rack.empty() && rack != step.near_rack;
}

void GraphPlanner::EndNearWait(PlanStep& step) {
  step.near_waiting = 0;
  step.near_rack.clear();
  step.near_wait_since_ms = 0;
  step.leaves_far_room = false;
}

void GraphPlanner::CountNearWait(const PlanStep& step, Round& round) {
  const auto count = std::min(step.near_waiting, step.waiting.size());
  if (count > 0) {
    round.near_tasks[step.data_rack].push_back({step.demand, count});
  }
}

}  // namespace cranberryshunt::policy
