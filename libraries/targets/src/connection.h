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

struct HttpCall {
  std::string url;
  const std::string& body;
  std::chrono::milliseconds timeout;
  std::size_t max_answer_bytes;
};

struct HttpAnswer {
  enum class Result {
    kAnswered,   // A whole answer, as far as HTTP shows.
    kNotSent,    // Nothing of the call left this host.
    kTimedOut,   // Sent; the deadline passed.
    kBroken,     // Sent; the connection broke or the answer was cut short.
    kAbandoned,  // The caller ended the call.
  };

  Result result = Result::kBroken;
  long status = 0;
  std::string body;
  std::string detail;
  std::int64_t traffic_bytes = 0;
};

// A libcurl handle with a connection of its own, which it keeps between calls.
// Used by one thread at a time.
class Connection {
 public:
  // `sequence` orders the connections to one target by age.
  Connection(std::uint64_t sequence, const std::string& token);

  // Returns whether the call goes on. Called at least about once a second.
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

  void Prepare(const HttpCall& call);
  HttpAnswer Conclude(CURLcode rc);

  const std::uint64_t sequence_;
  std::unique_ptr<curl_slist, ListDeleter> headers_;
  // Used by its own connection cache only: a multi handle of each connection
  // would take 34 KB more.
  std::unique_ptr<CURL, EasyDeleter> easy_;
  std::string body_;
  std::size_t max_answer_bytes_ = 0;
};

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_CONNECTION_H_
