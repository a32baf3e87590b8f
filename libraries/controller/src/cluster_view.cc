#include "cluster_view.h"

#include "conversions.h"

namespace cranberryshunt::controller {

namespace {

wire::KindStats DescribeKind(policy::Kind kind,
                             const policy::KindReport& report) {
  wire::KindStats stats;
  stats.kind = ToWire(kind);
  stats.queued = report.queued;
  stats.running = report.running;
  stats.wait_p50_ms = report.wait_p50_ms;
  stats.wait_p99_ms = report.wait_p99_ms;
  stats.share = report.share;
  stats.refused = report.refused;
  stats.preempted = report.preempted;
  stats.preempted_run_ms = report.preempted_run_ms;
  return stats;
}

wire::WorkerStats DescribeWorker(const LeaderContext& context,
                                 const policy::WorkerReport& report,
                                 TimePoint now) {
  wire::WorkerStats stats;
  stats.reserved = ToWire(report.reserved);
  stats.quarantined = report.quarantined;
  stats.reason = report.reason;
  const LiveWorker* worker = context.workers.Find(report.id);
  if (worker == nullptr) {
    stats.worker.identity = report.id;
    return stats;
  }
  stats.worker = worker->identity;
  stats.live = !worker->lost && !context.workers.IsSilent(*worker, now);
  return stats;
}

}  // namespace

wire::ClusterReply DescribeCluster(
    const LeaderContext& context,
    const std::vector<wire::Alert>& alerts,
    const std::map<std::string, std::int64_t>& bytes_between_regions,
    TimePoint now) {
  const ReplicationStatus replication =
      context.environment.ReadReplicationStatus();
  const auto report = context.scheduler->Report(now);
  wire::ClusterReply reply;
  reply.leader_id = context.options.id;
  reply.term = context.term;
  reply.commit_index = replication.commit_index;
  for (const auto& member : replication.membership.members) {
    (member.voter ? reply.voters : reply.learners).push_back(member.id);
  }
  for (const auto& [id, entry] : context.entries.entries()) {
    if (!entry.dead) {
      reply.entries.push_back(id);
    }
  }
  for (const auto& worker : report.workers) {
    reply.workers.push_back(DescribeWorker(context, worker, now));
  }
  for (std::size_t i = 0; i < policy::kKindCount; ++i) {
    reply.kinds.push_back(
        DescribeKind(static_cast<policy::Kind>(i), report.kinds[i]));
  }
  reply.packing = report.packing;
  reply.alerts = alerts;
  reply.bytes_between_regions = replication.bytes_between_regions;
  for (const auto& [regions, bytes] : bytes_between_regions) {
    reply.bytes_between_regions[regions] += bytes;
  }
  reply.rules_revision = context.state.rules().revision();
  reply.culprits = report.culprits;
  return reply;
}

std::vector<wire::KindPressure> DescribePressure(
    const policy::Scheduler& scheduler,
    TimePoint now) {
  std::vector<wire::KindPressure> pressure;
  const auto reports = scheduler.KindReports(now);
  for (std::size_t i = 0; i < policy::kKindCount; ++i) {
    wire::KindPressure kind;
    kind.kind = ToWire(static_cast<policy::Kind>(i));
    kind.queued = reports[i].queued;
    kind.full = reports[i].full;
    kind.retry_after_ms = ToMilliseconds(reports[i].retry_after);
    pressure.push_back(kind);
  }
  return pressure;
}

}  // namespace cranberryshunt::controller
