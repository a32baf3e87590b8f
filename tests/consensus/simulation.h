// Raft cores with real storage code over a lossy message queue and disks that
// lose power, under virtual time.
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

struct SimulationFaults {
  double drop = 0.03;
  double duplicate = 0.03;
  double late = 0.02;
  double crash = 0;  // Probabilities for each step.
  double partition = 0;
  double pause = 0;
  double full = 0;
  double empty = 0;
  double remove = 0;
  double compact = 0.005;
  double transfer = 0.02;
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
  // Ends all faults and waits until every node has everything.
  bool Converge() {
    faults_ = {.drop = 0,
               .duplicate = 0,
               .late = 0,
               .compact = faults_.compact,
               .transfer = faults_.transfer};
    blocked_.clear();
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
      if (it->raft && !it->full && it->raft->LeaseUntil() > NowOf(*it)) {
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
    node.full = false;
    auto storage = ReplicaStorage::Open(options, *node.files);
    if (!storage) {
      if (storage.error().code() == ResultCode::kStorageFull ||
          storage.error().message().find("injected") != std::string::npos) {
        Crash(node);
      } else {
        Fault(node.id + " cannot start: " + storage.error().message());
      }
      return;
    }
    node.storage = std::move(*storage);
    node.disk = node.storage->disk_identity();
    node.applied = 0;
    node.state = 0;
    StartRaft(node);
  }
  void Crash(SimulatedNode& node) {
    node.raft.reset();
    node.storage.reset();
    node.files->SimulatePowerLoss(random_);
    node.down_until = now_ + Between(50, 1500);
  }
  // Whether all members of the last committed membership are voters whose
  // disks still exist; only then another disk may be lost.
  bool IsWhole() const {
    std::size_t voters = 0;
    for (const auto& it : history_.membership().members) {
      for (const auto& node : nodes_) {
        voters +=
            it.voter && node->id == it.id && node->disk == it.disk_identity ? 1
                                                                            : 0;
      }
    }
    return voters == nodes_.size();
  }
  void RemoveAll(SimulatedNode& node) {
    node.raft.reset();
    node.storage.reset();
    node.files->RemoveAll();
    node.disk.clear();
    node.down_until = now_ + Between(10, 1000);
    ++emptied;
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }

  std::string error;  // The first violation.
  int emptied = 0;
  int removed = 0;
  int snapshots_installed = 0;
  std::int64_t committed() const { return history_.committed(); }
  std::int64_t terms() const { return history_.terms(); }
  std::vector<std::unique_ptr<SimulatedNode>>& nodes() { return nodes_; }

 private:
  static constexpr std::int64_t kStepMs = 5;

  std::int64_t NowOf(const SimulatedNode& node) const {
    return 100'000 + static_cast<std::int64_t>(static_cast<double>(now_) *
                                               node.clock_rate);
  }
  void Fault(const std::string& message) {
    if (error.empty()) {
      error = "at " + std::to_string(now_) + " ms: " + message;
    }
  }
  void Report(const std::optional<std::string>& violation) {
    if (violation) {
      Fault(*violation);
    }
  }
  void StartRaft(SimulatedNode& node) {
    RaftOptions options;
    options.id = node.id;
    options.disk_identity = node.disk;
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
    node.raft.emplace(options, std::move(start), NowOf(node));
  }
  void Restore(SimulatedNode& node, const SnapshotState& snapshot) {
    node.applied = snapshot.index;
    node.state = static_cast<std::uint32_t>(std::stoul(snapshot.data));
    Report(history_.CheckState(node));
  }

