#include "worker.h"

#include <algorithm>
#include <chrono>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/base/clock.h"
#include "support/json.h"

namespace cranberryshunt::test {

namespace {

constexpr unsigned int kHttpAccepted = 202;
constexpr unsigned int kHttpNotFound = 404;
constexpr unsigned int kHttpConflict = 409;
constexpr std::int64_t kIdleWaitMs = 1'000;
// After the process was paused, tasks count as ended when their leases expired,
// because they did not run during the pause. Their end is recorded at most this
// long after the lease, which is less than the margin that a leader must keep.
constexpr std::int64_t kLeaseEndSlackUs = 400'000;

Resources ReadResources(const json_t* body) {
  return {IntegerOf(body, "milli_cpus"), IntegerOf(body, "memory_bytes"),
          IntegerOf(body, "accelerators"), IntegerOf(body, "slots")};
}

void SetKey(json_t* object, const AttemptKey& key) {
  Set(object, "job_id", key.job_id);
  Set(object, "index", key.index);
  Set(object, "attempt", key.attempt);
}

HttpAnswer Answer(unsigned int status, json_t* body) {
  const Json owned(body);
  return {status, DumpJson(body)};
}

}  // namespace

AttemptKey ReadAttemptKey(const json_t* object) {
  return {TextOf(object, "job_id"), IntegerOf(object, "index"),
          IntegerOf(object, "attempt")};
}

std::int64_t Worker::ClockMs() {
  return BootMicroseconds() / 1'000;
}

Worker::Worker(WorkerOptions options, RecordFile& records)
    : options_(std::move(options)), records_(records) {
  TargetRecord up;
  up.resources = options_.capacity;
  WriteRecord(up, "up");
  thread_ = std::thread([this] { EndTasksLoop(); });
}

Worker::~Worker() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    tasks_changed_.notify_all();
    announcement_changed_.notify_all();
  }
  thread_.join();
}

void Worker::WriteRecord(TargetRecord record, const char* event) const {
  record.event = event;
  record.worker = options_.identity;
  record.incarnation = options_.incarnation;
  if (record.boot_us == 0) {
    record.boot_us = BootMicroseconds();
  }
  records_.Append(record);
}

std::string Worker::RefusalReason(const json_t* body,
                                  const Resources& need) const {
  if (TextOf(body, "incarnation") != options_.incarnation) {
    return "incarnation";
  }
  const auto now = ClockMs();
  if (now > IntegerOf(body, "start_expiry_clock_ms") ||
      now > IntegerOf(body, "lease_until_clock_ms")) {
    return "expired";
  }
  if (leaving_) {
    return "leaving";
  }
  return (reserved_ + need).FitsIn(options_.capacity) ? "" : "capacity";
}

HttpAnswer Worker::Refuse(const AttemptKey& key,
                          const json_t* body,
                          const std::string& reason) {
  TargetRecord record;
  record.job_id = key.job_id;
  record.index = key.index;
  record.attempt = key.attempt;
  record.fence = IntegerOf(body, "fence");
  record.reason = reason;
  record.request = ParsePayload(TextOf(body, "payload")).request;
  WriteRecord(record, "refuse");
  return Answer(kHttpConflict, json_pack("{s:s}", "reason", reason.c_str()));
}

HttpAnswer Worker::Start(const json_t* body) {
  const AttemptKey key = ReadAttemptKey(body);
  const Resources need = ReadResources(body);
  const bool wait = BoolOf(body, "wait");
  std::unique_lock lock(mutex_);
  const auto it = attempts_.find(key);
  if (it != attempts_.end() && it->second.state == "refused") {
    return Refuse(key, body, it->second.reason);
  }
  if (it == attempts_.end()) {
    const std::string reason = RefusalReason(body, need);
    if (!reason.empty()) {
      // Later requests to start the same attempt are refused as well.
      auto& attempt = attempts_[key];
      attempt.state = "refused";
      attempt.reason = reason;
      attempt.start.fence = IntegerOf(body, "fence");
      NotifyChange();
      return Refuse(key, body, reason);
    }
    BeginAttempt(key, body, need);
  }
  if (wait) {
    return WaitForEnd(lock, key);
  }
  return {kHttpAccepted, "{}"};
}

void Worker::BeginAttempt(const AttemptKey& key,
                          const json_t* body,
                          const Resources& need) {
  const std::string text = TextOf(body, "payload");
  const Payload payload = ParsePayload(text);
  Attempt& attempt = attempts_[key];
  attempt.state = "running";
  attempt.end_ms = ClockMs() + payload.sleep_ms;
  attempt.lease_until_ms = IntegerOf(body, "lease_until_clock_ms");
  attempt.answer = AnswerOf(text);
  if (payload.fail || options_.faults.fail_all) {
    attempt.reason =
        "the task failed as requested by its payload or by --fail-all";
  }
  auto& record = attempt.start;
  record.job_id = key.job_id;
  record.index = key.index;
  record.attempt = key.attempt;
  record.fence = IntegerOf(body, "fence");
  record.resources = need;
  record.request = payload.request;
  record.exclusive = payload.exclusive;
  record.non_idempotent = payload.non_idempotent;
  record.payload_digest = Sha256Hex(text);
  reserved_ = reserved_ + need;
  WriteRecord(record, "start");
  NotifyChange();
}

