// Simulates a Raft cluster in virtual time, with the real Raft and storage
// code, a lossy message queue and disks that lose power.
#ifndef CRANBERRYSHUNT_TESTS_CONSENSUS_SIMULATION_H_
#define CRANBERRYSHUNT_TESTS_CONSENSUS_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryshunt/consensus/raft.h"
#include "memory_file_system.h"
#include "replica_storage.h"
#include "simulation_history.h"

namespace cranberryshunt::consensus {

// Probabilities of the faults: `drop`, `duplicate` and `delay` for each
// message, the others for each step.
struct SimulationFaults {
  double drop = 0.03;
  double duplicate = 0.03;
  double delay = 0.02;
  double crash = 0;
  double partition = 0;
  double pause = 0;
  double full_disk = 0;
  double empty_disk = 0;
  double remove_member = 0;
  double compact = 0.005;
  double transfer_leadership = 0.02;
};

class Simulation {
 public:
  Simulation(std::uint64_t seed, int size, const SimulationFaults& faults)
      : random_(seed), faults_(faults) {
    for (int i = 0; i < size; ++i) {
      AddNode(true).clock_rate = 0.98 + 0.01 * (i % 5);
      wire::Member member;
      member.id = nodes_.back()->id;
      member.address = member.id;
      member.voter = true;
      members_.members.push_back(member);
    }
    for (auto& it : nodes_) {
      Start(*it);
    }
  }

  SimulatedNode& AddNode(bool bootstrap) {
    auto node = std::make_unique<SimulatedNode>();
    node->id = "n" + std::to_string(nodes_.size());
    node->bootstrap = bootstrap;
    nodes_.push_back(std::move(node));
    return *nodes_.back();
  }

  void RunFor(std::int64_t ms) {
    for (const auto end = now_ + ms; now_ < end && error.empty();) {
      now_ += kStepMs;
      InjectFaults();
      DeliverMessages();
      for (auto& it : nodes_) {
        StepNode(*it);
      }
      CheckLeases();
    }
  }
  // Ends all faults and runs until more entries are committed and all nodes
  // have caught up. Returns false after 40 s of virtual time.
  bool Converge() {
    faults_ = {.drop = 0,
               .duplicate = 0,
               .delay = 0,
               .compact = faults_.compact,
               .transfer_leadership = faults_.transfer_leadership};
    blocked_links_.clear();
    const auto before = history_.committed();
    for (auto& it : nodes_) {
      it->files->set_capacity(INT64_MAX);
      it->files->FailAfter(-1);
    }
    for (int i = 0; i < 400 && error.empty(); ++i) {
      RunFor(100);
      if (i > 20 && history_.committed() > before && IsConverged()) {
        return true;
      }
    }
    return false;
  }
  bool IsConverged() {
    auto* leader = Leader();
    if (leader == nullptr) {
      return false;
    }
    for (auto& it : nodes_) {
      if (!it->raft || it->applied < leader->applied - 20 ||
          it->raft->role() == Role::kLearner) {
        return false;
      }
    }
    return leader->applied >= history_.committed();
  }
  SimulatedNode* Leader() {
    for (auto& it : nodes_) {
      if (it->raft && !it->disk_full &&
          it->raft->LeaseUntil() > LocalTimeMs(*it)) {
        return it.get();
      }
    }
    return nullptr;
  }

