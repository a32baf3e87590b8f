// Tests that the planner keeps accounts within their limits, and the order of
// jobs beyond the rate of their accounts.
#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>
#include <random>

#include "cranberryshunt/policy/graph_planner.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr std::int64_t kRunMs = 4'000;

class Fleet {
 public:
  explicit Fleet(std::int64_t workers) {
    for (std::int64_t n = 1; n <= workers; ++n) {
      PlanWorker worker;
      worker.number = n;
      worker.service_name = "fleet";
      worker.capacity = {64'000, 256'000, 0};
      worker.usable = true;
      planner_.workers()[n] = worker;
    }
    SetLimit(100'000);
  }

  void SetLimit(std::int64_t milli_cpus) {
    planner_.accounts().SetLimits({{"limited", {milli_cpus, 0, 0}}});
    limited_ = planner_.accounts().NumberOf("limited");
  }

  PlanStep& Add(StepId id,
                std::int32_t tasks,
                std::int64_t milli_cpus,
                AccountNumber account) {
    PlanStep step;
    step.id = id;
    step.service_name = "fleet";
    step.priority = 1;
    step.demand = {milli_cpus, 1'000, 0};
    step.expected_run_ms = kRunMs;
    step.remaining_ms = kRunMs;
    step.objective_ms = 30'000;
    step.account = account;
    step.waiting.resize(static_cast<std::size_t>(tasks));
    std::iota(step.waiting.begin(), step.waiting.end(), 0);
    return planner_.AddStep(step);
  }

  Plan Decide(std::int64_t now_ms, std::int64_t callers = 100) {
    auto plan = planner_.Decide(now_ms, callers);
    starts_.insert(starts_.end(), plan.starts.begin(), plan.starts.end());
    return plan;
  }

  // Ends started tasks of the step. The worker is refreshed as the leader does.
  void End(StepId id, int count) {
    for (auto it = starts_.begin(); it != starts_.end() && count > 0;) {
      if (it->step != id) {
        ++it;
        continue;
      }
      const auto& step = planner_.steps().at(id);
      auto& worker = planner_.workers().at(it->worker);
      worker.used -= step.demand;
      for (auto& use : worker.accounts) {
        if (use.account == step.account) {
          use.used -= step.demand;
          use.milli_cpus_per_ms -=
              static_cast<double>(step.demand.milli_cpus) / kRunMs;
        }
      }
      std::erase_if(worker.accounts,
                    [](const auto& use) { return use.used == Demand(); });
      worker.ends.pop_back();
      planner_.MarkWorkerChanged(it->worker);
      it = starts_.erase(it);
      --count;
    }
  }

  int Running(StepId id) const {
    return static_cast<int>(
        std::count_if(starts_.begin(), starts_.end(),
                      [&](const auto& it) { return it.step == id; }));
  }

  std::int64_t Used() const {
    return planner_.accounts().UseOf(limited_).used.milli_cpus;
  }

  GraphPlanner& planner() { return planner_; }
  AccountNumber limited() const { return limited_; }

 private:
  GraphPlanner planner_;
  AccountNumber limited_ = kNoAccount;
  std::vector<PlannedStart> starts_;
};

// Lets the advice service allow all workers for the step.
void AllowAll(PlanStep& step, std::int64_t workers, std::int64_t until_ms) {
  step.advice.needed = true;
  std::vector<std::int64_t> asked;
  std::map<std::int64_t, Ticket> tickets;
  for (std::int64_t n = 1; n <= workers; ++n) {
    asked.push_back(n);
    tickets[n] = {"t", until_ms};
  }
  step.advice.RecordAnswer(asked, std::move(tickets));
}

}  // namespace

// A step is wider than the limit of its account. Guards against starts beyond
// the limit, and against tasks that wait for a full round after the account has
// released something elsewhere.
Test(account_planner, starts_single_tasks_in_waves) {
  Fleet fleet(10);
  fleet.Add(1, 25, 18'000, fleet.limited());
  fleet.Add(2, 10, 18'000, kNoAccount);
  fleet.Decide(100);
  cr_expect_eq(fleet.Running(1), 5);
  cr_expect_eq(fleet.Running(2), 10);
  cr_expect_eq(fleet.Used(), 90'000);
  fleet.Decide(105);
  cr_expect_eq(fleet.Running(1), 5);
  fleet.End(1, 2);
  fleet.Decide(110);
  cr_expect_eq(fleet.Running(1), 5);
  cr_expect_eq(fleet.Used(), 90'000);
}

// Guards against members of a gang that start although the limit does not leave
// room for all of them.
Test(account_planner, starts_a_gang_only_if_all_of_it_fits) {
  Fleet fleet(10);
  fleet.Add(1, 1, 18'000, fleet.limited());
  fleet.Decide(100);
  fleet.Add(2, 5, 18'000, fleet.limited()).gang = true;
  fleet.Decide(200);
  cr_expect_eq(fleet.Running(2), 0);
  cr_expect(fleet.planner().steps().at(2).at_limit);
  fleet.End(1, 1);
  fleet.Decide(205);
  cr_expect_eq(fleet.Running(2), 5);
}

// Guards against a step that is blocked by the limit of its account and yet
// occupies callers of the advice service or capacity, or holds back late steps
// of others.
Test(account_planner, lets_a_step_at_its_limit_take_nothing) {
  Fleet fleet(10);
  fleet.Add(1, 4, 18'000, fleet.limited());
  fleet.Decide(100);
  auto& gang = fleet.Add(2, 5, 18'000, fleet.limited());
  gang.gang = true;
  AllowAll(gang, 10, 150);
  auto& singles = fleet.Add(3, 5, 30'000, fleet.limited());
  AllowAll(singles, 10, 150);
  fleet.Add(4, 5, 30'000, fleet.limited()).advice.needed = true;
  auto& late = fleet.Add(5, 30, 15'000, kNoAccount);
  late.objective_ms = 3'000;
  late.accepted_ms = 0;
  auto& uncommitted = fleet.Add(6, 5, 30'000, fleet.limited());
  uncommitted.advice.needed = true;
  uncommitted.uncommitted = true;
  const auto plan = fleet.Decide(500);
  cr_expect(plan.questions.empty(), "a step at its limit asks for advice");
  for (const auto& [number, worker] : fleet.planner().workers()) {
    cr_expect_eq(worker.held, Demand(), "capacity is held");
  }
  cr_expect_eq(fleet.Running(5), 30, "late steps of others are held back");
  cr_expect_not(fleet.planner().SummarizeLoad(500).lacks_room);
}

// Ten steps of one account wait, and the limit leaves room for one task. Guards
// against questions for tickets that expire before they can be used.
Test(account_planner, asks_only_for_what_the_limit_leaves) {
  Fleet fleet(10);
  for (StepId id = 1; id <= 10; ++id) {
    fleet.Add(id, 1, 60'000, fleet.limited()).advice.needed = true;
  }
  cr_expect_eq(fleet.Decide(100).questions.size(), 1);
  cr_expect_eq(fleet.Decide(200).questions.size(), 0);
}

// Guards against capacity that is held for a gang and not counted, so that the
// account is over its limit when the gang starts, and against a gang that is
// counted twice.
Test(account_planner, counts_capacity_that_is_held_for_a_gang) {
  Fleet fleet(4);
  auto& filler = fleet.Add(1, 4, 50'000, kNoAccount);
  filler.expected_run_ms = 500;
  fleet.Decide(100);
  auto& gang = fleet.Add(2, 4, 18'000, fleet.limited());
  gang.gang = true;
  gang.objective_ms = 9'000;
  fleet.Decide(150);
  Demand held;
  for (const auto& it : fleet.planner().steps().at(2).held) {
    held += it.demand;
  }
  cr_expect_eq(held.milli_cpus, 72'000);
  auto& later = fleet.Add(3, 10, 14'000, fleet.limited());
  later.objective_ms = 60'000;
  fleet.Decide(200);
  cr_expect_eq(fleet.Running(3), 2, "beside 72 held cores 28 are left");
  fleet.End(1, 4);
  fleet.Decide(210);
  cr_expect_eq(fleet.Running(2), 4);
  cr_expect_leq(fleet.Used(), 100'000);
}

// Small tasks of an account keep its limit in use. Guards against a gang of the
// account that starves behind them.
Test(account_planner, does_not_let_small_tasks_starve_a_gang_at_the_limit) {
  Fleet fleet(10);
  fleet.Add(1, 40, 10'000, fleet.limited());
  fleet.Decide(100);
  auto& gang = fleet.Add(2, 5, 18'000, fleet.limited());
  gang.gang = true;
  gang.objective_ms = 20'000;
  for (std::int64_t n = 1; n <= 9; ++n) {
    fleet.End(1, 1);
    fleet.Decide(3'000 + 100 * n);
  }
  cr_expect_eq(fleet.Running(2), 5);
}

// Guards against an account that starts more because a worker with a run of it
// has left, while that run may still go on.
Test(account_planner, counts_runs_of_workers_that_have_left) {
  Fleet fleet(10);
  std::vector<AccountUse> departed;
  AddTask(departed, fleet.limited(), {72'000, 1'000, 0}, kRunMs);
  fleet.planner().SetDepartedUse(departed);
  fleet.Add(1, 5, 18'000, fleet.limited());
  fleet.Decide(100);
  cr_expect_eq(fleet.Running(1), 1);
  fleet.planner().SetDepartedUse({});
  fleet.Decide(105);
  cr_expect_eq(fleet.Running(1), 5);
}

// Guards against a removed worker whose tasks are counted for ever.
Test(account_planner, forgets_the_use_of_a_removed_worker) {
  Fleet fleet(1);
  fleet.Add(1, 3, 18'000, fleet.limited());
  fleet.Decide(100);
  cr_expect_eq(fleet.Used(), 54'000);
  fleet.planner().RemoveWorker(1);
  fleet.Decide(105);
  cr_expect_eq(fleet.Used(), 0);
}

// Guards against running tasks that are stopped, or further ones that start,
// when a limit is lowered below the use.
Test(account_planner, starts_nothing_while_the_limit_is_below_the_use) {
  Fleet fleet(10);
  fleet.Add(1, 10, 18'000, fleet.limited());
  fleet.Decide(100);
  fleet.SetLimit(40'000);
  fleet.Decide(200);
  cr_expect_eq(fleet.Running(1), 5);
  fleet.End(1, 3);
  fleet.Decide(205);
  cr_expect_eq(fleet.Running(1), 2);
  fleet.SetLimit(0);
  fleet.Decide(210);
  cr_expect_eq(fleet.Running(1), 7, "the limit is gone");
}

// Guards against jobs beyond the rate of their account that are served before
// late ones within it, or after results that nobody needs any more.
Test(account_planner, places_over_rate_steps_after_others_of_use) {
  Fleet fleet(1);
  const auto add = [&](StepId id, std::int64_t objective_ms, bool over_rate) {
    auto& step = fleet.Add(id, 1, 64'000, kNoAccount);
    step.accepted_ms = 1'000;
    step.objective_ms = objective_ms;
    step.over_rate = over_rate;
  };
  constexpr std::int64_t kNowMs = 6'000;
  add(1, 4'500, false);   // Too late.
  add(2, 30'000, true);   // Beyond the rate, on time.
  add(3, 9'000, false);   // Late.
  add(4, 30'000, false);  // On time.
  add(5, 9'000, true);    // Beyond the rate, late.
  cr_assert_eq(LatenessOf(fleet.planner().steps().at(1), kNowMs),
               Lateness::kTooLate);
  cr_assert_eq(LatenessOf(fleet.planner().steps().at(3), kNowMs),
               Lateness::kLate);
  std::vector<StepId> order;
  for (std::int64_t now_ms = kNowMs; order.size() < 5; now_ms += 50) {
    const auto plan = fleet.Decide(now_ms);
    cr_assert_eq(plan.starts.size(), 1);
    order.push_back(plan.starts.front().step);
    fleet.End(order.back(), 1);
    fleet.planner().RemoveStep(order.back());
  }
  cr_expect((order == std::vector<StepId>{4, 3, 2, 5, 1}));
}

// Guards against accounts without a limit that change what is planned.
Test(account_planner, plans_the_same_with_accounts_that_have_no_limit) {
  std::mt19937_64 random(7);
  Fleet with(40);
  Fleet without(40);
  const auto unlimited = with.planner().accounts().NumberOf("other");
  const auto draw = [&](std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution(from, to)(random);
  };
  for (StepId id = 1; id <= 300; ++id) {
    const auto tasks = static_cast<std::int32_t>(draw(1, 20));
    const auto milli_cpus = 1'000 * draw(1, 30);
    const bool gang = draw(0, 2) == 0;
    const bool advice = draw(0, 1) == 0;
    const auto objective_ms = draw(2'000, 20'000);
    for (auto* fleet : {&with, &without}) {
      auto& step = fleet->Add(id, tasks, milli_cpus,
                              fleet == &with ? unlimited : kNoAccount);
      step.gang = gang;
      step.objective_ms = objective_ms;
      if (advice) {
        AllowAll(step, 40, 4'000);
      }
    }
  }
  for (std::int64_t now_ms = 100; now_ms < 6'000; now_ms += 10) {
    const auto a = with.Decide(now_ms, 5);
    const auto b = without.Decide(now_ms, 5);
    cr_assert_eq(a.starts, b.starts);
    cr_assert_eq(a.questions, b.questions);
    for (const auto& it : a.starts) {
      if (draw(0, 1) == 0) {
        with.End(it.step, 1);
        without.End(it.step, 1);
      }
    }
  }
}
