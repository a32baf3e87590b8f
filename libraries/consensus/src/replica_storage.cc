#include "replica_storage.h"

#include <algorithm>
#include <utility>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/storage/hard_state.h"
#include "cranberryshunt/storage/snapshot_file.h"
#include "cranberryshunt/wire/codec.h"
#include "membership.h"

namespace cranberryshunt::consensus {

ReplicaStorage::ReplicaStorage(const ReplicaOptions& options,
                               storage::FileSystem& file_system)
    : file_system_(file_system),
      directory_(options.data_directory),
      max_batch_bytes_(options.max_batch_bytes) {}

Result<std::unique_ptr<ReplicaStorage>> ReplicaStorage::Open(
    const ReplicaOptions& options,
    storage::FileSystem& file_system) {
  std::unique_ptr<ReplicaStorage> storage(
      new ReplicaStorage(options, file_system));
  if (auto created = file_system.CreateDirectories(options.data_directory);
      !created) {
    return tl::unexpected(created.error());
  }
  if (auto locked = file_system.Lock(options.data_directory); !locked) {
    return tl::unexpected(locked.error());
  }
  if (auto loaded = storage->LoadIdentity(options); !loaded) {
    return tl::unexpected(loaded.error());
  }
  if (auto loaded = storage->Load(); !loaded) {
    return tl::unexpected(loaded.error());
  }
  return storage;
}

Result<void> ReplicaStorage::LoadIdentity(const ReplicaOptions& options) {
  auto identity = storage::LoadDiskIdentity(file_system_, directory_);
  if (!identity) {
    return tl::unexpected(identity.error());
  }
  if (*identity) {
    identity_ = std::move(**identity);
    if (identity_.replica != options.id) {
      return Fail(ResultCode::kWrongIdentity,
                  directory_ + ": the folder belongs to " + identity_.replica +
                      ", not to " + options.id);
    }
    return {};
  }
  if (options.bootstrap &&
      FindMember(options.initial_members, options.id) == nullptr) {
    return Fail(ResultCode::kInvalidSettings,
                "the initial members do not include " + options.id);
  }
  identity_.disk = RandomId("disk-");
  identity_.replica = options.id;
  if (options.bootstrap) {
    identity_.bootstrap = wire::Encode(options.initial_members);
  }
  return storage::SaveDiskIdentity(file_system_, directory_, identity_);
}

Result<void> ReplicaStorage::Load() {
  initial_state_ = {};
  auto hard_state = storage::LoadHardState(file_system_, directory_);
  if (!hard_state) {
    return tl::unexpected(hard_state.error());
  }
  initial_state_.hard_state = std::move(*hard_state);
  auto snapshot = storage::LoadSnapshot(file_system_, directory_);
  if (!snapshot) {
    return tl::unexpected(snapshot.error());
  }
  if (*snapshot) {
    auto state = std::make_shared<SnapshotState>();
    auto membership = wire::Decode<wire::Membership>((*snapshot)->membership);
    if (!membership) {
      return Fail(ResultCode::kCorrupt,
                  directory_ + ": the membership in the snapshot is damaged");
    }
    state->index = (*snapshot)->index;
    state->term = (*snapshot)->term;
    state->membership = std::move(*membership);
    state->data = std::move((*snapshot)->data);
    initial_state_.snapshot = std::move(state);
  }
  if (!identity_.bootstrap.empty()) {
    auto members = wire::Decode<wire::Membership>(identity_.bootstrap);
    if (!members) {
      return Fail(ResultCode::kCorrupt,
                  directory_ + "/identity: the membership is damaged");
    }
    initial_state_.bootstrap = std::move(*members);
  }
  return OpenLog();
}

Result<void> ReplicaStorage::OpenLog() {
  const auto index =
      initial_state_.snapshot ? initial_state_.snapshot->index : 0;
  const auto term = initial_state_.snapshot ? initial_state_.snapshot->term : 0;
  auto& entries = initial_state_.entries;
  auto log = storage::Log::Open(file_system_, directory_ + "/log", {}, index,
                                initial_state_.hard_state.durable_commit_index,
                                entries);
  if (!log) {
    return tl::unexpected(log.error());
  }
  log_ = std::move(*log);
  // Makes the file names of the identity, the hard state and the snapshot
  // durable.
  if (auto synced = file_system_.SyncDirectory(directory_); !synced) {
    return synced;
  }
  if (index == 0) {
    return {};
  }
  // A crash after a received snapshot was stored can leave a log that does not
  // continue the snapshot.
  const auto it = std::find_if(
      entries.begin(), entries.end(),
      [&](const storage::LogEntry& entry) { return entry.index == index; });
  const bool starts_after =
      !entries.empty() && entries.front().index == index + 1;
  const bool continues =
      starts_after || (it != entries.end() && it->term == term);
  if (continues || (entries.empty() && log_->last_index() == index)) {
    return {};
  }
  entries.clear();
  return log_->Reset(index + 1);
}

Result<void> ReplicaStorage::Write(const RaftOutput& output) {
  // The snapshot is stored first, because the commit hint may refer to it.
  if (output.snapshot) {
    if (auto saved = SaveSnapshot(*output.snapshot); !saved) {
      return saved;
    }
  }
  if (output.hard_state) {
    if (auto saved = SaveHardState(*output.hard_state); !saved) {
      return saved;
    }
  }
  if (output.reset_log) {
    if (auto reset = log_->Reset(output.snapshot->index + 1); !reset) {
      return reset;
    }
  }
  if (output.truncate_from) {
    if (auto truncated = log_->TruncateSuffix(*output.truncate_from);
        !truncated) {
      return truncated;
    }
  }
  return log_->Append(output.entries);
}

Result<void> ReplicaStorage::Sync() {
  if (log_->durable_index() < log_->last_index()) {
    ++syncs_;
  }
  return log_->Sync();
}

Result<void> ReplicaStorage::SaveSnapshot(const SnapshotState& snapshot) {
  return storage::SaveSnapshot(
      file_system_, directory_,
      {snapshot.index, snapshot.term, wire::Encode(snapshot.membership),
       snapshot.data});
}

Result<void> ReplicaStorage::DropPrefix(std::int64_t through) {
  return log_->DropPrefix(through);
}

Result<void> ReplicaStorage::SaveHardState(const storage::HardState& state) {
  ++syncs_;
  return storage::SaveHardState(file_system_, directory_, state);
}

Result<void> ReplicaStorage::RollBack() {
  return log_->RollBack();
}

Result<void> ReplicaStorage::Recover() {
  if (auto rolled_back = log_->RollBack(); !rolled_back) {
    return rolled_back;
  }
  const std::string path = directory_ + "/space.tmp";
  {
    auto file = file_system_.OpenForAppend(path);
    if (!file) {
      return tl::unexpected(file.error());
    }
    auto written = (*file)->Append(std::string(max_batch_bytes_, '\0'));
    if (written) {
      written = (*file)->Sync();
    }
    if (auto removed = file_system_.Remove(path); !removed) {
      return removed;
    }
    if (!written) {
      return written;
    }
  }
  return Load();
}

}  // namespace cranberryshunt::consensus
