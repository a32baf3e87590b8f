// One simulated worker, which implements the target protocol and keeps the
// state of its tasks.
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

struct Location {
  std::string region;
  std::string availability_zone;
  std::string rack;
};

// Faults that the stand-in injects.
struct Faults {
  bool fail_all = false;
  bool truncate_answers = false;
  bool duplicate_answers = false;    // Announces each ended task twice.
  std::int64_t answer_delay_ms = 0;  // From the end of a task to its answer.
};

struct WorkerOptions {
  std::string identity;
  std::string incarnation;
  std::string address;  // "ip:port" to announce.
  Location location;
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

// Reads the members job_id, index and attempt.
AttemptKey ReadAttemptKey(const json_t* object);

struct HttpAnswer {
  unsigned int status = 200;
  std::string body;
};

// Thread-safe. The constructor starts a thread that ends tasks in time.
class Worker {
 public:
  Worker(WorkerOptions options, RecordFile& records);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // The calls of the target protocol (section 6.2 of the design page); `body`
  // is the JSON object of the request. Start() waits for the end of the task if
  // the request asks for it.
  HttpAnswer Start(const json_t* body);
  HttpAnswer Stop(const json_t* body);
  HttpAnswer Throttle(const json_t* body);
  HttpAnswer Lookup(const json_t* body);
  HttpAnswer Acknowledge(const json_t* body);

  // Returns the body of an announcement sent at `clock_ms` (see ClockMs()).
  std::string BuildAnnouncement(std::int64_t clock_ms);
  // Applies the reply to an announcement that was sent at `clock_ms`: removes
  // acknowledged answers, stops tasks and extends leases. `announced_leaving`
  // is whether the announcement said that the worker leaves.
  void ApplyReply(const json_t* reply,
                  bool announced_leaving,
                  std::int64_t clock_ms);
  // Waits up to `timeout` until there is a change to announce.
  void WaitForChange(std::chrono::milliseconds timeout);

  // Refuses starts from now on and announces that the worker leaves.
  void Leave();
  bool leaving() const;
  // Whether an entry has accepted the announcement that the worker leaves, no
  // task runs and all answers were acknowledged.
  bool ready_to_exit() const;
  bool has_running_tasks() const;

  const WorkerOptions& options() const { return options_; }

  // Milliseconds of the worker's monotonic clock, CLOCK_BOOTTIME.
  static std::int64_t ClockMs();

 private:
  struct Attempt {
    std::string state;  // running, done, failed, stopped or refused.
    std::string reason;
    TargetRecord start;
    std::string answer;
    std::int64_t end_ms = 0;
    std::int64_t lease_until_ms = 0;
    std::int64_t visible_from_ms = 0;  // Announced as running until then.
    bool barred = false;               // Lookup() forbade its start.
    bool acknowledged = false;
  };

  // The caller of these functions holds mutex_.

  // Returns the reason to refuse a start, or an empty text to accept it.
  std::string RefusalReason(const json_t* body, const Resources& need) const;
  // Records the refusal and returns the response.
  HttpAnswer Refuse(const AttemptKey& key,
                    const json_t* body,
                    const std::string& reason);
  void BeginAttempt(const AttemptKey& key,
                    const json_t* body,
                    const Resources& need);
  void EndAttempt(Attempt& attempt,
                  const std::string& state,
                  const std::string& reason);
  HttpAnswer WaitForEnd(std::unique_lock<std::mutex>& lock,
                        const AttemptKey& key);
  json_t* AttemptToJson(const AttemptKey& key, const Attempt& attempt) const;
  // Whether the task has ended and its answer is not delayed any more.
  bool IsEndVisible(const Attempt& attempt) const;
  // Ends tasks whose run time or lease is over. Returns the milliseconds until
  // the next check.
  std::int64_t EndDueTasks();
  // Wakes the threads that wait for a task or for a change to announce.
  void NotifyChange();
  void WriteRecord(TargetRecord record, const char* event) const;

  void EndTasksLoop();

  const WorkerOptions options_;
  RecordFile& records_;
  mutable std::mutex mutex_;
  std::condition_variable tasks_changed_;
  std::condition_variable announcement_changed_;
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
