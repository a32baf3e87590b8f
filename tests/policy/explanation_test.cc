// Tests the explanation of where the tasks of a step would go.
#include "cranberryshunt/policy/explanation.h"

#include <criterion/criterion.h>

using namespace cranberryshunt::policy;  // NOLINT

namespace {

PlanWorker& AddWorker(GraphPlanner& planner, std::int64_t number) {
  auto& worker = planner.workers()[number];
  worker.number = number;
  worker.service_name = "fleet";
  worker.labels = {"ssd"};
  worker.capacity = {8'000, 8'000, 0};
  worker.usable = true;
  planner.MarkWorkerChanged(number);
  return worker;
}

PlanStep MakeStep(StepId id, std::int32_t tasks) {
  PlanStep step;
  step.id = id;
  step.service_name = "fleet";
  step.demand = {4'000, 4'000, 0};
  step.expected_run_ms = 2'000;
  step.remaining_ms = 2'000;
  step.accepted_ms = 1'000;
  step.waiting_since_ms = 1'000;
  step.objective_ms = 20'000;
  for (std::int32_t n = 0; n < tasks; ++n) {
    step.waiting.push_back(n);
  }
  return step;
}

}  // namespace

// Each worker is excluded by another cause. Guards against a worker that counts
// for the wrong one, or twice.
Test(explanation, counts_each_worker_by_its_first_cause) {
  GraphPlanner planner;
  AddWorker(planner, 1).usable = false;
  AddWorker(planner, 2).labels = {};
  AddWorker(planner, 3).capacity = {2'000, 8'000, 0};
  AddWorker(planner, 4);
  AddWorker(planner, 5);
  AddWorker(planner, 6);
  AddWorker(planner, 7).used = {6'000, 0, 0};
  AddWorker(planner, 8).held = {6'000, 0, 0};
  AddWorker(planner, 9);
  AddWorker(planner, 10);
  AddWorker(planner, 11).service_name = "other";
  auto step = MakeStep(1, 1);
  step.required_label = "ssd";
  step.max_per_worker = 1;
  step.running[6] = 1;
  step.avoided.insert(5);
  step.advice.needed = true;
  for (const std::int64_t n : {5, 6, 7, 8, 9, 10}) {
    step.advice.allowed[n] = {"t", n == 9 ? 500 : 9'000};
  }
  const auto out = ExplainStep(planner, step, 1'000);
  const WorkerCauses expected{.not_usable = 1,
                              .label = 1,
                              .too_small = 1,
                              .not_allowed = 1,
                              .avoided = 1,
                              .limit_per_worker = 1,
                              .no_room = 1,
                              .held = 1,
                              .no_ticket = 1,
                              .fit = 1};
  cr_expect(out.workers == expected);
}

// Guards against an explanation that leaves out the steps before this one, or
// that changes what is planned.
Test(explanation, plans_the_step_behind_others_without_a_change) {
  GraphPlanner planner;
  AddWorker(planner, 1);
  planner.AddStep(MakeStep(1, 1)).objective_ms = 10'000;
  const auto out = ExplainStep(planner, MakeStep(2, 3), 1'000);
  cr_expect_eq(out.starts.size(), 1);
  cr_expect_eq(out.waiting, 2);
  cr_expect_eq(planner.steps().size(), 1);
  cr_expect(planner.workers().at(1).used == Demand());
  cr_expect_eq(planner.Decide(1'000).starts.size(), 1);
}

// Guards against an explanation that takes a wait by choice for lack of room.
Test(explanation, tells_of_tasks_that_wait_for_a_near_place) {
  GraphPlanner planner(PlannerOptions{.far_run_factor = 2});
  AddWorker(planner, 1).rack = "far";
  auto& near = AddWorker(planner, 2);
  near.rack = "near";
  near.used = near.capacity;
  near.AddEnd({1'500, near.capacity});
  auto step = MakeStep(1, 2);
  step.data_rack = "near";
  const auto out = ExplainStep(planner, step, 1'000);
  cr_expect(out.starts.empty());
  cr_expect_eq(out.near_waiting, 2);
  cr_expect_eq(out.workers.fit, 1);
}
