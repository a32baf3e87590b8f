// Measures a full planning round in which many steps of client accounts wait.
#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "cranberryshunt/policy/graph_planner.h"
#include "sections.h"

namespace cranberryshunt::policy {

namespace {

constexpr std::int64_t kWorkers = 350;
constexpr std::int64_t kCapacity = 64'000;
constexpr StepId kSteps = 2'000;
constexpr std::int64_t kRoundMs = 50;
constexpr int kRounds = 40;
// Tickets that stay valid throughout.
constexpr std::int64_t kValidUntilMs = 100'000'000;
// Each task is one of this many sizes.
constexpr std::int64_t kSizes = 7;

// A full fleet on which all steps wait. Each account has a limit that leaves
// room for all its steps, so that each of them is planned.
GraphPlanner MakePlanner(std::int32_t accounts) {
  GraphPlanner planner;
  std::vector<std::pair<std::string, Demand>> limits;
  limits.reserve(static_cast<std::size_t>(accounts));
  for (std::int32_t n = 0; n < accounts; ++n) {
    limits.emplace_back("account-" + std::to_string(n),
                        Demand{kWorkers * kCapacity * 1'000, 0, 0});
  }
  planner.accounts().SetLimits(limits);
  for (std::int64_t n = 1; n <= kWorkers; ++n) {
    PlanWorker worker;
    worker.number = n;
    worker.service_name = "fleet";
    worker.capacity = {kCapacity, 4 * kCapacity, 0};
    worker.usable = true;
    for (std::int64_t task = 0; task < 8; ++task) {
      const Demand demand{kCapacity / 8, 1'000, 0};
      worker.used += demand;
      worker.AddEnd({1'000'000 + 500 * task + n, demand});
      if (accounts > 0) {
        AddTask(worker.accounts,
                static_cast<AccountNumber>(1 + (n * 8 + task) % accounts),
                demand, 4'000);
      }
    }
    planner.workers()[n] = worker;
  }
  for (StepId id = 1; id <= kSteps; ++id) {
    PlanStep step;
    step.id = id;
    step.service_name = "fleet";
    step.priority = id % 3 == 0 ? 0 : 1;
    step.demand = {1'000 * (1 + id % kSizes), 1'000, 0};
    step.expected_run_ms = 4'000;
    step.remaining_ms = 4'000;
    step.accepted_ms = 1;
    step.objective_ms = kValidUntilMs;
    step.waiting_since_ms = 1;
    step.gang = id % 10 == 0;
    step.waiting.resize(10);
    std::iota(step.waiting.begin(), step.waiting.end(), 0);
    step.account =
        accounts > 0 ? static_cast<AccountNumber>(1 + id % accounts) : 0;
    step.advice.needed = true;
    std::vector<std::int64_t> asked;
    std::map<std::int64_t, Ticket> tickets;
    for (std::int64_t n = 1; n <= kWorkers; ++n) {
      asked.push_back(n);
      if ((n * 7 + id) % 10 < 3) {
        tickets[n] = {"t", kValidUntilMs};
      }
    }
    step.advice.RecordAnswer(asked, std::move(tickets));
    planner.AddStep(std::move(step));
  }
  return planner;
}

// Returns the time of one round in microseconds.
double RoundUs(GraphPlanner& planner, std::int64_t now_ms) {
  const auto begin = std::chrono::steady_clock::now();
  (void)planner.Decide(now_ms, 100);
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - begin;
  return took.count();
}

}  // namespace

void MeasureAccountRounds() {
  fmt::print("full planning rounds with {} waiting steps on {} workers\n",
             kSteps, kWorkers);
  constexpr std::array kAccounts{0, 1, 300};
  std::vector<GraphPlanner> planners;
  planners.reserve(kAccounts.size());
  for (const auto it : kAccounts) {
    planners.push_back(MakePlanner(it));
  }
  std::array<std::vector<double>, kAccounts.size()> times;
  // The planners take turns, and the fastest tenth of the rounds is compared,
  // because other processes take a part of the machine's time.
  for (int n = 1; n <= kRounds; ++n) {
    for (std::size_t i = 0; i < planners.size(); ++i) {
      times.at(i).push_back(RoundUs(planners[i], 1'000 + kRoundMs * n));
    }
  }
  const auto fast = [&](std::size_t i) { return times.at(i)[kRounds / 10]; };
  for (std::size_t i = 0; i < planners.size(); ++i) {
    std::sort(times.at(i).begin(), times.at(i).end());
    fmt::print("{:3} accounts: {:.0f} us, median {:.0f} us\n", kAccounts.at(i),
               fast(i), times.at(i)[kRounds / 2]);
  }
  fmt::print("300 accounts against 1: {:.3f}\n", fast(2) / fast(1));
}

}  // namespace cranberryshunt::policy
