// The tasks of one simulated worker, as a target must keep them.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_STANDIN_WORKER_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_STANDIN_WORKER_H_

#include <jansson.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "cranberryshunt/base/resources.h"
#include "support/payload.h"
#include "support/records.h"

namespace cranberryshunt::test {

struct Place {
  std::string region;
  std::string availability_zone;
  std::string rack;
};

// Faults that the stand-in shows on purpose.
struct Faults {
  bool fail_all = false;
  bool truncate_answers = false;
  bool duplicate_answers = false;    // Lists each finished task twice.
  std::int64_t answer_delay_ms = 0;  // Between the end and the answer.
};

struct WorkerOptions {
  std::string identity;
  std::string incarnation;
  std::string address;  // "ip:port" that is announced.
  Place place;
  Resources capacity;
  std::int64_t connections = 64;
  Faults faults;
};

struct AttemptKey {
  std::string job_id;
  std::int64_t index = 0;
  std::int64_t attempt = 0;

  bool operator<(const AttemptKey& other) const {
    return std::tie(job_id, index, attempt) <
           std::tie(other.job_id, other.index, other.attempt);
  }
};

AttemptKey ReadAttemptKey(const json_t* object);

struct HttpAnswer {
  unsigned int status = 200;
  std::string body;
};

// Safe for use by several threads.
class Worker {
 public:
  Worker(WorkerOptions options, RecordFile& records);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // The calls of section 6.2; `body` is the request's object.
  HttpAnswer Start(const json_t* body);
  HttpAnswer Stop(const json_t* body);
  HttpAnswer Throttle(const json_t* body);
  HttpAnswer Lookup(const json_t* body);
  HttpAnswer Acknowledge(const json_t* body);

  // The body of an announcement, sent at `clock_ms`.
  std::string Announcement(std::int64_t clock_ms);
  // Applies the reply to an announcement that was sent at `clock_ms`.
  void ApplyReply(const json_t* reply,
                  bool said_leaving,
                  std::int64_t clock_ms);
  // Waits until something changed that must be announced, or until `timeout`.
  void WaitForChange(std::chrono::milliseconds timeout);

  void Leave();
  bool leaving() const;
  // Whether no task runs and all answers were acknowledged.
  bool idle() const;
  bool running_any() const;

  const WorkerOptions& options() const { return options_; }

  // Milliseconds of the monotonic clock of this worker.
  static std::int64_t ClockMs();

 private:
  struct Attempt {
    std::string state;  // running, done, failed, stopped or refused.
    std::string reason;
    TargetRecord start;
    std::string answer;
    std::int64_t end_ms = 0;
    std::int64_t lease_until_ms = 0;
    std::int64_t answer_from_ms = 0;  // When the answer may be shown.
    bool barred = false;
    bool acknowledged = false;
  };

  // All of these need mutex_.
  std::string RefusalOf(const json_t* body, const Resources& need) const;
  HttpAnswer Refuse(const AttemptKey& key,
                    const json_t* body,
                    const std::string& reason);
  void Begin(const AttemptKey& key, const json_t* body, const Resources& need);
  void End(Attempt& attempt,
           const std::string& state,
           const std::string& reason);
  HttpAnswer WaitForEnd(std::unique_lock<std::mutex>& lock,
                        const AttemptKey& key);
  json_t* Render(const AttemptKey& key, const Attempt& attempt) const;
  bool Shown(const Attempt& attempt) const;
  std::int64_t EndDueTasks();
  void Changed();
  void Write(TargetRecord record, const char* event) const;

  void Run();

  const WorkerOptions options_;
  RecordFile& records_;
  mutable std::mutex mutex_;
  std::condition_variable tasks_changed_;
  std::condition_variable announce_;
  std::map<AttemptKey, Attempt> attempts_;
  Resources reserved_;
  bool leaving_ = false;
  bool leaving_recorded_ = false;
  bool change_pending_ = true;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_STANDIN_WORKER_H_
