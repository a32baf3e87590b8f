// HTTP client of the integration tests, which submits jobs as a caller does.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_CALLER_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_CALLER_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "support/process.h"
#include "support/records.h"

namespace cranberryshunt::test {

struct HttpReply {
  int status = 0;         // 0 when no response arrived.
  bool connected = true;  // False when the connection failed; nothing was sent.
  std::string body;
};

// Sends one HTTP request to `address` ("ip:port") over a new connection, with
// `token` as bearer token. Returns status 0 when no response arrived within
// `timeout`.
HttpReply SendHttpRequest(const std::string& method,
                          const std::string& address,
                          const std::string& path,
                          const std::string& token,
                          const std::string& body,
                          Milliseconds timeout);

struct JobRequest {
  std::string request;  // Unique name, which the payload contains as well.
  std::string team = "noosa";
  std::string kind = "interactive";
  std::string service;
  std::int64_t tasks = 1;
  std::int64_t milli_cpus = 500;
  std::int64_t memory_bytes = 256LL << 20;
  std::int64_t slots = 1;
  std::int64_t deadline_ms = 0;
  bool exclusive = false;
  bool idempotent = true;
  std::string key;           // Idempotency key; none when empty.
  std::string more_payload;  // Further payload keys: "sleep=200;echo=1".
};

// The payload that makes the stand-in target run the job as requested.
std::string PayloadOf(const JobRequest& job);
// The JSON body of the submission.
std::string RequestBodyOf(const JobRequest& job);

// Submits jobs and records the outcomes that it receives. Thread-safe.
class Caller {
 public:
  Caller(std::vector<std::string> entries, std::string token);

  // Submits once, to the entry with the number `entry` modulo the number of
  // entries, and lets that entry wait up to `wait` for the outcome. Records and
  // returns the response.
  CallerRecord Submit(const JobRequest& job,
                      std::size_t entry,
                      Milliseconds wait);

  // Submits and retries as a careful caller does, until the outcome is final or
  // `bound` has passed, and records the last response. After a lost response or
  // a refusal with status 429 or 503, it submits again with the same key to the
  // next entry; while the job is pending, it polls the status. A job without a
  // key is not submitted again after a lost response.
  CallerRecord SubmitUntilFinal(const JobRequest& job,
                                std::size_t entry,
                                Milliseconds bound);

  std::vector<CallerRecord> records() const;

 private:
  CallerRecord Send(const JobRequest& job,
                    const std::string& entry,
                    Milliseconds wait) const;
  CallerRecord PollStatus(const CallerRecord& previous,
                          const std::string& entry,
                          Milliseconds wait) const;
  void Record(const CallerRecord& record);

  const std::vector<std::string> entries_;
  const std::string token_;
  mutable std::mutex mutex_;
  std::vector<CallerRecord> records_;
};

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_CALLER_H_