void Worker::EndAttempt(Attempt& attempt,
                        const std::string& state,
                        const std::string& reason) {
  TargetRecord record = attempt.start;
  record.state = state;
  record.reason = reason;
  record.boot_us = BootMicroseconds();
  if (reason == "lease") {
    record.boot_us = std::min(
        record.boot_us, attempt.lease_until_ms * 1'000 + kLeaseEndSlackUs);
  }
  // Written before the state becomes visible, so that no later start is
  // recorded before this end.
  WriteRecord(record, "end");
  reserved_ = reserved_ - attempt.start.resources;
  attempt.state = state;
  attempt.reason = reason;
  attempt.visible_from_ms = ClockMs() + options_.faults.answer_delay_ms;
  if (state != "done") {
    attempt.answer.clear();
  }
  NotifyChange();
}

bool Worker::IsEndVisible(const Attempt& attempt) const {
  return attempt.state != "running" && ClockMs() >= attempt.visible_from_ms;
}

HttpAnswer Worker::WaitForEnd(std::unique_lock<std::mutex>& lock,
                              const AttemptKey& key) {
  tasks_changed_.wait(
      lock, [&] { return stopping_ || IsEndVisible(attempts_[key]); });
  const Attempt& attempt = attempts_[key];
  return attempt.state == "running" ? HttpAnswer{503, "{}"}
                                    : Answer(200, AttemptToJson(key, attempt));
}

json_t* Worker::AttemptToJson(const AttemptKey& key,
                              const Attempt& attempt) const {
  json_t* out = json_object();
  SetKey(out, key);
  Set(out, "fence", attempt.start.fence);
  const bool state_visible =
      attempt.state == "running" || IsEndVisible(attempt);
  Set(out, "state", state_visible ? attempt.state : "running");
  Set(out, "reason", attempt.reason);
  if (!state_visible || attempt.state != "done" || attempt.acknowledged) {
    return out;
  }
  const auto& answer = attempt.answer;
  Set(out, "answer",
      options_.faults.truncate_answers ? answer.substr(0, answer.size() / 2)
                                       : answer);
  Set(out, "answer_length", static_cast<std::int64_t>(answer.size()));
  Set(out, "answer_crc32", Crc32(answer));
  return out;
}

HttpAnswer Worker::Stop(const json_t* body) {
  const AttemptKey key = ReadAttemptKey(body);
  const std::lock_guard lock(mutex_);
  const auto it = attempts_.find(key);
  if (it == attempts_.end()) {
    return {kHttpNotFound, "{}"};
  }
  if (it->second.state == "running") {
    WriteRecord(it->second.start, "stop");
    EndAttempt(it->second, "stopped", "ordered");
  }
  return Answer(200, AttemptToJson(key, it->second));
}

HttpAnswer Worker::Throttle(const json_t* body) {
  const std::lock_guard lock(mutex_);
  const auto it = attempts_.find(ReadAttemptKey(body));
  if (it == attempts_.end()) {
    return {kHttpNotFound, "{}"};
  }
  TargetRecord record = it->second.start;
  record.reason = std::to_string(IntegerOf(body, "percent"));
  WriteRecord(record, "throttle");
  return {200, "{}"};
}

HttpAnswer Worker::Lookup(const json_t* body) {
  const AttemptKey key = ReadAttemptKey(body);
  const std::lock_guard lock(mutex_);
  const auto it = attempts_.find(key);
  if (it != attempts_.end() && it->second.state != "refused") {
    return Answer(200, AttemptToJson(key, it->second));
  }
  if (it == attempts_.end() && BoolOf(body, "bar")) {
    auto& attempt = attempts_[key];
    attempt.state = "refused";
    attempt.reason = "barred";
    attempt.barred = true;
  }
  return {kHttpNotFound, "{}"};
}

HttpAnswer Worker::Acknowledge(const json_t* body) {
  const std::lock_guard lock(mutex_);
  std::size_t index = 0;
  const json_t* task = nullptr;
  json_array_foreach(json_object_get(body, "tasks"), index, task) {
    const auto it = attempts_.find(ReadAttemptKey(task));
    if (it != attempts_.end() && it->second.state != "running") {
      it->second.acknowledged = true;
      it->second.answer.clear();
    }
  }
  return {200, "{}"};
}

std::string Worker::BuildAnnouncement(std::int64_t clock_ms) {
  const std::lock_guard lock(mutex_);
  change_pending_ = false;
  const Json body(json_object());
  json_t* raw = body.get();
  Set(raw, "identity", options_.identity);
  Set(raw, "incarnation", options_.incarnation);
  Set(raw, "address", options_.address);
  Set(raw, "region", options_.location.region);
  Set(raw, "availability_zone", options_.location.availability_zone);
  Set(raw, "rack", options_.location.rack);
  Set(raw, "milli_cpus", options_.capacity.milli_cpus);
  Set(raw, "memory_bytes", options_.capacity.memory_bytes);
  Set(raw, "accelerators", options_.capacity.accelerators);
  Set(raw, "slots", options_.capacity.slots);
  Set(raw, "connections", options_.connections);
  Set(raw, "clock_ms", clock_ms);
  SetBool(raw, "leaving", leaving_);
  json_object_set_new(
      raw, "usage",
      json_pack("{s:I, s:I}", "milli_cpus", json_int_t{reserved_.milli_cpus},
                "memory_bytes", json_int_t{reserved_.memory_bytes}));
  json_t* tasks = json_array();
  for (const auto& [key, attempt] : attempts_) {
    if (attempt.acknowledged || attempt.barred) {
      continue;
    }
    json_array_append_new(tasks, AttemptToJson(key, attempt));
    if (options_.faults.duplicate_answers && attempt.state != "running") {
      json_array_append_new(tasks, AttemptToJson(key, attempt));
    }
  }
  json_object_set_new(raw, "tasks", tasks);
  return DumpJson(raw);
}

void Worker::ApplyReply(const json_t* reply,
                        bool announced_leaving,
                        std::int64_t clock_ms) {
  Acknowledge(
      Json(json_pack("{s:O?}", "tasks", json_object_get(reply, "acknowledge")))
          .get());
  std::size_t index = 0;
  const json_t* stop = nullptr;
  json_array_foreach(json_object_get(reply, "stop"), index, stop) {
    Stop(stop);
  }
  const std::lock_guard lock(mutex_);
  const auto lease_until =
      IntegerOf(reply, "clock_ms") + IntegerOf(reply, "lease_ms");
  for (auto& [key, attempt] : attempts_) {
    // Extends only leases of tasks that the announcement listed: those that had
    // started when it was sent.
    if (attempt.state == "running" &&
        attempt.start.boot_us / 1'000 <= clock_ms) {
      attempt.lease_until_ms = std::max(attempt.lease_until_ms, lease_until);
    }
  }
  if (announced_leaving && !leaving_recorded_) {
    leaving_recorded_ = true;
    TargetRecord record;
    record.boot_us = clock_ms * 1'000;
    WriteRecord(record, "leaving");
  }
}

void Worker::NotifyChange() {
  change_pending_ = true;
  tasks_changed_.notify_all();
  announcement_changed_.notify_all();
}

void Worker::WaitForChange(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  announcement_changed_.wait_until(
      lock, std::chrono::steady_clock::now() + timeout,
      [&] { return stopping_ || change_pending_; });
}

void Worker::Leave() {
  const std::lock_guard lock(mutex_);
  leaving_ = true;
  NotifyChange();
}

bool Worker::leaving() const {
  const std::lock_guard lock(mutex_);
  return leaving_;
}

bool Worker::has_running_tasks() const {
  const std::lock_guard lock(mutex_);
  return std::any_of(attempts_.begin(), attempts_.end(), [](const auto& it) {
    return it.second.state == "running";
  });
}

bool Worker::ready_to_exit() const {
  const std::lock_guard lock(mutex_);
  return leaving_recorded_ &&
         std::all_of(attempts_.begin(), attempts_.end(), [](const auto& it) {
           return it.second.acknowledged || it.second.state == "refused";
         });
}

std::int64_t Worker::EndDueTasks() {
  const auto now = ClockMs();
  std::int64_t wait = kIdleWaitMs;
  for (auto& [key, attempt] : attempts_) {
    if (attempt.state != "running") {
      if (attempt.visible_from_ms > now) {
        wait = std::min(wait, attempt.visible_from_ms - now);
      } else if (attempt.visible_from_ms > 0) {
        attempt.visible_from_ms = 0;
        NotifyChange();
      }
      continue;
    }
    if (now >= attempt.lease_until_ms) {
      EndAttempt(attempt, "stopped", "lease");
    } else if (now >= attempt.end_ms) {
      const bool failed = !attempt.reason.empty();
      EndAttempt(attempt, failed ? "failed" : "done", attempt.reason);
    } else {
      wait =
          std::min({wait, attempt.end_ms - now, attempt.lease_until_ms - now});
    }
  }
  return wait;
}

void Worker::EndTasksLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto wait = EndDueTasks();
    tasks_changed_.wait_until(lock, std::chrono::steady_clock::now() +
                                        std::chrono::milliseconds(wait));
  }
}

}  // namespace cranberryshunt::test
