#include "cranberryshunt/cell/controller.h"

#include <atomic>
#include <thread>
#include <utility>

#include "ControllerService.h"
#include "call_handler.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/base/timer_service.h"
#include "cranberryshunt/consensus/thrift_peer_transport.h"
#include "cranberryshunt/storage/file_system.h"
#include "cranberryshunt/wire/controller_client.h"
#include "cranberryshunt/wire/controller_server.h"
#include "decision_thread.h"
#include "relay.h"
#include "thrift_relay_link.h"

namespace cranberryshunt::cell {

namespace {

// Interval at which the deadlines of relayed orders are checked.
constexpr std::chrono::milliseconds kRelayCheckInterval{100};
constexpr std::chrono::seconds kUsageLogInterval{2};

// Interval at which a member reports to the leader that it is alive.
constexpr std::chrono::milliseconds kJoinInterval{1'000};
constexpr std::chrono::milliseconds kJoinTimeout{700};
constexpr std::chrono::milliseconds kJoinAttemptTimeout{300};
// Interval at which a member that is about to end asks whether it still has a
// vote.
constexpr std::chrono::milliseconds kLeaveInterval{50};

class ReplicaHost final : public EngineEnvironment {
 public:
  void set_replica(const consensus::Replica* replica) { replica_ = replica; }

  bool HasLease(std::int64_t term) const override {
    return replica_->HasLease(term);
  }
  consensus::MembershipStatus Members() const override {
    return replica_->membership_status();
  }
  std::int64_t WallMilliseconds() const override {
    return WallClockMilliseconds();
  }

 private:
  const consensus::Replica* replica_ = nullptr;
};

// Periodically reports to the leader that this member is alive and asks to be
// part of the cell.
class JoinRequester {
 public:
  JoinRequester(const ControllerOptions& options,
                const consensus::Replica& replica)
      : replica_(replica),
        client_(options.contacts, options.replica.id, options.cluster_secret) {
    member_.id = options.replica.id;
    member_.address = options.replica.address;
    member_.disk_identity = replica.disk_identity();
    thread_ = std::thread([this] { Run(); });
  }

  ~JoinRequester() { Stop(); }

  // Stops the reports and tells the leader that this member is about to end.
  // Returns once it has no vote, if no other member can take its place, if no
  // other leader answers, or at the deadline.
  void Leave(std::chrono::steady_clock::time_point deadline) {
    Stop();
    if (replica_.role().role == consensus::Role::kLeader) {
      return;
    }
    const auto begin = std::chrono::steady_clock::now();
    auto code = ResultCode::kNotReady;
    while (code == ResultCode::kNotReady &&
           std::chrono::steady_clock::now() < deadline) {
      // A cell that has just lost its leader elects another one meanwhile.
      const auto remaining =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              deadline - std::chrono::steady_clock::now());
      const auto called =
          client_.Run(remaining, kJoinAttemptTimeout, [&](auto& client) {
            wire::Status status;
            client.Leave(status, member_);
            code = static_cast<ResultCode>(status.code);
            return wire::CallStatus{status.code, status.leader};
          });
      if (!called) {
        code = called.error().code();
      }
      if (code == ResultCode::kNotReady) {
        std::this_thread::sleep_for(kLeaveInterval);
      }
    }
    Log(LogLevel::kInfo, "cell", "member is about to end",
        {{"code", static_cast<int>(code)},
         {"waited_ms", ToMilliseconds(std::chrono::duration_cast<Duration>(
                           std::chrono::steady_clock::now() - begin))}});
  }

  void AddContacts(const std::vector<std::string>& addresses) {
    client_.AddControllers(addresses);
  }

 private:
  void Stop() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void Run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      lock.unlock();
      Join();
      lock.lock();
      changed_.wait_until(lock,
                          std::chrono::steady_clock::now() + kJoinInterval,
                          [this] { return stopping_; });
    }
  }

  void Join() {
    std::vector<std::string> members;
    for (const auto& it : replica_.membership().members) {
      members.push_back(it.address);
    }
    client_.AddControllers(members);
    if (replica_.role().role == consensus::Role::kLeader) {
      return;
    }
    const auto joined =
        client_.Run(kJoinTimeout, kJoinAttemptTimeout, [this](auto& client) {
          wire::Status status;
          client.Join(status, member_);
          return wire::CallStatus{status.code, status.leader};
        });
    if (joined.has_value() != leader_reachable_) {
      leader_reachable_ = joined.has_value();
      Log(LogLevel::kInfo, "cell",
          leader_reachable_ ? "leader is reachable" : "no leader answers",
          {{"error",
            leader_reachable_ ? std::string() : joined.error().message()}});
    }
  }

  const consensus::Replica& replica_;
  wire::LeaderClient client_;
  wire::Member member_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool leader_reachable_ = false;
  std::thread thread_;
};

// Logs what the decision thread has done since the last call.
void LogDecisions(DecisionThread& decisions) {
  const auto counts = decisions.TakeCounts();
  Log(LogLevel::kInfo, "cell", "decisions",
      {{"turns", counts.turns},
       {"calls", counts.calls},
       {"other_events", counts.other_events},
       {"longest_wait_ms", ToMilliseconds(counts.longest_wait)},
       {"longest_turn_ms", ToMilliseconds(counts.longest_turn)}});
}

