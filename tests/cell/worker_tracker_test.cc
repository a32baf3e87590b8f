// Tests which runs a leader considers ended, from workers' replies and
// timeouts.
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

WorkerReply MakeHoldReply(std::int64_t clock_ms, std::int64_t born_ms) {
  WorkerReply reply;
  reply.answer = WorkerAnswer::kDone;
  reply.clock_ms = clock_ms;
  reply.born_ms = born_ms;
  return reply;
}

RunningRow MakeRunningRow(std::int32_t run) {
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

// Returns a tracker with one worker that was synchronized at `now_ms`.
WorkerTracker MakeTracker(std::int64_t now_ms) {
  WorkerTracker tracker({.term = 3}, now_ms);
  tracker.Register(1, MakeWorker(50), now_ms);
  WorkerTrackerOutput out;
  tracker.Advance(now_ms, out);
  tracker.OnReply(LastHold(out), now_ms, MakeHoldReply(1'000, 50), now_ms, out);
  cr_assert(tracker.Find(1)->synced);
  return tracker;
}

// Sends a start and returns its order.
SentOrder SendStart(WorkerTracker& tracker, std::int64_t now_ms) {
  tracker.Reserve(1, kTask, 1, {1'000, 100, 0}, 500);
  StartOrder order;
  order.task = kTask;
  order.run = 1;
  WorkerTrackerOutput out;
  tracker.SendStart(1, kTask, 1, order, now_ms, out);
  cr_assert_eq(out.orders.size(), 1);
  return out.orders[0];
}

}  // namespace

// Guards against learning run times from runs that an earlier leader started:
// the time since the takeover is shorter than the run.
Test(worker_tracker, does_not_measure_inherited_runs) {
  WorkerTracker tracker({.term = 3}, 0);
  tracker.Register(1, MakeWorker(50), 0);
  WorkerTrackerOutput out;
  tracker.AddInheritedRun(1, kTask, 1, {1'000, 100, 0}, 500, 0, out);
  tracker.Advance(0, out);
  auto hold_reply = MakeHoldReply(1'000, 50);
  hold_reply.running.push_back(MakeRunningRow(1));
  tracker.OnReply(LastHold(out), 0, hold_reply, 10, out);
  out = {};
  tracker.Advance(20, out);
  auto ended = MakeHoldReply(1'100, 50);
  EndedRow row;
  row.number = 1;
  row.task = kTask;
  row.run = 1;
  row.how = wire::RunEnd::kDone;
  ended.ended.push_back(row);
  tracker.OnReply(LastHold(out), 20, ended, 100, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].run_ms, 0);
}

// Guards against one row with a number far beyond the others: once that number
// is acknowledged, the worker discards all its later ends.
Test(worker_tracker, skips_ends_with_a_number_far_beyond_the_others) {
  constexpr std::int64_t kFirst = 5'000'000;
  for (const std::int64_t odd : {std::int64_t{1} << 52, kFirst * 10}) {
    for (const bool odd_is_first : {true, false}) {
      auto tracker = MakeTracker(100);
      SendStart(tracker, 150);
      WorkerTrackerOutput out;
      tracker.Advance(200, out);
      EndedRow row;
      row.task = {9, 0, 0, 0};
      row.run = 1;
      row.number = odd;
      auto reply = MakeHoldReply(1'100, 50);
      // A new leader sees the ends of a worker from any number on.
      EndedRow end = row;
      end.number = kFirst;
      end.task = kTask;
      end.how = wire::RunEnd::kDone;
      reply.ended = {odd_is_first ? row : end, odd_is_first ? end : row};
      tracker.OnReply(LastHold(out), 200, reply, 210, out);
      cr_assert_eq(out.finished.size(), 1);
      cr_expect(out.finished[0].task == kTask);
      cr_assert_eq(out.ends_to_acknowledge.size(), 1);
      cr_expect_eq(out.ends_to_acknowledge[0].second, kFirst);
    }
  }
}

// Guards against an odd number that is listed before the worker's first end.
Test(worker_tracker, skips_a_single_end_with_an_impossible_number) {
  auto tracker = MakeTracker(100);
  WorkerTrackerOutput out;
  tracker.Advance(200, out);
  EndedRow row;
  row.task = kTask;
  row.run = 1;
  row.number = std::int64_t{1} << 40;
  auto reply = MakeHoldReply(1'100, 50);
  reply.ended = {row};
  tracker.OnReply(LastHold(out), 200, reply, 210, out);
  cr_expect(out.finished.empty());
  cr_expect(out.ends_to_acknowledge.empty());
}

// Guards against a hold in each round trip to a worker that lists an end that
// cannot be read: it is never acknowledged, so the worker answers at once.
Test(worker_tracker, pauses_holds_while_an_end_cannot_be_read) {
  for (const bool unreadable : {true, false}) {
    auto tracker = MakeTracker(100);
    WorkerTrackerOutput out;
    tracker.Advance(200, out);
    auto reply = MakeHoldReply(1'100, 50);
    reply.unreadable_rows = unreadable ? 1 : 0;
    if (!unreadable) {
      EndedRow row;
      row.task = kTask;
      row.run = 1;
      row.number = std::int64_t{1} << 40;
      reply.ended = {row};
    }
    tracker.OnReply(LastHold(out), 200, reply, 210, out);
    out = {};
    tracker.Advance(220, out);
    cr_expect(out.orders.empty());
    tracker.Advance(210 + 500, out);
    cr_expect(std::holds_alternative<HoldOrder>(LastHold(out).order));
  }
}

// Guards against a second run while a start that was not answered may still be
// executed. The run is stopped first, and ends when a later list does not have
// it.
Test(worker_tracker, bars_a_start_that_was_not_answered) {
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  WorkerTrackerOutput out;
  tracker.OnReply(start, 200, WorkerReply(), 1'200, out);
  cr_expect(out.finished.empty());
  tracker.Advance(2'000, out);
  cr_assert_not_null(FindStop(out));
  SentOrder stop;
  for (const auto& it : out.orders) {
    if (std::holds_alternative<StopOrder>(it.order)) {
      stop = it;
    }
  }
  cr_expect(stop.fresh_connection);
  const auto early_hold = LastHold(out);
  // The hold was sent before the stop was answered, so its list does not end
  // the run.
  tracker.OnReply(stop, 2'000, MakeHoldReply(3'000, 50), 2'020, out);
  tracker.OnReply(early_hold, 2'000, MakeHoldReply(3'010, 50), 2'030, out);
  cr_expect(out.finished.empty());
  out = {};
  tracker.Advance(2'040, out);
  tracker.OnReply(LastHold(out), 2'040, MakeHoldReply(3'100, 50), 2'060, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].how, wire::RunEnd::kNotStarted);
}

// Guards against a worker that gets no further orders, and a start that stays
// open, because its address changed while they were on their way.
Test(worker_tracker, calls_a_worker_at_its_new_address) {
  auto tracker = MakeTracker(100);
  SendStart(tracker, 200);
  WorkerTrackerOutput out;
  tracker.Advance(210, out);
  const auto old_hold = LastHold(out);
  auto moved = MakeWorker(50);
  moved.address = "127.0.0.1:2";
  tracker.Register(1, moved, 300);
  tracker.OnReply(old_hold, 210, MakeHoldReply(1'200, 50), 310, out);
  out = {};
  tracker.Advance(1'000, out);
  cr_expect_str_eq(LastHold(out).worker.address.c_str(), "127.0.0.1:2");
  cr_expect_not_null(FindStop(out));
}

// Guards against a cancelled run that goes on because the reply to its start is
// lost: it is stopped without waiting for the reply, and the stop is repeated.
Test(worker_tracker, stops_a_run_whose_start_is_not_answered_yet) {
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  tracker.StopJob(kTask.job);
  int stops = 0;
  SentOrder hold;
  for (std::int64_t now = 201; now < 4'000; now += 10) {
    WorkerTrackerOutput out;
    tracker.Advance(now, out);
    stops += FindStop(out) != nullptr ? 1 : 0;
    if (now == 201) {
      cr_expect_eq(stops, 1);
      hold = LastHold(out);
    }
  }
  cr_expect_geq(stops, 3);
  // The worker barred the run before the start arrived, so no list has it.
  WorkerTrackerOutput out;
  tracker.OnReply(hold, 201, MakeHoldReply(4'900, 50), 3'995, out);
  WorkerReply refused;
  refused.answer = WorkerAnswer::kStaleRun;
  tracker.OnReply(start, 200, refused, 4'000, out);
  tracker.Advance(4'010, out);
  tracker.OnReply(LastHold(out), 4'010, MakeHoldReply(5'000, 50), 4'020, out);
  cr_expect_eq(out.finished.size(), 1);
}

// Guards against a run that goes on although the worker confirmed a stop, for
// instance because a delayed start was executed after a restart.
Test(worker_tracker, repeats_a_stop_that_had_no_effect) {
  auto tracker = MakeTracker(1'000);
  const auto start = SendStart(tracker, 1'200);
  WorkerTrackerOutput out;
  tracker.OnReply(start, 1'200, MakeHoldReply(1'210, 50), 1'210, out);
  tracker.StopJob(kTask.job);
  tracker.Advance(1'220, out);
  const auto stop = out.orders.front();
  cr_assert(std::holds_alternative<StopOrder>(stop.order));
  const auto first_hold = LastHold(out);
  tracker.OnReply(stop, 1'220, MakeHoldReply(1'230, 50), 1'230, out);
  tracker.OnReply(first_hold, 1'220, MakeHoldReply(1'240, 50), 1'240, out);
  out = {};
  tracker.Advance(3'000, out);
  cr_assert_null(FindStop(out));
  auto listed = MakeHoldReply(3'010, 50);
  listed.running.push_back(MakeRunningRow(1));
  tracker.OnReply(LastHold(out), 3'000, listed, 3'010, out);
  out = {};
  tracker.Advance(5'000, out);
  cr_assert_not_null(FindStop(out));
}

// Guards against ending the runs of a silent worker before its lease has
// expired on a clock that is 2% slow, and against never ending them.
Test(worker_tracker, waits_for_the_whole_lease_of_a_silent_worker) {
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  WorkerTrackerOutput out;
  tracker.OnReply(start, 200, MakeHoldReply(1'110, 50), 210, out);
  tracker.Advance(220, out);
  const auto granted_ms = std::int64_t{220};
  for (std::int64_t now = 300; now < granted_ms + 5'100; now += 50) {
    WorkerTrackerOutput turn;
    tracker.Advance(now, turn);
    for (const auto& it : turn.orders) {
      tracker.OnReply(it, now, WorkerReply(), now, turn);
    }
    cr_assert(turn.finished.empty());
    cr_assert_not(tracker.Find(1)->leases_expired);
  }
  WorkerTrackerOutput late;
  tracker.Advance(granted_ms + 6'000, late);
  cr_assert_eq(late.finished.size(), 1);
  cr_expect_eq(late.finished[0].how, wire::RunEnd::kLost);
}

// Guards against killing all runs of a worker that answers starts, because the
// replies to its holds were lost twice in a row.
Test(worker_tracker, renews_the_lease_of_a_worker_that_answers_other_orders) {
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  WorkerTrackerOutput out;
  tracker.Advance(210, out);
  const auto hold = LastHold(out);
  tracker.OnReply(start, 200, MakeHoldReply(1'110, 50), 1'000, out);
  tracker.OnReply(hold, 210, WorkerReply(), 2'300, out);
  out = {};
  tracker.Advance(2'700, out);
  const auto first_retry = LastHold(out);
  cr_expect_gt(std::get<HoldOrder>(first_retry.order).lease_until_ms, 0);
  // Nothing was answered since.
  tracker.OnReply(first_retry, 2'700, WorkerReply(), 3'700, out);
  out = {};
  tracker.Advance(5'000, out);
  cr_expect_eq(std::get<HoldOrder>(LastHold(out).order).lease_until_ms, 0);
}

// Guards against ignoring an unknown run. It is stopped, and takes capacity
// until it has ended.
Test(worker_tracker, stops_runs_that_nobody_asked_for) {
  auto tracker = MakeTracker(100);
  WorkerTrackerOutput out;
  tracker.Advance(110, out);
  auto hold_reply = MakeHoldReply(1'100, 50);
  hold_reply.running.push_back(MakeRunningRow(9));
  tracker.OnReply(LastHold(out), 110, hold_reply, 130, out);
  out = {};
  tracker.Advance(900, out);
  cr_assert_not_null(FindStop(out));
  cr_expect_eq(FindStop(out)->run, 9);
  cr_expect_eq(tracker.Find(1)->runs.size(), 1);
}

// Guards against losing runs, or running them twice, when a worker restarts
// under the same id. The runs that the new incarnation lists decide.
Test(worker_tracker, settles_runs_by_what_a_new_life_shows) {
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  WorkerTrackerOutput out;
  tracker.OnReply(start, 200, MakeHoldReply(1'110, 50), 210, out);
  tracker.Register(2, MakeWorker(9'000), 400);
  out = {};
  tracker.Advance(400, out);
  tracker.OnReply(LastHold(out), 400, MakeHoldReply(5, 9'000), 420, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].run, 1);
}

// Guards against a second run when a worker restarts long after a takeover,
// while a start is on its way that the new incarnation would accept.
Test(worker_tracker, bars_a_start_that_may_reach_a_new_incarnation) {
  auto tracker = MakeTracker(100);
  WorkerTrackerOutput out;
  tracker.Advance(20'000, out);
  tracker.OnReply(LastHold(out), 20'000, MakeHoldReply(21'000, 50), 20'010,
                  out);
  SendStart(tracker, 20'020);
  tracker.Register(2, MakeWorker(9'000), 20'100);
  out = {};
  tracker.Advance(20'110, out);
  cr_assert_not_null(FindStop(out));
  tracker.OnReply(LastHold(out), 20'110, MakeHoldReply(5, 9'000), 20'130, out);
  tracker.Advance(20'140, out);
  tracker.OnReply(LastHold(out), 20'140, MakeHoldReply(40, 9'000), 20'160, out);
  cr_expect(out.finished.empty());
}

// Guards against a second run when a hold is sent in the millisecond in which a
// start is confirmed: the worker made its list before it accepted the start.
Test(worker_tracker, a_list_of_the_same_millisecond_settles_nothing) {
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  WorkerTrackerOutput out;
  tracker.Advance(205, out);
  const auto hold = LastHold(out);
  tracker.OnReply(start, 200, MakeHoldReply(1'105, 50), 205, out);
  tracker.OnReply(hold, 205, MakeHoldReply(1'104, 50), 206, out);
  cr_expect(out.finished.empty());
  out = {};
  tracker.Advance(210, out);
  tracker.OnReply(LastHold(out), 210, MakeHoldReply(1'111, 50), 212, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].how, wire::RunEnd::kLost);
}

// Guards against a negative run time in the log of a run whose lease ran out.
Test(worker_tracker, tells_how_long_a_lapsed_run_ran) {
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  WorkerTrackerOutput out;
  tracker.OnReply(start, 200, MakeHoldReply(1'110, 50), 210, out);
  tracker.Advance(220, out);
  tracker.OnReply(LastHold(out), 220, WorkerReply(), 1'300, out);
  out = {};
  tracker.Advance(60'000, out);
  cr_assert_eq(out.finished.size(), 1);
  cr_expect_eq(out.finished[0].run_ms, 59'800);
}

// Guards against a run that never ends, because a worker refuses every hold:
// a refused hold renews no lease on the worker.
Test(worker_tracker, gives_up_runs_of_a_worker_that_refuses_holds) {
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  WorkerTrackerOutput out;
  tracker.OnReply(start, 200, MakeHoldReply(1'110, 50), 210, out);
  for (std::int64_t now = 220; now < 60'000; now += 10) {
    WorkerTrackerOutput sent;
    tracker.Advance(now, sent);
    out.finished.insert(out.finished.end(), sent.finished.begin(),
                        sent.finished.end());
    for (const auto& it : sent.orders) {
      WorkerReply refused;
      refused.answer = WorkerAnswer::kOverloaded;
      refused.clock_ms = now + 900;
      refused.born_ms = 50;
      tracker.OnReply(it, now, refused, now + 5, out);
    }
  }
  cr_expect_eq(out.finished.size(), 1);
}

// Guards against a task that waits for ever, because the worker that lost its
// lease can be reached again but lists a row that cannot be read.
Test(worker_tracker, gives_up_expired_runs_despite_unreadable_rows) {
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  WorkerTrackerOutput out;
  tracker.OnReply(start, 200, MakeHoldReply(1'110, 50), 210, out);
  for (std::int64_t now = 220; now < 60'000; now += 10) {
    WorkerTrackerOutput sent;
    tracker.Advance(now, sent);
    out.finished.insert(out.finished.end(), sent.finished.begin(),
                        sent.finished.end());
    tracker.OnReport(1, now, now + 900, now);
    for (const auto& it : sent.orders) {
      WorkerReply reply;
      if (now > 10'000) {
        reply = MakeHoldReply(now + 900, 50);
        reply.unreadable_rows = 1;
      }
      tracker.OnReply(it, now, reply, now + 5, out);
    }
  }
  cr_expect_eq(out.finished.size(), 1);
}

// Guards against repeating a task whose end is not on the first page of a
// worker's list.
Test(worker_tracker, reads_all_pages_of_ends_before_runs_count_as_lost) {
  constexpr std::int64_t kPageRows = 500;
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  WorkerTrackerOutput out;
  tracker.OnReply(start, 200, MakeHoldReply(1'110, 50), 210, out);
  tracker.Advance(300, out);
  auto reply = MakeHoldReply(1'210, 50);
  for (std::int64_t n = 1; n <= kPageRows; ++n) {
    EndedRow row;
    row.number = n;
    row.task = {9, 0, 0, static_cast<std::int32_t>(n)};
    row.run = 1;
    row.how = wire::RunEnd::kDone;
    reply.ended.push_back(row);
  }
  const auto hold = LastHold(out);
  out = {};
  tracker.OnReply(hold, 300, reply, 310, out);
  for (const auto& it : out.finished) {
    cr_expect(it.task != kTask);
  }
}

// Guards against repeating a task whose start was executed: a worker that got
// no stop refuses a run as old only if that run has ended there.
Test(worker_tracker, waits_for_the_end_of_a_run_that_was_refused_as_old) {
  auto tracker = MakeTracker(100);
  const auto start = SendStart(tracker, 200);
  WorkerTrackerOutput out;
  WorkerReply refused = MakeHoldReply(1'110, 50);
  refused.answer = WorkerAnswer::kStaleRun;
  tracker.OnReply(start, 200, refused, 210, out);
  cr_expect(out.finished.empty());
}

// Guards against a second run, because the previous incarnation confirmed a
// stop of a start that the new one may still execute.
Test(worker_tracker, ignores_a_stop_that_an_earlier_incarnation_confirmed) {
  auto tracker = MakeTracker(1'000);
  SendStart(tracker, 1'200);
  tracker.StopJob(kTask.job);
  WorkerTrackerOutput out;
  tracker.Advance(1'210, out);
  const auto stop = out.orders.front();
  cr_assert(std::holds_alternative<StopOrder>(stop.order));
  tracker.Register(2, MakeWorker(9'000), 1'300);
  tracker.OnReply(stop, 1'210, MakeHoldReply(1'400, 50), 1'400, out);
  out = {};
  tracker.Advance(1'500, out);
  tracker.OnReply(LastHold(out), 1'500, MakeHoldReply(5, 9'000), 1'510, out);
  cr_expect(out.finished.empty());
}

// Guards against the same if replies to stops don't name the incarnation.
Test(worker_tracker, ignores_a_stop_that_was_sent_to_an_earlier_incarnation) {
  auto tracker = MakeTracker(1'000);
  SendStart(tracker, 1'200);
  tracker.StopJob(kTask.job);
  WorkerTrackerOutput out;
  tracker.Advance(1'210, out);
  const auto stop = out.orders.front();
  tracker.Register(2, MakeWorker(9'000), 1'300);
  tracker.OnReply(stop, 1'210, MakeHoldReply(1'400, 0), 1'400, out);
  out = {};
  tracker.Advance(1'500, out);
  tracker.OnReply(LastHold(out), 1'500, MakeHoldReply(5, 9'000), 1'510, out);
  cr_expect(out.finished.empty());
}

// Guards against runs of a new incarnation that are given up because another
// worker was at its address before.
Test(worker_tracker, keeps_runs_if_another_worker_refused_a_former_order) {
  auto tracker = MakeTracker(1'000);
  const auto start = SendStart(tracker, 1'010);
  tracker.Register(2, MakeWorker(9'000), 1'300);
  WorkerReply other_worker;
  other_worker.answer = WorkerAnswer::kOtherWorker;
  WorkerTrackerOutput out;
  tracker.OnReply(start, 1'010, other_worker, 1'310, out);
  cr_expect(out.finished.empty());
}

// Guards against a service that runs twice: a new incarnation whose clock is
// far ahead answers a start, and all leases on the former clock seem to be
// over.
Test(worker_tracker, does_not_take_over_the_clock_of_another_incarnation) {
  constexpr std::int64_t kOtherClockMs = 5'000'000;
  auto tracker = MakeTracker(1'000);
  tracker.Reserve(1, kTask, 1, {1'000, 100, 0}, 500, true);
  WorkerTrackerOutput out;
  tracker.Advance(1'005, out);  // The hold waits.
  out = {};
  StartOrder order;
  order.task = kTask;
  order.run = 1;
  tracker.SendStart(1, kTask, 1, order, 1'010, out);
  const auto start = out.orders[0];
  tracker.OnReply(start, 1'010, MakeHoldReply(kOtherClockMs, 0), 1'020, out);
  tracker.Advance(1'100, out);
  cr_expect(out.finished.empty());
  cr_expect_not(tracker.Find(1)->leases_expired);
}

// Guards against holds without a pause to a worker that keeps no connection, so
// that its ends cannot be acknowledged.
Test(worker_tracker, pauses_holds_while_a_worker_repeats_its_ends) {
  auto tracker = MakeTracker(100);
  auto reply = MakeHoldReply(1'110, 50);
  reply.ended.push_back({1, kTask, 1, wire::RunEnd::kDone, ""});
  int holds = 0;
  for (std::int64_t now = 200; now < 1'200; now += 5) {
    WorkerTrackerOutput out;
    tracker.Advance(now, out);
    for (const auto& it : out.orders) {
      ++holds;
      tracker.OnReply(it, now, reply, now + 1, out);
    }
    for (const auto& [worker, number] : out.ends_to_acknowledge) {
      tracker.AcknowledgeEnds(worker, number);
    }
  }
  cr_expect_leq(holds, 10);
}

// Guards against orders for a former incarnation that the new one carries out
// late, and against a leader that steps down when one is refused.
Test(worker_tracker, bars_orders_for_a_former_incarnation) {
  auto tracker = MakeTracker(1'000);
  const auto start = SendStart(tracker, 1'010);
  tracker.Register(2, MakeWorker(9'000), 1'300);
  WorkerTrackerOutput out;
  tracker.Advance(1'310, out);
  const auto hold = LastHold(out);
  cr_expect_gt(std::get<HoldOrder>(hold.order).fence,
               std::get<StartOrder>(start.order).fence);
  tracker.OnReply(hold, 1'310, MakeHoldReply(5, 9'000), 1'320, out);
  WorkerReply refused;
  refused.answer = WorkerAnswer::kFenced;
  tracker.OnReply(start, 1'010, refused, 1'330, out);
  cr_expect_not(tracker.fenced());
  tracker.OnReply(hold, 1'310, refused, 1'340, out);
  cr_expect(tracker.fenced());
}

// Guards against a task that runs twice because the leader takes a lease for
// expired that a worker grants on the clock of a former incarnation.
Test(worker_tracker, expects_the_longest_lease_after_a_restart) {
  constexpr std::int64_t kSyncMs = 1'320;
  constexpr std::int64_t kLongestLeaseMs = 10'000;
  auto tracker = MakeTracker(1'000);
  tracker.Register(2, MakeWorker(9'000), 1'300);
  WorkerTrackerOutput out;
  tracker.Advance(1'310, out);
  tracker.OnReply(LastHold(out), 1'310, MakeHoldReply(5, 9'000), kSyncMs, out);
  for (std::int64_t now = 1'400; now < kSyncMs + kLongestLeaseMs; now += 50) {
    WorkerTrackerOutput turn;
    tracker.Advance(now, turn);
    for (const auto& it : turn.orders) {
      tracker.OnReply(it, now, WorkerReply(), now, turn);
    }
    cr_assert_not(tracker.Find(2)->leases_expired);
  }
}

// Guards against a run that stays open for ever, because its worker was removed
// while the start was being committed.
Test(worker_tracker, ends_a_committed_start_whose_worker_has_left) {
  auto tracker = MakeTracker(1'000);
  tracker.Reserve(1, kTask, 1, {1'000, 100, 0}, 500);
  WorkerTrackerOutput removal;
  tracker.Remove(1, 0, removal);
  WorkerTrackerOutput out;
  tracker.SendStart(1, kTask, 1, {}, 1'010, out);
  cr_expect(out.orders.empty());
  cr_assert_eq(out.finished.size(), 1);
  cr_expect(out.finished[0].task == kTask);
  cr_expect_eq(out.finished[0].run, 1);
  cr_expect_eq(out.finished[0].how, wire::RunEnd::kNotStarted);
  cr_expect(tracker.TakeEndedWorkers() == std::vector<WorkerNumber>(1, 1));
}

// Guards against a start that stays open because another incarnation of the
// worker has answered it.
Test(worker_tracker, bars_a_start_that_another_incarnation_answered) {
  for (const auto answer : {WorkerAnswer::kDone, WorkerAnswer::kNoCapacity}) {
    auto tracker = MakeTracker(1'000);
    const auto start = SendStart(tracker, 1'010);
    WorkerReply reply;
    reply.answer = answer;
    reply.born_ms = 60;
    WorkerTrackerOutput out;
    tracker.OnReply(start, 1'010, reply, 1'020, out);
    cr_expect(out.finished.empty());
    const auto uncertain = tracker.TakeUncertainStarts();
    cr_expect_eq(uncertain.size(), 1);
    tracker.Advance(1'030, out);
    cr_assert_not_null(FindStop(out));
    cr_expect(FindStop(out)->task == kTask);
  }
}

namespace {

// Returns the time from `now_ms` on after which the leases of a silent worker
// with the number 1 have expired.
std::int64_t MeasureLease(WorkerTracker& tracker, std::int64_t now_ms) {
  constexpr std::int64_t kStepMs = 20;
  std::int64_t waited_ms = 0;
  while (!tracker.Find(1)->leases_expired) {
    waited_ms += kStepMs;
    WorkerTrackerOutput out;
    tracker.Advance(now_ms + waited_ms, out);
    cr_assert_lt(waited_ms, 60'000);
  }
  return waited_ms;
}

constexpr std::int64_t kLongestLeaseMs = 10'000;

}  // namespace

// Guards against a task that runs twice: an incarnation that isn't registered
// has answered its start, and grants the longest lease on its own clock.
Test(worker_tracker, expects_the_lease_on_the_clock_in_the_reply) {
  for (const std::int64_t behind_ms : {900, 3'000, 1'000'000}) {
    auto tracker = MakeTracker(1'000'000);
    const auto start = SendStart(tracker, 1'000'010);
    WorkerReply reply;
    reply.answer = WorkerAnswer::kDone;
    reply.clock_ms = 1'010 - behind_ms;
    reply.reused_connection = true;
    if (reply.clock_ms < 0) {
      reply.clock_ms = 0;
    }
    const auto until_ms = std::get<StartOrder>(start.order).lease_until_ms;
    const auto granted_ms =
        std::min(until_ms - reply.clock_ms, kLongestLeaseMs);
    WorkerTrackerOutput out;
    tracker.OnReply(start, 1'000'010, reply, 1'000'020, out);
    const auto lease_ms = MeasureLease(tracker, 1'000'020);
    cr_expect_geq(lease_ms, granted_ms);
    cr_expect_lt(lease_ms, granted_ms + 600);
  }
}

// Guards against the same if the reply to the start is lost, and against work
// that waits that long although the start could reach only the registered
// incarnation.
Test(worker_tracker, expects_the_longest_lease_of_an_unanswered_start) {
  for (const bool reused : {false, true}) {
    auto tracker = MakeTracker(1'000);
    const auto start = SendStart(tracker, 1'010);
    WorkerReply reply;
    reply.reused_connection = reused;
    WorkerTrackerOutput out;
    tracker.OnReply(start, 1'010, reply, 2'010, out);
    const auto lease_ms = MeasureLease(tracker, 2'010);
    if (reused) {
      // The lease that a hold grants now.
      cr_expect_lt(lease_ms, 6'000);
    } else {
      cr_expect_geq(lease_ms, kLongestLeaseMs);
    }
  }
}

// Guards against an order on a connection to an incarnation that isn't
// registered, which is taken for one to the registered one.
Test(worker_tracker, trusts_no_connection_after_a_reply_of_another_one) {
  auto tracker = MakeTracker(1'000'000);
  const auto first = SendStart(tracker, 1'000'010);
  WorkerReply reply;
  reply.answer = WorkerAnswer::kDone;
  reply.clock_ms = 0;
  WorkerTrackerOutput out;
  tracker.OnReply(first, 1'000'010, reply, 1'000'020, out);
  reply = {};
  reply.reused_connection = true;
  tracker.OnReply(first, 1'003'000, reply, 1'004'000, out);
  cr_expect_geq(MeasureLease(tracker, 1'004'000), kLongestLeaseMs);
}

// Guards against the same if only a stop, which grants no lease, was answered
// on that connection.
Test(worker_tracker, trusts_no_connection_after_a_stop_of_another_one) {
  auto tracker = MakeTracker(1'000'000);
  const auto start = SendStart(tracker, 1'000'010);
  SentOrder stop = start;
  stop.order = StopOrder{std::get<StartOrder>(start.order).fence, kTask, 1};
  WorkerReply reply;
  reply.answer = WorkerAnswer::kDone;
  reply.clock_ms = 0;
  WorkerTrackerOutput out;
  tracker.OnReply(stop, 1'000'010, reply, 1'000'020, out);
  reply = {};
  reply.reused_connection = true;
  tracker.OnReply(start, 1'000'010, reply, 1'001'010, out);
  cr_expect_geq(MeasureLease(tracker, 1'001'010), kLongestLeaseMs);
}

// Guards against work that waits for the longest lease although the registered
// incarnation has listed its runs since.
Test(worker_tracker, expects_no_other_lease_after_a_list) {
  auto tracker = MakeTracker(1'000);
  const auto start = SendStart(tracker, 1'010);
  WorkerTrackerOutput out;
  tracker.OnReply(start, 1'010, WorkerReply(), 2'010, out);
  for (std::int64_t now = 2'020; now <= 4'000; now += 20) {
    WorkerTrackerOutput sent;
    tracker.Advance(now, sent);
    for (const auto& it : sent.orders) {
      tracker.OnReply(it, now, MakeHoldReply(now, 50), now + 5, sent);
    }
  }
  cr_expect_lt(MeasureLease(tracker, 4'000), 6'000);
}

// Guards against a sign of another incarnation that is forgotten for a list
// that the registered one sent before: the replies overtook each other.
Test(worker_tracker, trusts_no_connection_after_a_list_that_was_overtaken) {
  auto tracker = MakeTracker(1'000'000);
  const auto start = SendStart(tracker, 1'000'010);
  WorkerTrackerOutput out;
  tracker.Advance(1'000'010, out);
  const auto hold = LastHold(out);
  WorkerReply reply;
  reply.answer = WorkerAnswer::kDone;
  reply.clock_ms = 0;
  tracker.OnReply(start, 1'000'010, reply, 1'000'020, out);
  tracker.OnReply(hold, 1'000'010, MakeHoldReply(1'010, 50), 1'000'030, out);
  reply = {};
  reply.reused_connection = true;
  tracker.OnReply(start, 1'003'000, reply, 1'004'000, out);
  cr_expect_geq(MeasureLease(tracker, 1'004'000), kLongestLeaseMs);
}

// Guards against a start on a connection that another incarnation has accepted,
// if the leader has seen no clock in the replies that came on it: the helper's
// reply to a stop was lost, or the worker refused an order without a clock.
Test(worker_tracker, trusts_no_connection_whose_replies_had_no_clock) {
  for (const auto answer : {WorkerAnswer::kNoAnswer, WorkerAnswer::kOverloaded,
                            WorkerAnswer::kInvalid}) {
    auto tracker = MakeTracker(1'000'000);
    const auto start = SendStart(tracker, 1'000'010);
    SentOrder stop = start;
    stop.order = StopOrder{std::get<StartOrder>(start.order).fence, kTask, 1};
    WorkerReply reply;
    reply.answer = answer;
    WorkerTrackerOutput out;
    tracker.OnReply(stop, 1'000'010, reply, 1'000'020, out);
    reply = {};
    reply.reused_connection = true;
    tracker.OnReply(start, 1'000'010, reply, 1'001'010, out);
    cr_expect_geq(MeasureLease(tracker, 1'001'010), kLongestLeaseMs);
  }
}

// Guards against the same if the reply that shows the other incarnation comes
// only after the start's time-out.
Test(worker_tracker, trusts_no_connection_if_the_earlier_reply_comes_late) {
  auto tracker = MakeTracker(1'000'000);
  const auto start = SendStart(tracker, 1'000'010);
  WorkerReply reply;
  reply.reused_connection = true;
  WorkerTrackerOutput out;
  tracker.OnReply(start, 1'000'010, reply, 1'001'010, out);
  SentOrder stop = start;
  stop.order = StopOrder{std::get<StartOrder>(start.order).fence, kTask, 1};
  reply = {};
  reply.answer = WorkerAnswer::kDone;
  reply.clock_ms = 0;
  tracker.OnReply(stop, 1'000'010, reply, 1'001'020, out);
  cr_expect_geq(MeasureLease(tracker, 1'001'020), kLongestLeaseMs);
}

// Guards against work that waits for the longest lease after any stop without a
// reply: a connection that was opened later can't have carried the start.
Test(worker_tracker, trusts_a_connection_that_was_used_before_another_one) {
  auto tracker = MakeTracker(1'000);
  const auto start = SendStart(tracker, 1'010);
  WorkerReply reply;
  reply.reused_connection = true;
  WorkerTrackerOutput out;
  tracker.OnReply(start, 1'010, reply, 2'010, out);
  SentOrder stop = start;
  stop.order = StopOrder{std::get<StartOrder>(start.order).fence, kTask, 1};
  tracker.OnReply(stop, 2'020, WorkerReply(), 3'020, out);
  cr_expect_lt(MeasureLease(tracker, 3'020), 6'000);
}

// Guards against a start that is carried out after an incarnation was
// registered. It was open then, on a connection that this one has accepted, or
// had just been given up.
Test(worker_tracker, trusts_no_connection_after_another_registration) {
  for (const bool given_up : {false, true}) {
    auto tracker = MakeTracker(1'000'000);
    const auto start = SendStart(tracker, 1'000'010);
    SentOrder stop = start;
    stop.order = StopOrder{std::get<StartOrder>(start.order).fence, kTask, 1};
    WorkerReply reply;
    reply.answer = WorkerAnswer::kDone;
    reply.clock_ms = 0;
    WorkerTrackerOutput out;
    tracker.OnReply(stop, 1'000'010, reply, 1'000'015, out);
    WorkerReply no_reply;
    no_reply.reused_connection = true;
    if (given_up) {
      tracker.OnReply(start, 1'000'010, no_reply, 1'001'010, out);
    }
    tracker.Register(2, MakeWorker(90), 1'001'020);
    if (!given_up) {
      tracker.OnReply(start, 1'000'010, no_reply, 1'001'030, out);
    }
    // It is carried out within a second.
    constexpr std::int64_t kCarriedOutMs = 1'002'000;
    std::int64_t now_ms = kCarriedOutMs;
    while (!tracker.Find(2)->leases_expired) {
      now_ms += 20;
      tracker.Advance(now_ms, out);
      cr_assert_lt(now_ms, kCarriedOutMs + 60'000);
    }
    cr_expect_geq(now_ms, kCarriedOutMs + kLongestLeaseMs);
  }
}

// Guards against the same if the worker has left meanwhile.
Test(worker_tracker, trusts_no_connection_of_a_worker_that_has_left) {
  for (const bool before : {true, false}) {
    auto tracker = MakeTracker(1'000'000);
    const auto start = SendStart(tracker, 1'000'010);
    SentOrder stop = start;
    stop.order = StopOrder{std::get<StartOrder>(start.order).fence, kTask, 1};
    WorkerReply reply;
    reply.answer = WorkerAnswer::kDone;
    reply.clock_ms = 0;
    WorkerTrackerOutput out;
    if (before) {
      tracker.OnReply(stop, 1'000'010, reply, 1'000'015, out);
    }
    tracker.Remove(1, 1'000'020, out);
    if (!before) {
      tracker.OnReply(stop, 1'000'010, reply, 1'000'025, out);
    }
    reply = {};
    reply.reused_connection = true;
    tracker.OnReply(start, 1'000'010, reply, 1'001'010, out);
    tracker.Advance(1'001'000 + kLongestLeaseMs, out);
    cr_expect(out.finished.empty());
    tracker.Advance(1'003'000 + kLongestLeaseMs, out);
    cr_expect_eq(out.finished.size(), 1);
  }
}

// Guards against runs that end too early after a departure: the worker that has
// left had confirmed them, and may go on. Guards also against runs that wait
// for the longest lease because a reply was lost, although the worker has
// ended.
Test(worker_tracker, ends_confirmed_runs_of_a_worker_that_has_ended) {
  for (const auto answer :
       {WorkerAnswer::kNoListener, WorkerAnswer::kOtherWorker,
        WorkerAnswer::kNotSent, WorkerAnswer::kNoAnswer,
        WorkerAnswer::kOverloaded}) {
    auto tracker = MakeTracker(1'000);
    const auto start = SendStart(tracker, 1'010);
    WorkerReply reply;
    reply.answer = WorkerAnswer::kDone;
    reply.clock_ms = 1'015;
    WorkerTrackerOutput out;
    tracker.OnReply(start, 1'010, reply, 1'020, out);
    SentOrder stop = start;
    stop.order = StopOrder{std::get<StartOrder>(start.order).fence, kTask, 2};
    tracker.OnReply(stop, 1'020, WorkerReply(), 2'020, out);
    tracker.Remove(1, 2'030, out);
    cr_expect(out.finished.empty());
    cr_assert_not_null(tracker.Find(1));
    cr_expect_not(tracker.IsUsable(*tracker.Find(1), 2'030));
    out = {};
    tracker.Advance(2'040, out);
    const auto hold = LastHold(out);
    cr_expect_eq(std::get<HoldOrder>(hold.order).lease_until_ms, 0);
    reply = {};
    reply.answer = answer;
    tracker.OnReply(hold, 2'040, reply, 2'050, out);
    const bool has_ended = answer == WorkerAnswer::kNoListener ||
                           answer == WorkerAnswer::kOtherWorker;
    cr_expect_eq(out.finished.size(), has_ended ? 1U : 0U);
    cr_expect_eq(tracker.Find(1) == nullptr, has_ended);
  }
}

// Guards against a start that is given up although its order may still reach
// the next incarnation of a worker that has left and ended.
Test(worker_tracker, keeps_open_starts_of_a_worker_that_has_ended) {
  auto tracker = MakeTracker(1'000);
  SendStart(tracker, 1'010);
  WorkerTrackerOutput out;
  tracker.Remove(1, 1'020, out);
  tracker.Advance(1'030, out);
  WorkerReply reply;
  reply.answer = WorkerAnswer::kNoListener;
  tracker.OnReply(LastHold(out), 1'030, reply, 1'040, out);
  cr_expect(out.finished.empty());
  cr_expect(tracker.IsOpenAtDeparted(kTask, 1));
}

// Guards against a lease that ends too early: a worker left without an open
// start, and its next incarnation has carried out a hold for the former one.
Test(worker_tracker, expects_the_longest_lease_after_a_departure) {
  constexpr std::int64_t kBornMs = 1'200;
  constexpr std::int64_t kSyncMs = 1'320;
  auto tracker = MakeTracker(1'000);
  WorkerTrackerOutput out;
  tracker.Remove(1, 1'100, out);
  tracker.Register(2, MakeWorker(kBornMs), 1'300);
  tracker.Advance(1'310, out);
  tracker.OnReply(LastHold(out), 1'310, MakeHoldReply(5, kBornMs), kSyncMs,
                  out);
  WorkerReply no_reply;
  no_reply.reused_connection = true;
  std::int64_t now_ms = kSyncMs;
  while (!tracker.Find(2)->leases_expired) {
    now_ms += 20;
    WorkerTrackerOutput turn;
    tracker.Advance(now_ms, turn);
    for (const auto& it : turn.orders) {
      tracker.OnReply(it, now_ms, no_reply, now_ms, turn);
    }
    cr_assert_lt(now_ms, kSyncMs + 60'000);
  }
  cr_expect_geq(now_ms, kSyncMs + kLongestLeaseMs);
}
