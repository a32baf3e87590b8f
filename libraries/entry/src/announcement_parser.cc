#include <limits>

#include "cranberryshunt/targets/json_reader.h"
#include "cranberryshunt/targets/task_record.h"
#include "request_parsers.h"

namespace cranberryshunt::entry {

namespace {

using targets::JsonReader;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxTasks = 16'384;
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
// Limits each amount so that sums over all workers of a cell do not overflow.
constexpr std::int64_t kMaxAmount = std::int64_t{1} << 50;
constexpr std::int64_t kMaxConnections = 65'535;

void ReadUsage(JsonReader& reader, wire::WorkerAnnouncement& announcement) {
  const json_t* object = reader.OptionalObject("usage");
  if (object == nullptr) {
    return;
  }
  JsonReader usage(object, "usage.");
  announcement.used_milli_cpus =
      usage.OptionalInteger("milli_cpus", 0, 0, kMaxAmount);
  announcement.used_memory_bytes =
      usage.OptionalInteger("memory_bytes", 0, 0, kMaxAmount);
  if (auto finished = usage.Finish(); !finished) {
    reader.SetError(finished.error());
  }
}

void ReadTasks(JsonReader& reader, wire::WorkerAnnouncement& announcement) {
  const json_t* tasks = reader.OptionalArray("tasks", kMaxTasks);
  for (std::size_t i = 0; i < json_array_size(tasks); ++i) {
    // Damaged answers are kept and the leader checks each answer. Refusing the
    // whole announcement because of one damaged answer would end the leases of
    // all tasks of the worker.
    auto record = targets::ParseTaskRecord(
        json_array_get(tasks, i), "tasks[" + std::to_string(i) + "]",
        targets::UnknownFields::kRefuse, targets::DamagedAnswers::kKeep);
    if (!record) {
      reader.SetError(record.error());
      return;
    }
    announcement.attempts.push_back(std::move(*record));
  }
}

wire::Worker ReadWorker(JsonReader& reader) {
  wire::Worker worker;
  worker.identity = reader.RequiredString("identity", kMaxNameBytes);
  worker.incarnation = reader.RequiredString("incarnation", kMaxNameBytes);
  worker.address = reader.RequiredString("address", kMaxNameBytes);
  worker.region = reader.RequiredString("region", kMaxNameBytes);
  worker.availability_zone =
      reader.RequiredString("availability_zone", kMaxNameBytes);
  worker.rack = reader.RequiredString("rack", kMaxNameBytes);
  worker.capacity.milli_cpus =
      reader.RequiredInteger("milli_cpus", 0, kMaxAmount);
  worker.capacity.memory_bytes =
      reader.RequiredInteger("memory_bytes", 0, kMaxAmount);
  worker.capacity.accelerators =
      reader.OptionalInteger("accelerators", 0, 0, kMaxAmount);
  worker.capacity.slots = reader.RequiredInteger("slots", 0, kMaxAmount);
  worker.connections = static_cast<std::int32_t>(
      reader.RequiredInteger("connections", 1, kMaxConnections));
  worker.leaving = reader.OptionalBool("leaving", false);
  return worker;
}

}  // namespace

Result<wire::WorkerAnnouncement> ParseAnnouncement(std::string_view body) {
  const auto object = targets::ParseObject(body);
  if (!object) {
    return tl::unexpected(object.error());
  }
  JsonReader reader(object->get());
  wire::WorkerAnnouncement announcement;
  announcement.worker = ReadWorker(reader);
  announcement.clock_ms = reader.RequiredInteger("clock_ms", 0, kMaxInteger);
  ReadUsage(reader, announcement);
  ReadTasks(reader, announcement);
  if (auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return announcement;
}

}  // namespace cranberryshunt::entry
