#include <criterion/criterion.h>

#include <algorithm>

#include "core_harness.h"

namespace cranberryshunt::controller {

namespace {

constexpr auto kDone = wire::Outcome::kDone;

wire::SubmitRequest Exclusive(const std::string& job_id, bool idempotent) {
  auto request = MakeSubmit(job_id, wire::JobKind::kBatch);
  request.spec.exclusive = true;
  request.spec.idempotent = idempotent;
  return request;
}

}  // namespace

// Guards against a start that is sent before its placement is committed, and
// against a result that is acknowledged before it is committed.
Test(attempts, whole_path_follows_the_commits) {
  Cell cell;
  Harness& it = *cell.harness;
  it.hold_commits = true;
  const auto submitted = it.Submit(MakeSubmit("j1", wire::JobKind::kBatch));
  it.PollAndAnnounce();
  cr_assert_eq(submitted->status.code, -1);
  cr_assert(it.Starts().empty());
  it.Commit();
  cr_assert_eq(submitted->status.code, 0);
  it.hold_commits = false;
  it.PollAndAnnounce();
  it.PollAndAnnounce();
  cr_assert_eq(it.Starts().size(), 1U);
  const auto start = it.Starts()[0];
  cr_assert_eq(start.payload, "payload of j1");
  const auto now = ToMilliseconds(cell.host.clock.Now().time_since_epoch());
  cr_assert_eq(start.start_expiry_clock_ms, now + 2'000);
  cr_assert_eq(start.lease_until_clock_ms, now + 10'000);
  it.hold_commits = true;
  const auto reported =
      it.Result(start.attempt, wire::AttemptState::kDone, "answer");
  reported->status.code = -1;
  cr_assert_eq(it.Job("j1").outcome, wire::Outcome::kPending);
  it.Commit();
  cr_assert_eq(reported->status.code, 0);
  it.hold_commits = false;
  it.PollAndAnnounce();
  cr_assert_eq(it.Job("j1").tasks[0].answer.bytes, "answer");
  cr_assert_eq(it.updates.size(), 1U);
  cr_assert_eq(it.updates[0].outcome, kDone);
}

// Guards against starting an exclusive task again while its first worker may
// still hold a lease and run it.
Test(attempts, exclusive_task_waits_for_the_lease_and_margin) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Submit(Exclusive("j1", true));
  it.Run(milliseconds(200));
  cr_assert_eq(it.Starts().size(), 1U);
  const auto start = it.Starts()[0];
  it.Result(start.attempt, wire::AttemptState::kRunning);
  it.workers[start.worker].up = false;
  // The last announcement was at most one step ago.
  it.Run(seconds(10) + milliseconds(500));
  cr_assert_eq(it.Starts().size(), 1U);
  it.Run(seconds(1));
  cr_assert_eq(it.Starts().size(), 2U);
  cr_assert_neq(it.Starts()[1].worker, start.worker);
  cr_assert_gt(it.Starts()[1].fence, start.fence);
}

// Guards against a new leader that ignores leases renewed by the previous one.
Test(attempts, new_leader_waits_for_the_old_leases) {
  Cell cell;
  cell.harness->Submit(Exclusive("j1", true));
  cell.harness->Run(milliseconds(200));
  const auto start = cell.harness->Starts().at(0);
  cell.harness->Result(start.attempt, wire::AttemptState::kRunning);
  cell.harness->workers[start.worker].up = false;
  cell.host.clock.Advance(seconds(9));
  cell.ChangeLeader(2);
  cell.harness->Run(seconds(10) + milliseconds(600));
  cr_assert(cell.harness->Starts().empty());
  cell.harness->Run(seconds(1));
  cr_assert_eq(cell.harness->Starts().size(), 1U);
  cr_assert_gt(cell.harness->Starts()[0].fence, start.fence);
}

// Guards against starting a non-idempotent request a second time when its
// worker is lost, and against reporting that it did not run.
Test(attempts, non_idempotent_becomes_unknown_with_its_worker) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Submit(Exclusive("j1", false));
  it.Run(milliseconds(200));
  const auto start = it.Starts().at(0);
  it.workers[start.worker].up = false;
  it.Run(seconds(4));
  cr_assert(!it.Lookups().empty());
  cr_assert(it.Lookups()[0].bar);
  it.Result(start.attempt, wire::AttemptState::kUnknown);
  it.Run(seconds(9));
  cr_assert_eq(it.Starts().size(), 1U);
  const auto job = it.Job("j1");
  cr_assert_eq(job.outcome, wire::Outcome::kUnknown);
  cr_assert_eq(job.code, static_cast<int>(ResultCode::kOutcomeUnknown));
}

// Guards against a task that waits forever because its start order was lost.
Test(attempts, barred_attempt_is_placed_again) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Submit(Exclusive("j1", false));
  it.Run(seconds(4));
  const auto lookups = it.Lookups();
  cr_assert(!lookups.empty());
  it.Result(lookups[0].attempt, wire::AttemptState::kNeverStarted, "", true);
  it.Run(seconds(1));
  cr_assert_eq(it.Starts().size(), 2U);
  cr_assert_eq(it.Starts()[1].attempt.attempt, 2);
}

