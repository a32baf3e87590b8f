#include "cranberryshunt/storage/log.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>
#include <utility>

#include "log_record.h"

namespace cranberryshunt::storage {

namespace {

constexpr std::string_view kSegmentSuffix = ".log";

std::string SegmentPath(const std::string& directory,
                        std::int64_t first_index) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%020lld",
                              static_cast<long long>(first_index));
  return directory + "/" +
         std::string(buf.data(), static_cast<std::size_t>(n)) +
         std::string(kSegmentSuffix);
}

std::string FormatPosition(const std::string& path, std::int64_t offset) {
  return path + " at offset " + std::to_string(offset);
}

// Returns whether a record after `offset` states that `index` was durable.
// Tries to decode a record at every later position.
bool WasDurable(const std::string& bytes,
                std::int64_t offset,
                std::int64_t index) {
  for (auto position = static_cast<std::size_t>(offset) + 1;
       position < bytes.size(); ++position) {
    const auto record = DecodeRecord(bytes, position);
    if (record && record->entry.index > index &&
        record->durable_index >= index) {
      return true;
    }
  }
  return false;
}

}  // namespace

Log::Log(FileSystem& file_system,
         std::string directory,
         const LogOptions& options)
    : file_system_(file_system),
      directory_(std::move(directory)),
      options_(options) {}

Result<std::unique_ptr<Log>> Log::Open(FileSystem& file_system,
                                       std::string directory,
                                       const LogOptions& options,
                                       std::int64_t snapshot_index,
                                       std::int64_t commit_index,
                                       std::vector<LogEntry>& entries) {
  if (auto created = file_system.CreateDirectories(directory); !created) {
    return tl::unexpected(created.error());
  }
  std::unique_ptr<Log> log(new Log(file_system, std::move(directory), options));
  log->next_index_ = snapshot_index + 1;
  // Entries that the snapshot includes need not be in the log.
  const std::int64_t required_index =
      commit_index > snapshot_index ? commit_index : 0;
  if (auto read = log->ReadSegments(required_index, entries); !read) {
    return tl::unexpected(read.error());
  }
  if (!log->segments_.empty() &&
      log->segments_.front().first_index > snapshot_index + 1) {
    return Fail(ResultCode::kCorrupt,
                FormatPosition(log->segments_.front().path, 0) +
                    ": the log starts after index " +
                    std::to_string(snapshot_index + 1));
  }
  if (required_index > log->last_index()) {
    const auto& segments = log->segments_;
    return Fail(ResultCode::kCorrupt,
                (segments.empty() ? log->directory_ + ": no segments"
                                  : FormatPosition(segments.back().path,
                                                   segments.back().size)) +
                    ": the log ends before the committed index " +
                    std::to_string(required_index));
  }
  if (auto opened = log->OpenCurrent(); !opened) {
    return tl::unexpected(opened.error());
  }
  log->durable_index_ = log->last_index();
  return log;
}

Result<void> Log::ReadSegments(std::int64_t commit_index,
                               std::vector<LogEntry>& entries) {
  const auto names = file_system_.List(directory_);
  if (!names) {
    return tl::unexpected(names.error());
  }
  for (const auto& name : *names) {
    if (name.ends_with(kSegmentSuffix)) {
      Segment segment;
      segment.first_index = std::atoll(name.c_str());
      segment.path = directory_ + "/" + name;
      segments_.push_back(std::move(segment));
    }
  }
  std::sort(segments_.begin(), segments_.end(),
            [](const auto& left, const auto& right) {
              return left.first_index < right.first_index;
            });
  for (std::size_t i = 0; i < segments_.size(); ++i) {
    auto& segment = segments_[i];
    if (i > 0 && segment.first_index != next_index_) {
      return Fail(ResultCode::kCorrupt,
                  FormatPosition(segment.path, 0) + ": expected index " +
                      std::to_string(next_index_) + "; a segment is missing");
    }
    next_index_ = segment.first_index;
    if (auto read = ReadSegment(segment, i + 1 == segments_.size(),
                                commit_index, entries);
        !read) {
      return read;
    }
  }
  return {};
}

