// Tests which workers the waiting steps ask the advice service about.
#include <criterion/criterion.h>

#include <numeric>
#include <set>

#include "cranberryshunt/policy/advice_callers.h"
#include "cranberryshunt/policy/graph_planner.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr std::int64_t kWorkers = 200;

void AddWorkers(GraphPlanner& planner) {
  for (std::int64_t n = 1; n <= kWorkers; ++n) {
    PlanWorker worker;
    worker.number = n;
    worker.service_name = "fleet";
    worker.capacity = {16'000, 64'000, 0};
    worker.usable = true;
    planner.workers()[n] = worker;
  }
}

PlanStep& AddStep(GraphPlanner& planner, StepId id, std::int32_t tasks) {
  PlanStep step;
  step.id = id;
  step.service_name = "fleet";
  step.priority = 1;
  step.demand = {4'000, 100, 0};
  step.expected_run_ms = 4'000;
  step.remaining_ms = 4'000;
  step.objective_ms = 12'000;
  step.waiting.resize(static_cast<std::size_t>(tasks));
  std::iota(step.waiting.begin(), step.waiting.end(), 0);
  step.advice.needed = true;
  step.advice.base_ms = 700;
  step.advice.per_worker_ms = 10;
  step.advice.ticket_valid_ms = 2'000;
  return planner.AddStep(step);
}

}  // namespace

// Load pattern: many steps ask at the same time, as after a change of the
// leader. Guards against questions that are all about the same idle workers:
// these are full when the answers come, beside others that nobody asked about.
Test(advice_callers, spreads_the_questions_of_steps_over_the_fleet) {
  for (const bool gang : {true, false}) {
    GraphPlanner planner;
    AddWorkers(planner);
    for (StepId id = 1; id <= 2; ++id) {
      AddStep(planner, id, 20).gang = gang;
    }
    const auto plan = planner.Decide(100, 0);
    cr_assert_eq(plan.questions.size(), 2);
    std::set<std::int64_t> asked;
    for (const auto& it : plan.questions) {
      asked.insert(it.workers.begin(), it.workers.end());
    }
    cr_expect_eq(asked.size(), kWorkers, "gang %d: asked about %zu workers",
                 gang ? 1 : 0, asked.size());
  }
}

// Guards against questions about workers that steps with answers wait for.
Test(advice_callers, asks_about_workers_that_waiting_steps_leave) {
  GraphPlanner planner;
  AddWorkers(planner);
  auto& first = AddStep(planner, 1, 20);
  first.gang = true;
  first.waiting.resize(60);
  first.demand.milli_cpus = 9'000;
  for (std::int64_t n = 1; n <= 40; ++n) {
    first.advice.asked_workers.insert(n);
    first.advice.allowed[n] = {"t", 0};
  }
  AddStep(planner, 2, 20).gang = true;
  const auto plan = planner.Decide(100, 0);
  for (const auto& it : plan.questions) {
    if (it.step == 2) {
      cr_expect_gt(it.workers.front(), 40);
      return;
    }
  }
  cr_expect(false, "the second step asked nothing");
}

// Guards against a wait that ends when the first caller is free although a
// question that goes first takes it.
Test(advice_callers, expects_questions_to_take_callers_in_turn) {
  AdviceCallerQueue callers;
  cr_expect_eq(callers.WaitMs(), 0);
  callers.AddCaller(-50);
  callers.AddCaller(300);
  callers.AddCaller(500);
  cr_expect_eq(callers.WaitMs(), 0);
  callers.AddQuestion(400);
  cr_expect_eq(callers.WaitMs(), 300);
  callers.SetAside(1);
  cr_expect_eq(callers.WaitMs(), 400);
  callers.SetAside(9);
  cr_expect_eq(callers.WaitMs(), 500);
}

// Load pattern: urgent questions arrive in small groups. Guards against jobs of
// other queues that are refused because of one group.
Test(advice_callers, averages_the_callers_of_urgent_queues) {
  UrgentCallerShare share;
  share.Update(10'000, 0, 8);
  cr_expect_eq(share.Of(8), 0);
  share.Update(10'010, 8, 8);
  cr_expect_eq(share.Of(8), 0);
  for (std::int64_t at_ms = 10'020; at_ms <= 12'000; at_ms += 10) {
    share.Update(at_ms, 4, 8);
  }
  cr_expect_eq(share.Of(8), 4);
}
