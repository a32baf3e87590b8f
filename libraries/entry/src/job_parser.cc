#include <charconv>
#include <limits>

#include "cranberryshunt/targets/json_reader.h"
#include "request_parsers.h"

namespace cranberryshunt::entry {

namespace {

using targets::JsonReader;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::int64_t kMaxTasks = 10'000;
constexpr std::int64_t kMaxMilliCpus = 10'000'000;
constexpr std::int64_t kMaxMemoryBytes = std::int64_t{1} << 50;
constexpr std::int64_t kMaxAccelerators = 100'000;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxDurationMs = std::int64_t{365} * 24 * 3'600 * 1'000;

wire::JobKind::type ReadKind(JsonReader& reader) {
  const std::string name = reader.RequiredString("kind", kMaxNameBytes);
  if (name == "service") {
    return wire::JobKind::kService;
  }
  if (name == "batch") {
    return wire::JobKind::kBatch;
  }
  if (name == "gang") {
    return wire::JobKind::kGang;
  }
  if (name == "interactive") {
    return wire::JobKind::kInteractive;
  }
  reader.SetError(ResultCode::kInvalidField,
                  "field must be service, batch, gang or interactive", "kind");
  return wire::JobKind::kBatch;
}

wire::Resources ReadTaskResources(JsonReader& reader) {
  wire::Resources resources;
  resources.milli_cpus = reader.RequiredInteger("milli_cpus", 0, kMaxMilliCpus);
  resources.memory_bytes =
      reader.RequiredInteger("memory_bytes", 0, kMaxMemoryBytes);
  resources.accelerators =
      reader.OptionalInteger("accelerators", 0, 0, kMaxAccelerators);
  resources.slots = reader.OptionalInteger("slots", 1, 0, kMaxSlots);
  return resources;
}

}  // namespace

Result<std::int64_t> ParseWaitMs(const std::string& text) {
  if (text.empty()) {
    return 0;
  }
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [next, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || next != end) {
    return Fail(ResultCode::kWrongType, "parameter must be an integer",
                "wait_ms");
  }
  if (value < 0 || value > kMaxWaitMs) {
    return Fail(ResultCode::kInvalidField,
                "parameter must be from 0 to " + std::to_string(kMaxWaitMs),
                "wait_ms");
  }
  return value;
}

Result<wire::JobSpec> ParseJobSpec(std::string_view body,
                                   std::size_t max_payload_bytes) {
  const auto object = targets::ParseObject(body);
  if (!object) {
    return tl::unexpected(object.error());
  }
  JsonReader reader(object->get());
  wire::JobSpec spec;
  spec.team = reader.RequiredString("team", kMaxNameBytes);
  spec.kind = ReadKind(reader);
  spec.service_name = reader.OptionalString("service", kMaxNameBytes);
  spec.task_count = static_cast<std::int32_t>(
      reader.OptionalInteger("tasks", 1, 1, kMaxTasks));
  spec.task_resources = ReadTaskResources(reader);
  spec.expected_run_ms =
      reader.OptionalInteger("expected_run_ms", 0, 0, kMaxDurationMs);
  spec.deadline_ms =
      reader.OptionalInteger("deadline_ms", 0, 0, kMaxDurationMs);
  spec.region = reader.OptionalString("region", kMaxNameBytes);
  spec.availability_zone =
      reader.OptionalString("availability_zone", kMaxNameBytes);
  spec.exclusive = reader.OptionalBool("exclusive", false);
  spec.idempotent = reader.OptionalBool("idempotent", true);
  spec.idempotency_key =
      reader.OptionalString("idempotency_key", kMaxNameBytes);
  spec.family = reader.OptionalString("family", kMaxNameBytes);
  const bool interactive = spec.kind == wire::JobKind::kInteractive;
  spec.payload = reader.OptionalString(
      "payload", interactive ? max_payload_bytes : kMaxCommittedPayloadBytes);
  if (auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return spec;
}

}  // namespace cranberryshunt::entry
