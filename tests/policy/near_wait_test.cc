// Tests how long tasks and gangs wait for a near place.
#include "near_wait.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>

#include "cranberryshunt/policy/far_factor.h"
#include "cranberryshunt/policy/graph_planner.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr std::int64_t kRunMs = 2'000;
constexpr PlannerOptions kDoubleRunTime{.far_run_factor = 2};

// Adds workers 1 and 2 on the rack "near" and 3 and 4 on the rack "far", with
// room for two tasks each.
void AddWorkers(GraphPlanner& planner) {
  for (std::int64_t n = 1; n <= 4; ++n) {
    PlanWorker worker;
    worker.number = n;
    worker.service_name = "fleet";
    worker.rack = n <= 2 ? "near" : "far";
    worker.capacity = {8'000, 8'000, 0};
    worker.usable = true;
    planner.workers()[n] = worker;
    planner.MarkWorkerChanged(n);
  }
}

void Fill(GraphPlanner& planner, std::int64_t number, std::int64_t end_ms) {
  auto& worker = planner.workers().at(number);
  worker.used = worker.capacity;
  worker.AddEnd({end_ms, worker.capacity});
  planner.MarkWorkerChanged(number);
}

void Empty(GraphPlanner& planner, std::int64_t number) {
  auto& worker = planner.workers().at(number);
  worker.used = {};
  worker.ends.clear();
  planner.MarkWorkerChanged(number);
}

PlanStep MakeStep(StepId id, std::size_t tasks, const char* rack) {
  PlanStep step;
  step.id = id;
  step.service_name = "fleet";
  step.priority = 1;
  step.demand = {4'000, 4'000, 0};
  step.data_rack = rack;
  step.expected_run_ms = kRunMs;
  step.remaining_ms = kRunMs;
  step.accepted_ms = 1'000;
  step.waiting_since_ms = 1'000;
  step.objective_ms = 20'000;
  step.waiting.resize(tasks);
  std::iota(step.waiting.begin(), step.waiting.end(), 0);
  return step;
}

std::int64_t CountStarts(const Plan& plan, StepId step, Nearness nearness) {
  return std::count_if(plan.starts.begin(), plan.starts.end(),
                       [&](const auto& it) {
                         return it.step == step && it.nearness == nearness;
                       });
}

NearWait MakeWait() {
  NearWait wait;
  wait.now_ms = 1'000;
  wait.since_ms = 1'000;
  wait.run_ms = kRunMs;
  wait.far_run_factor = 2;
  wait.latest_start_ms = 10'000;
  return wait;
}

}  // namespace

