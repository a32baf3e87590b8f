// Files with a checksum that are always replaced as a whole.
#ifndef CRANBERRYSHUNT_STORAGE_CHECKED_FILE_H_
#define CRANBERRYSHUNT_STORAGE_CHECKED_FILE_H_

#include <string>
#include <string_view>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/storage/file_system.h"

namespace cranberryshunt::storage {

// Suffix of temporary files, which are renamed once they are complete.
inline constexpr std::string_view kTemporarySuffix = ".tmp";

// Writes `body` with a checksum to a temporary file, syncs it, renames it to
// `name` and syncs the directory.
Result<void> WriteCheckedFile(FileSystem& file_system,
                              const std::string& directory,
                              const std::string& name,
                              std::string_view body);

// Returns the body of the file `name`. Fails with kNotFound, kIoError or
// kCorrupt.
Result<std::string> ReadCheckedFile(FileSystem& file_system,
                                    const std::string& directory,
                                    const std::string& name);

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_CHECKED_FILE_H_
