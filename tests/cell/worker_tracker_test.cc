// What a leader concludes about runs from the answers of workers and from time.
#include <criterion/criterion.h>

#include "worker_tracker.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr TaskKey kTask{7, 0, 0, 0};

wire::CalledWorker MakeWorker(std::int64_t born_ms) {
  wire::CalledWorker worker;
  worker.id = "w";
  worker.address = "127.0.0.1:1";
  worker.born_ms = born_ms;
  worker.milli_cpus = 8'000;
  worker.memory_mb = 8'000;
  return worker;
}

WorkerReply Lists(std::int64_t clock_ms, std::int64_t born_ms) {
  WorkerReply reply;
  reply.answer = WorkerAnswer::kDone;
  reply.clock_ms = clock_ms;
  reply.born_ms = born_ms;
  return reply;
}

RunningRow Running(std::int32_t run) {
  RunningRow row;
  row.task = kTask;
  row.run = run;
  return row;
}

SentOrder LastHold(const WorkerTrackerOutput& out) {
  for (auto it = out.orders.rbegin(); it != out.orders.rend(); ++it) {
    if (std::holds_alternative<HoldOrder>(it->order)) {
      return *it;
    }
  }
  cr_assert_fail("no hold was sent");
}

const StopOrder* FindStop(const WorkerTrackerOutput& out) {
  for (const auto& it : out.orders) {
    if (const auto* stop = std::get_if<StopOrder>(&it.order)) {
      return stop;
    }
  }
  return nullptr;
}

