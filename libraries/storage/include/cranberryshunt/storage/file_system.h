// Interface for file access, so that tests can replace the file system.
#ifndef CRANBERRYSHUNT_STORAGE_FILE_SYSTEM_H_
#define CRANBERRYSHUNT_STORAGE_FILE_SYSTEM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::storage {

// A file open for appending.
class File {
 public:
  virtual ~File() = default;
  // Fails with kStorageFull or kIoError. After a failure, a part of `bytes` may
  // have been written.
  virtual Result<void> Append(std::string_view bytes) = 0;
  // Makes all data appended so far durable (fdatasync).
  virtual Result<void> Sync() = 0;
  virtual Result<void> Truncate(std::int64_t size) = 0;
  virtual std::int64_t size() const = 0;
};

// A crash may lose changes that were not synced. File::Sync makes the contents
// of a file durable, and SyncDirectory makes the names in a directory durable.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual Result<void> CreateDirectories(const std::string& path) = 0;
  virtual Result<std::vector<std::string>> List(const std::string& path) = 0;
  virtual Result<std::string> Read(const std::string& path) = 0;
  virtual Result<std::unique_ptr<File>> OpenForAppend(
      const std::string& path) = 0;
  virtual Result<void> Rename(const std::string& from,
                              const std::string& to) = 0;
  virtual Result<void> Remove(const std::string& path) = 0;
  virtual Result<void> SyncDirectory(const std::string& path) = 0;
  // Takes an exclusive lock on the directory `path`, so that no other process
  // uses it. The lock is held until this object is destroyed.
  virtual Result<void> Lock(const std::string& path) = 0;
};

// Returns a file system that uses the files of the operating system.
std::unique_ptr<FileSystem> CreateSystemFileSystem();

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_FILE_SYSTEM_H_
