#include "cranberryshunt/controller/controller.h"

#include <utility>

#include "cranberryshunt/base/log.h"
#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/consensus/thrift_peer_transport.h"
#include "cranberryshunt/storage/file_system.h"
#include "cranberryshunt/wire/controller_server.h"
#include "decision_thread.h"
#include "metrics_server.h"
#include "service_handler.h"

namespace cranberryshunt::controller {

namespace {

CoreOptions ToCoreOptions(const ControllerOptions& options) {
  CoreOptions core;
  core.id = options.replica.id;
  core.scheduler = options.scheduler;
  core.worker_lease = options.worker_lease;
  core.start_window = options.start_window;
  core.rules_lease = options.rules_lease;
  core.entry_lease = options.entry_lease;
  core.key_retention = options.key_retention;
  return core;
}

// Gives the core access to the replica, which must be set before the decision
// thread starts.
class ReplicaEnvironment final : public CoreEnvironment {
 public:
  void set_replica(const consensus::Replica* replica) { replica_ = replica; }

  bool HasLease(std::int64_t term) const override {
    return replica_->HasLease(term);
  }

  ReplicationStatus ReadReplicationStatus() const override {
    ReplicationStatus status;
    status.commit_index = replica_->stats().commit_index;
    status.membership = replica_->membership();
    return status;
  }

  std::int64_t WallMilliseconds() const override {
    return WallClockMilliseconds();
  }

 private:
  const consensus::Replica* replica_ = nullptr;
};

}  // namespace

// The destructor stops the servers, then the decision thread, then the replica,
// which posts events to `decisions` until it is destroyed. The other members
// are destroyed in reverse order of declaration.
struct Controller::Implementation {
  explicit Implementation(const ControllerOptions& controller_options)
      : options(controller_options),
        file_system(storage::CreateSystemFileSystem()),
        transport({.own_id = options.replica.id,
                   .cluster_secret = options.cluster_secret}),
        decisions(ToCoreOptions(options),
                  options.snapshot_every_entries,
                  clock,
                  environment,
                  metrics) {}

  ~Implementation() {
    metrics_server.reset();
    // The destructor of the server waits for open calls, so they are answered
    // first.
    decisions.StopServing();
    server.reset();
    // Stop() closes the event ring. This unblocks a replica that waits for
    // space in the ring, so that it can be destroyed.
    decisions.Stop();
    replica.reset();
  }

  std::string RenderMetrics();

  ControllerOptions options;
  SystemClock clock;
  MetricsRegistry metrics;
  std::unique_ptr<storage::FileSystem> file_system;
  consensus::ThriftPeerTransport transport;
  ReplicaEnvironment environment;
  DecisionThread decisions;
  std::unique_ptr<consensus::Replica> replica;
  std::unique_ptr<ServiceHandler> handler;
  std::unique_ptr<wire::ControllerServer> server;
  std::unique_ptr<MetricsServer> metrics_server;
};

std::string Controller::Implementation::RenderMetrics() {
  const auto stats = replica->stats();
  metrics.Gauge("log_commit_index") = static_cast<double>(stats.commit_index);
  metrics.Gauge("log_last_index") = static_cast<double>(stats.last_index);
  metrics.Gauge("log_first_index") = static_cast<double>(stats.first_index);
  metrics.Gauge("log_term") = static_cast<double>(stats.term);
  metrics.Gauge("log_syncs") = static_cast<double>(stats.syncs);
  metrics.Gauge("leading") = replica->HasLease() ? 1 : 0;
  for (const auto& [peer, bytes] : transport.BytesSentByPeer()) {
    metrics.Gauge("peer_bytes_sent{peer=\"" + peer + "\"}") =
        static_cast<double>(bytes);
  }
  return metrics.Render(clock.Now());
}

Controller::Controller(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Controller::~Controller() = default;

Result<std::unique_ptr<Controller>> Controller::Start(
    const ControllerOptions& options) {
  auto parts = std::make_unique<Implementation>(options);
  auto replica = consensus::Replica::Start(options.replica, *parts->file_system,
                                           parts->clock, parts->transport,
                                           parts->decisions);
  if (!replica) {
    return tl::unexpected(replica.error());
  }
  parts->replica = std::move(*replica);
  // Logged because an operator needs the disk identity to add this controller
  // under another id.
  Log(LogLevel::kInfo, "controller", "data folder opened",
      {{"disk_identity", parts->replica->disk_identity()}});
  parts->environment.set_replica(parts->replica.get());
  parts->decisions.Start(*parts->replica);
  parts->handler =
      std::make_unique<ServiceHandler>(parts->decisions, *parts->replica);
  auto server = wire::ControllerServer::Start(
      options.listen_address, options.cluster_secret, *parts->handler,
      [implementation = parts.get()](const std::string& peer_id) {
        ++implementation->metrics.Counter("peers_refused_total");
        Log(LogLevel::kWarning, "controller", "peer authentication failed",
            {{"peer", peer_id}});
        wire::AuditRecord record;
        record.at_ms = WallClockMilliseconds();
        record.actor = peer_id;
        record.action = "connection refused";
        record.detail = "proof does not match the cluster secret";
        implementation->decisions.Record(std::move(record));
      });
  if (!server) {
    return tl::unexpected(server.error());
  }
  parts->server = std::move(*server);
  if (!options.metrics_address.empty()) {
    auto metrics_server = MetricsServer::Start(
        options.metrics_address, [implementation = parts.get()] {
          return implementation->RenderMetrics();
        });
    if (!metrics_server) {
      return tl::unexpected(metrics_server.error());
    }
    parts->metrics_server = std::move(*metrics_server);
  }
  return std::unique_ptr<Controller>(new Controller(std::move(parts)));
}

void Controller::Shutdown() {
  auto& parts = *implementation_;
  // Calls are served until another controller leads. Clients retry at the new
  // leader after a not_leader reply, but treat shutting_down as final.
  if (parts.replica->HasLease()) {
    const bool transferred =
        parts.replica->TransferLeadership(parts.options.shutdown_limit / 2);
    Log(LogLevel::kInfo, "controller", "leadership transfer finished",
        {{"done", transferred ? "yes" : "no"}});
  }
  parts.decisions.StopServing();
  parts.server.reset();
}

}  // namespace cranberryshunt::controller
