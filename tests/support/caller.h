// Callers and operators of integration tests.
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
  int status = 0;         // 0: no answer.
  bool connected = true;  // False: nothing was sent.
  std::string body;
};

// One HTTP call over a connection of its own.
HttpReply HttpCall(const std::string& method,
                   const std::string& address,
                   const std::string& path,
                   const std::string& token,
                   const std::string& body,
                   Milliseconds timeout);

struct JobRequest {
  std::string request;  // Unique; also sent in the payload.
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
  std::string key;           // Idempotency key; empty: none.
  std::string more_payload;  // As in "sleep=200;echo=1".
};

std::string PayloadOf(const JobRequest& job);
std::string BodyOf(const JobRequest& job);

// Sends requests and records what it was told. Safe for several threads.
class Caller {
 public:
  Caller(std::vector<std::string> entries, std::string token);

  // Submits once to the entry with this number and waits up to `wait` for the
  // outcome. What was told is recorded.
  CallerRecord Submit(const JobRequest& job,
                      std::size_t entry,
                      Milliseconds wait);

  // Submits, and as a careful caller does: after a lost answer or a refusal
  // that allows a retry, it sends again with the same key to the next entry,
  // and it asks for the status until the outcome is final or `bound` has
  // passed. A job without a key is not sent again after a lost answer.
  CallerRecord SubmitUntilFinal(const JobRequest& job,
                                std::size_t entry,
                                Milliseconds bound);

  std::vector<CallerRecord> records() const;

 private:
  CallerRecord Send(const JobRequest& job,
                    const std::string& entry,
                    Milliseconds wait) const;
  CallerRecord AskStatus(const CallerRecord& before,
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