// Logs the calls to workers and the connections of peers since the last call.
void LogUsage(Relay& relay, wire::ControllerServer& server) {
  const auto calls = relay.TakeCounts();
  const auto connections = server.TakeCounts();
  Log(LogLevel::kInfo, "cell", "usage",
      {{"holds", calls.holds},
       {"starts", calls.starts},
       {"stops", calls.stops},
       {"unanswered", calls.unanswered},
       {"relayed", calls.relayed},
       {"expired", calls.expired},
       {"accepted", connections.accepted},
       {"challenged", connections.challenged},
       {"authenticated", connections.authenticated},
       {"closed", connections.closed},
       {"open", connections.open},
       {"longest_challenge_us", connections.longest_challenge.count()},
       {"longest_handshake_us", connections.longest_handshake.count()}});
}

}  // namespace

// Members are destroyed in the reverse order of their declaration.
struct Controller::Implementation {
  Implementation(const ControllerOptions& controller_options,
                 MetricsRegistry& metrics)
      : options(controller_options),
        file_system(storage::CreateSystemFileSystem()),
        transport({.own_id = options.replica.id,
                   .cluster_secret = options.cluster_secret}),
        decisions(options.engine,
                  options.snapshot_every_entries,
                  clock,
                  host,
                  metrics),
        link(options.replica.address, options.cluster_secret, clock),
        relay(
            [this](OrderId id, WorkerReply reply) {
              decisions.OnWorkerReply(id, std::move(reply));
            },
            link,
            clock) {}

  ~Implementation() {
    join_requester.reset();
    decisions.StopServing();
    usage_timer = {};
    server.reset();
    decisions.Stop();
    relay_timer = {};
    relay.Stop();
    replica.reset();
  }

  ControllerOptions options;
  SystemClock clock;
  std::unique_ptr<storage::FileSystem> file_system;
  consensus::ThriftPeerTransport transport;
  ReplicaHost host;
  DecisionThread decisions;
  std::unique_ptr<consensus::Replica> replica;
  ThriftRelayLink link;
  Relay relay;
  TimerService timers;
  TimerService::Subscription relay_timer;
  TimerService::Subscription usage_timer;
  std::unique_ptr<CallHandler> handler;
  std::unique_ptr<wire::ControllerServer> server;
  std::unique_ptr<JoinRequester> join_requester;
};

Controller::Controller(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Controller::~Controller() = default;

Result<std::unique_ptr<Controller>> Controller::Start(
    const ControllerOptions& options,
    const DriverFactory& create_driver,
    MetricsRegistry& metrics) {
  auto parts = std::make_unique<Implementation>(options, metrics);
  auto replica = consensus::Replica::Start(options.replica, *parts->file_system,
                                           parts->clock, parts->transport,
                                           parts->decisions);
  if (!replica) {
    return tl::unexpected(replica.error());
  }
  parts->replica = std::move(*replica);
  Log(LogLevel::kInfo, "cell", "data folder opened",
      {{"disk_identity", parts->replica->disk_identity()}});
  parts->host.set_replica(parts->replica.get());
  parts->relay.SetDriver(
      create_driver([raw = parts.get()](OrderId id, WorkerReply reply) {
        raw->relay.OnLocalReply(id, std::move(reply));
      }));
  parts->relay_timer = parts->timers.RunEvery(
      kRelayCheckInterval, [raw = parts.get()] { raw->relay.Advance(); });
  parts->decisions.Start(*parts->replica, parts->relay);
  parts->handler = std::make_unique<CallHandler>(parts->decisions,
                                                 *parts->replica, parts->relay);
  auto server = wire::ControllerServer::Start(
      options.listen_address, options.cluster_secret, *parts->handler,
      [&metrics](const std::string& peer_id) {
        ++metrics.Counter("peers_refused_total");
        Log(LogLevel::kWarning, "cell", "peer was not authenticated",
            {{"peer", peer_id}});
      });
  if (!server) {
    return tl::unexpected(server.error());
  }
  parts->server = std::move(*server);
  parts->usage_timer =
      parts->timers.RunEvery(kUsageLogInterval, [raw = parts.get()] {
        LogUsage(raw->relay, *raw->server);
        LogDecisions(raw->decisions);
      });
  parts->join_requester =
      std::make_unique<JoinRequester>(options, *parts->replica);
  return std::unique_ptr<Controller>(new Controller(std::move(parts)));
}

bool Controller::Post(Call call) {
  return implementation_->decisions.Post(std::move(call));
}

consensus::RoleChange Controller::role() const {
  return implementation_->replica->role();
}

void Controller::AddContacts(const std::vector<std::string>& addresses) {
  implementation_->join_requester->AddContacts(addresses);
}

void Controller::Shutdown() {
  auto& parts = *implementation_;
  const auto limit = parts.options.shutdown_limit;
  const auto deadline = std::chrono::steady_clock::now() + limit;
  if (parts.replica->HasLease()) {
    const bool transferred = parts.replica->TransferLeadership(limit / 2);
    Log(LogLevel::kInfo, "cell", "leadership handed over",
        {{"done", transferred ? "yes" : "no"}});
  }
  // A member that has ended counts for the majority as long as it has its vote.
  parts.join_requester->Leave(deadline);
  parts.decisions.StopServing();
}

}  // namespace cranberryshunt::cell
