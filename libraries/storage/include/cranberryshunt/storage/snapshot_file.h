// Snapshots of the replicated state.
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
  std::string membership;  // Encoded by the user of this library.
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

// Writes the snapshot durably under a name of its own and then removes older
// ones. After a failure the older ones are still there.
Result<void> SaveSnapshot(FileSystem& file_system,
                          const std::string& directory,
                          const Snapshot& snapshot);

// Returns the newest snapshot, if there is one. Fails with kCorrupt and the
// name of the file when it cannot be read: the log before it may be gone, so an
// older snapshot is no substitute.
Result<std::optional<Snapshot>> LoadSnapshot(FileSystem& file_system,
                                             const std::string& directory);

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_SNAPSHOT_FILE_H_
