#include "cranberryshunt/wire/controller_server.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TServerFramework.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/authentication.h"

namespace cranberryshunt::wire {

namespace {

using apache::thrift::TConnectionInfo;
using apache::thrift::protocol::TBinaryProtocolFactory;
using apache::thrift::protocol::TProtocol;
using apache::thrift::server::TConnectedClient;
using apache::thrift::server::TServerEventHandler;
using apache::thrift::server::TServerFramework;
using apache::thrift::transport::TFramedTransportFactory;
using apache::thrift::transport::TServerSocket;
using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportException;

using SteadyTime = std::chrono::steady_clock::time_point;

std::chrono::microseconds ElapsedSince(SteadyTime begin) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - begin);
}

// Counts the steps of new connections. Safe for use by several threads.
class ConnectionCounter {
 public:
  void CountAccepted() {
    Change([](auto& it) {
      ++it.accepted;
      ++it.open;
    });
  }
  void CountChallenged(SteadyTime accepted) {
    Change([&](auto& it) {
      ++it.challenged;
      it.longest_challenge =
          std::max(it.longest_challenge, ElapsedSince(accepted));
    });
  }
  void CountAuthenticated(SteadyTime accepted) {
    Change([&](auto& it) {
      ++it.authenticated;
      it.longest_handshake =
          std::max(it.longest_handshake, ElapsedSince(accepted));
    });
  }
  void CountClosed() {
    Change([](auto& it) {
      ++it.closed;
      --it.open;
    });
  }

  ConnectionCounts Take() {
    const std::lock_guard lock(mutex_);
    const auto taken = counts_;
    counts_ = {};
    counts_.open = taken.open;
    return taken;
  }

 private:
  template <typename F>
  void Change(F change) {
    const std::lock_guard lock(mutex_);
    change(counts_);
  }

  std::mutex mutex_;
  ConnectionCounts counts_;
};

// The handler of one connection. It authenticates the peer and forwards all
// other calls.
class ConnectionHandler final : public ControllerServiceIf {
 public:
  ConnectionHandler(ControllerServiceIf& handler,
                    const std::string& cluster_secret,
                    const ControllerServer::OnRefused& on_refused,
                    ConnectionCounter& counter,
                    std::shared_ptr<TTransport> transport)
      : handler_(handler),
        cluster_secret_(cluster_secret),
        on_refused_(on_refused),
        counter_(counter),
        transport_(std::move(transport)) {
    counter_.CountAccepted();
  }

  void Challenge(std::string& reply,
                 const std::string& client_id,
                 const std::string& client_nonce) override {
    counter_.CountChallenged(accepted_);
    client_id_ = client_id;
    client_nonce_ = client_nonce;
    server_nonce_ = RandomBytes(kNonceBytes);
    reply = server_nonce_ + ServerProof(cluster_secret_, client_id,
                                        client_nonce, server_nonce_);
  }

  void Authenticate(std::string& reply,
                    const std::string& client_proof) override {
    reply.clear();
    // Without a challenge the server nonce is empty, and a proof for an empty
    // nonce could be replayed.
    const bool challenged = !server_nonce_.empty();
    authenticated_ =
        challenged &&
        ConstantTimeEquals(client_proof,
                           ClientProof(cluster_secret_, client_id_,
                                       client_nonce_, server_nonce_));
    server_nonce_.clear();
    if (!authenticated_) {
      on_refused_(client_id_);
      NotAuthenticated error;
      error.message = "proof does not match the cluster secret";
      throw error;
    }
    counter_.CountAuthenticated(accepted_);
  }

