#include <criterion/criterion.h>

#include "core_harness.h"

namespace cranberryshunt::controller {

namespace {

constexpr char kAlertRules[] =
    "service: s\n"
    "alerts:\n"
    "  - {name: queue, metric: queued, kind: batch, above: 0, for_seconds: "
    "2}\n";

constexpr char kQuotaRules[] =
    "service: s\n"
    "quotas:\n"
    "  - {team: a, milli_cpus: 1000, memory_bytes: 0, accelerators: 0}\n";

int Code(ResultCode code) {
  return static_cast<int>(code);
}

}  // namespace

// Guards against two jobs for one idempotency key, including the case where the
// first submission is proposed but not committed.
Test(calls, key_maps_to_the_first_job) {
  Cell cell;
  Harness& it = *cell.harness;
  auto request = MakeSubmit("j1", wire::JobKind::kBatch);
  request.spec.idempotency_key = "k";
  it.hold_commits = true;
  const auto first = it.Submit(request);
  request.job_id = "j2";
  const auto second = it.Submit(request);
  request.job_id = "j3";
  request.spec.payload = "other";
  const auto third = it.Submit(request);
  cr_assert_eq(third->status.code, Code(ResultCode::kKeyConflict));
  it.Commit();
  cr_assert_eq(first->job.job_id, "j1");
  cr_assert_eq(second->job.job_id, "j1");
}

// Guards against the outcome "not run" for a submission that may still be
// committed, and against a job that runs after "not run" was reported.
Test(calls, failed_proposal_is_reported_truthfully) {
  Cell cell;
  Harness& it = *cell.harness;
  it.hold_commits = true;
  const auto full = it.Submit(MakeSubmit("j1", wire::JobKind::kBatch));
  it.FailProposals(ResultCode::kStorageFull);
  cr_assert_eq(full->status.code, Code(ResultCode::kStorageFull));
  cr_assert_eq(full->job.outcome, wire::Outcome::kNotRun);
  const auto open = it.Submit(MakeSubmit("j2", wire::JobKind::kBatch));
  it.core->OnRoleChange({consensus::Role::kFollower, 2, "c9", "c9:1"},
                        cell.host.clock.Now());
  cr_assert_eq(open->status.code, Code(ResultCode::kTimeout));
  cr_assert_eq(open->job.outcome, wire::Outcome::kPending);
  it.hold_commits = false;
  it.pending_proposals.clear();
  it.BecomeLeader(3);
  it.Run(seconds(1));
  cr_assert(it.Starts().empty());
}

// Guards against a lost task when the proposal that ends its attempt fails
// while the proposal with its next placement is in flight.
Test(calls, failed_proposals_keep_their_order) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Submit(MakeSubmit("j1", wire::JobKind::kBatch));
  it.PollAndAnnounce();
  const auto start = it.Starts().at(0);
  it.Result(start.attempt, wire::AttemptState::kRunning);
  it.hold_commits = true;
  it.workers[start.worker].incarnation = "i2";
  it.Announce(start.worker);
  cr_assert(!it.pending_proposals.empty());
  it.FailProposals(ResultCode::kTimeout);
  it.hold_commits = false;
  it.Run(milliseconds(500));
  cr_assert_eq(it.Starts().size(), 2U);
  cr_assert_eq(it.Starts()[1].attempt.attempt, 2);
  cr_assert_gt(it.Starts()[1].fence, start.fence);
}

// Guards against a paused leader that still accepts calls or hands out orders
// after its lease has expired.
Test(calls, no_answer_without_the_lease) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Submit(MakeSubmit("j1", wire::JobKind::kBatch));
  cell.host.lease = false;
  const auto submitted = it.Submit(MakeSubmit("j2", wire::JobKind::kBatch));
  cr_assert_eq(submitted->status.code, Code(ResultCode::kNotLeader));
  it.Poll("e1");
  cr_assert(it.Starts().empty());
}

// Guards against two publications that are both accepted for one base revision,
// and against a repeated publication that is answered differently.
Test(calls, publication_race_and_resend) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Run(seconds(4));
  it.hold_commits = true;
  const auto first = it.Publish("p1", 0, kQuotaRules, milliseconds(0));
  const auto second = it.Publish("p2", 0, kAlertRules, milliseconds(0));
  it.Commit();
  it.hold_commits = false;
  it.RunUntilIdle();
  cr_assert_eq(second->status.code, Code(ResultCode::kRevisionConflict));
  cr_assert(second->winner.find("p1") != std::string::npos);
  it.Run(milliseconds(100));
  cr_assert_eq(first->status.code, Code(ResultCode::kNotInForceYet));
  cr_assert_eq(first->revision, 1);
  const auto resent = it.Publish("p1", 0, kQuotaRules, seconds(20));
  it.revisions = {{"e1", 1}, {"e2", 1}};
  it.Run(milliseconds(200));
  cr_assert_eq(resent->status.code, 0);
  cr_assert(resent->in_force);
  const auto lost = it.Publish("p2", 0, kAlertRules, milliseconds(0));
  cr_assert_eq(lost->status.code, Code(ResultCode::kRevisionConflict));
  cr_assert_eq(it.Publish("p3", 1, "nonsense: {", {})->status.code,
               Code(ResultCode::kRulesInvalid));
}

// Guards against a revision that is reported as in force while an entry still
// admits requests under the previous revision.
Test(calls, revision_waits_for_the_rules_lease_of_a_lagging_entry) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Run(seconds(4));
  const auto published = it.Publish("p1", 0, kQuotaRules, seconds(20));
  it.revisions["e1"] = 1;
  it.Run(seconds(3));
  cr_assert_eq(published->status.code, -1);
  cr_assert_eq(it.rules_lease_ms["e2"], 0);
  it.Run(seconds(2));
  cr_assert_eq(published->status.code, 0);
}

// Guards against alerts that fire before their time, keep firing after their
// cause is gone, or leave no audit record.
Test(calls, alert_fires_and_clears) {
  Cell cell;
  Harness& it = *cell.harness;
  it.Publish("p1", 0, kAlertRules, milliseconds(0));
  for (auto& [id, worker] : it.workers) {
    worker.leaving = true;
  }
  it.PollAndAnnounce();
  it.Submit(MakeSubmit("j1", wire::JobKind::kBatch));
  it.Run(seconds(1));
  auto cluster = std::make_shared<wire::ClusterReply>();
  it.Handle(ClusterCall{Harness::Store(cluster)});
  cr_assert(cluster->alerts.empty());
  it.Run(seconds(3));
  it.Handle(ClusterCall{Harness::Store(cluster)});
  cr_assert_eq(cluster->alerts.size(), 1U);
  it.workers["w3"];
  it.Run(seconds(2));
  it.Handle(ClusterCall{Harness::Store(cluster)});
  cr_assert(cluster->alerts.empty());
  std::string actions;
  for (const auto& record : it.core->state().audit().After(0, 100)) {
    actions += record.action + ";";
  }
  cr_assert(actions.find("alert firing;alert cleared;") != std::string::npos);
}

}  // namespace cranberryshunt::controller
