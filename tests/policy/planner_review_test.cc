// Tests the limits on how long a step waits against the work that these limits
// are traded for.
#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>
#include <vector>

#include "cranberryshunt/policy/graph_planner.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr std::int64_t kRunMs = 4'000;
constexpr StepId kGang = 1;

void AddWorkers(GraphPlanner& planner, std::int64_t count) {
  for (std::int64_t n = 1; n <= count; ++n) {
    auto& worker = planner.workers()[n];
    worker.number = n;
    worker.service_name = "fleet";
    worker.capacity = {64'000, 256'000, 0};
    worker.usable = true;
  }
}

void AddRunningTask(PlanWorker& worker, std::int64_t end_ms) {
  const Demand demand{60'000, 1'000, 0};
  worker.used += demand;
  worker.AddEnd({end_ms, demand});
}

void EndDueTasks(GraphPlanner& planner, std::int64_t now_ms) {
  for (auto& entry : planner.workers()) {
    auto& worker = entry.second;
    const auto ended = std::erase_if(worker.ends, [&](const auto& it) {
      if (it.at_ms <= now_ms) {
        worker.used -= it.demand;
      }
      return it.at_ms <= now_ms;
    });
    if (ended > 0) {
      planner.MarkWorkerChanged(entry.first);
    }
  }
}

PlanStep& AddStep(GraphPlanner& planner,
                  StepId id,
                  std::int32_t tasks,
                  std::int64_t now_ms,
                  std::int64_t objective_ms) {
  PlanStep step;
  step.id = id;
  step.service_name = "fleet";
  step.priority = 1;
  step.demand = {60'000, 1'000, 0};
  step.expected_run_ms = kRunMs;
  step.remaining_ms = kRunMs;
  step.accepted_ms = now_ms;
  step.waiting_since_ms = now_ms;
  step.objective_ms = objective_ms;
  step.waiting.resize(static_cast<std::size_t>(tasks));
  std::iota(step.waiting.begin(), step.waiting.end(), 0);
  return planner.AddStep(step);
}

}  // namespace

// Guards against a gang that never starts because the capacity that drains for
// it makes its service look idle, so that queued steps take it.
Test(planner_review, keeps_held_capacity_while_the_service_drains_for_a_gang) {
  constexpr std::int64_t kWorkers = 10;
  constexpr int kQueued = 12;
  GraphPlanner planner;
  AddWorkers(planner, kWorkers);
  for (auto& [number, worker] : planner.workers()) {
    AddRunningTask(worker, number * kRunMs / kWorkers);
  }
  AddStep(planner, kGang, 8, 0, 50'000).gang = true;
  StepId next = 10;
  for (int n = 0; n < kQueued; ++n) {
    AddStep(planner, next++, 1, 0, 60'000);
  }
  std::int64_t gang_started_ms = -1;
  for (std::int64_t now_ms = 100; now_ms <= 40'000 && gang_started_ms < 0;
       now_ms += 50) {
    EndDueTasks(planner, now_ms);
    for (const auto& it : planner.Decide(now_ms).starts) {
      if (it.step == kGang) {
        gang_started_ms = now_ms;
        break;
      }
      planner.RemoveStep(it.step);
      AddStep(planner, next++, 1, now_ms, now_ms + 60'000);
    }
  }
  cr_expect(gang_started_ms >= 0 && gang_started_ms <= 2 * kRunMs,
            "the gang started at %d ms", static_cast<int>(gang_started_ms));
}

// Guards against questions that on-time steps have to wait for: a late step
// asks about full workers while no caller is idle.
Test(planner_review, asks_about_no_full_workers_without_an_idle_caller) {
  GraphPlanner planner;
  AddWorkers(planner, 3);
  for (auto& [number, worker] : planner.workers()) {
    AddRunningTask(worker, 600'000);
  }
  auto& step = AddStep(planner, 2, 1, 0, 6'000);
  step.advice.needed = true;
  step.advice.RecordAnswer({1}, {{1, {"t", 60'000}}});
  std::size_t questions = 0;
  for (std::int64_t now_ms = 100; now_ms <= 20'000; now_ms += 100) {
    questions += planner.Decide(now_ms, 0).questions.size();
  }
  cr_expect_eq(questions, 0, "questions: %d", static_cast<int>(questions));
}

// Guards against a task of a wide step that waits beside an idle worker for
// ever, because another task of the step is restarted again and again.
Test(planner_review, starts_a_long_running_task_beside_one_that_restarts) {
  GraphPlanner planner;
  AddWorkers(planner, 2);
  auto& step = AddStep(planner, 2, 2, 0, 60'000);
  step.long_running = true;
  step.avoided.insert(2);
  std::int64_t last_start_ms = 0;
  std::int64_t starts_on_idle = 0;
  for (std::int64_t now_ms = 100; now_ms <= 30'000; now_ms += 50) {
    if (step.running.contains(1) && now_ms - last_start_ms >= 1'000) {
      // The run ends, and its worker is free at once.
      auto& worker = planner.workers().at(1);
      worker.used = {};
      worker.ends.clear();
      step.running.erase(1);
      step.waiting.push_back(0);
      step.changed = true;
      planner.MarkWorkerChanged(1);
    }
    for (const auto& it : planner.Decide(now_ms).starts) {
      starts_on_idle += it.worker == 2 ? 1 : 0;
      last_start_ms = now_ms;
      step.waiting_since_ms = now_ms;  // As the leader does.
    }
  }
  cr_expect_eq(starts_on_idle, 1, "starts on the idle worker: %d",
               static_cast<int>(starts_on_idle));
}

// Guards against attempts that are used up on an avoided worker although the
// one that is preferred is expected to be free soon.
Test(planner_review, avoids_a_worker_if_another_is_free_soon) {
  GraphPlanner planner;
  AddWorkers(planner, 4);
  for (auto& [number, worker] : planner.workers()) {
    if (number <= 2) {
      worker.labels.push_back("disk");
    }
  }
  AddRunningTask(planner.workers().at(2), 2'500);
  auto& step = AddStep(planner, 2, 1, 0, 60'000);
  step.required_label = "disk";
  step.avoided.insert(1);
  std::int64_t used = 0;
  for (std::int64_t now_ms = 100; now_ms <= 4'000 && used == 0; now_ms += 50) {
    EndDueTasks(planner, now_ms);
    for (const auto& it : planner.Decide(now_ms).starts) {
      used = it.worker;
    }
  }
  cr_expect_eq(used, 2, "started on worker %d", static_cast<int>(used));
}
