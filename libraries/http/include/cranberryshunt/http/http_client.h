// HTTP client that keeps connections open and never blocks its callers.
#ifndef CRANBERRYSHUNT_HTTP_HTTP_CLIENT_H_
#define CRANBERRYSHUNT_HTTP_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::http {

struct HttpCall {
  std::string method;
  std::string url;
  std::vector<std::string> headers;  // "Name: value".
  std::string body;
  std::chrono::milliseconds timeout{1'000};  // From Send() on.
  // Opens a new connection, because the open ones may have gone silent.
  bool fresh_connection = false;

  bool operator==(const HttpCall&) const = default;
};

struct HttpAnswer {
  int status = 0;  // 0: no answer.
  std::string body;
  bool sent = true;   // False: no connection could be opened.
  std::string error;  // Why there is no answer.

  bool operator==(const HttpAnswer&) const = default;
};

struct HttpClientOptions {
  // Calls that are open to one address; further ones wait. Calls with a fresh
  // connection leave others idle beside it.
  long max_connections_per_address = 6;
  long max_idle_connections = 1'024;
  // Beyond the pause between two holds of a worker. Idle connections cost a
  // system call each second.
  std::chrono::seconds max_idle_time{5};
  std::chrono::milliseconds connect_timeout{600};
  std::size_t max_answer_bytes = 4U << 20;
};

class HttpClient {
 public:
  using Callback = std::function<void(HttpAnswer)>;

  // Fails with kUnavailable when the library cannot be set up.
  static Result<std::unique_ptr<HttpClient>> Create(
      const HttpClientOptions& options);
  // Ends open calls without an answer.
  ~HttpClient();

  // `callback` runs once, on the client's thread; it must not block.
  void Send(HttpCall call, Callback callback);
  // Waits for the answer.
  HttpAnswer Call(HttpCall call);

 private:
  struct Implementation;

  explicit HttpClient(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::http

#endif  // CRANBERRYSHUNT_HTTP_HTTP_CLIENT_H_
