// The identity of a data directory.
#ifndef CRANBERRYSHUNT_STORAGE_DISK_IDENTITY_H_
#define CRANBERRYSHUNT_STORAGE_DISK_IDENTITY_H_

#include <optional>
#include <string>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/storage/file_system.h"

namespace cranberryshunt::storage {

// Written once, when a data directory is formatted.
struct DiskIdentity {
  std::string disk;     // Random id of the disk.
  std::string replica;  // Id of the replica that owns the directory.
  // The encoded membership of a new cluster. Empty if the directory was not
  // formatted for a new cluster.
  std::string bootstrap;

  bool operator==(const DiskIdentity&) const = default;
};

// Returns the identity of the directory, or nullopt if the directory has
// neither an identity nor data files. Fails with kCorrupt if the identity file
// is damaged, and with kWrongIdentity if there are data files but no identity.
Result<std::optional<DiskIdentity>> LoadDiskIdentity(
    FileSystem& file_system,
    const std::string& directory);

// Formats an empty directory by writing `identity` durably.
Result<void> SaveDiskIdentity(FileSystem& file_system,
                              const std::string& directory,
                              const DiskIdentity& identity);

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_DISK_IDENTITY_H_
