#include "support/payload.h"

#include <algorithm>
#include <cstdlib>

namespace cranberryshunt::test {

namespace {

void SetField(Payload& out, const std::string& key, const std::string& value) {
  const std::int64_t number = std::strtoll(value.c_str(), nullptr, 10);
  if (key == "request") {
    out.request = value;
  } else if (key == "sleep") {
    out.sleep_ms = number;
  } else if (key == "answer") {
    out.answer = value;
  } else if (key == "answer_bytes") {
    out.answer_bytes = number;
  } else if (key == "fail") {
    out.fail = number != 0;
  } else if (key == "echo") {
    out.echo = number != 0;
  } else if (key == "exclusive") {
    out.exclusive = number != 0;
  } else if (key == "once") {
    out.non_idempotent = number != 0;
  }
}

}  // namespace

Payload ParsePayload(const std::string& text) {
  Payload out;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const auto end = std::min(text.find(';', begin), text.size());
    const std::string item = text.substr(begin, end - begin);
    const auto equals = item.find('=');
    if (equals != std::string::npos) {
      SetField(out, item.substr(0, equals), item.substr(equals + 1));
    }
    begin = end + 1;
  }
  return out;
}

std::string AnswerOf(const std::string& text) {
  const Payload payload = ParsePayload(text);
  if (payload.echo) {
    return text;
  }
  std::string answer =
      payload.answer.empty() ? payload.request : payload.answer;
  // The padding contains the request, so that an answer that belongs to another
  // request can be recognized.
  const std::string unit = "." + payload.request;
  while (static_cast<std::int64_t>(answer.size()) < payload.answer_bytes) {
    answer += unit;
  }
  if (payload.answer_bytes > 0) {
    answer.resize(static_cast<std::size_t>(payload.answer_bytes));
  }
  return answer;
}

}  // namespace cranberryshunt::test
