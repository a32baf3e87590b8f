// Tests the placement of step-graph tasks under load.
#include "cranberryshunt/policy/graph_planner.h"

#include <criterion/criterion.h>

#include <numeric>
#include <optional>

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr std::int64_t kMemoryMb = 256'000;

PlanWorker MakeWorker(std::int64_t number) {
  PlanWorker worker;
  worker.number = number;
  worker.service_name = "fleet";
  worker.capacity = {64'000, kMemoryMb, 0};
  worker.usable = true;
  return worker;
}

void AddRunningTask(PlanWorker& worker,
                    std::int64_t milli_cpus,
                    std::int64_t end_ms) {
  const Demand demand{milli_cpus, 1'000, 0};
  worker.used += demand;
  worker.AddEnd({end_ms, demand});
}

void EndTasks(GraphPlanner& planner, std::int64_t number, std::int64_t end_ms) {
  auto& worker = planner.workers().at(number);
  std::erase_if(worker.ends, [&](const auto& it) {
    if (it.at_ms == end_ms) {
      worker.used -= it.demand;
    }
    return it.at_ms == end_ms;
  });
  planner.MarkWorkerChanged(number);
}

PlanStep& AddStep(GraphPlanner& planner,
                  StepId id,
                  std::int32_t tasks,
                  std::int64_t milli_cpus,
                  std::int64_t objective_ms) {
  PlanStep step;
  step.id = id;
  step.service_name = "fleet";
  step.priority = 1;
  step.demand = {milli_cpus, 1'000, 0};
  step.expected_run_ms = 4'000;
  step.remaining_ms = 4'000;
  step.objective_ms = objective_ms;
  step.waiting.resize(static_cast<std::size_t>(tasks));
  std::iota(step.waiting.begin(), step.waiting.end(), 0);
  return planner.AddStep(step);
}

int CountStarts(const Plan& plan, StepId id) {
  return static_cast<int>(
      std::count_if(plan.starts.begin(), plan.starts.end(),
                    [&](const auto& it) { return it.step == id; }));
}

}  // namespace

// A wide gang waits on a nearly full fleet. Guards against a gang that waits
// for whole workers to drain while smaller steps take the capacity that becomes
// free.
Test(graph_planner, holds_the_openings_that_come_first_for_a_gang) {
  GraphPlanner planner;
  planner.workers()[1] = MakeWorker(1);
  AddRunningTask(planner.workers()[1], 64'000, 5'000);
  for (std::int64_t n = 2; n <= 5; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], 32'000, 500);
    AddRunningTask(planner.workers()[n], 32'000, 9'000);
  }
  AddStep(planner, 1, 4, 18'000, 9'000).gang = true;
  cr_expect(planner.Decide(100).starts.empty());
  AddStep(planner, 2, 4, 20'000, 30'000);
  for (std::int64_t n = 2; n <= 4; ++n) {
    EndTasks(planner, n, 500);
  }
  cr_expect_eq(CountStarts(planner.Decide(510), 2), 0,
               "smaller tasks took the capacity held for the gang");
  EndTasks(planner, 5, 500);
  const auto plan = planner.Decide(520);
  cr_expect_eq(CountStarts(plan, 1), 4);
}

// A task runs longer than expected. Guards against holding capacity on a worker
// whose task was expected to end long ago.
Test(graph_planner, expects_late_tasks_to_run_on) {
  GraphPlanner planner;
  planner.workers()[1] = MakeWorker(1);
  AddRunningTask(planner.workers()[1], 64'000, 1'000);
  planner.workers()[2] = MakeWorker(2);
  AddRunningTask(planner.workers()[2], 64'000, 6'000);
  AddStep(planner, 1, 2, 30'000, 30'000).gang = true;
  (void)planner.Decide(5'000);
  const auto& held = planner.steps().at(1).held;
  cr_assert_eq(held.size(), 1);
  cr_expect_eq(held.front().worker, 2);
}

// A wide gang waits while the advice service is slow. Guards against a second
// question if the capacity of the allowed workers becomes free before its
// answer.
Test(graph_planner, asks_about_more_workers_only_when_room_is_far_off) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 300; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], 64'000, n <= 10 ? 400 : 8'000);
  }
  auto& step = AddStep(planner, 1, 10, 30'000, 30'000);
  step.gang = true;
  step.advice.needed = true;
  step.advice.base_ms = 500;
  step.advice.per_worker_ms = 6;
  auto plan = planner.Decide(100);
  cr_assert_eq(plan.questions.size(), 1);
  cr_expect_eq(plan.questions.front().workers.size(), 100);
  step.advice.EndQuestion(plan.questions.front().workers, false);
  step.changed = true;
  for (const auto it : plan.questions.front().workers) {
    step.advice.asked_workers.insert(it);
  }
  for (std::int64_t n = 1; n <= 10; ++n) {
    step.advice.asked_workers.insert(n);
    step.advice.allowed[n] = {"t", 2'000};
  }
  plan = planner.Decide(150);
  cr_expect(plan.questions.empty());
  // With only four workers allowed, the step asks about more of them.
  step.advice.allowed.erase(1);
  step.advice.allowed.erase(2);
  step.advice.allowed.erase(3);
  step.advice.allowed.erase(4);
  step.advice.allowed.erase(5);
  step.advice.allowed.erase(6);
  step.changed = true;
  plan = planner.Decide(210);
  cr_assert_eq(plan.questions.size(), 1);
  cr_expect_eq(plan.questions.front().workers.size(), 100);
}

