// Records of the stand-in targets and of the test callers. Times are
// CLOCK_BOOTTIME, which all processes of one machine share.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_RECORDS_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_RECORDS_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "cranberryshunt/base/resources.h"

namespace cranberryshunt::test {

// One line of a stand-in's record file.
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
  std::string state;    // Of an end: done, failed or stopped.
  std::string reason;   // Of an end or a refusal.
  Resources resources;  // Of a start: the task's; of up: the capacity.
  std::string request;  // Of the payload.
  bool exclusive = false;
  bool once = false;
  std::string payload_digest;
};

// Appends one line with one write, so that lines of several processes and of
// processes that are killed stay whole.
class RecordFile {
 public:
  explicit RecordFile(const std::string& path);
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  void Append(const TargetRecord& record) const;

 private:
  int fd_ = -1;
};

std::vector<TargetRecord> ReadRecords(const std::string& path);

// What a caller asked for and was told in the end.
struct CallerRecord {
  std::string request;
  std::string kind;
  bool exclusive = false;
  bool once = false;
  std::int64_t tasks = 1;
  std::string expected_answer;
  int http_status = 0;    // 0: no answer came.
  bool connected = true;  // False: nothing was sent.
  std::string job_id;
  std::string outcome;  // Empty: not told.
  int code = 0;
  std::string reason;
  std::vector<std::string> answers;  // One for each task.
  std::vector<std::string> workers;
  bool whole_answers = true;  // Lengths and checksums were right.
  std::int64_t retry_after_ms = 0;
  std::int64_t sent_us = 0;
  std::int64_t told_us = 0;
};

// Microseconds of CLOCK_BOOTTIME.
std::int64_t BootMicroseconds();

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_RECORDS_H_
