#include "support/records.h"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>

#include "cranberryshunt/base/clock.h"
#include "support/json.h"

namespace cranberryshunt::test {

namespace {

std::string FormatRecord(const TargetRecord& record) {
  const Json line(json_object());
  json_t* raw = line.get();
  Set(raw, "event", record.event);
  Set(raw, "boot_us", record.boot_us);
  Set(raw, "worker", record.worker);
  Set(raw, "incarnation", record.incarnation);
  Set(raw, "job_id", record.job_id);
  Set(raw, "index", record.index);
  Set(raw, "attempt", record.attempt);
  Set(raw, "fence", record.fence);
  Set(raw, "state", record.state);
  Set(raw, "reason", record.reason);
  Set(raw, "milli_cpus", record.resources.milli_cpus);
  Set(raw, "memory_bytes", record.resources.memory_bytes);
  Set(raw, "accelerators", record.resources.accelerators);
  Set(raw, "slots", record.resources.slots);
  Set(raw, "request", record.request);
  SetBool(raw, "exclusive", record.exclusive);
  SetBool(raw, "once", record.non_idempotent);
  Set(raw, "payload_digest", record.payload_digest);
  return DumpJson(raw) + "\n";
}

TargetRecord ParseRecord(const std::string& text) {
  const Json line = ParseJson(text);
  const json_t* raw = line.get();
  TargetRecord out;
  out.event = TextOf(raw, "event");
  out.boot_us = IntegerOf(raw, "boot_us");
  out.worker = TextOf(raw, "worker");
  out.incarnation = TextOf(raw, "incarnation");
  out.job_id = TextOf(raw, "job_id");
  out.index = IntegerOf(raw, "index");
  out.attempt = IntegerOf(raw, "attempt");
  out.fence = IntegerOf(raw, "fence");
  out.state = TextOf(raw, "state");
  out.reason = TextOf(raw, "reason");
  out.resources = {IntegerOf(raw, "milli_cpus"), IntegerOf(raw, "memory_bytes"),
                   IntegerOf(raw, "accelerators"), IntegerOf(raw, "slots")};
  out.request = TextOf(raw, "request");
  out.exclusive = BoolOf(raw, "exclusive");
  out.non_idempotent = BoolOf(raw, "once");
  out.payload_digest = TextOf(raw, "payload_digest");
  return out;
}

}  // namespace

RecordFile::RecordFile(const std::string& path)
    : fd_(::open(path.c_str(),
                 O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                 0644)) {}

RecordFile::~RecordFile() {
  ::close(fd_);
}

void RecordFile::Append(const TargetRecord& record) const {
  const std::string line = FormatRecord(record);
  if (::write(fd_, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    // A lost record could hide a violation.
    std::abort();
  }
}

std::vector<TargetRecord> ReadRecords(const std::string& path) {
  std::vector<TargetRecord> out;
  std::ifstream in(path);
  for (std::string line; std::getline(in, line);) {
    out.push_back(ParseRecord(line));
  }
  return out;
}

std::int64_t BootMicroseconds() {
  return BootClock::now().time_since_epoch().count();
}

}  // namespace cranberryshunt::test