  void Start(SimulatedNode& node) {
    ReplicaOptions options;
    options.id = node.id;
    options.data_directory = "/d";
    options.initial_members = members_;
    options.bootstrap = node.bootstrap;
    options.max_batch_bytes = 4096;
    node.disk_full = false;
    auto storage = ReplicaStorage::Open(options, *node.files);
    if (!storage) {
      if (storage.error().code() == ResultCode::kStorageFull ||
          storage.error().message().find("injected") != std::string::npos) {
        Crash(node);
      } else {
        RecordError(node.id + " cannot start: " + storage.error().message());
      }
      return;
    }
    node.storage = std::move(*storage);
    node.disk_identity = node.storage->disk_identity();
    node.applied = 0;
    node.state = 0;
    StartRaft(node);
  }
  void Crash(SimulatedNode& node) {
    node.raft.reset();
    node.storage.reset();
    node.files->SimulatePowerLoss(random_);
    node.down_until = now_ + RandomBetween(50, 1500);
  }
  // Whether the last committed membership lists every node as a voter with its
  // current disk. Only then may another disk be emptied.
  bool AllNodesAreVoters() const {
    std::size_t voters = 0;
    for (const auto& it : history_.membership().members) {
      for (const auto& node : nodes_) {
        voters += it.voter && node->id == it.id &&
                          node->disk_identity == it.disk_identity
                      ? 1
                      : 0;
      }
    }
    return voters == nodes_.size();
  }
  void RemoveAll(SimulatedNode& node) {
    node.raft.reset();
    node.storage.reset();
    node.files->RemoveAll();
    node.disk_identity.clear();
    node.down_until = now_ + RandomBetween(10, 1000);
    ++emptied_disks;
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  std::int64_t RandomBetween(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }

  std::string error;  // The first violation.
  int emptied_disks = 0;
  int removed_members = 0;
  int snapshots_installed = 0;
  std::int64_t committed() const { return history_.committed(); }
  std::int64_t terms() const { return history_.terms(); }
  std::vector<std::unique_ptr<SimulatedNode>>& nodes() { return nodes_; }

 private:
  static constexpr std::int64_t kStepMs = 5;

  std::int64_t LocalTimeMs(const SimulatedNode& node) const {
    return 100'000 + static_cast<std::int64_t>(static_cast<double>(now_) *
                                               node.clock_rate);
  }
  void RecordError(const std::string& message) {
    if (error.empty()) {
      error = "at " + std::to_string(now_) + " ms: " + message;
    }
  }
  void RecordViolation(const std::optional<std::string>& violation) {
    if (violation) {
      RecordError(*violation);
    }
  }
  void StartRaft(SimulatedNode& node) {
    RaftOptions options;
    options.id = node.id;
    options.disk_identity = node.disk_identity;
    options.max_batch_bytes = 4096;
    options.max_inflight_bytes = 16384;
    options.snapshot_chunk_bytes = 16;
    options.trailing_entries = 20;
    options.seed = random_();
    auto start = node.storage->TakeInitialState();
    start.applied = node.applied;
    if (start.snapshot && start.snapshot->index > node.applied) {
      Restore(node, *start.snapshot);
    }
    node.raft.emplace(options, std::move(start), LocalTimeMs(node));
  }
  void Restore(SimulatedNode& node, const SnapshotState& snapshot) {
    node.applied = snapshot.index;
    node.state = static_cast<std::uint32_t>(std::stoul(snapshot.data));
    RecordViolation(history_.CheckState(node));
  }

  void InjectFaults() {
    auto& node = *nodes_[random_() % nodes_.size()];
    if (Chance(faults_.crash)) {
      // The node loses power at one of its next file operations.
      node.files->FailAfter(RandomBetween(0, 12));
    }
    if (Chance(faults_.pause)) {
      node.paused_until = now_ + RandomBetween(50, 2000);
    }
    if (Chance(faults_.full_disk)) {
      node.files->set_capacity(node.files->used() + RandomBetween(0, 300));
    } else if (Chance(0.01)) {
      node.files->set_capacity(INT64_MAX);
    }
    // One disk may also be emptied before the first membership with disk
    // identities is committed.
    const bool unbound = history_.membership().members.empty();
    if (Chance(faults_.empty_disk) && node.raft &&
        (AllNodesAreVoters() || (unbound && emptied_disks == 0))) {
      RemoveAll(node);
      node.bootstrap = unbound || Chance(0.7);
    }
    if (Chance(faults_.partition)) {
      blocked_links_.clear();
      const bool one_way = Chance(0.3);
      for (auto& it : nodes_) {
        if (it->id != node.id && Chance(0.7)) {
          blocked_links_.insert({node.id, it->id});
          if (!one_way) {
            blocked_links_.insert({it->id, node.id});
          }
        }
      }
    } else if (Chance(0.005)) {
      blocked_links_.clear();
    }
  }

  void Send(const std::vector<wire::RaftMessage>& messages) {
    for (const auto& it : messages) {
      if (blocked_links_.contains({it.sender, it.receiver}) ||
          Chance(faults_.drop)) {
        continue;
      }
      const int copies = Chance(faults_.duplicate) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const auto delay = Chance(faults_.delay) ? RandomBetween(50, 3000)
                                                 : RandomBetween(1, 25);
        queue_.emplace(now_ + delay, it);
      }
    }
  }
  void DeliverMessages() {
    std::vector<std::pair<std::int64_t, wire::RaftMessage>> deferred;
    while (!queue_.empty() && queue_.begin()->first <= now_) {
      auto message = std::move(queue_.extract(queue_.begin()).mapped());
      for (auto& it : nodes_) {
        if (it->id != message.receiver || !it->raft || it->disk_full) {
          continue;
        }
        if (it->paused_until > now_) {
          deferred.emplace_back(it->paused_until + 1, std::move(message));
          break;
        }
        it->raft->Step(std::move(message), LocalTimeMs(*it));
        Flush(*it);
        break;
      }
    }
    for (auto& [time, message] : deferred) {
      queue_.emplace(time, std::move(message));
    }
  }

