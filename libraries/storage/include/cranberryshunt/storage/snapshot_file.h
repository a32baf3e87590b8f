// Snapshot files of the replicated state.
#ifndef CRANBERRYSHUNT_STORAGE_SNAPSHOT_FILE_H_
#define CRANBERRYSHUNT_STORAGE_SNAPSHOT_FILE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/storage/file_system.h"

namespace cranberryshunt::storage {

struct Snapshot {
  std::int64_t index = 0;
  std::int64_t term = 0;
  std::string membership;  // Encoded by the caller.
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

// Writes the snapshot durably to a file named after its index, then removes
// older snapshots. If writing fails, the older snapshots are kept.
Result<void> SaveSnapshot(FileSystem& file_system,
                          const std::string& directory,
                          const Snapshot& snapshot);

// Returns the newest snapshot, or nullopt if there is none. Fails with
// kCorrupt, naming the file, if the newest snapshot is damaged. An older
// snapshot is not used instead, because the log entries between the two may
// have been removed.
Result<std::optional<Snapshot>> LoadSnapshot(FileSystem& file_system,
                                             const std::string& directory);

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_SNAPSHOT_FILE_H_
