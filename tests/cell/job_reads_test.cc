#include <criterion/criterion.h>

#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/cell/engine.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::cell {

namespace {

constexpr std::int64_t kTerm = 3;
constexpr char kJobPath[] = "/q/00000000000000ab";

class Environment final : public EngineEnvironment {
 public:
  bool HasLease(std::int64_t term) const override {
    return has_lease && term == kTerm;
  }
  consensus::MembershipStatus Members() const override { return {}; }
  std::int64_t WallMilliseconds() const override { return 0; }

  bool has_lease = true;
};

// An engine whose committed state has one queue and one job in it.
struct LeadingEngine {
  LeadingEngine() : engine({}, environment, metrics) {
    wire::JobQueue queue;
    queue.name = "q";
    queue.host = "h";
    queue.path_prefix = "/q/";
    wire::GraphBatch batch;
    batch.__isset.table = true;
    batch.table.version = 1;
    batch.table.queues = {queue};
    wire::AcceptedGraphJob job;
    job.id = 0xab;
    job.queue = queue;
    job.job.occurrences = 1;
    job.job.steps.resize(1);
    job.job.steps[0].task_count = 1;
    batch.jobs = {job};
    cr_assert(engine.OnCommitted({1, kTerm - 1, wire::Encode(batch)}, {}));
  }

  void SetRole(consensus::Role role, std::int64_t term) {
    consensus::RoleChange change;
    change.role = role;
    change.term = term;
    engine.OnRoleChange(change, {});
  }

  std::optional<wire::GraphReply> Read(const std::string& path) const {
    wire::GraphRequest request;
    request.operation = wire::GraphOperation::kShow;
    request.host = "h";
    request.path = path;
    return engine.ReadJob(request);
  }

  Environment environment;
  MetricsRegistry metrics;
  Engine engine;
};

}  // namespace

// Guards against the state of a job that another leader may have changed.
Test(job_reads, are_answered_by_a_leader_with_a_lease_only) {
  LeadingEngine it;
  it.SetRole(consensus::Role::kFollower, kTerm - 1);
  cr_expect_not(it.Read(kJobPath).has_value(), "follower");
  it.SetRole(consensus::Role::kLeader, kTerm);
  const auto reply = it.Read(kJobPath);
  cr_assert(reply.has_value());
  cr_expect_eq(reply->status.code, 0);
  cr_expect(reply->state == wire::GraphJobState::kQueued);
  it.environment.has_lease = false;
  cr_expect_not(it.Read(kJobPath).has_value(), "no lease");
  it.environment.has_lease = true;
  it.SetRole(consensus::Role::kFollower, kTerm + 1);
  cr_expect_not(it.Read(kJobPath).has_value(), "deposed");
}

// Guards against an answer about jobs where a decision is asked for.
Test(job_reads, leave_other_calls_to_the_decision_thread) {
  LeadingEngine it;
  it.SetRole(consensus::Role::kLeader, kTerm);
  cr_expect_not(it.Read("/q/").has_value(), "number of pending jobs");
  cr_expect_not(it.Read("/unknown/00000000000000ab").has_value());
  wire::GraphRequest submission;
  submission.operation = wire::GraphOperation::kSubmit;
  submission.host = "h";
  submission.path = kJobPath;
  cr_expect_not(it.engine.ReadJob(submission).has_value());
  const auto unknown = it.Read("/q/00000000000000ac");
  cr_assert(unknown.has_value());
  cr_expect_eq(unknown->status.code, static_cast<int>(ResultCode::kGone));
}

}  // namespace cranberryshunt::cell
