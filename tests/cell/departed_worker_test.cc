// Tests that the leader forgets workers that have left or were replaced, and
// gives up what was about to start on them.
#include <criterion/criterion.h>

#include <algorithm>

#include "cell_harness.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr std::int64_t kCommitMs = 15;

void StartCell(CellHarness& cell) {
  cell.Run(200);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
}

// The worker says that it leaves, and goes on.
void Leave(CellHarness& cell, FakeWorker& worker, bool cut_off) {
  cell.Deregister(worker);
  worker.silent = cut_off;
  worker.leaves = true;
}

void ExpectCompleted(CellHarness& cell, graph::JobId id) {
  cr_assert_eq(cell.jobs[id].code, 0);
  cr_expect(cell.StateOf(id) == wire::GraphJobState::kCompleted);
  for (const auto& it : cell.violations) {
    cr_expect_fail("%s", it.c_str());
  }
}

}  // namespace

// Guards against a crash of the leader: it placed tasks on an idle worker after
// that worker's departure was committed.
Test(departed_worker, gets_no_tasks_after_it_has_left) {
  CellHarness cell({.workers = 2});
  StartCell(cell);
  cell.Depart(cell.workers[0]);
  cell.Run(kCommitMs + 5);
  cell.Submit(1, "a", MakeJob(4, 16'000, 100));
  cell.Run(1'000);
  ExpectCompleted(cell, 1);
}

// Guards against a job that waits for a new leader: a departure is committed
// before a start on that worker, whose run nobody then ends.
Test(departed_worker, gives_up_starts_that_were_being_committed) {
  std::int64_t unsent_starts = 0;
  for (std::int64_t wait_ms = 0; wait_ms <= 3 * kCommitMs; ++wait_ms) {
    CellHarness cell({.workers = 1, .commit_ms = kCommitMs});
    StartCell(cell);
    cell.Submit(1, "a", MakeJob(4, 8'000, 100));
    cell.Run(wait_ms);
    cell.Depart(cell.workers[0]);
    cell.Run(200);
    cell.Restart(cell.workers[0]);
    cell.Run(3'000);
    ExpectCompleted(cell, 1);
    unsent_starts +=
        cell.metrics()
            .Counter(
                "starts_not_sent_total{reason=\"worker is not usable "
                "any more\"}")
            .load();
  }
  cr_expect_gt(unsent_starts, 0);
}

// Guards against a task that runs twice: a start is sent to a worker whose
// departure is being committed, and reaches the next incarnation, which the
// leader doesn't know yet.
Test(departed_worker, gets_no_starts_while_its_departure_is_committed) {
  constexpr std::int64_t kSlowCommitMs = 100;
  for (std::int64_t wait_ms = 110; wait_ms <= 150; wait_ms += 5) {
    CellHarness cell({.workers = 2, .commit_ms = kSlowCommitMs});
    cell.Run(1'000);
    StartCell(cell);
    cell.Submit(1, "a", MakeJob(3, 16'000, 2'000));
    cell.Run(wait_ms);
    cell.Depart(cell.workers[0]);
    cell.Restart(cell.workers[0]);
    cell.Run(8'000);
    ExpectCompleted(cell, 1);
    cr_expect_eq(cell.starts, 3);
  }
}

// Guards against a task that runs twice: a start reaches the next incarnation
// of its worker, and the leader changes once that one is registered.
Test(departed_worker, keeps_its_runs_if_the_leader_changes_after_its_return) {
  constexpr std::int64_t kRestartMs = 50;
  std::int64_t kept_runs = 0;
  for (std::int64_t submit_ms = kRestartMs - 40; submit_ms <= kRestartMs;
       submit_ms += 5) {
    for (std::int64_t change_ms = kCommitMs; change_ms <= 4 * kCommitMs;
         ++change_ms) {
      CellHarness cell({.workers = 2, .commit_ms = kCommitMs});
      StartCell(cell);
      cell.Restart(cell.workers[0]);
      cell.Run(submit_ms);
      cell.Submit(1, "a", MakeJob(2, 16'000, 300));
      cell.Run(change_ms);
      const bool runs_there = !cell.workers[0].runs.empty();
      cell.ChangeLeader();
      cell.Run(5'000);
      if (cell.jobs[1].code == 0) {
        ExpectCompleted(cell, 1);
        kept_runs += runs_there && cell.starts == 2 ? 1 : 0;
      }
    }
  }
  cr_expect_gt(kept_runs, 0);
}

// Guards against a task that runs twice: a start is on its way when its worker
// leaves, and reaches the next incarnation after the run was ended.
Test(departed_worker, runs_nothing_that_was_sent_before_it_left) {
  constexpr std::int64_t kNetworkMs = 100;
  for (std::int64_t wait_ms = 20; wait_ms <= 120; wait_ms += 5) {
    CellHarness cell({.workers = 2, .network_ms = kNetworkMs});
    cell.Run(1'000);
    StartCell(cell);
    cell.Submit(1, "a", MakeJob(2, 16'000, 500));
    cell.Run(wait_ms);
    cell.Depart(cell.workers[0]);
    cell.Restart(cell.workers[0]);
    cell.Run(20'000);
    ExpectCompleted(cell, 1);
  }
}

// Guards against the same if the leader changes between the departure and the
// next incarnation: the new leader knows the worker only from the state.
Test(departed_worker, runs_nothing_twice_if_the_leader_changes_meanwhile) {
  constexpr std::int64_t kNetworkMs = 100;
  for (std::int64_t wait_ms = 20; wait_ms <= 120; wait_ms += 5) {
    CellHarness cell({.workers = 2, .network_ms = kNetworkMs});
    cell.Run(1'000);
    StartCell(cell);
    cell.Submit(1, "a", MakeJob(2, 16'000, 500));
    cell.Run(wait_ms);
    cell.Depart(cell.workers[0]);
    cell.Run(kCommitMs + 5);
    cell.ChangeLeader();
    cell.Restart(cell.workers[0]);
    cell.Run(20'000);
    ExpectCompleted(cell, 1);
  }
}

// Guards against the same if the next incarnation is cut off before its report:
// it grants the longest lease to a start on the former clock.
Test(departed_worker, runs_nothing_twice_if_it_is_cut_off_after_its_return) {
  constexpr std::int64_t kNetworkMs = 100;
  for (std::int64_t wait_ms = 20; wait_ms <= 120; wait_ms += 5) {
    CellHarness cell({.workers = 2, .network_ms = kNetworkMs});
    cell.Run(1'000);
    StartCell(cell);
    cell.Submit(1, "a", MakeJob(2, 16'000, 15'000));
    cell.Run(wait_ms);
    auto& worker = cell.workers[0];
    cell.Depart(worker);
    worker.gone = false;
    cell.RestartAtOnce(worker);
    cell.Run(kNetworkMs);
    worker.silent = true;
    cell.Run(20'000);
    worker.silent = false;
    cell.Run(40'000);
    ExpectCompleted(cell, 1);
  }
}

// Guards against two tasks of a step on one worker: a start reaches the next
// incarnation of a worker that has left, stops of it are lost, and another task
// of the step starts beside it.
Test(departed_worker, keeps_the_limit_of_a_step_after_its_return) {
  constexpr std::int64_t kNetworkMs = 100;
  for (std::int64_t wait_ms = 20; wait_ms <= 120; wait_ms += 5) {
    CellHarness cell({.workers = 2, .network_ms = kNetworkMs});
    cell.Run(1'000);
    StartCell(cell);
    auto job = MakeJob(6, 4'000, 6'000);
    job.steps[0].max_per_worker = 1;
    cell.Submit(1, "a", job);
    cell.Run(wait_ms);
    auto& worker = cell.workers[0];
    cell.Depart(worker);
    worker.gone = false;
    cell.RestartAtOnce(worker);
    worker.loses_stops_until_ms = cell.now_ms() + 5'000;
    cell.Run(40'000);
    ExpectCompleted(cell, 1);
  }
}

// Guards against a task that runs twice: the acknowledgement of a departure is
// lost, and the worker goes on for seconds, cut off or not, before it ends.
Test(departed_worker, runs_nothing_twice_while_it_goes_on) {
  for (const bool cut_off : {true, false}) {
    for (std::int64_t ends_ms = 50; ends_ms <= 4'000; ends_ms += 350) {
      CellHarness cell({.workers = 6});
      auto& worker = FillFourWorkers(cell, 12'000);
      Leave(cell, worker, cut_off);
      cell.Run(ends_ms);
      cell.Crash(worker);
      cell.Run(40'000);
      ExpectCompleted(cell, 1);
    }
  }
}

// Guards against the same if the leader changes before or after the departure
// is committed.
Test(departed_worker, runs_nothing_twice_while_it_goes_on_and_leaders_change) {
  for (std::int64_t change_ms = 0; change_ms <= 3'000; change_ms += 190) {
    CellHarness cell({.workers = 6});
    auto& worker = FillFourWorkers(cell, 12'000);
    Leave(cell, worker, true);
    cell.Run(change_ms);
    cell.ChangeLeader();
    cell.Run(3'500 - change_ms);
    cell.Crash(worker);
    cell.Run(40'000);
    ExpectCompleted(cell, 1);
  }
}

// Guards against a task that runs twice, or is interrupted, because somebody
// else has deregistered its worker, which goes on and reports again.
Test(departed_worker, keeps_its_runs_if_it_did_not_leave) {
  for (std::int64_t wait_ms = 0; wait_ms < 1'500; wait_ms += 130) {
    CellHarness cell({.workers = 6});
    const auto& worker = FillFourWorkers(cell, 8'000);
    cell.Run(wait_ms);
    cell.Deregister(worker);
    cell.Run(20'000);
    ExpectCompleted(cell, 1);
    cr_expect_eq(cell.starts, 8);
  }
}

// Guards against members of a gang that start again while one of the former run
// is still at work on a worker that leaves.
Test(departed_worker, starts_no_gang_again_while_a_member_goes_on) {
  for (std::int64_t ends_ms = 50; ends_ms <= 4'000; ends_ms += 350) {
    CellHarness cell({.workers = 4});
    StartCell(cell);
    auto job = MakeJob(3, 20'000, 9'000);
    job.steps[0].gang = true;
    cell.Submit(1, "a", job);
    cell.Run(2'000);
    auto& worker =
        *std::find_if(cell.workers.begin(), cell.workers.end(),
                      [](const auto& it) { return !it.runs.empty(); });
    cell.Deregister(worker);
    worker.silent = true;
    worker.leaves = true;
    cell.Run(ends_ms);
    cell.Crash(worker);
    cell.Run(50'000);
    ExpectCompleted(cell, 1);
  }
}

// Guards against a cancelled task that goes on because its worker has left and
// has not ended yet.
Test(departed_worker, stops_cancelled_runs_while_it_goes_on) {
  constexpr std::int64_t kStoppedMs = 1'000;
  for (const std::int64_t wait_ms : {0, 10, 300, 1'000, 2'000}) {
    CellHarness cell({.workers = 1});
    StartCell(cell);
    cell.Submit(1, "a", MakeJob(2, 8'000, 30'000));
    cell.Run(2'000);
    auto& worker = cell.workers[0];
    cr_assert_eq(worker.runs.size(), 2);
    Leave(cell, worker, false);
    cell.Run(wait_ms);
    cell.Cancel(1, "a");
    cell.Run(kStoppedMs);
    cr_expect(worker.runs.empty(), "%d", static_cast<int>(wait_ms));
  }
}

namespace {

// Returns the longest time from the departure of a worker with two tasks until
// both run elsewhere.
std::int64_t TimeToStartAgain(OpenCalls open_calls, bool host_answers) {
  constexpr std::int64_t kMaxMs = 30'000;
  std::int64_t longest_ms = 0;
  for (std::int64_t wait_ms = 0; wait_ms < 1'000; wait_ms += 90) {
    CellHarness cell({.workers = 6});
    auto& worker = FillFourWorkers(cell, 40'000);
    cell.Run(wait_ms);
    const auto left_ms = cell.now_ms();
    cell.Depart(worker, open_calls);
    worker.silent = !host_answers;
    while (cell.starts < 10 && cell.now_ms() - left_ms < kMaxMs) {
      cell.Run(1);
    }
    longest_ms = std::max(longest_ms, cell.now_ms() - left_ms);
    for (const auto& it : cell.violations) {
      cr_expect_fail("%s", it.c_str());
    }
  }
  return longest_ms;
}

}  // namespace

// Guards against tasks that wait for the end of a lease although their worker
// has left and its host shows that its process has ended.
Test(departed_worker, has_its_tasks_started_again_at_once_if_it_has_ended) {
  // Urgent work starts within this time.
  constexpr std::int64_t kUrgentStartMs = 1'100;
  const auto ms = TimeToStartAgain(OpenCalls::kReset, true);
  cr_log_info("started again after %d ms", static_cast<int>(ms));
  cr_expect_leq(ms, kUrgentStartMs);
}

// Guards against tasks that wait for longer than any lease if the host of a
// worker that has left answers nothing.
Test(departed_worker, has_its_tasks_started_again_after_its_lease) {
  // The longest lease on a clock that is 2% slow.
  constexpr std::int64_t kMaxLeaseMs = 10'200;
  const auto ms = TimeToStartAgain(OpenCalls::kDark, false);
  cr_log_info("started again after %d ms", static_cast<int>(ms));
  cr_expect_leq(ms, kMaxLeaseMs);
}

// Guards against a task that waits for ever for a worker that never returns.
Test(departed_worker, gives_up_its_starts_if_it_does_not_return) {
  constexpr std::int64_t kNetworkMs = 100;
  for (std::int64_t wait_ms = 20; wait_ms <= 120; wait_ms += 5) {
    CellHarness cell({.workers = 2, .network_ms = kNetworkMs});
    cell.Run(1'000);
    StartCell(cell);
    cell.Submit(1, "a", MakeJob(2, 16'000, 500));
    cell.Run(wait_ms);
    cell.Depart(cell.workers[0]);
    cell.Run(10'000);
    ExpectCompleted(cell, 1);
  }
}

// Guards against the same after the worker was registered as a new incarnation.
Test(departed_worker, gets_no_tasks_after_it_was_replaced) {
  CellHarness cell({.workers = 2});
  StartCell(cell);
  cell.Restart(cell.workers[0]);
  cell.Run(kCommitMs + 5);
  cell.Submit(1, "a", MakeJob(6, 16'000, 100));
  cell.Run(1'000);
  ExpectCompleted(cell, 1);
}
