// File access that tests can replace.
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
  // Fails with kStorageFull or kIoError; part of `bytes` may have been written
  // then.
  virtual Result<void> Append(std::string_view bytes) = 0;
  // Makes everything appended so far durable (fdatasync).
  virtual Result<void> Sync() = 0;
  virtual Result<void> Truncate(std::int64_t size) = 0;
  virtual std::int64_t size() const = 0;
};

// What was not synced may be lost at any time: file contents by File::Sync,
// names by SyncDirectory.
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
  // Keeps other processes from using the folder; held until the file system
  // object is destroyed.
  virtual Result<void> Lock(const std::string& path) = 0;
};

// The operating system's files.
std::unique_ptr<FileSystem> CreateSystemFileSystem();

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_FILE_SYSTEM_H_