Result<void> Log::ReadSegment(Segment& segment,
                              bool newest,
                              std::int64_t commit_index,
                              std::vector<LogEntry>& entries) {
  const auto bytes = file_system_.Read(segment.path);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  if (!IsSegmentHeader(*bytes, segment.first_index)) {
    return HandleDamage(segment, *bytes, 0, newest, commit_index);
  }
  segment.size = kSegmentHeaderBytes;
  while (segment.size < static_cast<std::int64_t>(bytes->size())) {
    auto record = DecodeRecord(*bytes, static_cast<std::size_t>(segment.size));
    if (!record || record->entry.index != next_index_) {
      return HandleDamage(segment, *bytes, segment.size, newest, commit_index);
    }
    segment.offsets.push_back(segment.size);
    segment.size += static_cast<std::int64_t>(record->size);
    entries.push_back(std::move(record->entry));
    ++next_index_;
  }
  return {};
}

Result<void> Log::HandleDamage(const Segment& segment,
                               const std::string& bytes,
                               std::int64_t offset,
                               bool newest,
                               std::int64_t commit_index) {
  // Every segment but the newest is durable, because a segment is synced before
  // the next one is created.
  if (!newest || next_index_ <= commit_index ||
      WasDurable(bytes, offset, next_index_)) {
    return Fail(ResultCode::kCorrupt,
                FormatPosition(segment.path, offset) + ": entry " +
                    std::to_string(next_index_) +
                    " is damaged although it was durable");
  }
  return {};
}

Result<void> Log::OpenCurrent() {
  if (segments_.empty()) {
    return {};
  }
  auto& segment = segments_.back();
  auto file = file_system_.OpenForAppend(segment.path);
  if (!file) {
    return tl::unexpected(file.error());
  }
  current_file_ = std::move(*file);
  if (segment.size == 0) {
    // The header is a torn write, so the file never had a durable entry.
    const auto path = segment.path;
    segments_.pop_back();
    current_file_.reset();
    if (auto removed = file_system_.Remove(path); !removed) {
      return removed;
    }
    if (auto synced = file_system_.SyncDirectory(directory_); !synced) {
      return synced;
    }
    return OpenCurrent();
  }
  if (current_file_->size() > segment.size) {
    if (auto truncated = current_file_->Truncate(segment.size); !truncated) {
      return truncated;
    }
  }
  // After a process crash, the data may have been read from the page cache
  // without being on disk.
  if (auto synced = current_file_->Sync(); !synced) {
    return synced;
  }
  return file_system_.SyncDirectory(directory_);
}

Result<void> Log::StartSegment() {
  if (auto synced = Sync(); !synced) {
    return synced;
  }
  Segment segment;
  segment.first_index = next_index_;
  segment.path = SegmentPath(directory_, next_index_);
  auto file = file_system_.OpenForAppend(segment.path);
  if (!file) {
    return tl::unexpected(file.error());
  }
  // An earlier attempt to create the segment may have failed, for example on a
  // full disk, and left the file.
  if (auto truncated = (*file)->Truncate(0); !truncated) {
    return truncated;
  }
  if (auto written = (*file)->Append(EncodeSegmentHeader(next_index_));
      !written) {
    (void)file_system_.Remove(segment.path);
    return written;
  }
  segment.size = kSegmentHeaderBytes;
  current_file_ = std::move(*file);
  segments_.push_back(std::move(segment));
  directory_changed_ = true;
  return {};
}

Result<void> Log::Append(std::span<const LogEntry> entries) {
  if (entries.empty()) {
    return {};
  }
  assert(entries.front().index == next_index_);
  if (!current_file_ || segments_.back().size >= options_.segment_bytes) {
    if (auto started = StartSegment(); !started) {
      return started;
    }
  }
  auto& segment = segments_.back();
  std::string buf;
  std::vector<std::int64_t> offsets;
  offsets.reserve(entries.size());
  for (const auto& it : entries) {
    offsets.push_back(segment.size + static_cast<std::int64_t>(buf.size()));
    AppendRecord(buf, it, durable_index_);
  }
  if (auto written = current_file_->Append(buf); !written) {
    if (auto truncated = current_file_->Truncate(segment.size); !truncated) {
      return truncated;
    }
    return written;
  }
  segment.size += static_cast<std::int64_t>(buf.size());
  segment.offsets.insert(segment.offsets.end(), offsets.begin(), offsets.end());
  next_index_ += static_cast<std::int64_t>(entries.size());
  return {};
}

