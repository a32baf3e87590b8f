// Tests that accounts stay within their limits through faults, by what the
// workers run, and that nothing is counted once they are idle.
#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "cell_harness.h"
#include "cranberryshunt/base/result.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr std::int64_t kFaultsMs = 40'000;
constexpr std::uint64_t kSeeds = 8;
constexpr std::int64_t kLimit = 20'000;
// Longer than a start in doubt, or a run of a silent worker, stays open.
constexpr std::int64_t kDrainMs = 60'000;

double UseMetric(CellHarness& cell, const std::string& account) {
  return cell.metrics().Gauge("account_cpus{account=\"" + account + "\"}");
}

class RandomLimits {
 public:
  explicit RandomLimits(std::uint64_t seed)
      : random_(seed),
        cell_({.workers = 5,
               .commit_ms = 5,
               .max_commit_ms = Draw(0, 1) == 0 ? Draw(10, 60) : 0,
               .network_ms = Draw(0, 2) == 0 ? Draw(20, 100) : 5,
               .advice_callers = 4,
               .seed = seed}) {
    cell_.accounts = {MakeAccount("first", 1'000, kLimit),
                      MakeAccount("second", 1'000, kLimit)};
  }

  void Run() {
    cell_.Run(200);
    auto with_advice = MakeQueue("b", 1);
    with_advice.needs_advice = true;
    with_advice.advice.base_ms = 50;
    with_advice.advice.per_worker_ms = 1;
    with_advice.advice.ticket_valid_ms = 2'000;
    queues_ = {MakeQueue("a", 1), with_advice};
    cell_.Publish(queues_);
    cell_.Run(1'500);
    const auto end_ms = cell_.now_ms() + kFaultsMs;
    auto next_fault_ms = cell_.now_ms() + 500;
    while (cell_.now_ms() < end_ms) {
      SubmitJob();
      if (Draw(0, 3) == 0 && next_job_ > 4) {
        cell_.Cancel(next_job_ - static_cast<graph::JobId>(Draw(1, 4)), "a");
      }
      if (cell_.now_ms() >= next_fault_ms) {
        Fault();
        next_fault_ms = cell_.now_ms() + Draw(100, 4'000);
      }
      EndCuts(false);
      cell_.Run(20 * Draw(1, 8));
      most_used_ = std::max(most_used_, cell_.UseOfAccount("first").milli_cpus);
    }
    EndCuts(true);
    // A gang that is wider than a lowered limit would wait for ever.
    cell_.accounts.front().limit.milli_cpus = kLimit;
    cell_.Publish(queues_);
    cell_.Run(kDrainMs);
  }

  // Whether no job and no run is left.
  bool IsIdle() {
    const auto& jobs = cell_.engine().store().jobs();
    return std::none_of(jobs.begin(), jobs.end(),
                        [](const auto& it) { return it.second.active(); }) &&
           std::all_of(cell_.workers.begin(), cell_.workers.end(),
                       [](const auto& it) { return it.runs.empty(); });
  }

  CellHarness& cell() { return cell_; }
  std::int64_t most_used() const { return most_used_; }

 private:
  struct Cut {
    std::int64_t until_ms = 0;
    std::size_t worker = 0;
  };

  std::int64_t Draw(std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution(from, to)(random_);
  }

  void SubmitJob() {
    const auto tasks = static_cast<std::int32_t>(Draw(1, 6));
    auto job = MakeJob(tasks, 500 * Draw(1, 6), Draw(100, 4'000));
    job.steps.front().gang = Draw(0, 2) == 0;
    const auto* key = Draw(0, 2) == 0 ? "key of second" : "key of first";
    cell_.Submit(next_job_++, Draw(0, 1) == 0 ? "a" : "b", job, key);
  }

  void Fault() {
    const auto n = static_cast<std::size_t>(
        Draw(0, static_cast<std::int64_t>(cell_.workers.size()) - 1));
    auto& worker = cell_.workers[n];
    const auto until_ms = cell_.now_ms() + Draw(200, 9'000);
    switch (Draw(0, 6)) {
      case 0:
      case 1:
        cell_.ChangeLeader();
        return;
      case 2:
        worker.loses_replies = true;
        break;
      case 3:
        worker.silent = true;
        break;
      case 4:
        cell_.RestartAtOnce(worker);
        return;
      case 5:
        cell_.Depart(worker);
        worker.gone = false;
        cell_.RestartAtOnce(worker);
        return;
      default:
        // A new limit while starts are on their way, also below the use.
        cell_.accounts.front().limit.milli_cpus =
            Draw(0, 1) == 0 ? kLimit : Draw(4, 16) * 1'000;
        cell_.Publish(queues_);
        cell_.Run(Draw(0, 20));
        cell_.accounts.front().limit.milli_cpus += 1'000 * Draw(-2, 2);
        cell_.Publish(queues_);
        return;
    }
    cuts_.push_back({until_ms, n});
  }

  void EndCuts(bool all) {
    std::erase_if(cuts_, [&](const auto& it) {
      if (!all && it.until_ms > cell_.now_ms()) {
        return false;
      }
      cell_.workers[it.worker].silent = false;
      cell_.workers[it.worker].loses_replies = false;
      return true;
    });
  }

  std::mt19937_64 random_;
  CellHarness cell_;
  std::vector<wire::JobQueue> queues_;
  graph::JobId next_job_ = 1;
  std::vector<Cut> cuts_;
  std::int64_t most_used_ = 0;
};

}  // namespace

// Guards against runs that are missed or counted twice: when starts or replies
// are lost, runs are stopped, workers restart or leave, limits change while
// starts are being committed, or a new leader takes over at any point.
Test(account_limits, are_kept_through_faults) {
  bool was_near_limit = false;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomLimits faults(seed);
    faults.Run();
    for (const auto& it : faults.cell().violations) {
      cr_expect_fail("seed %d: %s", static_cast<int>(seed), it.c_str());
    }
    cr_expect(faults.IsIdle(), "seed %d", static_cast<int>(seed));
    cr_expect_eq(UseMetric(faults.cell(), "first"), 0.0,
                 "seed %d: an idle cell has use", static_cast<int>(seed));
    cr_expect_eq(UseMetric(faults.cell(), "second"), 0.0,
                 "seed %d: an idle cell has use", static_cast<int>(seed));
    was_near_limit = was_near_limit || faults.most_used() > kLimit * 3 / 4;
  }
  cr_expect(was_near_limit, "the load never came near the limit");
}

// Guards against a job that is accepted although it can never run, and against
// one that is refused for good because the limit is in use at the moment.
Test(account_limits, refuse_what_can_never_run) {
  CellHarness cell;
  cell.accounts = {MakeAccount("first", 1'000, 10'000)};
  cell.Run(200);
  auto queue = MakeQueue("a", 1);
  queue.allows_anonymous = true;
  cell.Publish({queue});
  cell.Run(1'500);
  cell.Submit(1, "a", MakeJob(1, 10'500, 500), "key of first");
  auto gang = MakeJob(4, 3'000, 500);
  gang.steps.front().gang = true;
  cell.Submit(2, "a", gang, "key of first");
  cell.Submit(3, "a", gang);
  cell.Submit(4, "a", MakeJob(4, 3'000, 500), "key of first");
  cell.Run(100);
  cr_expect_eq(cell.jobs[1].code, static_cast<int>(ResultCode::kQuotaExceeded));
  cr_expect_eq(cell.jobs[2].code, static_cast<int>(ResultCode::kQuotaExceeded));
  cr_expect_eq(cell.jobs[3].code, 0);
  cr_expect_eq(cell.jobs[4].code, 0);
  cell.Run(4'000);
  cr_expect_eq(cell.StateOf(4), wire::GraphJobState::kCompleted);
  cr_expect(cell.violations.empty());
}

// Guards against a limit of an older table that is applied after a newer one,
// or one that takes effect only after the next change of the use.
Test(account_limits, follow_the_committed_table_at_once) {
  CellHarness cell;
  cell.accounts = {MakeAccount("first", 1'000, 4'000)};
  cell.Run(200);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(1'500);
  cell.Submit(1, "a", MakeJob(20, 1'000, 3'000), "key of first");
  cell.Run(500);
  cr_expect_eq(cell.UseOfAccount("first").milli_cpus, 4'000);
  cell.accounts.front().limit.milli_cpus = 8'000;
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
  cr_expect_eq(cell.UseOfAccount("first").milli_cpus, 8'000);
  cell.accounts.front().limit.milli_cpus = 2'000;
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
  cr_expect_eq(cell.UseOfAccount("first").milli_cpus, 8'000,
               "a lower limit must stop nothing");
  cell.Run(6'000);
  cr_expect_leq(cell.UseOfAccount("first").milli_cpus, 2'000);
  cell.accounts.clear();
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
  cr_expect_gt(cell.UseOfAccount("first").milli_cpus, 4'000,
               "an account that is gone has no limit");
  cr_expect(cell.violations.empty());
}

// Guards against a new leader that starts tasks before it has counted those of
// the former one.
Test(account_limits, hold_from_the_first_plan_of_a_new_leader) {
  CellHarness cell;
  cell.accounts = {MakeAccount("first", 1'000, 6'000)};
  cell.Run(200);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(1'500);
  cell.Submit(1, "a", MakeJob(30, 1'000, 1'000), "key of first");
  for (int n = 0; n < 15; ++n) {
    cell.Run(173);
    cell.ChangeLeader();
  }
  cell.Run(20'000);
  cr_expect(cell.violations.empty());
  cr_expect_eq(cell.StateOf(1), wire::GraphJobState::kCompleted);
}

// Guards against an account that submits far beyond its rate and is served like
// the others while they wait, or refused while the cell is idle.
Test(account_limits, refuse_jobs_beyond_the_rate_while_others_wait) {
  CellHarness cell({.workers = 2});
  cell.accounts = {MakeAccount("first", 2, 0), MakeAccount("second", 100, 0)};
  cell.Run(200);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(1'500);
  graph::JobId id = 1;
  for (; id <= 10; ++id) {
    cell.Submit(id, "a", MakeJob(1, 1'000, 2'000), "key of first");
    cell.Run(20);
  }
  for (graph::JobId n = 1; n < id; ++n) {
    cr_expect_eq(cell.jobs[n].code, 0, "job %d", static_cast<int>(n));
  }
  cr_expect(cell.engine().store().FindJob(5)->over_rate());
  cr_expect_not(cell.engine().store().FindJob(1)->over_rate());
  const auto filler = id++;
  cell.Submit(filler, "a", MakeJob(80, 1'000, 2'000), "key of second");
  cell.Run(100);
  cell.Submit(id, "a", MakeJob(1, 1'000, 2'000), "key of first");
  cell.Run(100);
  cr_expect_eq(cell.jobs[filler].code, 0);
  cr_expect_eq(cell.jobs[id].code, static_cast<int>(ResultCode::kQueueFull));
  cr_expect_gt(cell.jobs[id].retry_after_ms, 0);
  cr_expect_leq(cell.jobs[id].retry_after_ms, 500);
}