  void StepNode(SimulatedNode& node) {
    if (!node.raft) {
      if (now_ >= node.down_until) {
        Start(node);
      }
      return;
    }
    if (node.paused_until > now_) {
      return;
    }
    if (node.disk_full) {
      if (Chance(0.05)) {
        Recover(node);
      }
      return;
    }
    node.raft->Tick(LocalTimeMs(node));
    if (Flush(node) && node.raft->role() == Role::kLeader && Chance(0.3)) {
      (void)node.raft->Propose(std::to_string(next_value_++));
      if (Chance(faults_.transfer_leadership)) {
        (void)node.raft->TransferLeadership(400);
      }
      ChangeMembers(node);
      Flush(node);
    }
    if (node.raft && !node.disk_full && Chance(faults_.compact)) {
      Compact(node);
    }
  }
  // Sometimes removes a random member, and sometimes adds a missing one.
  void ChangeMembers(SimulatedNode& leader) {
    wire::MembershipChange change;
    auto members = leader.raft->membership().members;
    change.member = members[random_() % members.size()];
    change.remove = true;
    if (Chance(faults_.remove_member) &&
        leader.raft->ChangeMembership(change)) {
      ++removed_members;
      return;
    }
    for (const auto& it : members_.members) {
      const bool missing =
          std::none_of(members.begin(), members.end(),
                       [&](const auto& member) { return member.id == it.id; });
      if (missing && Chance(0.02)) {
        change.member = it;
        change.remove = false;
        (void)leader.raft->ChangeMembership(change);
      }
    }
  }
  void Recover(SimulatedNode& node) {
    if (auto recovered = node.storage->Recover(); recovered) {
      node.disk_full = false;
      StartRaft(node);
    } else if (recovered.error().code() != ResultCode::kStorageFull) {
      Crash(node);
    }
  }
  void Compact(SimulatedNode& node) {
    auto snapshot =
        node.raft->MakeSnapshot(node.applied, std::to_string(node.state));
    if (!snapshot) {
      return;
    }
    auto saved = node.storage->SaveSnapshot(*snapshot);
    if (saved) {
      node.raft->Compact(snapshot);
      saved = node.storage->DropPrefix(node.raft->log().base_index());
    }
    if (!saved && saved.error().code() != ResultCode::kStorageFull) {
      Crash(node);
    }
  }

  // Processes Raft output as the consensus thread does. Returns false when the
  // node failed or a check found a violation.
  bool Flush(SimulatedNode& node) {
    while (node.raft && !node.disk_full && error.empty()) {
      auto output = node.raft->TakeOutput();
      auto stored = node.storage->Write(output);
      if (stored) {
        Send(output.messages_before_sync);
        stored = node.storage->Sync();
      }
      if (!stored && stored.error().code() == ResultCode::kStorageFull &&
          node.storage->RollBack()) {
        node.disk_full = true;
        return false;
      }
      if (!stored) {
        Crash(node);
        return false;
      }
      node.raft->MarkPersisted();
      Send(output.messages_after_sync);
      if (output.snapshot) {
        ++snapshots_installed;
        Restore(node, *output.snapshot);
      }
      for (const auto& it : node.raft->TakeCommitted()) {
        RecordViolation(history_.Apply(node, it));
      }
      RecordViolation(history_.CheckEntries(node, output));
      RecordViolation(history_.CheckLeader(node));
      if (!node.raft->HasOutput()) {
        return error.empty();
      }
    }
    return false;
  }

  void CheckLeases() {
    std::string holder;
    for (auto& it : nodes_) {
      // A paused leader keeps its lease until the lease ends by its own clock.
      if (it->raft && !it->disk_full &&
          it->raft->LeaseUntil() > LocalTimeMs(*it)) {
        if (!holder.empty()) {
          RecordError(holder + " and " + it->id + " hold a lease");
        }
        holder = it->id;
      }
    }
  }

  std::mt19937_64 random_;
  SimulationFaults faults_;
  std::int64_t now_ = 0;
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
  wire::Membership members_;
  History history_;
  std::multimap<std::int64_t, wire::RaftMessage> queue_;
  std::set<std::pair<std::string, std::string>> blocked_links_;
  std::int64_t next_value_ = 1;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_TESTS_CONSENSUS_SIMULATION_H_
