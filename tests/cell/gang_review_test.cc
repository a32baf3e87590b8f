// Tests of the assembly of gangs and of barred starts, written in a review.
#include <criterion/criterion.h>

#include <algorithm>
#include <string>

#include "cell_harness.h"
#include "worker_tracker.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr graph::JobId kGang = 1;
constexpr TaskKey kTask{7, 0, 0, 0};
constexpr std::int64_t kBornMs = 50;

HarnessOptions OptionsFor(std::int32_t workers) {
  return {.workers = workers, .commit_ms = 15, .check = workers < 100};
}

void StartCell(CellHarness& cell) {
  cell.Run(200);
  auto queue = MakeQueue("a", 1);
  queue.latency_target_ms = 60'000;
  cell.Publish({queue});
  cell.Run(200);
}

void SubmitGang(CellHarness& cell, std::int32_t members) {
  auto gang = MakeJob(members, cell.workers[0].record.milli_cpus, 500);
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

WorkerReply MakeReply(WorkerAnswer answer, std::int64_t clock_ms) {
  WorkerReply reply;
  reply.answer = answer;
  reply.clock_ms = clock_ms;
  reply.born_ms = kBornMs;
  return reply;
}

template <typename Order>
SentOrder LastOrder(const WorkerTrackerOutput& out) {
  for (auto it = out.orders.rbegin(); it != out.orders.rend(); ++it) {
    if (std::holds_alternative<Order>(it->order)) {
      return *it;
    }
  }
  cr_assert_fail("no such order was sent");
}

// Returns a tracker with one worker at which a hold waits since 1,004.
WorkerTracker MakeTracker(SentOrder& hold) {
  WorkerTracker tracker({.term = 3}, 1'000);
  wire::CalledWorker worker;
  worker.id = "w";
  worker.address = "127.0.0.1:1";
  worker.born_ms = kBornMs;
  worker.milli_cpus = 8'000;
  worker.memory_mb = 8'000;
  tracker.Register(1, worker, 1'000);
  WorkerTrackerOutput out;
  tracker.Advance(1'000, out);
  tracker.OnReply(LastOrder<HoldOrder>(out), 1'000,
                  MakeReply(WorkerAnswer::kDone, 1'000), 1'002, out);
  out = {};
  tracker.Advance(1'004, out);
  hold = LastOrder<HoldOrder>(out);
  cr_assert_gt(std::get<HoldOrder>(hold.order).wait.count(), 0);
  return tracker;
}

SentOrder SendStart(WorkerTracker& tracker, std::int64_t now_ms) {
  tracker.Reserve(1, kTask, 1, {1'000, 100, 0}, 500);
  StartOrder order;
  order.task = kTask;
  order.run = 1;
  WorkerTrackerOutput out;
  tracker.SendStart(1, kTask, 1, order, now_ms, out);
  return LastOrder<StartOrder>(out);
}

}  // namespace

// Guards against members that wait for one whose worker crashed after it had
// confirmed the start.
Test(gang_review, stops_the_members_that_wait_for_a_crashed_worker) {
  CellHarness cell(OptionsFor(4));
  StartCell(cell);
  cell.crash_after_ms = 0;
  cell.crash_down_ms = 8'000;
  cell.crashes_worker = [&](const graph::TaskKey& task) {
    return task.index == 1 && cell.crashes_by_task[task] == 0;
  };
  SubmitGang(cell, 4);
  RunUntilCompleted(cell, 40'000);
  cr_expect_eq(cell.alone_ends, 0, "%ld members waited until the timeout",
               static_cast<long>(cell.alone_ends));
}

// Guards against a gang at work that is stopped because the outcome of one
// start was not reported, although the worker would list the run.
Test(gang_review,
     does_not_stop_a_gang_at_work_for_an_unreported_start,
     .timeout = 100) {
  for (std::int64_t wait_ms = 0; wait_ms < 2'000; wait_ms += 80) {
    CellHarness cell(OptionsFor(160));
    StartCell(cell);
    cell.Run(wait_ms);
    cell.workers[1].loses_start_outcomes = true;
    auto gang = MakeJob(160, cell.workers[0].record.milli_cpus, 5'000);
    gang.steps[0].gang = true;
    cell.Submit(kGang, "a", gang);
    cell.Run(4'500);
    cr_expect_eq(cell.starts, 160, "after %ld ms: %ld members were started",
                 static_cast<long>(wait_ms), static_cast<long>(cell.starts));
  }
}

// Guards against members that wait until the timeout because one of them, which
// resumes from a checkpoint, lists the progress that it had before.
Test(gang_review, stops_the_members_that_wait_with_earlier_progress) {
  auto options = OptionsFor(4);
  options.resumed_percent = 40;
  CellHarness cell(options);
  StartCell(cell);
  SubmitGang(cell, 4);
  cell.workers[1].loses_starts_until_ms = cell.now_ms() + 500;
  const auto no_member_is_left = [&] {
    return cell.starts == 3 &&
           std::all_of(cell.workers.begin(), cell.workers.end(),
                       [](const auto& it) { return it.runs.empty(); });
  };
  for (int n = 0; n < 3'000 && !no_member_is_left(); ++n) {
    cell.Run(1);
  }
  cr_assert(no_member_is_left());
  // The second run resumes from the checkpoint of the first.
  cell.workers[1].loses_starts_until_ms = cell.now_ms() + 3'000;
  cell.Run(100);
  cell.workers[1].loses_stops_until_ms = cell.now_ms() + 3'000;
  RunUntilCompleted(cell, 30'000);
  cr_expect_eq(cell.alone_ends, 0, "%ld members waited until the timeout",
               static_cast<long>(cell.alone_ends));
}

// Guards against a gang that is restarted in vain on a worker that receives no
// starts, while another worker is idle.
Test(gang_review, starts_elsewhere_if_a_worker_does_not_answer_starts) {
  for (std::size_t bad = 0; bad < 5; ++bad) {
    CellHarness cell(OptionsFor(5));
    StartCell(cell);
    cell.workers[bad].loses_starts_until_ms = cell.now_ms() + 60'000;
    SubmitGang(cell, 4);
    RunUntilCompleted(cell, 10'000);
    constexpr std::int64_t kMaxStarts = 12;  // Of three runs.
    cr_expect_leq(cell.starts, kMaxStarts,
                  "worker %zu: %ld members were started", bad,
                  static_cast<long>(cell.starts));
  }
}

// Guards against a barred start that counts as lost, and then as a victim of
// the next crash of its worker.
Test(gang_review, start_that_a_stop_overtook_counts_as_not_started) {
  SentOrder hold;
  auto tracker = MakeTracker(hold);
  const auto start = SendStart(tracker, 1'010);
  tracker.StopTask(kTask, 0);
  WorkerTrackerOutput out;
  tracker.Advance(1'020, out);
  tracker.OnReply(LastOrder<StopOrder>(out), 1'020,
                  MakeReply(WorkerAnswer::kDone, 1'025), 1'030, out);
  tracker.OnReply(start, 1'010, MakeReply(WorkerAnswer::kStaleRun, 1'030),
                  1'035, out);
  tracker.OnReply(hold, 1'004, MakeReply(WorkerAnswer::kDone, 2'004), 2'009,
                  out);
  out = {};
  tracker.Advance(2'020, out);
  tracker.OnReply(LastOrder<HoldOrder>(out), 2'020,
                  MakeReply(WorkerAnswer::kDone, 2'025), 2'030, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].how, wire::RunEnd::kNotStarted);
}

// Guards against a late list for a start that was stopped before it was
// answered.
Test(gang_review, asks_for_a_list_when_a_start_on_its_way_is_barred) {
  SentOrder hold;
  auto tracker = MakeTracker(hold);
  SendStart(tracker, 1'010);
  tracker.StopTask(kTask, 0);
  WorkerTrackerOutput out;
  tracker.Advance(1'020, out);
  tracker.OnReply(LastOrder<StopOrder>(out), 1'020,
                  MakeReply(WorkerAnswer::kDone, 1'025), 1'030, out);
  out = {};
  tracker.Advance(1'040, out);
  const auto asks =
      std::any_of(out.orders.begin(), out.orders.end(), [](const auto& it) {
        const auto* next = std::get_if<HoldOrder>(&it.order);
        return next != nullptr && next->wait.count() == 0;
      });
  cr_expect(asks, "the list comes only after the hold that waits");
}

// Guards against a late list for a barred start if the worker's hold was just
// answered.
Test(gang_review, asks_for_a_list_after_ends_that_are_being_committed) {
  SentOrder hold;
  auto tracker = MakeTracker(hold);
  const auto start = SendStart(tracker, 1'010);
  WorkerTrackerOutput out;
  tracker.OnReply(start, 1'010, WorkerReply(), 2'010, out);
  out = {};
  tracker.Advance(2'012, out);
  const auto stop = LastOrder<StopOrder>(out);
  auto ends = MakeReply(WorkerAnswer::kDone, 2'010);
  EndedRow row;
  row.number = 1;
  row.task = {9, 0, 0, 0};
  row.run = 1;
  row.how = wire::RunEnd::kDone;
  ends.ended.push_back(row);
  tracker.OnReply(hold, 1'004, ends, 2'015, out);
  tracker.OnReply(stop, 2'012, MakeReply(WorkerAnswer::kDone, 2'017), 2'022,
                  out);
  tracker.AcknowledgeEnds(1, 1);
  out = {};
  tracker.Advance(2'030, out);
  const auto next = LastOrder<HoldOrder>(out);
  cr_expect_eq(std::get<HoldOrder>(next.order).wait.count(), 0,
               "the list comes only after a wait of %ld ms",
               static_cast<long>(std::get<HoldOrder>(next.order).wait.count()));
}

// Guards against a second run of a task whose start reached the next
// incarnation of its worker, after a change of the leader.
Test(gang_review,
     runs_once_if_a_start_reaches_the_next_incarnation,
     .timeout = 100) {
  for (const bool gang : {false, true}) {
    std::int32_t cases = 0;
    std::string first;
    for (std::int64_t submit_ms = 25; submit_ms < 50; submit_ms += 5) {
      for (std::int64_t change_ms = 25; change_ms < 60; ++change_ms) {
        auto options = OptionsFor(4);
        options.seed = static_cast<std::uint64_t>(submit_ms * 100 + change_ms);
        CellHarness cell(options);
        StartCell(cell);
        cell.Restart(cell.workers[0]);
        cell.Run(submit_ms);
        auto job = MakeJob(3, cell.workers[0].record.milli_cpus / 2, 2'000);
        job.steps[0].max_per_worker = 1;
        job.steps[0].gang = gang;
        cell.Submit(kGang, "a", job);
        cell.Run(change_ms);
        cell.ChangeLeader();
        cell.Run(1'000);
        if (!cell.violations.empty() && cases++ == 0) {
          first = cell.violations[0];
        }
      }
    }
    cr_expect_eq(cases, 0, "gang %d: %d cases, the first one: %s", gang ? 1 : 0,
                 cases, first.c_str());
  }
}
