// Records of the stand-in targets and of the test callers. Times are in
// microseconds of CLOCK_BOOTTIME, which all processes of one machine share.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_RECORDS_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_RECORDS_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "cranberryshunt/base/resources.h"

namespace cranberryshunt::test {

// One line of the record file of the stand-in targets: an event at a worker.
struct TargetRecord {
  // up, start, end, refuse, stop, throttle, leaving, dead.
  std::string event;
  std::int64_t boot_us = 0;
  std::string worker;
  std::string incarnation;
  std::string job_id;
  std::int64_t index = 0;
  std::int64_t attempt = 0;
  std::int64_t fence = 0;
  std::string state;    // For "end": done, failed or stopped.
  std::string reason;   // For "end" and "refuse"; percent for "throttle".
  Resources resources;  // The task's, or for "up" the worker's capacity.
  std::string request;  // From the payload.
  bool exclusive = false;
  bool non_idempotent = false;
  std::string payload_digest;
};

// A record file that several processes append to.
class RecordFile {
 public:
  explicit RecordFile(const std::string& path);
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  // Appends one line with a single write, so that lines of concurrent or killed
  // processes stay intact. Aborts the process when the write fails.
  void Append(const TargetRecord& record) const;

 private:
  int fd_ = -1;
};

std::vector<TargetRecord> ReadRecords(const std::string& path);

// A request of a caller and the last response to it.
struct CallerRecord {
  std::string request;
  std::string kind;
  bool exclusive = false;
  bool non_idempotent = false;
  std::int64_t tasks = 1;
  std::string expected_answer;
  int http_status = 0;    // 0 when no response arrived.
  bool connected = true;  // False: nothing was sent.
  std::string job_id;
  std::string outcome;  // Empty when none was received.
  int code = 0;
  std::string reason;
  std::vector<std::string> answers;  // One for each task.
  std::vector<std::string> workers;
  bool answers_intact = true;  // Lengths and checksums matched.
  std::int64_t retry_after_ms = 0;
  std::int64_t sent_us = 0;
  std::int64_t received_us = 0;
};

// The current time in microseconds of CLOCK_BOOTTIME.
std::int64_t BootMicroseconds();

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_RECORDS_H_
