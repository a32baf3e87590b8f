#include "cranberryshunt/consensus/raft_log.h"

#include <cassert>
#include <utility>

namespace cranberryshunt::consensus {

void RaftLog::Reset(std::int64_t base_index, std::int64_t base_term) {
  entries_.clear();
  base_index_ = base_index;
  base_term_ = base_term;
}

void RaftLog::Append(storage::LogEntry entry) {
  assert(entry.index == last_index() + 1);
  entries_.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(std::int64_t index) {
  assert(index > base_index_);
  while (last_index() >= index) {
    entries_.pop_back();
  }
}

void RaftLog::DropThrough(std::int64_t index) {
  assert(index <= last_index());
  while (base_index_ < index) {
    base_term_ = entries_.front().term;
    ++base_index_;
    entries_.pop_front();
  }
}

std::optional<std::int64_t> RaftLog::TermAt(std::int64_t index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > last_index()) {
    return std::nullopt;
  }
  return At(index).term;
}

const storage::LogEntry& RaftLog::At(std::int64_t index) const {
  assert(index > base_index_ && index <= last_index());
  return entries_[static_cast<std::size_t>(index - base_index_ - 1)];
}

std::vector<storage::LogEntry> RaftLog::Slice(std::int64_t from,
                                              std::size_t max_bytes) const {
  std::vector<storage::LogEntry> entries;
  std::size_t n = 0;
  for (auto it = from; it <= last_index(); ++it) {
    n += At(it).data.size();
    if (!entries.empty() && n > max_bytes) {
      break;
    }
    entries.push_back(At(it));
  }
  return entries;
}

}  // namespace cranberryshunt::consensus
