// Stores the state of a replica in its data folder.
#ifndef CRANBERRYSHUNT_CONSENSUS_REPLICA_STORAGE_H_
#define CRANBERRYSHUNT_CONSENSUS_REPLICA_STORAGE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/consensus/raft.h"
#include "cranberryshunt/consensus/replica.h"
#include "cranberryshunt/storage/disk_identity.h"
#include "cranberryshunt/storage/file_system.h"
#include "cranberryshunt/storage/log.h"

namespace cranberryshunt::consensus {

class ReplicaStorage {
 public:
  // Locks the data folder, formats it when it is empty, and loads its content.
  static Result<std::unique_ptr<ReplicaStorage>> Open(
      const ReplicaOptions& options,
      storage::FileSystem& file_system);

  // Returns the state that was loaded. Must be called once after Open() or
  // Recover().
  RaftInitialState TakeInitialState() { return std::move(initial_state_); }

  // Stores the hard state and a snapshot durably, and writes log entries
  // without a sync.
  Result<void> Write(const RaftOutput& output);
  // Makes the written log entries durable.
  Result<void> Sync();
  Result<void> SaveSnapshot(const SnapshotState& snapshot);
  // Removes the log segments that hold only entries up to `through`.
  Result<void> DropPrefix(std::int64_t through);
  Result<void> SaveHardState(const storage::HardState& state);
  // Removes the log entries that were written and not synced. Used after a
  // failure.
  Result<void> RollBack();
  // Rolls the log back, checks that there is space for a batch, and loads the
  // data folder again.
  Result<void> Recover();

  const std::string& disk_identity() const { return identity_.disk; }
  std::int64_t syncs() const { return syncs_; }

 private:
  ReplicaStorage(const ReplicaOptions& options,
                 storage::FileSystem& file_system);

  Result<void> LoadIdentity(const ReplicaOptions& options);
  Result<void> Load();
  Result<void> OpenLog();

  storage::FileSystem& file_system_;
  const std::string directory_;
  const std::size_t max_batch_bytes_;
  storage::DiskIdentity identity_;
  std::unique_ptr<storage::Log> log_;
  RaftInitialState initial_state_;
  std::int64_t syncs_ = 0;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_CONSENSUS_REPLICA_STORAGE_H_
