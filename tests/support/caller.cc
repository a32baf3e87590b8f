#include "support/caller.h"

#include <curl/curl.h>

#include <algorithm>
#include <thread>

#include "cranberryshunt/base/bytes.h"
#include "support/json.h"
#include "support/payload.h"

namespace cranberryshunt::test {

namespace {

// A response counts as lost this long after the end of the wait at the entry.
constexpr Milliseconds kResponseMargin{2'000};
constexpr Milliseconds kMaxWait{5'000};
constexpr Milliseconds kRetryDelay{50};

std::size_t AppendToString(char* data,
                           std::size_t size,
                           std::size_t n,
                           void* out) {
  static_cast<std::string*>(out)->append(data, size * n);
  return size * n;
}

void ParseTasks(const json_t* tasks, CallerRecord& out) {
  std::size_t index = 0;
  const json_t* task = nullptr;
  json_array_foreach(tasks, index, task) {
    const std::string answer = TextOf(task, "answer");
    out.answers.push_back(answer);
    out.workers.push_back(TextOf(task, "worker"));
    if (TextOf(task, "outcome") == "done") {
      out.answers_intact = out.answers_intact &&
                           IntegerOf(task, "answer_length") ==
                               static_cast<std::int64_t>(answer.size()) &&
                           IntegerOf(task, "answer_crc32") ==
                               static_cast<std::int64_t>(Crc32(answer));
    }
  }
}

void ParseReply(const HttpReply& reply, CallerRecord& out) {
  const Json body = ParseJson(reply.body);
  const json_t* raw = body.get();
  const json_t* error = json_object_get(raw, "error");
  out.http_status = reply.status;
  out.connected = reply.connected;
  out.received_us = BootMicroseconds();
  out.outcome = TextOf(raw, "outcome");
  out.code =
      static_cast<int>(IntegerOf(error == nullptr ? raw : error, "code"));
  out.reason = TextOf(raw, "reason");
  out.retry_after_ms = IntegerOf(raw, "retry_after_ms");
  if (!TextOf(raw, "job_id").empty()) {
    out.job_id = TextOf(raw, "job_id");
  }
  out.answers.clear();
  out.workers.clear();
  ParseTasks(json_object_get(raw, "tasks"), out);
}

// An unknown outcome is final only with status 200. With another status, it
// means that the submission itself got no definite answer.
bool IsFinal(const CallerRecord& record) {
  return !record.outcome.empty() && record.outcome != "pending" &&
         (record.outcome != "unknown" || record.http_status == 200);
}

bool IsRefusal(const CallerRecord& record) {
  return record.http_status == 429 || record.http_status == 503;
}

}  // namespace

HttpReply SendHttpRequest(const std::string& method,
                          const std::string& address,
                          const std::string& path,
                          const std::string& token,
                          const std::string& body,
                          Milliseconds timeout) {
  HttpReply reply;
  CURL* curl = curl_easy_init();
  curl_slist* headers =
      curl_slist_append(nullptr, ("Authorization: Bearer " + token).c_str());
  headers = curl_slist_append(headers, "Content-Type: application/json");
  headers = curl_slist_append(headers, "Expect:");
  const std::string url = "http://" + address + path;
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  if (method != "GET") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
  }
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendToString);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply.body);
  const CURLcode result = curl_easy_perform(curl);
  reply.connected = result != CURLE_COULDNT_CONNECT;
  if (result == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
  }
  curl_slist_free_all(headers);
  curl_easy_cleanup(curl);
  return reply;
}

std::string PayloadOf(const JobRequest& job) {
  std::string out = "request=" + job.request;
  out += job.exclusive ? ";exclusive=1" : "";
  out += job.idempotent ? "" : ";once=1";
  return job.more_payload.empty() ? out : out + ";" + job.more_payload;
}

std::string RequestBodyOf(const JobRequest& job) {
  const Json body(json_object());
  json_t* raw = body.get();
  const auto set_text = [&](const char* name, const std::string& text) {
    if (!text.empty()) {
      Set(raw, name, text);
    }
  };
  Set(raw, "team", job.team);
  Set(raw, "kind", job.kind);
  set_text("service", job.service);
  Set(raw, "tasks", job.tasks);
  Set(raw, "milli_cpus", job.milli_cpus);
  Set(raw, "memory_bytes", job.memory_bytes);
  Set(raw, "slots", job.slots);
  if (job.deadline_ms > 0) {
    Set(raw, "deadline_ms", job.deadline_ms);
  }
  SetBool(raw, "exclusive", job.exclusive);
  SetBool(raw, "idempotent", job.idempotent);
  set_text("idempotency_key", job.key);
  Set(raw, "payload", PayloadOf(job));
  return DumpJson(raw);
}

Caller::Caller(std::vector<std::string> entries, std::string token)
    : entries_(std::move(entries)), token_(std::move(token)) {
  curl_global_init(CURL_GLOBAL_ALL);
}

CallerRecord Caller::Send(const JobRequest& job,
                          const std::string& entry,
                          Milliseconds wait) const {
  CallerRecord out;
  out.request = job.request;
  out.kind = job.kind;
  out.exclusive = job.exclusive;
  out.non_idempotent = !job.idempotent;
  out.tasks = job.tasks;
  out.expected_answer = AnswerOf(PayloadOf(job));
  out.sent_us = BootMicroseconds();
  ParseReply(
      SendHttpRequest("POST", entry,
                      "/v1/jobs?wait_ms=" + std::to_string(wait.count()),
                      token_, RequestBodyOf(job), wait + kResponseMargin),
      out);
  return out;
}

CallerRecord Caller::PollStatus(const CallerRecord& previous,
                                const std::string& entry,
                                Milliseconds wait) const {
  const auto reply =
      SendHttpRequest("GET", entry,
                      "/v1/jobs/" + previous.job_id +
                          "?wait_ms=" + std::to_string(wait.count()),
                      token_, "", wait + kResponseMargin);
  CallerRecord out = previous;
  if (reply.status == 200 || reply.status == 202) {
    ParseReply(reply, out);
  }
  return out;
}

CallerRecord Caller::Submit(const JobRequest& job,
                            std::size_t entry,
                            Milliseconds wait) {
  auto record = Send(job, entries_[entry % entries_.size()], wait);
  Record(record);
  return record;
}

CallerRecord Caller::SubmitUntilFinal(const JobRequest& job,
                                      std::size_t entry,
                                      Milliseconds bound) {
  const auto deadline = BootMicroseconds() + bound.count() * 1'000;
  const auto remaining = [&] {
    return std::clamp(Milliseconds((deadline - BootMicroseconds()) / 1'000),
                      Milliseconds(0), kMaxWait);
  };
  CallerRecord record =
      Send(job, entries_[entry % entries_.size()], remaining());
  const auto first_sent = record.sent_us;
  while (remaining().count() > 0) {
    const bool refused = IsRefusal(record);
    if (IsFinal(record) && !refused) {
      break;
    }
    const auto& next = entries_[++entry % entries_.size()];
    if (record.outcome == "pending" && !record.job_id.empty()) {
      record = PollStatus(record, next, remaining());
    } else if (refused || !job.key.empty()) {
      std::this_thread::sleep_for(kRetryDelay);
      record = Send(job, next, remaining());
    } else {
      break;
    }
  }
  record.sent_us = first_sent;
  Record(record);
  return record;
}

void Caller::Record(const CallerRecord& record) {
  const std::lock_guard lock(mutex_);
  records_.push_back(record);
}

std::vector<CallerRecord> Caller::records() const {
  const std::lock_guard lock(mutex_);
  return records_;
}

}  // namespace cranberryshunt::test
