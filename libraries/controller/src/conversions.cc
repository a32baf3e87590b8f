#include "conversions.h"

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::controller {

namespace {

constexpr std::size_t kMaxPayloadBytes = std::size_t{64} << 10;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::int32_t kMaxTasksPerJob = 10'000;
// Keeps sums of resources far from overflow.
constexpr std::int64_t kMaxResource = std::int64_t{1} << 50;
constexpr std::int64_t kMaxMilliseconds = std::int64_t{1} << 40;

Result<void> CheckName(const std::string& value, const char* field) {
  if (value.size() > kMaxNameBytes) {
    return Fail(ResultCode::kInvalidField, "longer than 256 bytes", field);
  }
  return {};
}

Result<void> CheckRange(std::int64_t value,
                        std::int64_t low,
                        std::int64_t high,
                        const char* field) {
  if (value < low || value > high) {
    return Fail(ResultCode::kInvalidField,
                "must be between " + std::to_string(low) + " and " +
                    std::to_string(high),
                field);
  }
  return {};
}

Result<void> CheckNames(const wire::JobSpec& spec) {
  const std::pair<const std::string*, const char*> names[] = {
      {&spec.team, "team"},
      {&spec.service_name, "service"},
      {&spec.region, "region"},
      {&spec.availability_zone, "availability_zone"},
      {&spec.idempotency_key, "idempotency_key"},
      {&spec.family, "family"}};
  for (const auto& [value, field] : names) {
    if (auto checked = CheckName(*value, field); !checked) {
      return checked;
    }
  }
  return {};
}

Result<void> CheckNumbers(const wire::JobSpec& spec) {
  struct Range {
    std::int64_t value;
    std::int64_t low;
    std::int64_t high;
    const char* field;
  };
  const auto& resources = spec.task_resources;
  const Range ranges[] = {
      {spec.task_count, 1, kMaxTasksPerJob, "tasks"},
      {resources.milli_cpus, 1, kMaxResource, "milli_cpus"},
      {resources.memory_bytes, 1, kMaxResource, "memory_bytes"},
      {resources.accelerators, 0, kMaxResource, "accelerators"},
      {resources.slots, 0, kMaxResource, "slots"},
      {spec.expected_run_ms, 0, kMaxMilliseconds, "expected_run_ms"},
      {spec.deadline_ms, 0, kMaxMilliseconds, "deadline_ms"}};
  for (const auto& range : ranges) {
    auto checked = CheckRange(range.value, range.low, range.high, range.field);
    if (!checked) {
      return checked;
    }
  }
  return {};
}

}  // namespace

Resources ToResources(const wire::Resources& resources) {
  return {resources.milli_cpus, resources.memory_bytes, resources.accelerators,
          resources.slots};
}

wire::Resources ToWire(const Resources& resources) {
  wire::Resources converted;
  converted.milli_cpus = resources.milli_cpus;
  converted.memory_bytes = resources.memory_bytes;
  converted.accelerators = resources.accelerators;
  converted.slots = resources.slots;
  return converted;
}

policy::Kind ToKind(wire::JobKind::type kind) {
  switch (kind) {
    case wire::JobKind::kService:
      return policy::Kind::kService;
    case wire::JobKind::kGang:
      return policy::Kind::kGang;
    case wire::JobKind::kInteractive:
      return policy::Kind::kInteractive;
    case wire::JobKind::kBatch:
      break;
  }
  return policy::Kind::kBatch;
}

wire::JobKind::type ToWire(policy::Kind kind) {
  switch (kind) {
    case policy::Kind::kService:
      return wire::JobKind::kService;
    case policy::Kind::kGang:
      return wire::JobKind::kGang;
    case policy::Kind::kInteractive:
      return wire::JobKind::kInteractive;
    case policy::Kind::kBatch:
      break;
  }
  return wire::JobKind::kBatch;
}

std::string KindName(policy::Kind kind) {
  switch (kind) {
    case policy::Kind::kService:
      return "service";
    case policy::Kind::kGang:
      return "gang";
    case policy::Kind::kInteractive:
      return "interactive";
    case policy::Kind::kBatch:
      break;
  }
  return "batch";
}

policy::WorkerInfo ToWorkerInfo(const wire::Worker& worker) {
  return {worker.identity, worker.region, worker.availability_zone, worker.rack,
          ToResources(worker.capacity)};
}

policy::JobRequest ToJobRequest(const std::string& job_id,
                                const wire::JobSpec& spec,
                                const std::string& caller_region,
                                const rules::RuleSet& rules,
                                Duration age,
                                TimePoint now) {
  policy::JobRequest job;
  job.job_id = job_id;
  job.team = spec.team;
  job.kind = ToKind(spec.kind);
  job.task_count = spec.task_count;
  job.task_resources = ToResources(spec.task_resources);
  job.expected_run = std::chrono::milliseconds(spec.expected_run_ms);
  if (spec.deadline_ms > 0) {
    job.deadline = now + std::chrono::milliseconds(spec.deadline_ms) - age;
  }
  job.exclusive = spec.exclusive;
  job.idempotent = spec.idempotent;
  job.family = spec.family;
  job.constraint =
      rules::ResolveConstraint(rules, spec.service_name, job.kind, spec.team);
  if (!spec.region.empty()) {
    job.constraint.require_region = spec.region;
  }
  if (!spec.availability_zone.empty()) {
    job.constraint.require_availability_zone = spec.availability_zone;
  }
  if (job.constraint.prefer_region.empty()) {
    job.constraint.prefer_region = caller_region;
  }
  return job;
}

Result<void> CheckSpec(const wire::JobSpec& spec) {
  if (spec.team.empty()) {
    return Fail(ResultCode::kMissingField, "team is required", "team");
  }
  if (spec.kind < wire::JobKind::kService ||
      spec.kind > wire::JobKind::kInteractive) {
    return Fail(ResultCode::kInvalidField, "unknown kind of job", "kind");
  }
  if (spec.payload.size() > kMaxPayloadBytes) {
    return Fail(ResultCode::kTooLarge, "longer than 65536 bytes", "payload");
  }
  if (auto checked = CheckNames(spec); !checked) {
    return checked;
  }
  return CheckNumbers(spec);
}

bool PayloadAtEntry(const wire::JobSpec& spec) {
  return spec.kind == wire::JobKind::kInteractive && spec.payload.empty();
}

std::int64_t SpecDigest(const wire::JobSpec& spec) {
  return Digest63(wire::Encode(spec));
}

bool IsIntact(const wire::Answer& answer) {
  if (answer.bytes.empty() && !answer.stored) {
    return true;
  }
  return answer.length == static_cast<std::int64_t>(answer.bytes.size()) &&
         answer.crc32 == static_cast<std::int64_t>(Crc32(answer.bytes));
}

policy::TaskId ToTaskId(const wire::AttemptKey& attempt) {
  return {attempt.job_id, attempt.index};
}

}  // namespace cranberryshunt::controller