  void InjectFaults() {
    auto& node = *nodes_[random_() % nodes_.size()];
    if (Chance(faults_.crash)) {
      // The power fails at one of the next file operations.
      node.files->FailAfter(Between(0, 12));
    }
    if (Chance(faults_.pause)) {
      node.paused_until = now_ + Between(50, 2000);
    }
    if (Chance(faults_.full)) {
      node.files->set_capacity(node.files->used() + Between(0, 300));
    } else if (Chance(0.01)) {
      node.files->set_capacity(INT64_MAX);
    }
    // Before the identities are bound, one disk may be lost as well.
    const bool unbound = history_.membership().members.empty();
    if (Chance(faults_.empty) && node.raft &&
        (IsWhole() || (unbound && emptied == 0))) {
      RemoveAll(node);
      node.bootstrap = unbound || Chance(0.7);
    }
    if (Chance(faults_.partition)) {
      blocked_.clear();
      const bool one_way = Chance(0.3);
      for (auto& it : nodes_) {
        if (it->id != node.id && Chance(0.7)) {
          blocked_.insert({node.id, it->id});
          if (!one_way) {
            blocked_.insert({it->id, node.id});
          }
        }
      }
    } else if (Chance(0.005)) {
      blocked_.clear();
    }
  }

  void Send(const std::vector<wire::RaftMessage>& messages) {
    for (const auto& it : messages) {
      if (blocked_.contains({it.sender, it.receiver}) || Chance(faults_.drop)) {
        continue;
      }
      const int copies = Chance(faults_.duplicate) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const auto delay =
            Chance(faults_.late) ? Between(50, 3000) : Between(1, 25);
        queue_.emplace(now_ + delay, it);
      }
    }
  }
  void DeliverMessages() {
    std::vector<std::pair<std::int64_t, wire::RaftMessage>> held;
    while (!queue_.empty() && queue_.begin()->first <= now_) {
      auto message = std::move(queue_.extract(queue_.begin()).mapped());
      for (auto& it : nodes_) {
        if (it->id != message.receiver || !it->raft || it->full) {
          continue;
        }
        if (it->paused_until > now_) {
          held.emplace_back(it->paused_until + 1, std::move(message));
          break;
        }
        it->raft->Step(std::move(message), NowOf(*it));
        Flush(*it);
        break;
      }
    }
    for (auto& [time, message] : held) {
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
    if (node.full) {
      if (Chance(0.05)) {
        Recover(node);
      }
      return;
    }
    node.raft->Tick(NowOf(node));
    if (Flush(node) && node.raft->role() == Role::kLeader && Chance(0.3)) {
      (void)node.raft->Propose(std::to_string(next_value_++));
      if (Chance(faults_.transfer)) {
        (void)node.raft->TransferLeadership(400);
      }
      ChangeMembers(node);
      Flush(node);
    }
    if (node.raft && !node.full && Chance(faults_.compact)) {
      Compact(node);
    }
  }
  // Removes a member at times, and adds missing ones.
  void ChangeMembers(SimulatedNode& leader) {
    wire::MembershipChange change;
    auto members = leader.raft->membership().members;
    change.member = members[random_() % members.size()];
    change.remove = true;
    if (Chance(faults_.remove) && leader.raft->ChangeMembership(change)) {
      ++removed;
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
      node.full = false;
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

  // Does what the consensus thread does with output; false when it failed.
  bool Flush(SimulatedNode& node) {
    while (node.raft && !node.full && error.empty()) {
      auto output = node.raft->TakeOutput();
      auto stored = node.storage->Write(output);
      if (stored) {
        Send(output.messages_before_sync);
        stored = node.storage->Sync();
      }
      if (!stored && stored.error().code() == ResultCode::kStorageFull &&
          node.storage->RollBack()) {
        node.full = true;
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
        Report(history_.Apply(node, it));
      }
      Report(history_.CheckEntries(node, output));
      Report(history_.CheckLeader(node));
      if (!node.raft->HasOutput()) {
        return error.empty();
      }
    }
    return false;
  }

  void CheckLeases() {
    std::string holder;
    for (auto& it : nodes_) {
      // A paused leader believes in its lease until its own clock ends it.
      if (it->raft && !it->full && it->raft->LeaseUntil() > NowOf(*it)) {
        if (!holder.empty()) {
          Fault(holder + " and " + it->id + " hold a lease");
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
  std::set<std::pair<std::string, std::string>> blocked_;
  std::int64_t next_value_ = 1;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_TESTS_CONSENSUS_SIMULATION_H_