// Guards against a task that waits forever for a worker that announces itself
// but cannot be reached.
Test(attempts, unreachable_worker_gives_its_attempt_up) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Submit(Exclusive("j1", false));
  it.Run(seconds(7));
  cr_assert_eq(it.Starts().size(), 1U);
  it.Run(seconds(2));
  cr_assert_eq(it.Starts().size(), 2U);
  cr_assert_eq(it.Starts()[1].attempt.attempt, 2);
}

// Guards against a start that is lost, or repeated as a new attempt, when the
// leader changes between the commit of a placement and the sending of its
// start.
Test(attempts, leader_change_repeats_the_same_attempt) {
  Cell cell;
  cell.harness->entries_up = {};
  cell.harness->Submit(Exclusive("j1", false));
  cr_assert(cell.harness->Starts().empty());
  cell.ChangeLeader(2);
  cell.harness->entries_up = {{"e1", true}, {"e2", true}};
  cell.harness->Run(milliseconds(500));
  const auto starts = cell.harness->Starts();
  cr_assert_eq(starts.size(), 1U);
  cr_assert_eq(starts[0].attempt.attempt, 1);
}

// Guards against losing the orders that a restarted entry had received.
Test(attempts, orders_of_a_dead_entry_go_elsewhere) {
  Cell cell;
  Harness& it = *cell.harness;
  it.entries_up["e2"] = false;
  it.Submit(MakeSubmit("j1", wire::JobKind::kBatch));
  // e1 receives the order and restarts before it reports anything.
  it.Poll("e1");
  const auto first = it.Starts().at(0);
  it.incarnations["e1"] = "second";
  it.entries_up["e2"] = true;
  it.PollAndAnnounce();
  it.PollAndAnnounce();
  const auto starts = it.Starts();
  cr_assert_geq(starts.size(), 2U);
  cr_assert_eq(starts[1].attempt, first.attempt);
  cr_assert_eq(starts[1].fence, first.fence);
}

// Guards against starting a request that must run once a second time, when one
// of the two entries that received its start reports a failed delivery.
Test(attempts, failed_delivery_of_two_is_not_conclusive) {
  Cell cell;
  Harness& it = *cell.harness;
  it.entries_up["e2"] = false;
  it.Submit(Exclusive("j1", false));
  it.Poll("e1");
  it.incarnations["e1"] = "second";
  it.PollAndAnnounce();
  it.PollAndAnnounce();
  const auto start = it.Starts().at(0);
  cr_assert_eq(it.Starts().size(), 2U);
  it.Result(start.attempt, wire::AttemptState::kNeverStarted);
  it.Result(start.attempt, wire::AttemptState::kRefused);
  it.PollAndAnnounce();
  cr_assert_eq(it.Lookups().size(), 1U);
  it.Result(start.attempt, wire::AttemptState::kRunning, "", true);
  it.Result(start.attempt, wire::AttemptState::kRefused);
  it.Run(milliseconds(500));
  cr_assert_eq(it.Starts().size(), 2U);
  cr_assert_eq(it.core->state().jobs().Find("j1")->tasks[0].attempt, 1);
}

// Guards against an interactive request that is started without its payload, or
// whose outcome is not "not run" after its payload was lost.
Test(attempts, payload_lost_with_its_entry_is_not_run) {
  Cell cell;
  Harness& it = *cell.harness;
  it.entries_up["e1"] = false;
  auto request = MakeSubmit("j1", wire::JobKind::kInteractive);
  request.spec.idempotent = false;
  it.Submit(request);
  it.Run(seconds(4));
  cr_assert(it.Starts().empty());
  cr_assert_eq(it.Job("j1").outcome, wire::Outcome::kNotRun);
}

