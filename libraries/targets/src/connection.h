// One keep-alive HTTP connection to a target.
#ifndef CRANBERRYSHUNT_TARGETS_CONNECTION_H_
#define CRANBERRYSHUNT_TARGETS_CONNECTION_H_

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cranberryshunt::targets {

// A POST request with a JSON body.
struct HttpCall {
  std::string url;
  const std::string& body;
  std::chrono::milliseconds timeout;
  std::size_t max_answer_bytes;
};

struct HttpAnswer {
  enum class Result {
    kAnswered,  // The answer is complete according to HTTP.
    kNotSent,   // No part of the call was sent.
    kTimedOut,  // Sent; the deadline passed.
    kBroken,    // Sent; the connection failed or the answer is incomplete
                // or too large.
    kAborted,   // Ended by the caller; it may have been sent.
  };

  Result result = Result::kBroken;
  long status = 0;
  std::string body;
  std::string detail;  // libcurl's description of the result.
  // Bytes of the request and of the body of the answer.
  std::int64_t traffic_bytes = 0;
};

// A libcurl handle with its own connection, which stays open between calls. Not
// safe for simultaneous use by several threads.
class Connection {
 public:
  // `sequence` increases with each new connection to the same target.
  Connection(std::uint64_t sequence, const std::string& token);

  // Called at least about once a second during a call, which ends with kAborted
  // if the result is false.
  using OnTick = std::function<bool()>;

  HttpAnswer Post(const HttpCall& call, const OnTick& on_tick);

  std::uint64_t sequence() const { return sequence_; }

 private:
  struct EasyDeleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
  };
  struct ListDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
  };

  // Sets the libcurl options that depend on the call.
  void SetCallOptions(const HttpCall& call);
  // Builds the answer from the state of the handle after a call.
  HttpAnswer MakeAnswer(CURLcode rc);

  const std::uint64_t sequence_;
  std::unique_ptr<curl_slist, ListDeleter> headers_;
  // Keeps the connection in its own cache. A separate multi handle for each
  // connection would take 34 KB more.
  std::unique_ptr<CURL, EasyDeleter> easy_;
  std::string body_;
  std::size_t max_answer_bytes_ = 0;
};

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_CONNECTION_H_