  void Submit(SubmitReply& reply, const SubmitRequest& request) override {
    RequireAuthentication();
    handler_.Submit(reply, request);
  }
  void Report(ReportReply& reply, const EntryReport& report) override {
    RequireAuthentication();
    handler_.Report(reply, report);
  }
  void Poll(PollReply& reply, const PollRequest& request) override {
    RequireAuthentication();
    handler_.Poll(reply, request);
  }
  void GetJob(GetJobReply& reply, const GetJobRequest& request) override {
    RequireAuthentication();
    handler_.GetJob(reply, request);
  }
  void CancelJobs(CancelReply& reply,
                  const std::string& entry_id,
                  const std::vector<std::string>& job_ids,
                  const std::string& reason) override {
    RequireAuthentication();
    handler_.CancelJobs(reply, entry_id, job_ids, reason);
  }
  void Publish(PublishReply& reply,
               const PublishRequest& request,
               const std::int32_t wait_ms) override {
    RequireAuthentication();
    handler_.Publish(reply, request, wait_ms);
  }
  void GetRules(RulesReply& reply, const std::int64_t if_newer_than) override {
    RequireAuthentication();
    handler_.GetRules(reply, if_newer_than);
  }
  void GetAudit(AuditReply& reply,
                const std::int64_t after_sequence,
                const std::int32_t limit) override {
    RequireAuthentication();
    handler_.GetAudit(reply, after_sequence, limit);
  }
  void GetCluster(ClusterReply& reply) override {
    RequireAuthentication();
    handler_.GetCluster(reply);
  }
  void Drain(Status& reply, const DrainWorker& request) override {
    RequireAuthentication();
    handler_.Drain(reply, request);
  }
  void ChangeMembership(Status& reply,
                        const MembershipChange& change) override {
    RequireAuthentication();
    handler_.ChangeMembership(reply, change);
  }
  void DeliverRaft(const std::vector<RaftMessage>& messages) override {
    RequireAuthentication();
    handler_.DeliverRaft(messages);
  }
  void CallGraph(GraphReply& reply, const GraphRequest& request) override {
    RequireAuthentication();
    handler_.CallGraph(reply, request);
  }
  void PollAdvice(AdviceOrders& reply, const AdvicePoll& poll) override {
    RequireAuthentication();
    handler_.PollAdvice(reply, poll);
  }
  void RelayOrders(const std::string& leader,
                   const std::vector<RelayedOrder>& orders) override {
    RequireAuthentication();
    handler_.RelayOrders(leader, orders);
  }
  void RelayReplies(const std::vector<RelayedReply>& replies) override {
    RequireAuthentication();
    handler_.RelayReplies(replies);
  }
  void Join(Status& reply, const Member& member) override {
    RequireAuthentication();
    handler_.Join(reply, member);
  }
  void Leave(Status& reply, const Member& member) override {
    RequireAuthentication();
    handler_.Leave(reply, member);
  }

 private:
  void RequireAuthentication() const {
    if (!authenticated_) {
      transport_->close();
      throw TTransportException(TTransportException::NOT_OPEN,
                                "call before authentication");
    }
  }

  ControllerServiceIf& handler_;
  const std::string& cluster_secret_;
  const ControllerServer::OnRefused& on_refused_;
  ConnectionCounter& counter_;
  std::shared_ptr<TTransport> transport_;
  const SteadyTime accepted_ = std::chrono::steady_clock::now();
  std::string client_id_;
  std::string client_nonce_;
  std::string server_nonce_;
  bool authenticated_ = false;
};

class HandlerFactory final : public ControllerServiceIfFactory {
 public:
  HandlerFactory(ControllerServiceIf& handler,
                 std::string cluster_secret,
                 ControllerServer::OnRefused on_refused)
      : handler_(handler),
        cluster_secret_(std::move(cluster_secret)),
        on_refused_(std::move(on_refused)) {}

  ControllerServiceIf* getHandler(const TConnectionInfo& info) override {
    return new ConnectionHandler(handler_, cluster_secret_, on_refused_,
                                 counter_, info.transport);
  }
  void releaseHandler(ControllerServiceIf* handler) override { delete handler; }

  ConnectionCounter& counter() { return counter_; }

 private:
  ControllerServiceIf& handler_;
  std::string cluster_secret_;
  ControllerServer::OnRefused on_refused_;
  ConnectionCounter counter_;
};

// Lets the starting thread wait until the server is listening or has failed to
// start. Counts the connections that end.
class ListenSignal final : public TServerEventHandler {
 public:
  explicit ListenSignal(ConnectionCounter& counter) : counter_(counter) {}

