// The data folder of a replica.
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
  // Formats the folder when it is empty, and reads everything in it.
  static Result<std::unique_ptr<ReplicaStorage>> Open(
      const ReplicaOptions& options,
      storage::FileSystem& file_system);

  // What was read; to be called once after Open() or Recover().
  RaftInitialState TakeInitialState() { return std::move(initial_state_); }

  // Writes the hard state and a snapshot durably, and the log.
  Result<void> Write(const RaftOutput& output);
  // Makes the log durable.
  Result<void> Sync();
  Result<void> SaveSnapshot(const SnapshotState& snapshot);
  // Removes log segments that are no longer needed.
  Result<void> DropPrefix(std::int64_t through);
  Result<void> SaveHardState(const storage::HardState& state);
  // Removes what was written and not synced. For use after a failure.
  Result<void> RollBack();
  // Checks that there is space for a batch, and reads the folder again.
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