// Several wide gangs wait among many small tasks. Guards against gangs that
// hold most of the fleet at the same time while all of them wait for long.
Test(graph_planner, holds_room_for_the_first_gangs_only) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 20; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], 32'000, 2'000);
  }
  AddStep(planner, 1, 8, 40'000, 9'000).gang = true;
  AddStep(planner, 2, 8, 40'000, 9'500).gang = true;
  AddStep(planner, 3, 60, 10'000, 40'000);
  const auto plan = planner.Decide(100);
  cr_expect_eq(planner.steps().at(1).held.size(), 8);
  cr_expect(planner.steps().at(2).held.empty());
  cr_expect_eq(CountStarts(plan, 3), 36,
               "the small tasks must use the other twelve workers");
}

// The advice service has few callers. Guards against asking about further
// workers if the allowed ones have enough capacity for all tasks.
Test(graph_planner, asks_no_further_when_enough_workers_are_allowed) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 300; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], 64'000, 8'000);
  }
  auto& step = AddStep(planner, 1, 20, 10'000, 30'000);
  step.advice.needed = true;
  step.advice.base_ms = 50;
  for (std::int64_t n = 1; n <= 60; ++n) {
    step.advice.asked_workers.insert(n);
  }
  for (std::int64_t n = 1; n <= 4; ++n) {
    step.advice.allowed[n] = {"t", 2'000};
  }
  cr_expect(planner.Decide(100).questions.empty());
  step.advice.allowed.erase(1);
  step.changed = true;
  cr_expect_eq(planner.Decide(200).questions.size(), 1);
}

// A wide gang waits on a nearly full fleet while callers of the advice service
// are idle. Guards against a gang that waits for its allowed workers while
// other workers have free capacity.
Test(graph_planner, asks_for_a_gang_about_more_workers_with_free_callers) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 300; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], 64'000, 300);
  }
  auto& step = AddStep(planner, 1, 10, 30'000, 30'000);
  step.gang = true;
  step.advice.needed = true;
  step.advice.base_ms = 500;
  for (std::int64_t n = 1; n <= 60; ++n) {
    step.advice.asked_workers.insert(n);
    step.advice.allowed[n] = {"t", 2'000};
  }
  cr_expect(planner.Decide(100, 12).questions.empty());
  step.changed = true;
  const auto plan = planner.Decide(200, 13);
  cr_assert_eq(plan.questions.size(), 1);
  cr_expect_eq(plan.questions.front().workers.size(), 100);
}

// A wide gang and a narrow one wait on a full fleet. Guards against a wide gang
// that gets its turn too late to gather room for all its tasks.
Test(graph_planner, gives_wide_gangs_more_time_to_gather_room) {
  GraphPlanner planner({.max_held_share = 0.1});
  for (std::int64_t n = 1; n <= 20; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], 64'000, 2'000);
  }
  AddStep(planner, 1, 2, 40'000, 9'000).gang = true;
  AddStep(planner, 2, 20, 40'000, 9'500).gang = true;
  (void)planner.Decide(100);
  cr_expect(planner.steps().at(1).held.empty());
  cr_expect_eq(planner.steps().at(2).held.size(), 20);
}

