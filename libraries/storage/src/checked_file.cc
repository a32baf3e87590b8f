#include "checked_file.h"

#include "cranberryshunt/base/bytes.h"
#include "encoding.h"

namespace cranberryshunt::storage {

namespace {

constexpr std::string_view kMagic = "CSFILE01";
constexpr std::size_t kHeaderBytes = 8 + sizeof(std::uint32_t);

Result<void> WriteTemporary(FileSystem& file_system,
                            const std::string& path,
                            std::string_view body) {
  // A crash may have left a temporary file. It is removed and not reused,
  // because after a crash during a rename some file systems keep both names for
  // the same file.
  if (auto removed = file_system.Remove(path);
      !removed && removed.error().code() != ResultCode::kNotFound) {
    return removed;
  }
  auto file = file_system.OpenForAppend(path);
  if (!file) {
    return tl::unexpected(file.error());
  }
  std::string header(kMagic);
  PutUint32(header, Crc32(body));
  if (auto written = (*file)->Append(header); !written) {
    return written;
  }
  if (auto written = (*file)->Append(body); !written) {
    return written;
  }
  return (*file)->Sync();
}

}  // namespace

Result<void> WriteCheckedFile(FileSystem& file_system,
                              const std::string& directory,
                              const std::string& name,
                              std::string_view body) {
  const std::string path = directory + "/" + name;
  const std::string temporary = path + std::string(kTemporarySuffix);
  if (auto written = WriteTemporary(file_system, temporary, body); !written) {
    // Frees the disk space. The contents of a temporary file are never read, so
    // a failure to remove it is ignored.
    (void)file_system.Remove(temporary);
    return written;
  }
  if (auto renamed = file_system.Rename(temporary, path); !renamed) {
    return renamed;
  }
  return file_system.SyncDirectory(directory);
}

Result<std::string> ReadCheckedFile(FileSystem& file_system,
                                    const std::string& directory,
                                    const std::string& name) {
  const std::string path = directory + "/" + name;
  auto bytes = file_system.Read(path);
  if (!bytes) {
    return bytes;
  }
  if (bytes->size() < kHeaderBytes || !bytes->starts_with(kMagic)) {
    return Fail(ResultCode::kCorrupt, path + ": damaged header at offset 0");
  }
  std::string body = bytes->substr(kHeaderBytes);
  if (Crc32(body) != GetUint32(*bytes, kMagic.size())) {
    return Fail(ResultCode::kCorrupt,
                path + ": checksum does not match the data at offset " +
                    std::to_string(kHeaderBytes));
  }
  return body;
}

}  // namespace cranberryshunt::storage
