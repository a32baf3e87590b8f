// Decides when a controller replaces its log by a snapshot.
#ifndef CRANBERRYSHUNT_CELL_SNAPSHOT_SCHEDULE_H_
#define CRANBERRYSHUNT_CELL_SNAPSHOT_SCHEDULE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace cranberryshunt::cell {

// A member that has lost its disk receives the last snapshot and the entries
// after it. The cell bears one loss less until then, so the entries are bounded
// in bytes as well as in number: a configuration may take hundreds of KiB.
class SnapshotSchedule {
 public:
  explicit SnapshotSchedule(std::int64_t max_entries)
      : max_entries_(max_entries) {}

  void OnApplied(std::int64_t index, std::size_t bytes) {
    index_ = index;
    bytes_ += bytes;
  }
  // A snapshot through `index` was taken or received.
  void OnSnapshot(std::int64_t index, std::size_t bytes) {
    snapshot_index_ = index;
    snapshot_bytes_ = bytes;
    bytes_ = 0;
  }
  bool IsDue() const {
    return index_ - snapshot_index_ >= max_entries_ ||
           bytes_ >= std::max(kMinBytes, kSnapshotMultiple * snapshot_bytes_);
  }

 private:
  // Smaller logs are sent as fast as a snapshot.
  static constexpr std::size_t kMinBytes = 3U << 20;
  // Keeps the cost of snapshots of a large state below that of the entries.
  static constexpr std::size_t kSnapshotMultiple = 2;

  const std::int64_t max_entries_;
  std::int64_t index_ = 0;
  std::size_t bytes_ = 0;
  std::int64_t snapshot_index_ = 0;
  std::size_t snapshot_bytes_ = 0;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_SNAPSHOT_SCHEDULE_H_
