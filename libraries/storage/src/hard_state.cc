#include "cranberryshunt/storage/hard_state.h"

#include "checked_file.h"
#include "encoding.h"

namespace cranberryshunt::storage {

namespace {

constexpr char kFileName[] = "hard_state";

}  // namespace

Result<void> SaveHardState(FileSystem& file_system,
                           const std::string& directory,
                           const HardState& state) {
  std::string body;
  PutInt64(body, state.term);
  PutString(body, state.vote);
  PutInt64(body, state.durable_commit_index);
  return WriteCheckedFile(file_system, directory, kFileName, body);
}

Result<HardState> LoadHardState(FileSystem& file_system,
                                const std::string& directory) {
  const auto body = ReadCheckedFile(file_system, directory, kFileName);
  if (!body) {
    if (body.error().code() == ResultCode::kNotFound) {
      return HardState{};
    }
    return tl::unexpected(body.error());
  }
  FieldReader reader(*body);
  HardState state;
  state.term = reader.Int64();
  state.vote = reader.String();
  state.durable_commit_index = reader.Int64();
  if (!reader.at_end()) {
    return Fail(ResultCode::kCorrupt,
                directory + "/" + kFileName +
                    ": the field lengths do not match the file size");
  }
  return state;
}

}  // namespace cranberryshunt::storage
