#include "cranberryshunt/storage/snapshot_file.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

#include "checked_file.h"
#include "encoding.h"

namespace cranberryshunt::storage {

namespace {

constexpr std::string_view kSnapshotPrefix = "snapshot-";

// Returns a name with an index of fixed width, so that names sort by index.
std::string SnapshotName(std::int64_t index) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%020lld",
                              static_cast<long long>(index));
  return std::string(kSnapshotPrefix) +
         std::string(buf.data(), static_cast<std::size_t>(n));
}

Result<std::vector<std::string>> ListSnapshots(FileSystem& file_system,
                                               const std::string& directory) {
  auto names = file_system.List(directory);
  if (!names) {
    return names;
  }
  std::erase_if(*names, [](const std::string& name) {
    return !name.starts_with(kSnapshotPrefix) ||
           name.ends_with(kTemporarySuffix);
  });
  std::sort(names->begin(), names->end());
  return names;
}

}  // namespace

Result<void> SaveSnapshot(FileSystem& file_system,
                          const std::string& directory,
                          const Snapshot& snapshot) {
  std::string body;
  PutInt64(body, snapshot.index);
  PutInt64(body, snapshot.term);
  PutString(body, snapshot.membership);
  PutString(body, snapshot.data);
  const std::string name = SnapshotName(snapshot.index);
  if (auto written = WriteCheckedFile(file_system, directory, name, body);
      !written) {
    return written;
  }
  const auto names = ListSnapshots(file_system, directory);
  if (!names) {
    return tl::unexpected(names.error());
  }
  const std::string prefix = directory + "/";
  for (const auto& it : *names) {
    if (it < name) {
      // Another thread may have removed the same snapshot already.
      if (auto removed = file_system.Remove(prefix + it);
          !removed && removed.error().code() != ResultCode::kNotFound) {
        return removed;
      }
    }
  }
  return {};
}

Result<std::optional<Snapshot>> LoadSnapshot(FileSystem& file_system,
                                             const std::string& directory) {
  const auto names = ListSnapshots(file_system, directory);
  if (!names) {
    return tl::unexpected(names.error());
  }
  if (names->empty()) {
    return std::optional<Snapshot>();
  }
  const auto body = ReadCheckedFile(file_system, directory, names->back());
  if (!body) {
    return tl::unexpected(body.error());
  }
  FieldReader reader(*body);
  Snapshot snapshot;
  snapshot.index = reader.Int64();
  snapshot.term = reader.Int64();
  snapshot.membership = reader.String();
  snapshot.data = reader.String();
  if (!reader.at_end() || SnapshotName(snapshot.index) != names->back()) {
    return Fail(ResultCode::kCorrupt,
                directory + "/" + names->back() +
                    ": the fields do not match the name or size of the file");
  }
  return std::optional<Snapshot>(std::move(snapshot));
}

}  // namespace cranberryshunt::storage