Result<void> Log::Sync() {
  if (current_file_ && durable_index_ < last_index()) {
    if (auto synced = current_file_->Sync(); !synced) {
      return synced;
    }
  }
  if (directory_changed_) {
    if (auto synced = file_system_.SyncDirectory(directory_); !synced) {
      return synced;
    }
    directory_changed_ = false;
  }
  durable_index_ = last_index();
  return {};
}

Result<void> Log::TruncateCurrent(std::int64_t from) {
  auto& segment = segments_.back();
  const auto keep = static_cast<std::size_t>(from - segment.first_index);
  if (keep >= segment.offsets.size()) {
    return {};
  }
  if (auto truncated = current_file_->Truncate(segment.offsets[keep]);
      !truncated) {
    return truncated;
  }
  segment.size = segment.offsets[keep];
  segment.offsets.resize(keep);
  return current_file_->Sync();
}

Result<void> Log::TruncateSuffix(std::int64_t from) {
  if (from >= next_index_) {
    return {};
  }
  // Removes the newest segment first and syncs each removal, so that a crash
  // leaves entries with consecutive indexes.
  while (!segments_.empty() && segments_.back().first_index >= from) {
    if (auto removed = file_system_.Remove(segments_.back().path); !removed) {
      return removed;
    }
    segments_.pop_back();
    current_file_.reset();
    if (auto synced = file_system_.SyncDirectory(directory_); !synced) {
      return synced;
    }
  }
  if (!segments_.empty()) {
    if (!current_file_) {
      auto file = file_system_.OpenForAppend(segments_.back().path);
      if (!file) {
        return tl::unexpected(file.error());
      }
      current_file_ = std::move(*file);
    }
    if (auto truncated = TruncateCurrent(from); !truncated) {
      return truncated;
    }
  }
  next_index_ = from;
  durable_index_ = std::min(durable_index_, from - 1);
  return {};
}

Result<void> Log::DropPrefix(std::int64_t through) {
  // Removes the oldest segment first and syncs each removal, so that a crash
  // leaves entries with consecutive indexes.
  while (segments_.size() > 1 &&
         segments_.front().next_index() <= through + 1) {
    if (auto removed = file_system_.Remove(segments_.front().path); !removed) {
      return removed;
    }
    if (auto synced = file_system_.SyncDirectory(directory_); !synced) {
      return synced;
    }
    segments_.erase(segments_.begin());
  }
  return {};
}

Result<void> Log::Reset(std::int64_t next) {
  if (!segments_.empty()) {
    if (auto truncated = TruncateSuffix(segments_.front().first_index);
        !truncated) {
      return truncated;
    }
    // If the log has no entries, TruncateSuffix() does nothing. The empty
    // segments that it leaves are removed here.
    for (; !segments_.empty(); segments_.pop_back()) {
      current_file_.reset();
      if (auto removed = file_system_.Remove(segments_.back().path); !removed) {
        return removed;
      }
    }
  }
  next_index_ = next;
  durable_index_ = next - 1;
  return file_system_.SyncDirectory(directory_);
}

Result<void> Log::RollBack() {
  if (current_file_ && current_file_->size() > segments_.back().size) {
    if (auto truncated = current_file_->Truncate(segments_.back().size);
        !truncated) {
      return truncated;
    }
  }
  if (auto truncated = TruncateSuffix(durable_index_ + 1); !truncated) {
    return truncated;
  }
  return current_file_ ? current_file_->Sync() : Result<void>();
}

}  // namespace cranberryshunt::storage
