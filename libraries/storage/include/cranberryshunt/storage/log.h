// An append-only log of checksummed entries in segment files.
#ifndef CRANBERRYSHUNT_STORAGE_LOG_H_
#define CRANBERRYSHUNT_STORAGE_LOG_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "cranberryshunt/storage/file_system.h"

namespace cranberryshunt::storage {

struct LogEntry {
  std::int64_t index = 0;
  std::int64_t term = 0;
  std::int32_t type = 0;
  std::string data;

  bool operator==(const LogEntry&) const = default;
};

struct LogOptions {
  // A new segment is started once the current one reaches this size.
  std::int64_t segment_bytes = 8 << 20;
};

// A log of entries with consecutive indexes. Each record also stores the index
// up to which the log was durable when the record was written. This
// distinguishes a damaged record that was durable from a torn write at the end
// of the log.
class Log {
 public:
  // Reads all entries into `entries` and makes them durable. A torn write at
  // the end is truncated. Fails with kCorrupt if an entry that was durable is
  // damaged, if the log does not reach `commit_index`, or if entries are
  // missing between `snapshot_index` and the first entry. The message names the
  // file and, in most cases, the offset. `commit_index` is ignored if
  // `snapshot_index` is at least as high.
  static Result<std::unique_ptr<Log>> Open(FileSystem& file_system,
                                           std::string directory,
                                           const LogOptions& options,
                                           std::int64_t snapshot_index,
                                           std::int64_t commit_index,
                                           std::vector<LogEntry>& entries);

  // Writes entries without making them durable. The first index must be
  // last_index() + 1. If this fails with kStorageFull, none of the entries is
  // kept.
  Result<void> Append(std::span<const LogEntry> entries);
  // Makes all appended entries durable.
  Result<void> Sync();
  // Durably removes all entries with an index of at least `from`.
  Result<void> TruncateSuffix(std::int64_t from);
  // Removes the segments that contain only entries with an index of at most
  // `through`. Keeps the newest segment.
  Result<void> DropPrefix(std::int64_t through);
  // Removes all entries. The next entry appended has the index `next`.
  Result<void> Reset(std::int64_t next);
  // Removes the entries appended since the last successful Sync. Called after a
  // failure of Append or Sync.
  Result<void> RollBack();

  std::int64_t last_index() const { return next_index_ - 1; }
  std::int64_t durable_index() const { return durable_index_; }

 private:
  struct Segment {
    std::int64_t first_index = 0;
    std::string path;
    std::vector<std::int64_t> offsets;
    std::int64_t size = 0;

    std::int64_t next_index() const {
      return first_index + static_cast<std::int64_t>(offsets.size());
    }
  };

  Log(FileSystem& file_system,
      std::string directory,
      const LogOptions& options);

  Result<void> ReadSegments(std::int64_t commit_index,
                            std::vector<LogEntry>& entries);
  Result<void> ReadSegment(Segment& segment,
                           bool newest,
                           std::int64_t commit_index,
                           std::vector<LogEntry>& entries);
  Result<void> HandleDamage(const Segment& segment,
                            const std::string& bytes,
                            std::int64_t offset,
                            bool newest,
                            std::int64_t commit_index);
  Result<void> OpenCurrent();
  Result<void> StartSegment();
  Result<void> TruncateCurrent(std::int64_t from);

  FileSystem& file_system_;
  const std::string directory_;
  const LogOptions options_;
  std::vector<Segment> segments_;
  std::unique_ptr<File> current_file_;
  bool directory_changed_ = false;
  std::int64_t next_index_ = 1;
  std::int64_t durable_index_ = 0;
};

}  // namespace cranberryshunt::storage

#endif  // CRANBERRYSHUNT_STORAGE_LOG_H_