// Guards against starting tasks on a worker that has announced that it is
// leaving.
Test(attempts, leaving_worker_gets_no_start) {
  Cell cell;
  Harness& it = *cell.harness;
  it.workers["w2"].up = false;
  it.workers["w2"].leaving = true;
  it.Announce("w2");
  it.Submit(MakeSubmit("j1", wire::JobKind::kBatch));
  // The start for w1 is still queued at the leader when w1 announces that it is
  // leaving.
  it.workers["w1"].leaving = true;
  it.Announce("w1");
  it.Run(seconds(3));
  cr_assert(it.Starts().empty());
  it.workers["w3"];
  it.Run(milliseconds(300));
  cr_assert_eq(it.Starts().size(), 1U);
  cr_assert_eq(it.Starts()[0].worker, "w3");
}

// Guards against passing on a damaged answer instead of fetching it again.
Test(attempts, damaged_answer_is_fetched_again) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Submit(MakeSubmit("j1", wire::JobKind::kBatch));
  it.PollAndAnnounce();
  const auto start = it.Starts().at(0);
  wire::AttemptReport bad;
  bad.attempt = start.attempt;
  bad.state = wire::AttemptState::kDone;
  bad.answer.bytes = "trunc";
  bad.answer.length = 9;
  bad.answer.stored = true;
  wire::EntryReport report;
  report.results.push_back(bad);
  it.Report(report);
  it.PollAndAnnounce();
  cr_assert_eq(it.Job("j1").outcome, wire::Outcome::kPending);
  cr_assert_eq(it.Lookups().size(), 1U);
  it.Result(start.attempt, wire::AttemptState::kDone, "truncated");
  cr_assert_eq(it.Job("j1").tasks[0].answer.bytes, "truncated");
}

// Guards against tasks that keep running after their cancellation, and against
// reporting "cancelled" before the task has stopped.
Test(attempts, cancelled_task_ends_with_its_stop) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Submit(MakeSubmit("j1", wire::JobKind::kBatch));
  it.PollAndAnnounce();
  const auto start = it.Starts().at(0);
  it.Result(start.attempt, wire::AttemptState::kRunning);
  auto cancelled = std::make_shared<wire::CancelReply>();
  it.Handle(CancelCall{"e1", {"j1"}, "test", Harness::Store(cancelled)});
  cr_assert_eq(cancelled->jobs.at(0).outcome, wire::Outcome::kPending);
  it.PollAndAnnounce();
  const bool stopped =
      std::any_of(it.orders.begin(), it.orders.end(),
                  [](const auto& order) { return order.second.__isset.stop; });
  cr_assert(stopped);
  it.Result(start.attempt, wire::AttemptState::kStopped);
  cr_assert_eq(it.Job("j1").outcome, wire::Outcome::kCancelled);
}

// Guards against treating the tasks of a replaced worker process as running.
Test(attempts, restarted_worker_loses_its_tasks) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Submit(MakeSubmit("j1", wire::JobKind::kBatch));
  it.PollAndAnnounce();
  const auto start = it.Starts().at(0);
  it.Result(start.attempt, wire::AttemptState::kRunning);
  it.workers[start.worker].incarnation = "i2";
  it.Run(milliseconds(300));
  cr_assert_eq(it.Starts().size(), 2U);
  // A late announcement from the old process is rejected.
  it.workers[start.worker].incarnation = "i1";
  cr_assert_eq(it.Announce(start.worker).status.code,
               static_cast<int>(ResultCode::kWrongIdentity));
}

// Guards against a service that is not started again after its task ended.
Test(attempts, service_task_is_placed_again) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Submit(MakeSubmit("j1", wire::JobKind::kService));
  it.PollAndAnnounce();
  it.Result(it.Starts().at(0).attempt, wire::AttemptState::kDone);
  it.Run(seconds(1));
  cr_assert_eq(it.Starts().size(), 2U);
  cr_assert_eq(it.Job("j1").outcome, wire::Outcome::kPending);
}

}  // namespace cranberryshunt::controller
