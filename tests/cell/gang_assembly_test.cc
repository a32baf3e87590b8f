// Tests that no member of a gang waits for the others until the worker gives
// up, whatever delays one of them, in virtual time.
#include <criterion/criterion.h>

#include "cell_harness.h"
#include "gang_assembly.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr std::int64_t kGangTimeoutMs = 3'000;
// A stop takes effect within this time.
constexpr std::int64_t kStopMs = 400;
constexpr graph::JobId kGang = 1;

void ExpectNoViolations(const CellHarness& cell) {
  for (const auto& it : cell.violations) {
    cr_expect_fail("%s", it.c_str());
  }
}

void ExpectStoppedInTime(const CellHarness& cell) {
  cr_expect_eq(cell.alone_ends, 0, "%ld members waited until the timeout",
               static_cast<long>(cell.alone_ends));
  cr_expect_leq(cell.longest_gang_wait_ms, kGangTimeoutMs - kStopMs,
                "a member waited for %ld ms",
                static_cast<long>(cell.longest_gang_wait_ms));
  ExpectNoViolations(cell);
}

HarnessOptions OptionsFor(std::int32_t workers) {
  return {.workers = workers,
          .commit_ms = 15,
          .gang_timeout_ms = kGangTimeoutMs,
          .check = workers < 100};
}

void StartCell(CellHarness& cell) {
  cell.Run(200);
  auto queue = MakeQueue("a", 1);
  queue.latency_target_ms = 60'000;
  cell.Publish({queue});
  cell.Run(200);
}

// One task on each worker.
void SubmitGang(CellHarness& cell) {
  auto gang = MakeJob(static_cast<std::int32_t>(cell.workers.size()),
                      cell.workers[0].record.milli_cpus, 500);
  gang.steps[0].gang = true;
  cell.Submit(kGang, "a", gang);
}

void RunUntilCompleted(CellHarness& cell, std::int64_t limit_ms) {
  const auto end_ms = cell.now_ms() + limit_ms;
  while (cell.StateOf(kGang) != wire::GraphJobState::kCompleted &&
         cell.now_ms() < end_ms) {
    cell.Run(10);
  }
  cr_expect(cell.StateOf(kGang) == wire::GraphJobState::kCompleted,
            "the gang is not completed");
}

void RunWithLostOrders(std::int32_t workers,
                       std::int64_t starts_ms,
                       std::int64_t stops_ms) {
  CellHarness cell(OptionsFor(workers));
  StartCell(cell);
  SubmitGang(cell);
  cell.workers[1].loses_starts_until_ms = cell.now_ms() + starts_ms;
  cell.workers[1].loses_stops_until_ms = cell.now_ms() + stops_ms;
  RunUntilCompleted(cell, 30'000);
  ExpectStoppedInTime(cell);
}

}  // namespace

// Guards against members that wait for one whose start was lost.
Test(gang_assembly, stops_the_members_that_wait_for_a_lost_start) {
  constexpr std::int64_t kFirstStartMs = 500;
  RunWithLostOrders(4, kFirstStartMs, 0);
}

// Guards against the same in a large cell, whose holds wait for longer.
Test(gang_assembly,
     stops_the_members_that_wait_for_a_lost_start_in_a_large_cell,
     .timeout = 100) {
  constexpr std::int64_t kFirstStartMs = 500;
  RunWithLostOrders(160, kFirstStartMs, 0);
}

