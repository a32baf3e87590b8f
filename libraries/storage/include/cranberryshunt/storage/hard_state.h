// The term and vote of a replica.
#ifndef CRANBERRYSHUNT_STORAGE_HARD_STATE_H_
#define CRANBERRYSHUNT_STORAGE_HARD_STATE_H_

#include <cstdint>
#include <string>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/storage/file_system.h"

namespace cranberryshunt::storage {

struct HardState {
  std::int64_t term = 0;
  std::string vote;  // Empty when no vote was given in `term`.
  // An index that was committed and durable in this folder when the state was
  // written. The log must hold it after a restart.
  std::int64_t durable_commit_index = 0;

  bool operator==(const HardState&) const = default;
};

// Replaces the hard state in `directory`, durably and atomically: a crash
// leaves the old or the new state, so a damaged file is never a torn write and
// is always refused.
Result<void> SaveHardState(FileSystem& file_system,
                           const std::string& directory,
                           const HardState& state);

// Returns the saved state, or the state of a new replica when none was saved.
// Fails with kCorrupt and the name of the file.
Result<HardState> LoadHardState(FileSystem& file_system,
                                const std::string& directory);

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_HARD_STATE_H_
