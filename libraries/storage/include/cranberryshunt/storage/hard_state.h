// The durable term, vote and commit index of a replica.
#ifndef CRANBERRYSHUNT_STORAGE_HARD_STATE_H_
#define CRANBERRYSHUNT_STORAGE_HARD_STATE_H_

#include <cstdint>
#include <string>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/storage/file_system.h"

namespace cranberryshunt::storage {

struct HardState {
  std::int64_t term = 0;
  std::string vote;  // Empty if the replica has not voted in `term`.
  // An index that was committed and durable in this directory when the state
  // was written. After a restart, the log or the snapshot must contain it.
  std::int64_t durable_commit_index = 0;

  bool operator==(const HardState&) const = default;
};

// Replaces the hard state in `directory` durably and atomically. A crash leaves
// either the old or the new state, so a damaged file cannot be the result of a
// torn write, and LoadHardState rejects it.
Result<void> SaveHardState(FileSystem& file_system,
                           const std::string& directory,
                           const HardState& state);

// Returns the saved state, or the initial state if none was saved. Fails with
// kCorrupt, naming the file, if the file is damaged.
Result<HardState> LoadHardState(FileSystem& file_system,
                                const std::string& directory);

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_HARD_STATE_H_
