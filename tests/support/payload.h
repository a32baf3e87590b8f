// Payload of a task, which tells the stand-in target how to simulate the task.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_PAYLOAD_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_PAYLOAD_H_

#include <cstdint>
#include <string>

namespace cranberryshunt::test {

// Parsed from "request=r1;sleep=200;answer=hello;fail=1;answer_bytes=1000;
// echo=1;exclusive=1;once=1". Unknown keys are ignored.
struct Payload {
  std::string request;            // Identifies the caller's request.
  std::int64_t sleep_ms = 0;      // Run time of the task.
  std::string answer;             // Default: the request.
  std::int64_t answer_bytes = 0;  // Pads or cuts the answer if > 0.
  bool fail = false;
  bool echo = false;            // Answers with the whole payload.
  bool exclusive = false;       // The job was submitted as exclusive.
  bool non_idempotent = false;  // "once": submitted as non-idempotent.
};

Payload ParsePayload(const std::string& text);

// The answer of a task with the payload `text`.
std::string AnswerOf(const std::string& text);

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_PAYLOAD_H_
