// A cluster of replicas in one process that communicate over Thrift on the
// loopback address.
#ifndef CRANBERRYSHUNT_TESTS_CONSENSUS_CLUSTER_H_
#define CRANBERRYSHUNT_TESTS_CONSENSUS_CLUSTER_H_

#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/consensus/replica.h"
#include "cranberryshunt/consensus/thrift_peer_transport.h"
#include "cranberryshunt/storage/file_system.h"
#include "cranberryshunt/wire/controller_server.h"
#include "support/loopback.h"

namespace cranberryshunt::consensus {

inline constexpr std::chrono::seconds kWaitTimeout{10};

// Polls `condition` until it holds. Returns false after kWaitTimeout.
inline bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

// Concatenates the data of all committed entries; a snapshot replaces the
// result.
class RecordingObserver final : public ReplicaObserver {
 public:
  void OnCommitted(std::vector<CommittedEntry> entries) override {
    std::lock_guard lock(mutex_);
    for (auto& it : entries) {
      state_ += it.data + ";";
      applied_ = it.index;
    }
  }
  void OnSnapshot(std::int64_t index, std::string data) override {
    std::lock_guard lock(mutex_);
    state_ = std::move(data);
    applied_ = index;
  }
  void OnRoleChange(const RoleChange& /*change*/) override {}
  void OnStorageFailure(const Error& /*error*/) override { ++failures; }

  std::string state() const {
    std::lock_guard lock(mutex_);
    return state_;
  }
  std::int64_t applied() const {
    std::lock_guard lock(mutex_);
    return applied_;
  }

  std::atomic<int> failures = 0;

 private:
  mutable std::mutex mutex_;
  std::string state_;
  std::int64_t applied_ = 0;
};

// Passes received messages to the replica while one is set.
class RaftHandler final : public wire::ControllerServiceNull {
 public:
  void DeliverRaft(const std::vector<wire::RaftMessage>& messages) override {
    std::lock_guard lock(mutex_);
    if (replica_ != nullptr) {
      replica_->Receive(messages);
    }
  }
  void set_replica(Replica* replica) {
    std::lock_guard lock(mutex_);
    replica_ = replica;
  }

 private:
  std::mutex mutex_;
  Replica* replica_ = nullptr;
};

// A controller. The server keeps running when the replica is stopped, so that
// the address does not change.
struct Node {
  std::string id;
  std::string address;
  std::string directory;
  RaftHandler handler;
  std::unique_ptr<wire::ControllerServer> server;
  std::unique_ptr<RecordingObserver> observer;
  std::unique_ptr<ThriftPeerTransport> transport;
  std::unique_ptr<Replica> replica;
};

class Cluster {
 public:
  explicit Cluster(int size, storage::FileSystem* file_system = nullptr)
      : directory_(file_system == nullptr
                       ? std::filesystem::temp_directory_path() /
                             RandomId("consensus-test-")
                       : std::filesystem::path("/data")),
        system_file_system_(storage::CreateSystemFileSystem()),
        file_system_(file_system == nullptr ? *system_file_system_
                                            : *file_system) {
    for (int i = 0; i < size; ++i) {
      AddNode();
      wire::Member member;
      member.id = nodes.back()->id;
      member.address = nodes.back()->address;
      member.voter = true;
      members_.members.push_back(member);
    }
  }
  ~Cluster() {
    for (auto& it : nodes) {
      Stop(*it);
    }
    std::filesystem::remove_all(directory_);
  }

  Node& AddNode() {
    auto node = std::make_unique<Node>();
    node->id = "c" + std::to_string(nodes.size());
    node->directory = (directory_ / node->id).string();
    // Each test runs in its own process with its own loopback address. A test
    // may create several clusters, so a port can be taken already.
    for (int port = 22000 + static_cast<int>(nodes.size());
         port < 23000 && !node->server; ++port) {
      node->address = test::OwnLoopbackIp() + ":" + std::to_string(port);
      auto server = wire::ControllerServer::Start(
          node->address, "secret", node->handler, [](const auto&) {});
      if (server) {
        node->server = std::move(*server);
      }
    }
    nodes.push_back(std::move(node));
    return *nodes.back();
  }

  Node* Find(const std::string& id) {
    for (auto& it : nodes) {
      if (it->id == id) {
        return it.get();
      }
    }
    return nullptr;
  }

  Result<void> Start(Node& node, bool bootstrap = true) {
    ReplicaOptions options;
    options.id = node.id;
    options.address = node.address;
    options.data_directory = node.directory;
    options.initial_members = members_;
    options.bootstrap = bootstrap;
    options.election_timeout = election_timeout;
    node.observer = std::make_unique<RecordingObserver>();
    node.transport =
        std::make_unique<ThriftPeerTransport>(ThriftPeerTransportOptions{
            .own_id = node.id, .cluster_secret = "secret"});
    auto replica = Replica::Start(options, file_system_, clock_,
                                  *node.transport, *node.observer);
    if (!replica) {
      return tl::unexpected(replica.error());
    }
    node.replica = std::move(*replica);
    node.handler.set_replica(node.replica.get());
    return {};
  }
  void StartAll() {
    for (auto& it : nodes) {
      (void)Start(*it);
    }
  }
  void Stop(Node& node) {
    node.handler.set_replica(nullptr);
    node.replica.reset();
    node.transport.reset();
  }
  void EmptyDisk(Node& node) { std::filesystem::remove_all(node.directory); }

  // Waits for a leader with a lease. Returns null after kWaitTimeout.
  Node* Leader() {
    Node* leader = nullptr;
    Eventually([&] {
      for (auto& it : nodes) {
        if (it->replica && it->replica->HasLease()) {
          leader = it.get();
        }
      }
      return leader != nullptr;
    });
    return leader;
  }

  // Retries the proposal at the leader until it succeeds. A retry may commit
  // the data twice.
  bool Commit(const std::string& data) {
    return Eventually([&] {
      auto* leader = Leader();
      if (leader == nullptr) {
        return false;
      }
      std::promise<bool> done;
      leader->replica->Propose(
          leader->replica->role().term, data,
          [&](const auto& it) { done.set_value(it.has_value()); });
      return done.get_future().get();
    });
  }

  std::chrono::milliseconds election_timeout{250};
  std::vector<std::unique_ptr<Node>> nodes;

 private:
  const std::filesystem::path directory_;
  const std::unique_ptr<storage::FileSystem> system_file_system_;
  storage::FileSystem& file_system_;
  SystemClock clock_;
  wire::Membership members_;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_TESTS_CONSENSUS_CLUSTER_H_