// Guards against members that wait until the missing one can be stopped.
Test(gang_assembly, stops_the_members_that_wait_for_an_unreachable_one) {
  for (const std::int64_t lost_ms : {1'500, 3'000, 8'000}) {
    RunWithLostOrders(4, lost_ms, lost_ms);
  }
}

// Guards against members that wait for one whose start got no outcome at all.
Test(gang_assembly, stops_the_members_that_wait_for_an_unreported_start) {
  CellHarness cell(OptionsFor(4));
  StartCell(cell);
  cell.workers[1].loses_orders = true;
  SubmitGang(cell);
  cell.Run(2'000);
  cell.workers[1].loses_orders = false;
  RunUntilCompleted(cell, 30'000);
  ExpectStoppedInTime(cell);
}

// Guards against a gang of which some members are started although it is known
// that another one cannot be.
Test(gang_assembly, starts_no_member_if_one_has_no_room_any_more) {
  auto options = OptionsFor(4);
  options.commit_ms = 200;
  CellHarness cell(options);
  StartCell(cell);
  cell.Run(500);
  SubmitGang(cell);
  cell.Run(300);
  cr_assert_eq(cell.starts, 0);
  const auto full = cell.workers[3].record;
  cell.SetCapacity(3, full.milli_cpus / 2, full.memory_mb);
  cell.Run(1'000);
  cr_expect_eq(cell.starts, 0, "%ld members were started",
               static_cast<long>(cell.starts));
  cell.SetCapacity(3, full.milli_cpus, full.memory_mb);
  RunUntilCompleted(cell, 10'000);
  ExpectStoppedInTime(cell);
}

// Guards against a gang that starts again late because a worker is asked for
// its list only when its present hold has been answered.
Test(gang_assembly, starts_again_as_soon_as_a_lost_start_is_barred) {
  CellHarness cell(OptionsFor(4));
  StartCell(cell);
  SubmitGang(cell);
  const auto submitted_ms = cell.now_ms();
  cell.workers[1].loses_starts_until_ms = submitted_ms + 500;
  while (cell.starts < 7 && cell.now_ms() < submitted_ms + 10'000) {
    cell.Run(1);
  }
  // The answer time, a stop and some messages and commits, but no hold.
  constexpr std::int64_t kAnswerTimeoutMs = 1'000;
  constexpr std::int64_t kMessagesMs = 300;
  cr_expect_leq(cell.now_ms() - submitted_ms,
                kAnswerTimeoutMs + kStopMs + kMessagesMs,
                "the second start came after %ld ms",
                static_cast<long>(cell.now_ms() - submitted_ms));
  RunUntilCompleted(cell, 5'000);
  ExpectStoppedInTime(cell);
}

// Guards against members that wait for one whose end an earlier leader has
// committed, without stopping the others.
Test(gang_assembly, stops_the_members_of_a_gang_that_is_inherited_in_part) {
  for (std::int64_t change_ms = 0; change_ms < 120; ++change_ms) {
    auto options = OptionsFor(4);
    options.seed = static_cast<std::uint64_t>(change_ms) + 1;
    CellHarness cell(options);
    StartCell(cell);
    SubmitGang(cell);
    cell.Run(20);
    cell.Crash(cell.workers[1]);
    cell.Run(change_ms);
    cell.ChangeLeader();
    cell.Run(4'000);
    cell.Restart(cell.workers[1]);
    RunUntilCompleted(cell, 30'000);
    ExpectStoppedInTime(cell);
  }
}

// Guards against a gang at work that is stopped because one of its workers
// answers a new leader late.
Test(gang_assembly, lets_an_inherited_gang_work) {
  static constexpr std::int64_t kWorkMs = 9'000;
  CellHarness cell(OptionsFor(4));
  StartCell(cell);
  cell.run_time = [](const auto&, std::int64_t) { return kWorkMs; };
  SubmitGang(cell);
  cell.Run(2'000);
  cr_assert_eq(cell.starts, 4);
  cell.ChangeLeader();
  cell.workers[1].silent = true;
  cell.Run(2'500);
  cell.workers[1].silent = false;
  RunUntilCompleted(cell, kWorkMs);
  cr_expect_eq(cell.starts, 4, "%ld starts", static_cast<long>(cell.starts));
  ExpectNoViolations(cell);
}

// Guards against starts that are refused because their tickets expired while
// they were being committed.
Test(gang_assembly, sends_no_start_whose_ticket_has_expired) {
  auto options = OptionsFor(4);
  options.commit_ms = 1'000;
  CellHarness cell(options);
  cell.Run(5'000);
  auto queue = MakeQueue("a", 1);
  queue.latency_target_ms = 60'000;
  queue.needs_advice = true;
  queue.advice.base_ms = 10;
  queue.advice.per_worker_ms = 0.1;
  queue.advice.ticket_valid_ms = 500;
  cell.Publish({queue});
  cell.Run(5'000);
  SubmitGang(cell);
  cell.Run(10'000);
  cr_expect(cell.StateOf(kGang) != std::nullopt);
  cr_expect_eq(cell.starts, 0, "%ld starts were sent",
               static_cast<long>(cell.starts));
}

// Guards against following a gang for longer than until it is complete, has
// ended or is overdue.
Test(gang_assembly, forgets_a_gang_once_it_is_complete_ended_or_overdue) {
  const GangRun gang{{7, 0, 0}, 1};
  const auto member = [](std::int32_t n) { return graph::TaskKey{7, 0, 0, n}; };
  GangAssembly assembly(1'600);

  assembly.Begin(gang, 2, 1'000);
  assembly.OnMemberStarted(member(0), 1);
  assembly.OnMemberStarted(member(1), 1);
  cr_expect(assembly.TakeOverdue(10'000).empty());

  assembly.Begin(gang, 2, 10'000);
  assembly.OnMemberStarted(member(0), 1);
  // Another run of the same task.
  assembly.OnMemberStarted(member(1), 2);
  cr_expect(assembly.TakeOverdue(11'599).empty());
  const auto overdue = assembly.TakeOverdue(11'600);
  cr_assert_eq(overdue.size(), 1);
  const IncompleteGang expected{gang, {1}, 10'000};
  cr_expect(overdue[0] == expected);
  cr_expect(assembly.TakeOverdue(20'000).empty());

  // Beginning anew moves the deadline.
  assembly.Begin(gang, 2, 19'000);
  assembly.Begin(gang, 2, 20'000);
  cr_expect(assembly.TakeOverdue(21'000).empty());
  cr_expect(assembly.Abandon(member(1), 1).has_value());
  cr_expect_not(assembly.Abandon(member(0), 1).has_value());
  assembly.Begin(gang, 2, 20'000);
  assembly.OnProgress(member(0), 1);
  cr_expect(assembly.TakeOverdue(30'000).empty());
}
