#include <limits>

#include "cranberryshunt/targets/json_reader.h"
#include "request_parsers.h"

namespace cranberryshunt::entry {

namespace {

using targets::JsonReader;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxPathBytes = 512;
constexpr std::size_t kMaxFileBytes = 256U << 10;
constexpr std::size_t kMaxFiles = 4'096;
constexpr std::int64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();

std::vector<wire::RulesFile> ReadFiles(JsonReader& reader) {
  const json_t* items = reader.RequiredArray("files", kMaxFiles);
  std::vector<wire::RulesFile> files;
  for (std::size_t i = 0; i < json_array_size(items); ++i) {
    const json_t* item = json_array_get(items, i);
    const std::string path = "files[" + std::to_string(i) + "]";
    if (!json_is_object(item)) {
      reader.SetError(ResultCode::kWrongType, "item must be an object", path);
      break;
    }
    JsonReader file_reader(item, path + ".");
    wire::RulesFile file;
    file.path = file_reader.RequiredString("path", kMaxPathBytes);
    file.content = file_reader.OptionalString("content", kMaxFileBytes);
    if (auto finished = file_reader.Finish(); !finished) {
      reader.SetError(finished.error());
    }
    files.push_back(std::move(file));
  }
  return files;
}

}  // namespace

Result<std::vector<wire::RulesFile>> ParseRulesFiles(std::string_view body) {
  const auto object = targets::ParseObject(body);
  if (!object) {
    return tl::unexpected(object.error());
  }
  JsonReader reader(object->get());
  auto files = ReadFiles(reader);
  if (auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return files;
}

Result<wire::PublishRules> ParsePublication(std::string_view body) {
  const auto object = targets::ParseObject(body);
  if (!object) {
    return tl::unexpected(object.error());
  }
  JsonReader reader(object->get());
  wire::PublishRules publication;
  publication.publication_id =
      reader.RequiredString("publication_id", kMaxNameBytes);
  publication.base_revision =
      reader.RequiredInteger("base_revision", 0, kMaxRevision);
  publication.version = reader.RequiredString("version", kMaxNameBytes);
  publication.operator_name = reader.RequiredString("operator", kMaxNameBytes);
  publication.files = ReadFiles(reader);
  if (auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return publication;
}

Result<wire::DrainWorker> ParseDrain(std::string_view body) {
  const auto object = targets::ParseObject(body.empty() ? "{}" : body);
  if (!object) {
    return tl::unexpected(object.error());
  }
  JsonReader reader(object->get());
  wire::DrainWorker drain;
  drain.draining = reader.OptionalBool("draining", true);
  drain.operator_name = reader.OptionalString("operator", kMaxNameBytes);
  if (auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return drain;
}

Result<wire::MembershipChange> ParseMember(std::string_view body) {
  const auto object = targets::ParseObject(body);
  if (!object) {
    return tl::unexpected(object.error());
  }
  JsonReader reader(object->get());
  wire::MembershipChange change;
  change.member.id = reader.RequiredString("id", kMaxNameBytes);
  change.member.address = reader.RequiredString("address", kMaxNameBytes);
  change.member.disk_identity =
      reader.RequiredString("disk_identity", kMaxNameBytes);
  change.member.voter = reader.RequiredBool("voter");
  change.operator_name = reader.OptionalString("operator", kMaxNameBytes);
  if (auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return change;
}

}  // namespace cranberryshunt::entry