  void preServe() override { Set(true); }
  void deleteContext(void* /*context*/,
                     std::shared_ptr<TProtocol> /*input*/,
                     std::shared_ptr<TProtocol> /*output*/) override {
    counter_.CountClosed();
  }

  void Set(bool listening) {
    std::lock_guard lock(mutex_);
    done_ = true;
    listening_ = listening_ || listening;
    changed_.notify_all();
  }

  bool Wait() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return done_; });
    return listening_;
  }

 private:
  ConnectionCounter& counter_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool done_ = false;
  bool listening_ = false;
};

// Serves each connection on a thread of its own. Unlike Thrift's own server of
// this kind, it accepts the next connection without waiting for a new thread to
// run or for an old one to end: where processor time is short, these waits take
// longer than all the rest.
class ConnectionThreads final : public TServerFramework {
 public:
  using TServerFramework::TServerFramework;

  // Returns when it has been stopped and all connections have ended.
  void serve() override {
    TServerFramework::serve();
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [&] { return connections_ == 0; });
  }

 protected:
  void onClientConnected(
      const std::shared_ptr<TConnectedClient>& client) override {
    ChangeConnections(1);
    try {
      std::thread([this, client = client]() mutable {
        client->run();
        client.reset();
        std::unique_lock lock(mutex_);
        --connections_;
        std::notify_all_at_thread_exit(ended_, std::move(lock));
      }).detach();
    } catch (const std::system_error& error) {
      ChangeConnections(-1);
      Log(LogLevel::kError, "wire", "connection refused: no thread",
          {{"error", error.what()}});
    }
  }
  void onClientDisconnected(TConnectedClient* /*client*/) override {}

 private:
  void ChangeConnections(int change) {
    const std::lock_guard lock(mutex_);
    connections_ += change;
  }

  std::mutex mutex_;
  std::condition_variable ended_;
  int connections_ = 0;
};

}  // namespace

struct ControllerServer::Implementation {
  std::shared_ptr<HandlerFactory> handlers;
  std::shared_ptr<ListenSignal> ready;
  std::shared_ptr<ConnectionThreads> server;
  std::string failure;
  std::thread thread;
};

ControllerServer::ControllerServer(
    std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Result<std::unique_ptr<ControllerServer>> ControllerServer::Start(
    const std::string& listen_address,
    std::string cluster_secret,
    ControllerServiceIf& handler,
    OnRefused on_refused) {
  const auto colon = listen_address.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ResultCode::kInvalidSettings, "address is not ip:port",
                listen_address);
  }
  auto handlers = std::make_shared<HandlerFactory>(
      handler, std::move(cluster_secret), std::move(on_refused));
  auto socket = std::make_shared<TServerSocket>(
      listen_address.substr(0, colon),
      std::atoi(listen_address.c_str() + colon + 1));
  auto implementation = std::make_unique<Implementation>();
  implementation->handlers = handlers;
  implementation->ready = std::make_shared<ListenSignal>(handlers->counter());
  implementation->server = std::make_shared<ConnectionThreads>(
      std::make_shared<ControllerServiceProcessorFactory>(handlers), socket,
      std::make_shared<TFramedTransportFactory>(),
      std::make_shared<TBinaryProtocolFactory>());
  implementation->server->setServerEventHandler(implementation->ready);
  implementation->thread = std::thread([raw = implementation.get()] {
    try {
      raw->server->serve();
    } catch (const apache::thrift::TException& error) {
      raw->failure = error.what();
    }
    raw->ready->Set(false);
  });
  if (!implementation->ready->Wait()) {
    implementation->thread.join();
    return Fail(ResultCode::kUnavailable, "cannot listen on " + listen_address +
                                              ": " + implementation->failure);
  }
  return std::unique_ptr<ControllerServer>(
      new ControllerServer(std::move(implementation)));
}

ConnectionCounts ControllerServer::TakeCounts() {
  return implementation_->handlers->counter().Take();
}

ControllerServer::~ControllerServer() {
  implementation_->server->stop();
  implementation_->thread.join();
}

}  // namespace cranberryshunt::wire