Test(near_wait, is_worth_less_than_the_longer_run) {
  auto wait = MakeWait();
  cr_expect_eq(LongestNearWaitMs(wait), 1'400, "without a margin");
  wait.waiting = true;
  cr_expect_eq(LongestNearWaitMs(wait), 2'000);
  wait.far_run_factor = 1;
  cr_expect_lt(LongestNearWaitMs(wait), 0);
}

// Guards against waits that make a job late, and against a far start that does
// while a near one would not.
Test(near_wait, makes_no_job_late_that_a_far_start_keeps_on_time) {
  auto wait = MakeWait();
  wait.latest_start_ms = wait.now_ms - 1;
  cr_expect_lt(LongestNearWaitMs(wait), 0, "a late step waits");
  wait.latest_start_ms = wait.now_ms + 2'000;
  wait.waiting = true;
  cr_expect_leq(LongestNearWaitMs(wait), 2'000);
  wait.latest_start_ms = wait.now_ms + 1'900;
  wait.waiting = false;
  cr_expect_eq(LongestNearWaitMs(wait), 1'900, "a far start makes it late");
}

// Guards against a wait without an end when the expected times are wrong.
Test(near_wait, ends_although_room_is_expected_again_and_again) {
  auto wait = MakeWait();
  wait.waiting = true;
  wait.latest_start_ms = 100'000;
  wait.now_ms = wait.since_ms + 6'001;
  cr_expect_lt(LongestNearWaitMs(wait), 0);
}

Test(near_wait, counts_the_tasks_that_wait_before) {
  cr_expect_eq(OpeningAt({100, 300}, 1, kRunMs), 300);
  cr_expect_eq(OpeningAt({100, 300}, 4, kRunMs), 100 + 2 * kRunMs);
}

// Guards against far room that idles because a step waits, and against a near
// start that is taken for a far one.
Test(near_wait, leaves_far_room_to_others_in_the_same_round) {
  GraphPlanner planner(kDoubleRunTime);
  AddWorkers(planner);
  Fill(planner, 1, 1'500);
  Fill(planner, 2, 9'000);
  planner.AddStep(MakeStep(1, 2, "near"));
  planner.AddStep(MakeStep(2, 4, "")).objective_ms = 30'000;
  auto plan = planner.Decide(1'000);
  cr_expect_eq(CountStarts(plan, 2, Nearness::kAny), 4);
  cr_expect_eq(plan.starts.size(), 4);
  Empty(planner, 1);
  plan = planner.Decide(1'480);
  cr_assert_eq(CountStarts(plan, 1, Nearness::kNear), 2);
  cr_expect_eq(plan.starts.front().near_wait_ms, 480);
  cr_expect_eq(plan.starts.front().expected_run_ms, kRunMs);
}

// Two places are free soon, and six tasks want them. Guards against a wait of
// more tasks than there are openings, also across steps, and against ends on
// far places that are expected too early.
Test(near_wait, sends_those_far_that_would_wait_for_too_long) {
  GraphPlanner planner(kDoubleRunTime);
  AddWorkers(planner);
  Fill(planner, 1, 1'500);
  Fill(planner, 2, 9'000);
  planner.AddStep(MakeStep(1, 3, "near"));
  planner.AddStep(MakeStep(2, 3, "near")).objective_ms = 30'000;
  const auto plan = planner.Decide(1'000);
  cr_expect_eq(CountStarts(plan, 1, Nearness::kFar), 1);
  cr_expect_eq(CountStarts(plan, 2, Nearness::kFar), 3);
  cr_expect_eq(plan.starts.front().expected_run_ms, 2 * kRunMs);
  cr_expect_eq(planner.workers().at(3).ends.back().at_ms, 1'000 + 2 * kRunMs);
}

// Guards against a choice that flips with each event: the expected end moves by
// a little, then by more than the wait is worth.
Test(near_wait, goes_on_while_the_expected_end_moves_a_little) {
  GraphPlanner planner(kDoubleRunTime);
  AddWorkers(planner);
  Fill(planner, 1, 2'300);
  Fill(planner, 2, 9'000);
  planner.AddStep(MakeStep(1, 2, "near"));
  cr_expect(planner.Decide(1'000).starts.empty());
  Empty(planner, 1);
  Fill(planner, 1, 2'900);
  cr_expect(planner.Decide(1'050).starts.empty());
  Empty(planner, 1);
  Fill(planner, 1, 3'500);
  cr_expect_eq(CountStarts(planner.Decide(1'100), 1, Nearness::kFar), 2);
}

// Guards against tasks that wait for workers that are lost or drained, or that
// advice does not allow.
Test(near_wait, counts_only_workers_that_the_step_may_use) {
  GraphPlanner planner(kDoubleRunTime);
  AddWorkers(planner);
  Fill(planner, 1, 1'500);
  Fill(planner, 2, 1'500);
  planner.AddStep(MakeStep(1, 2, "near"));
  cr_expect(planner.Decide(1'000).starts.empty());
  planner.workers().at(1).usable = false;
  planner.MarkWorkerChanged(1);
  cr_expect(planner.Decide(1'060).starts.empty());
  planner.workers().at(2).usable = false;
  planner.MarkWorkerChanged(2);
  cr_expect_eq(CountStarts(planner.Decide(1'120), 1, Nearness::kFar), 2);
  auto& step = planner.AddStep(MakeStep(2, 2, "near"));
  step.advice.needed = true;
  step.advice.asked_workers = {};
  for (const std::int64_t n : {1, 2, 3, 4}) {
    step.advice.asked_workers.insert(n);
  }
  planner.workers().at(1).usable = true;
  step.advice.allowed[4] = {"t", 9'000};
  cr_expect_eq(CountStarts(planner.Decide(1'180), 2, Nearness::kFar), 2);
}

// A near place is free, but its ticket has expired, and that of the far one is
// valid. Guards against a far start when a new ticket comes soon, and against
// questions for tickets of far workers meanwhile.
Test(near_wait, waits_for_the_ticket_of_a_near_place) {
  for (const double answer_ms : {300.0, 1'500.0}) {
    GraphPlanner planner(kDoubleRunTime);
    AddWorkers(planner);
    auto& step = planner.AddStep(MakeStep(1, 2, "near"));
    step.advice.needed = true;
    step.advice.base_ms = answer_ms;
    for (const std::int64_t n : {1, 2, 3, 4}) {
      step.advice.asked_workers.insert(n);
      step.advice.allowed[n] = {"t", n == 4 ? 9'000 : 500};
    }
    const auto plan = planner.Decide(1'000);
    if (answer_ms < 1'000) {
      cr_expect(plan.starts.empty());
      cr_assert_eq(plan.questions.size(), 1);
      cr_expect_eq(plan.questions.front().workers.size(), 2);
    } else {
      cr_expect_eq(CountStarts(plan, 1, Nearness::kFar), 2);
    }
  }
}

// Guards against a step that never gets permission for near workers because
// they are full when it asks.
Test(near_wait, asks_about_the_near_workers_first) {
  auto options = kDoubleRunTime;
  options.max_workers_asked = 2;
  GraphPlanner planner(options);
  AddWorkers(planner);
  Fill(planner, 1, 1'500);
  Fill(planner, 2, 1'500);
  planner.AddStep(MakeStep(1, 2, "near")).advice.needed = true;
  const auto plan = planner.Decide(1'000);
  cr_assert_eq(plan.questions.size(), 1);
  cr_expect_eq(plan.questions.front().workers.front(), 1);
  cr_expect_eq(plan.questions.front().workers.back(), 2);
}

// A new leader knows the steps, but not that they wait. Guards against a wait
// that begins anew with each leader.
Test(near_wait, goes_on_under_a_new_leader) {
  for (const std::int64_t now_ms : {2'000, 7'000}) {
    GraphPlanner planner(kDoubleRunTime);
    AddWorkers(planner);
    Fill(planner, 1, now_ms + 500);
    Fill(planner, 2, now_ms + 500);
    auto step = MakeStep(1, 2, "near");
    step.waiting_since_ms = now_ms;
    planner.AddStep(step);
    cr_expect_eq(CountStarts(planner.Decide(now_ms), 1, Nearness::kFar),
                 now_ms == 2'000 ? 0 : 2);
  }
}

// Room for all members comes soon on one rack, and is there now on two. Guards
// against a gang on two racks that would end sooner on one, and against near
// room that is kept free meanwhile.
Test(near_wait, waits_for_one_rack_with_a_gang) {
  GraphPlanner planner(kDoubleRunTime);
  AddWorkers(planner);
  Fill(planner, 1, 1'500);
  Fill(planner, 3, 9'000);
  auto gang = MakeStep(1, 4, "");
  gang.gang = true;
  gang.same_rack = true;
  planner.AddStep(gang);
  cr_expect(planner.Decide(1'000).starts.empty());
  cr_expect(planner.steps().at(1).near_rack == "near");
  cr_expect(planner.steps().at(1).held.empty());
  Empty(planner, 1);
  cr_expect_eq(CountStarts(planner.Decide(1'480), 1, Nearness::kNear), 4);
}

// Guards against a gang that waits for one rack although it ends sooner on two.
Test(near_wait, starts_a_gang_on_two_racks_if_one_is_full_for_long) {
  GraphPlanner planner(kDoubleRunTime);
  AddWorkers(planner);
  Fill(planner, 1, 4'500);
  Fill(planner, 3, 9'000);
  auto gang = MakeStep(1, 4, "");
  gang.gang = true;
  gang.same_rack = true;
  planner.AddStep(gang);
  const auto plan = planner.Decide(1'000);
  cr_expect_eq(CountStarts(plan, 1, Nearness::kFar), 4);
  cr_expect_eq(plan.starts.front().expected_run_ms, 2 * kRunMs);
}

// Guards against other plans for steps that prefer no rack, and for all steps
// of a deployment without a factor.
Test(near_wait, changes_nothing_without_a_preferred_rack_or_a_factor) {
  for (const char* rack : {"", "near"}) {
    GraphPlanner with(*rack == '\0' ? kDoubleRunTime : PlannerOptions());
    AddWorkers(with);
    Fill(with, 1, 1'500);
    Fill(with, 2, 1'500);
    with.AddStep(MakeStep(1, 4, rack));
    const auto plan = with.Decide(1'000);
    cr_expect_eq(plan.starts.size(), 4);
    for (const auto& it : plan.starts) {
      cr_expect_eq(it.expected_run_ms, kRunMs);
      cr_expect_eq(it.near_wait_ms, 0);
    }
  }
}

// Guards against a configured factor that finished runs have shown to be wrong,
// and against a few runs that count for more than it.
Test(far_factor, follows_finished_runs) {
  FarFactors factors(3);
  cr_expect_eq(factors.Expected("r"), 3);
  for (int n = 0; n < 100; ++n) {
    factors.Record("r", Nearness::kNear, 1'000, 1'000);
    cr_expect(n > 0 || factors.Expected("r") > 2.999);
    factors.Record("r", Nearness::kFar, 1'000, 1'500);
    factors.Record("r", Nearness::kAny, 1'000, 9'000);
    cr_expect(n > 0 || factors.Expected("r") > 2.8);
  }
  cr_expect_float_eq(factors.Expected("r"), 1.7, 0.1);
  cr_expect_eq(factors.Expected("other"), 3);
  cr_expect_eq(factors.RunMs("other", Nearness::kFar, 1'000), 3'000);
  cr_expect_eq(factors.NearRunMs("other", Nearness::kFar, 3'000), 1'000);
  cr_expect_eq(factors.RunMs("other", Nearness::kNear, 1'000), 1'000);
}

// A rack with slow workers. Guards against waits for a place on which tasks run
// for no shorter time, and against a factor without a setting.
Test(far_factor, is_never_below_one) {
  FarFactors factors(2);
  FarFactors off(1);
  for (int n = 0; n < 100; ++n) {
    for (auto* it : {&factors, &off}) {
      it->Record("r", Nearness::kNear, 1'000, 4'000);
      it->Record("r", Nearness::kFar, 1'000, 2'000);
    }
  }
  cr_expect_eq(factors.Expected("r"), 1);
  cr_expect_eq(off.Expected("r"), 1);
}
