// The part of the Raft log that is held in memory.
#ifndef CRANBERRYSHUNT_CONSENSUS_RAFT_LOG_H_
#define CRANBERRYSHUNT_CONSENSUS_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "cranberryshunt/storage/log.h"

namespace cranberryshunt::consensus {

// Values of LogEntry::type.
inline constexpr std::int32_t kCommandEntry = 1;
inline constexpr std::int32_t kMembershipEntry = 2;
inline constexpr std::int32_t kEmptyEntry = 3;

// Consecutive entries that follow a base entry, of which only the index and the
// term are kept.
class RaftLog {
 public:
  // Discards all entries. The next entry follows `base_index`.
  void Reset(std::int64_t base_index, std::int64_t base_term);
  void Append(storage::LogEntry entry);
  void TruncateFrom(std::int64_t index);
  // Discards the entries up to `index`, which must be in the log, and makes
  // `index` the base.
  void DropThrough(std::int64_t index);

  std::int64_t base_index() const { return base_index_; }
  std::int64_t last_index() const {
    return base_index_ + static_cast<std::int64_t>(entries_.size());
  }
  std::int64_t last_term() const { return *TermAt(last_index()); }
  // Returns the term of an entry or of the base, or nothing for an index
  // outside of the log.
  std::optional<std::int64_t> TermAt(std::int64_t index) const;
  const storage::LogEntry& At(std::int64_t index) const;
  // Returns the entries from `from` on whose data fits into `max_bytes`, and at
  // least one entry if there is any.
  std::vector<storage::LogEntry> Slice(std::int64_t from,
                                       std::size_t max_bytes) const;

 private:
  std::int64_t base_index_ = 0;
  std::int64_t base_term_ = 0;
  std::deque<storage::LogEntry> entries_;
};

}  // namespace cranberryshunt::consensus

#endif  // CRANBERRYSHUNT_CONSENSUS_RAFT_LOG_H_
