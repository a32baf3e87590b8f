#include "cranberryshunt/storage/disk_identity.h"

#include <utility>

#include "checked_file.h"
#include "encoding.h"

namespace cranberryshunt::storage {

namespace {

constexpr char kFileName[] = "identity";

bool IsDataFile(const std::string& name) {
  return name == "hard_state" || name == "log" || name.starts_with("snapshot-");
}

}  // namespace

Result<std::optional<DiskIdentity>> LoadDiskIdentity(
    FileSystem& file_system,
    const std::string& directory) {
  const auto body = ReadCheckedFile(file_system, directory, kFileName);
  if (body) {
    FieldReader reader(*body);
    DiskIdentity identity;
    identity.disk = reader.String();
    identity.replica = reader.String();
    identity.bootstrap = reader.String();
    if (!reader.at_end()) {
      return Fail(ResultCode::kCorrupt,
                  directory + "/" + kFileName +
                      ": the field lengths do not match the file size");
    }
    return std::optional<DiskIdentity>(std::move(identity));
  }
  if (body.error().code() != ResultCode::kNotFound) {
    return tl::unexpected(body.error());
  }
  const auto names = file_system.List(directory);
  if (!names) {
    return tl::unexpected(names.error());
  }
  for (const auto& name : *names) {
    if (IsDataFile(name)) {
      std::string message = directory + "/" + kFileName;
      message += " is missing, but " + name;
      message += " exists; empty the directory or restore the file";
      return Fail(ResultCode::kWrongIdentity, std::move(message));
    }
  }
  return std::optional<DiskIdentity>();
}

Result<void> SaveDiskIdentity(FileSystem& file_system,
                              const std::string& directory,
                              const DiskIdentity& identity) {
  std::string body;
  PutString(body, identity.disk);
  PutString(body, identity.replica);
  PutString(body, identity.bootstrap);
  return WriteCheckedFile(file_system, directory, kFileName, body);
}

}  // namespace cranberryshunt::storage
