// Records what the simulated replicas committed, and checks the safety
// properties of Raft.
#ifndef CRANBERRYSHUNT_TESTS_CONSENSUS_SIMULATION_HISTORY_H_
#define CRANBERRYSHUNT_TESTS_CONSENSUS_SIMULATION_HISTORY_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/consensus/raft.h"
#include "cranberryshunt/wire/codec.h"
#include "memory_file_system.h"
#include "replica_storage.h"

namespace cranberryshunt::consensus {

struct SimulatedNode {
  std::string id;
  std::unique_ptr<storage::MemoryFileSystem> files =
      std::make_unique<storage::MemoryFileSystem>();
  std::unique_ptr<ReplicaStorage> storage;
  std::optional<Raft> raft;  // Empty while the node is down.
  std::string disk_identity;
  bool disk_full = false;  // The node is inactive while its disk is full.
  bool bootstrap = true;
  std::int64_t down_until = 0;
  std::int64_t paused_until = 0;
  double clock_rate = 1;
  std::uint32_t state = 0;  // Checksum over all applied commands.
  std::int64_t applied = 0;
};

// Each check returns a description of the violation that it found.
class History {
 public:
  using Violation = std::optional<std::string>;

  // Records that `node` applied a committed entry. All replicas must apply the
  // same entries in the same order.
  Violation Apply(SimulatedNode& node, const storage::LogEntry& entry) {
    const auto data = Crc32(entry.data);
    if (entry.type == kCommandEntry) {
      node.state = Crc32(std::to_string(node.state) + entry.data);
    }
    if (entry.index != node.applied + 1) {
      return node.id + " skipped entries before " + std::to_string(entry.index);
    }
    node.applied = entry.index;
    const auto [known, added] = log_.try_emplace(
        entry.index,
        Committed{entry.term, data, node.state, node.raft->term()});
    if (known->second.term != entry.term || known->second.data != data ||
        known->second.state != node.state) {
      return node.id + " committed another entry at " +
             std::to_string(entry.index);
    }
    if (added && entry.type == kMembershipEntry) {
      membership_ = *wire::Decode<wire::Membership>(entry.data);
    }
    committed_ = std::max(committed_, entry.index);
    return std::nullopt;
  }
  // Checks the state that `node` restored from a snapshot against the state
  // recorded for the same index.
  Violation CheckState(const SimulatedNode& node) const {
    if (log_.at(node.applied).state == node.state) {
      return std::nullopt;
    }
    return node.id + " got a snapshot with a different state";
  }
  // Checks log matching: entries with the same index and term have the same
  // data.
  Violation CheckEntries(const SimulatedNode& node, const RaftOutput& output) {
    for (const auto& it : output.entries) {
      const auto data = Crc32(it.data);
      const auto known =
          entries_.try_emplace({it.index, it.term}, data).first->second;
      if (known != data) {
        return node.id + " has another entry at " + std::to_string(it.index);
      }
    }
    return std::nullopt;
  }
  // Checks election safety (one leader in each term) and leader completeness (a
  // new leader has the entries that were committed in earlier terms).
  Violation CheckLeader(const SimulatedNode& node) {
    if (node.raft->role() != Role::kLeader) {
      return std::nullopt;
    }
    const auto name = node.id + "/" + node.disk_identity;
    const auto [leader, added] = leaders_.try_emplace(node.raft->term(), name);
    if (leader->second != name) {
      return name + " and " + leader->second + " lead the same term";
    }
    const auto& log = node.raft->log();
    for (const auto& [index, entry] : log_) {
      // The leader of an older term may be recorded after later terms committed
      // entries. It may lack those.
      if (added && entry.committed_in < node.raft->term() &&
          index >= log.base_index() && log.TermAt(index) != entry.term) {
        return name + " leads without entry " + std::to_string(index);
      }
    }
    return std::nullopt;
  }

  std::int64_t committed() const { return committed_; }
  const wire::Membership& membership() const { return membership_; }
  std::int64_t terms() const {
    return static_cast<std::int64_t>(leaders_.size());
  }

 private:
  struct Committed {
    std::int64_t term = 0;
    std::uint32_t data = 0;
    std::uint32_t state = 0;  // Checksum after this entry.
    // Term of the node that recorded the entry first; the entry was committed
    // in this term or an earlier one.
    std::int64_t committed_in = 0;
  };

  std::map<std::int64_t, Committed> log_;
  std::map<std::pair<std::int64_t, std::int64_t>, std::uint32_t> entries_;
  std::map<std::int64_t, std::string> leaders_;
  wire::Membership membership_;  // The last committed membership.
  std::int64_t committed_ = 0;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_TESTS_CONSENSUS_SIMULATION_HISTORY_H_
