// The identity of a data folder.
#ifndef CRANBERRYSHUNT_STORAGE_DISK_IDENTITY_H_
#define CRANBERRYSHUNT_STORAGE_DISK_IDENTITY_H_

#include <optional>
#include <string>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/storage/file_system.h"

namespace cranberryshunt::storage {

// Written once, when a folder is formatted.
struct DiskIdentity {
  std::string disk;     // Random.
  std::string replica;  // The id of the replica that the folder belongs to.
  // The encoded membership of a new cluster; empty for a folder that was not
  // formatted as part of one.
  std::string bootstrap;

  bool operator==(const DiskIdentity&) const = default;
};

// Returns the identity of the folder, or nothing when it is empty. Fails with
// kCorrupt when the identity is damaged, and with kWrongIdentity when there are
// data files without an identity.
Result<std::optional<DiskIdentity>> LoadDiskIdentity(
    FileSystem& file_system,
    const std::string& directory);

// Formats an empty folder durably.
Result<void> SaveDiskIdentity(FileSystem& file_system,
                              const std::string& directory,
                              const DiskIdentity& identity);

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_DISK_IDENTITY_H_