// A book with one worker in step at `now_ms`.
WorkerTracker MakeBook(std::int64_t now_ms) {
  WorkerTracker book({.fence = 3}, now_ms);
  book.Register(1, MakeWorker(50), now_ms);
  WorkerTrackerOutput out;
  book.Advance(now_ms, out);
  book.OnReply(LastHold(out), now_ms, Lists(1'000, 50), now_ms, out);
  cr_assert(book.Find(1)->synced);
  return book;
}

// Sends a start; returns the order.
SentOrder SendStart(WorkerTracker& book, std::int64_t now_ms) {
  book.Reserve(1, kTask, 1, {1'000, 100, 0}, 500);
  StartOrder order;
  order.task = kTask;
  order.run = 1;
  WorkerTrackerOutput out;
  book.SendStart(1, kTask, 1, order, now_ms, out);
  cr_assert_eq(out.orders.size(), 1);
  return out.orders[0];
}

}  // namespace

// Guards against learning run times from runs whose start an earlier leader
// sent: the time since the takeover is shorter than the run.
Test(worker_tracker, does_not_measure_inherited_runs) {
  WorkerTracker book({.fence = 3}, 0);
  book.Register(1, MakeWorker(50), 0);
  WorkerTrackerOutput out;
  book.AddInheritedRun(1, kTask, 1, {1'000, 100, 0}, 500, 0, out);
  book.Advance(0, out);
  auto lists = Lists(1'000, 50);
  lists.running.push_back(Running(1));
  book.OnReply(LastHold(out), 0, lists, 10, out);
  out = {};
  book.Advance(20, out);
  auto ended = Lists(1'100, 50);
  EndedRow row;
  row.number = 1;
  row.task = kTask;
  row.run = 1;
  row.how = wire::RunEnd::kDone;
  ended.ended.push_back(row);
  book.OnReply(LastHold(out), 20, ended, 100, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].run_ms, 0);
}

// Guards against a second run while a start that was not answered may still be
// carried out: it is barred first, and a list after that settles it.
Test(worker_tracker, bars_a_start_that_was_not_answered) {
  auto book = MakeBook(100);
  const auto start = SendStart(book, 200);
  WorkerTrackerOutput out;
  book.OnReply(start, 200, WorkerReply(), 1'200, out);
  cr_expect(out.finished.empty());
  book.Advance(2'000, out);
  cr_assert_not_null(FindStop(out));
  SentOrder stop;
  for (const auto& it : out.orders) {
    if (std::holds_alternative<StopOrder>(it.order)) {
      stop = it;
    }
  }
  cr_expect(stop.fresh_connection);
  const auto early_hold = LastHold(out);
  // The list was asked for before the stop was answered: it settles nothing.
  book.OnReply(stop, 2'000, Lists(3'000, 50), 2'020, out);
  book.OnReply(early_hold, 2'000, Lists(3'010, 50), 2'030, out);
  cr_expect(out.finished.empty());
  out = {};
  book.Advance(2'040, out);
  book.OnReply(LastHold(out), 2'040, Lists(3'100, 50), 2'060, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].how, wire::RunEnd::kNotStarted);
}

// Guards against giving up a silent worker's runs before its lease is over on
// a clock that is 2% slow, and against never giving them up.
Test(worker_tracker, waits_for_the_whole_lease_of_a_silent_worker) {
  auto book = MakeBook(100);
  const auto start = SendStart(book, 200);
  WorkerTrackerOutput out;
  book.OnReply(start, 200, Lists(1'110, 50), 210, out);
  book.Advance(220, out);
  const auto granted_ms = std::int64_t{220};
  for (std::int64_t now = 300; now < granted_ms + 5'100; now += 50) {
    WorkerTrackerOutput turn;
    book.Advance(now, turn);
    for (const auto& it : turn.orders) {
      book.OnReply(it, now, WorkerReply(), now, turn);
    }
    cr_assert(turn.finished.empty());
  }
  WorkerTrackerOutput late;
  book.Advance(granted_ms + 6'000, late);
  cr_assert_eq(late.finished.size(), 1);
  cr_expect_eq(late.finished[0].how, wire::RunEnd::kLost);
}

// Guards against a run that nobody asked for: it is stopped and takes room
// until it is gone.
Test(worker_tracker, stops_runs_that_nobody_asked_for) {
  auto book = MakeBook(100);
  WorkerTrackerOutput out;
  book.Advance(110, out);
  auto lists = Lists(1'100, 50);
  lists.running.push_back(Running(9));
  book.OnReply(LastHold(out), 110, lists, 130, out);
  out = {};
  book.Advance(900, out);
  cr_assert_not_null(FindStop(out));
  cr_expect_eq(FindStop(out)->run, 9);
  cr_expect_eq(book.Find(1)->runs.size(), 1);
}

// Guards against losing runs, or running them twice, when a worker starts again
// under its id: what the new life shows decides.
Test(worker_tracker, settles_runs_by_what_a_new_life_shows) {
  auto book = MakeBook(100);
  const auto start = SendStart(book, 200);
  WorkerTrackerOutput out;
  book.OnReply(start, 200, Lists(1'110, 50), 210, out);
  book.Register(2, MakeWorker(9'000), 400);
  out = {};
  book.Advance(400, out);
  book.OnReply(LastHold(out), 400, Lists(5, 9'000), 420, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].run, 1);
}

// Guards against a second run when a list and the confirmation of a start cross
// within one millisecond: the worker made the list before it took the start.
Test(worker_tracker, a_list_of_the_same_millisecond_settles_nothing) {
  auto book = MakeBook(100);
  const auto start = SendStart(book, 200);
  WorkerTrackerOutput out;
  book.Advance(205, out);
  const auto hold = LastHold(out);
  book.OnReply(start, 200, Lists(1'105, 50), 205, out);
  book.OnReply(hold, 205, Lists(1'104, 50), 206, out);
  cr_expect(out.finished.empty());
  out = {};
  book.Advance(210, out);
  book.OnReply(LastHold(out), 210, Lists(1'111, 50), 212, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].how, wire::RunEnd::kLost);
}

// Guards against a negative run time in the log of a run whose lease ran out.
Test(worker_tracker, tells_how_long_a_lapsed_run_ran) {
  auto book = MakeBook(100);
  const auto start = SendStart(book, 200);
  WorkerTrackerOutput out;
  book.OnReply(start, 200, Lists(1'110, 50), 210, out);
  book.Advance(220, out);
  book.OnReply(LastHold(out), 220, WorkerReply(), 1'300, out);
  out = {};
  book.Advance(60'000, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].run_ms, 59'800);
}