// Late jobs wait for a fleet that becomes free. Guards against serving jobs
// first whose callers have no use for them any more, by which the others become
// useless, too.
Test(graph_planner, starts_late_jobs_before_those_that_are_of_no_use) {
  GraphPlanner planner;
  planner.workers()[1] = MakeWorker(1);
  AddRunningTask(planner.workers()[1], 64'000, 500);
  for (StepId id = 1; id <= 4; ++id) {
    auto& step = AddStep(planner, id, 1, 30'000, 0);
    step.accepted_ms = 1'000 * id;
    step.objective_ms = step.accepted_ms + 6'000;
    step.waiting_since_ms = step.accepted_ms;
    step.long_running = id == 2;
  }
  cr_expect(LatenessOf(planner.steps().at(1), 3'000) == Lateness::kOnTime);
  cr_expect(LatenessOf(planner.steps().at(1), 12'000) == Lateness::kLate);
  cr_expect(LatenessOf(planner.steps().at(1), 12'001) == Lateness::kTooLate);
  cr_expect(LatenessOf(planner.steps().at(2), 90'000) == Lateness::kLate,
            "a long-running task is of use at any time");
  EndTasks(planner, 1, 500);
  const auto plan = planner.Decide(12'500);
  cr_expect_eq(plan.starts.size(), 2);
  cr_expect_eq(CountStarts(plan, 1), 0);
  cr_expect_eq(CountStarts(plan, 2), 1);
  cr_expect_eq(CountStarts(plan, 3), 1);
}

// More tasks are submitted than the fleet can run, so that many steps are late.
// Guards against late steps that take all the capacity that a gang needs to
// meet its objective.
Test(graph_planner, keeps_late_steps_small_while_a_gang_waits) {
  GraphPlanner planner({.max_held_share = 0});
  for (std::int64_t n = 1; n <= 20; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], 32'000, 2'000);
  }
  AddStep(planner, 1, 8, 40'000, 9'000).gang = true;
  for (StepId id = 2; id <= 11; ++id) {
    AddStep(planner, id, 6, 10'000, 1'000);
  }
  const auto late = planner.Decide(100).starts.size();
  cr_expect_leq(late, 18, "%zu late tasks were started", late);
  cr_expect_geq(late, 6, "late steps must not starve");
  planner.RemoveStep(1);
  for (StepId id = 2; id <= 11; ++id) {
    planner.FindStep(id)->changed = true;
  }
  cr_expect_eq(late + planner.Decide(200).starts.size(), 60,
               "without the gang, all late tasks must start");
}

// Tasks end on some workers between two full rounds, and on the first ones they
// leave too little room. Guards against a step that then waits for the next
// full round although one of the changed workers has room.
Test(graph_planner, starts_on_a_changed_worker_behind_ones_without_room) {
  GraphPlanner planner({.full_round_ms = 10'000});
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], 60'000, n <= 3 ? 8'000 : 500);
    AddRunningTask(planner.workers()[n], 4'000, n <= 3 ? 500 : 8'000);
  }
  auto& step = AddStep(planner, 1, 2, 30'000, 30'000);
  step.advice.needed = true;
  for (std::int64_t n = 2; n <= 4; ++n) {
    step.advice.asked_workers.insert(n);
    step.advice.allowed[n] = {"t", 20'000};
  }
  cr_expect(planner.Decide(10'000).starts.empty());
  for (std::int64_t n = 1; n <= 3; ++n) {
    EndTasks(planner, n, 500);
  }
  cr_expect(planner.Decide(10'010).starts.empty());
  EndTasks(planner, 4, 500);
  planner.MarkWorkerChanged(2);
  const auto plan = planner.Decide(10'020);
  cr_assert_eq(plan.starts.size(), 2);
  cr_expect_eq(plan.starts.front().worker, 4);
  cr_expect_eq(plan.starts.back().worker, 4);
}

// Late steps wait beside a gang, and some of them have no room on the workers
// that changed. Guards against a round between two full ones that leaves their
// running tasks out of the share that late steps may use.
Test(graph_planner, counts_late_steps_without_room_while_a_gang_waits) {
  GraphPlanner planner({.max_held_share = 0, .full_round_ms = 10'000});
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], n == 4 ? 44'000 : 64'000, 60'000);
  }
  AddStep(planner, 1, 8, 40'000, 90'000).gang = true;
  // Uses more than the share of late steps, and fits nowhere.
  AddStep(planner, 2, 1, 30'000, 1'000).running[1] = 2;
  (void)planner.Decide(10'000);
  auto& late = AddStep(planner, 3, 6, 10'000, 1'000);
  late.waiting_since_ms = 10'000;
  late.changed = false;
  planner.MarkWorkerChanged(4);
  cr_expect_eq(CountStarts(planner.Decide(10'010), 3), 0);
}

// Guards against a worker whose number has ended and whose entries stay in a
// step for as long as the step waits.
Test(graph_planner, removes_all_entries_of_a_worker_that_ended) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 2; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], 40'000, 2'000);
  }
  auto& step = AddStep(planner, 1, 2, 40'000, 30'000);
  step.gang = true;
  step.advice.needed = true;
  for (std::int64_t n = 1; n <= 2; ++n) {
    step.advice.asked_workers.insert(n);
    step.advice.allowed[n] = {"t", 20'000};
    step.avoided.insert(n);
    step.running[n] = 1;
  }
  (void)planner.Decide(100);
  cr_assert_eq(step.held.size(), 2);
  planner.RemoveWorker(1);
  const std::vector<std::int64_t> asked(step.advice.asked_workers.begin(),
                                        step.advice.asked_workers.end());
  cr_expect(asked == std::vector<std::int64_t>{2});
  cr_expect_not(step.advice.allowed.contains(1));
  cr_expect(step.advice.allowed.contains(2));
  cr_expect(step.avoided == std::set<std::int64_t>{2});
  cr_expect_eq(step.running.size(), 1);
  cr_expect(step.running.contains(2));
  cr_assert_eq(step.held.size(), 1);
  cr_expect_eq(step.held.front().worker, 2);
  cr_expect(step.changed);
  cr_expect(planner.Decide(110).starts.empty());
  cr_expect_not(planner.workers().contains(1));
}

// All workers that a step asked about are replaced. Guards against comparing
// the number of workers asked about with the number of usable ones.
Test(graph_planner, asks_about_workers_that_replaced_the_known_ones) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  auto& step = AddStep(planner, 1, 2, 30'000, 30'000);
  step.gang = true;
  step.advice.needed = true;
  for (std::int64_t n = 1; n <= 4; ++n) {
    step.advice.asked_workers.insert(n);
  }
  cr_expect(planner.Decide(100).questions.empty());
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers().erase(n);
    planner.workers()[n + 4] = MakeWorker(n + 4);
    planner.MarkWorkerChanged(n);
    planner.MarkWorkerChanged(n + 4);
  }
  const auto plan = planner.Decide(200);
  cr_assert_eq(plan.questions.size(), 1);
  cr_expect(plan.questions.front().workers ==
            std::vector<std::int64_t>({5, 6, 7, 8}));
}

// As many workers as the step has asked about are usable, but not the same.
// Guards against a step that asks about none of the others.
Test(graph_planner, asks_about_workers_that_become_usable) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
    planner.workers()[n].usable = n <= 2;
  }
  auto& step = AddStep(planner, 1, 2, 30'000, 30'000);
  step.advice.needed = true;
  step.advice.asked_workers.insert(1);
  step.advice.asked_workers.insert(2);
  cr_expect(planner.Decide(100).questions.empty());
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n].usable = n > 2;
    planner.MarkWorkerChanged(n);
  }
  const auto plan = planner.Decide(200);
  cr_assert_eq(plan.questions.size(), 1);
  cr_expect(plan.questions.front().workers ==
            std::vector<std::int64_t>({3, 4}));
}

// A task of a gang failed on a worker that the gang can't do without. Guards
// against a gang that is never placed because the other allowed workers can't
// hold it.
Test(graph_planner, uses_avoided_workers_if_the_others_cannot_hold_a_gang) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 3; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  auto& step = AddStep(planner, 1, 3, 40'000, 30'000);
  step.gang = true;
  step.avoided.insert(1);
  cr_expect_eq(planner.Decide(100).starts.size(), 3);
}

// The same for single tasks with a limit on each worker, next to a task of the
// step that runs on without an end.
Test(graph_planner, uses_avoided_workers_if_the_others_are_at_their_limit) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 2; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  auto& step = AddStep(planner, 1, 1, 10'000, 30'000);
  step.max_per_worker = 1;
  step.running[2] = 1;
  step.avoided.insert(1);
  const auto plan = planner.Decide(100);
  cr_assert_eq(plan.starts.size(), 1);
  cr_expect_eq(plan.starts.front().worker, 1);
}

// Guards against using a worker on which a task of the step failed while others
// can hold the tasks but have no free capacity now.
Test(graph_planner, avoids_workers_while_the_others_can_hold_the_tasks) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  AddRunningTask(planner.workers()[4], 60'000, 5'000);
  auto& gang = AddStep(planner, 1, 3, 40'000, 30'000);
  gang.gang = true;
  gang.avoided.insert(1);
  auto& single = AddStep(planner, 2, 2, 60'000, 30'000);
  single.avoided = {1, 2, 3};
  cr_expect(planner.Decide(100).starts.empty());
}

// A task of a gang failed on an idle worker, and tasks without an end occupy a
// part of the others. Guards against a gang that waits for these tasks.
Test(graph_planner, uses_avoided_workers_for_a_gang_if_the_others_stay_full) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 3; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  AddRunningTask(planner.workers()[3], 60'000, 600'000);
  auto& gang = AddStep(planner, 1, 2, 40'000, 30'000);
  gang.gang = true;
  gang.avoided.insert(1);
  std::size_t starts = 0;
  for (std::int64_t now_ms = 100; now_ms <= 3'000; now_ms += 50) {
    starts += planner.Decide(now_ms).starts.size();
  }
  cr_expect_eq(starts, 2);
}

// The other workers are full of tasks that end soon. Guards against using an
// avoided worker in a busy service for each step that waits.
Test(graph_planner, avoids_workers_for_longer_while_the_service_is_busy) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
    if (n > 1) {
      AddRunningTask(planner.workers()[n], 64'000, 5'000);
    }
  }
  AddStep(planner, 1, 1, 40'000, 90'000).avoided.insert(1);
  cr_expect(planner.Decide(5'000).starts.empty());
  cr_expect_eq(planner.Decide(10'000).starts.size(), 1);
}

// The service has allowed two workers, and the step avoids one of them. Guards
// against a gang that takes them for enough and asks about no further one.
Test(graph_planner, asks_about_more_workers_than_the_avoided_ones) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
    AddRunningTask(planner.workers()[n], 64'000, 8'000);
  }
  auto& step = AddStep(planner, 1, 2, 30'000, 30'000);
  step.advice.needed = true;
  for (std::int64_t n = 1; n <= 2; ++n) {
    step.advice.asked_workers.insert(n);
    step.advice.allowed[n] = {"t", 20'000};
    step.avoided.insert(n);
  }
  const auto plan = planner.Decide(100);
  cr_assert_eq(plan.questions.size(), 1);
  cr_expect(plan.questions.front().workers ==
            std::vector<std::int64_t>({3, 4}));
}

// The workers that the service has allowed are full of tasks that do not end,
// and others are idle. Guards against a step that never asks about those.
Test(graph_planner, asks_about_more_workers_while_the_allowed_ones_stay_full) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  AddRunningTask(planner.workers()[1], 64'000, 600'000);
  AddRunningTask(planner.workers()[2], 64'000, 600'000);
  auto& step = AddStep(planner, 1, 1, 30'000, 30'000);
  step.advice.needed = true;
  for (std::int64_t n = 1; n <= 2; ++n) {
    step.advice.asked_workers.insert(n);
    step.advice.allowed[n] = {"t", 60'000};
  }
  std::vector<std::int64_t> asked;
  for (std::int64_t now_ms = 100; now_ms <= 20'000; now_ms += 100) {
    for (const auto& it : planner.Decide(now_ms, 14).questions) {
      asked = it.workers;
    }
  }
  cr_expect(asked == std::vector<std::int64_t>({3, 4}));
}

// The same while no caller of the advice service ever is idle. Guards against a
// step that leaves the callers to others for ever.
Test(graph_planner, asks_about_more_workers_if_no_caller_is_ever_idle) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 2; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  AddRunningTask(planner.workers()[1], 64'000, 600'000);
  auto& step = AddStep(planner, 1, 1, 30'000, 6'000);
  step.advice.needed = true;
  step.advice.RecordAnswer({1}, {{1, {"t", 60'000}}});
  std::vector<std::int64_t> asked;
  for (std::int64_t now_ms = 100; now_ms <= 20'000; now_ms += 100) {
    for (const auto& it : planner.Decide(now_ms, 0).questions) {
      asked = it.workers;
    }
  }
  cr_expect(asked == std::vector<std::int64_t>({2}));
}

// All allowed workers are busy, and so are the others but one. Guards against
// questions about workers that could not run the step any sooner.
Test(graph_planner, asks_only_about_workers_that_have_room) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
    if (n != 3) {
      AddRunningTask(planner.workers()[n], 64'000, 600'000);
    }
  }
  auto& step = AddStep(planner, 1, 1, 30'000, 30'000);
  step.advice.needed = true;
  step.advice.RecordAnswer({1}, {{1, {"t", 60'000}}});
  cr_expect(planner.Decide(1'000, 14).questions.empty());
  const auto plan = planner.Decide(2'000, 14);
  cr_assert_eq(plan.questions.size(), 1);
  cr_expect(plan.questions.front().workers == std::vector<std::int64_t>({3}));
}

// The step avoids an allowed worker that is idle, and its other allowed worker
// is full. Guards against counting the avoided one as room for the step.
Test(graph_planner, asks_about_more_workers_if_only_avoided_ones_are_idle) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 5; ++n) {
    planner.workers()[n] = MakeWorker(n);
    if (n != 1 && n != 3) {
      AddRunningTask(planner.workers()[n], 64'000, 600'000);
    }
  }
  AddRunningTask(planner.workers()[3], 10'000, 600'000);
  auto& step = AddStep(planner, 1, 1, 30'000, 30'000);
  step.avoided.insert(1);
  step.advice.needed = true;
  step.advice.RecordAnswer({1, 2}, {{1, {"t", 60'000}}, {2, {"t", 60'000}}});
  const auto plan = planner.Decide(3'000, 14);
  cr_expect(plan.starts.empty());
  cr_assert_eq(plan.questions.size(), 1);
  cr_expect(plan.questions.front().workers == std::vector<std::int64_t>({3}));
}

// A late gang needs the capacity of a task that does not end. Guards against a
// late job that waits for ever behind the capacity held for the gang.
Test(graph_planner, holds_no_capacity_for_ever_for_a_gang_that_cannot_start) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 3; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  AddRunningTask(planner.workers()[3], 60'000, 600);
  auto& gang = AddStep(planner, 1, 3, 60'000, 3'000);
  gang.gang = true;
  auto& single = AddStep(planner, 2, 1, 10'000, 4'000);
  single.accepted_ms = 10;
  std::size_t starts = 0;
  for (std::int64_t now_ms = 100; now_ms <= 60'000; now_ms += 50) {
    starts += planner.Decide(now_ms).starts.size();
  }
  cr_expect_eq(starts, 1);
}

// The same for a gang behind the first one, and for a step whose tasks run
// until they are stopped in a service that is busy.
Test(graph_planner, uses_capacity_held_for_a_gang_that_cannot_start) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 6; ++n) {
    planner.workers()[n] = MakeWorker(n);
    if (n > 2) {
      AddRunningTask(planner.workers()[n], 60'000, 600);
    }
  }
  AddStep(planner, 1, 3, 60'000, 3'000).gang = true;
  auto& gang = AddStep(planner, 2, 2, 30'000, 4'000);
  gang.gang = true;
  gang.accepted_ms = 10;
  auto& service = AddStep(planner, 3, 2, 10'000, 4'000);
  service.long_running = true;
  service.accepted_ms = 20;
  (void)planner.Decide(100);
  cr_assert_eq(planner.steps().at(1).held.size(), 3);
  int gang_starts = 0;
  int service_starts = 0;
  for (std::int64_t now_ms = 150; now_ms <= 20'000; now_ms += 50) {
    const auto plan = planner.Decide(now_ms);
    gang_starts += CountStarts(plan, 2);
    service_starts += CountStarts(plan, 3);
    if (now_ms == 3'000) {
      cr_expect_eq(service_starts, 2);
      cr_expect_eq(gang_starts, 0, "ordinary work waits in a busy service");
    }
  }
  cr_expect_eq(service_starts, 2);
  cr_expect_eq(gang_starts, 2);
}

// Late tasks without an end use more than the share of late steps. Guards
// against a late step that waits beside idle workers for as long as a gang
// waits.
Test(graph_planner, starts_a_late_step_behind_late_tasks_without_an_end) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 3; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  AddRunningTask(planner.workers()[3], 40'000, 600'000);
  AddStep(planner, 1, 3, 60'000, 900'000).gang = true;
  auto& service = AddStep(planner, 2, 1, 40'000, 1'000);
  service.running[3] = 1;
  service.long_running = true;
  auto& single = AddStep(planner, 3, 2, 10'000, 1'000);
  single.accepted_ms = 10;
  int starts = 0;
  for (std::int64_t now_ms = 100; now_ms <= 60'000; now_ms += 50) {
    starts += CountStarts(planner.Decide(now_ms), 3);
  }
  cr_expect_geq(starts, 1);
}

// The tickets of a gang expire at different times, and an answer takes nearly
// as long as they are valid. Guards against a gang that renews some tickets
// while the others expire, for ever.
Test(graph_planner, renews_the_tickets_of_a_gang_together) {
  constexpr std::int64_t kAnswerMs = 600;
  constexpr std::int64_t kValidMs = 700;
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  auto& step = AddStep(planner, 1, 4, 60'000, 90'000);
  step.gang = true;
  step.advice.needed = true;
  step.advice.base_ms = kAnswerMs;
  step.advice.RecordAnswer(
      {1, 2, 3, 4},
      {{1, {"t", 200}}, {2, {"t", 200}}, {3, {"t", 600}}, {4, {"t", 600}}});
  std::size_t starts = 0;
  std::int64_t answer_at_ms = 0;
  std::optional<PlannedQuestion> asked;
  for (std::int64_t now_ms = 100; now_ms <= 10'000; now_ms += 50) {
    if (asked && now_ms >= answer_at_ms) {
      std::map<std::int64_t, Ticket> tickets;
      for (const auto it : asked->workers) {
        tickets[it] = {"t", now_ms + kValidMs};
      }
      step.advice.EndQuestion(asked->workers, asked->renewal);
      step.advice.RecordAnswer(asked->workers, tickets);
      step.changed = true;
      asked.reset();
    }
    const auto plan = planner.Decide(now_ms);
    starts += plan.starts.size();
    if (!plan.questions.empty()) {
      cr_assert_not(asked.has_value());
      asked = plan.questions.front();
      answer_at_ms = now_ms + kAnswerMs;
    }
  }
  cr_expect_eq(starts, 4);
}

// An answer leaves out a worker that an earlier one allowed. Guards against a
// worker that stays allowed and whose ticket is asked for again and again.
Test(graph_planner, forgets_a_worker_that_an_answer_leaves_out) {
  StepAdvice advice;
  advice.needed = true;
  advice.RecordAnswer({1, 2, 3}, {{1, {"a", 500}}, {2, {"b", 500}}});
  cr_expect(advice.Allows(1));
  cr_expect(advice.Allows(2));
  cr_expect_not(advice.Allows(3));
  cr_expect_eq(advice.asked_workers.size(), 3);
  advice.RecordAnswer({1, 2}, {{2, {"c", 900}}, {3, {"d", 900}}});
  cr_expect_not(advice.Allows(1));
  cr_expect(advice.HasTicket(2, 900));
  cr_expect_not(advice.Allows(3), "the question was not about this worker");
  cr_expect_not(advice.asked_workers.contains(1));
  advice.RecordAnswer({1}, {});
  cr_expect(advice.asked_workers.contains(1), "asked about once more only");
}

// Guards against a description of a waiting step that counts workers which it
// may not use.
Test(graph_planner, counts_the_workers_of_a_waiting_step) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 4; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  planner.workers()[1].usable = false;
  AddRunningTask(planner.workers()[3], 60'000, 5'000);
  auto& step = AddStep(planner, 1, 5, 20'000, 30'000);
  cr_expect(planner.WorkersOf(step) ==
            StepWorkers({.eligible = 3, .allowed = 3, .fit = 6}));
  step.advice.needed = true;
  step.advice.RecordAnswer({1, 2, 3}, {{1, {"t", 900}}, {3, {"t", 900}}});
  cr_expect(planner.WorkersOf(step) ==
            StepWorkers({.eligible = 3, .allowed = 1, .fit = 0}));
}

// Guards against a summary that says of capacity held for a gang that it is
// missing although only tickets are, or the reverse.
Test(graph_planner, tells_gangs_that_lack_tickets_from_gangs_that_lack_room) {
  GraphPlanner planner;
  planner.workers()[1] = MakeWorker(1);
  planner.workers()[2] = MakeWorker(2);
  AddRunningTask(planner.workers()[2], 64'000, 3'000);
  for (StepId id = 1; id <= 3; ++id) {
    auto& step = AddStep(planner, id, id <= 2 ? 1 : 9, 10'000, 30'000);
    step.gang = true;
    step.advice.needed = true;
    step.advice.RecordAnswer({1, 2}, {{id <= 2 ? id : 1, {"t", 50}}});
  }
  (void)planner.Decide(2'000);
  cr_expect(planner.SummarizeGangs(2'000) ==
            GangSummary({.waiting = 3,
                         .lacking_tickets = 1,
                         .lacking_room = 1,
                         .milli_cpus_lacking_tickets = 10'000,
                         .milli_cpus_lacking_room = 10'000}));
  const auto later = planner.SummarizeGangs(30'000);
  cr_expect_eq(later.late, 3);
  cr_expect_eq(later.unplanned, 3);
  cr_expect_eq(later.longest_unplanned_ms, 28'000);
}

// The only allowed worker is full of tasks that don't end. Guards against a
// late step that never asks about workers with free capacity.
Test(graph_planner, asks_about_more_workers_if_the_allowed_ones_stay_full) {
  GraphPlanner planner;
  for (std::int64_t n = 1; n <= 3; ++n) {
    planner.workers()[n] = MakeWorker(n);
  }
  AddRunningTask(planner.workers()[1], 64'000, 1'000'000);
  auto& step = AddStep(planner, 1, 1, 30'000, 6'000);
  step.advice.needed = true;
  step.advice.RecordAnswer({1}, {{1, {"t", 20'000}}});
  cr_expect(planner.Decide(100, 1).questions.empty());
  cr_expect(planner.Decide(9'000, 0).questions.empty(),
            "no caller is idle for it");
  const auto plan = planner.Decide(9'100, 1);
  cr_assert_eq(plan.questions.size(), 1);
  cr_expect(plan.questions.front().workers ==
            std::vector<std::int64_t>({2, 3}));
}

// Guards against a worker whose capacity has shrunk below its use and that
// reduces the free capacity of the others, by which jobs are admitted, or gets
// tasks that need none of the exhausted resource.
Test(graph_planner, starts_nothing_on_a_worker_that_is_over_its_capacity) {
  GraphPlanner planner;
  planner.workers()[1] = MakeWorker(1);
  AddRunningTask(planner.workers()[1], 40'000, 5'000);
  planner.workers()[1].capacity.milli_cpus = 8'000;
  planner.workers()[2] = MakeWorker(2);
  AddStep(planner, 1, 40, 4'000, 60'000);
  const auto plan = planner.Decide(1'000);
  cr_expect_eq(CountStarts(plan, 1), 16);
  for (const auto& it : plan.starts) {
    cr_expect_eq(it.worker, 2);
  }
  cr_expect_eq(planner.worker_totals().free.milli_cpus, 0);
  cr_expect_eq(FitCount({4'000, 1'000, 0}, {-32'000, 9'000, 0}, 10), 0);
}
