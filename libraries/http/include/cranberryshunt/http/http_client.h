// Asynchronous HTTP client that reuses connections.
#ifndef CRANBERRYSHUNT_HTTP_HTTP_CLIENT_H_
#define CRANBERRYSHUNT_HTTP_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
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
  // Counted from Send(); includes the wait for a free connection.
  std::chrono::milliseconds timeout{1'000};
  // Uses a new connection, because earlier ones may no longer respond.
  bool fresh_connection = false;
  // Whether the call may be sent once more on another connection when its
  // connection ends before an answer. Any other call is sent at most once.
  bool idempotent = false;
  // Calls share connections only with calls of the same group.
  std::string connection_group;
  // The only connection on which the call may be sent, by its number in an
  // earlier answer of the group; 0: any. If that connection has ended or is in
  // use, the call fails without being sent. A connection leads to one process,
  // while another one may serve the address by now.
  std::uint64_t connection = 0;

  bool operator==(const HttpCall&) const = default;
};

struct HttpAnswer {
  int status = 0;  // HTTP status; 0: no answer.
  std::string body;
  // False if no part of the call was written to any connection. An error says
  // nothing else about whether the call was executed.
  bool sent = true;
  // Whether the host refused the connection for the call: no process listens at
  // the address. False if the host did not answer at all.
  bool refused = false;
  std::string error;  // Why there is no answer.
  // Number of the connection, unique in this client; 0 if the call has no
  // connection group or was not sent.
  std::uint64_t connection = 0;
  // Whether the call was written only to a connection on which an earlier call
  // was answered. Such a connection leads to the process that answered then.
  bool reused_connection = false;

  bool operator==(const HttpAnswer&) const = default;
};

struct HttpClientOptions {
  // Limit of calls in flight to one address; further calls wait. There may be
  // more connections, because a call with `fresh_connection` leaves the idle
  // ones open.
  long max_connections_per_address = 6;
  long max_idle_connections = 1'024;
  // Longer than the pause between two hold orders to a worker, so that these
  // reuse a connection. Each idle connection costs a system call each second.
  std::chrono::seconds max_idle_time{5};
  std::chrono::milliseconds connect_timeout{600};
  std::size_t max_answer_bytes = 4U << 20;
};

// Safe for use by several threads.
class HttpClient {
 public:
  using Callback = std::function<void(HttpAnswer)>;

  // Fails with kUnavailable if libcurl or the event loop cannot be set up.
  static Result<std::unique_ptr<HttpClient>> Create(
      const HttpClientOptions& options);
  // Ends all pending calls without an answer and runs their callbacks.
  ~HttpClient();

  // Returns without waiting. `callback` runs exactly once, on the client's
  // thread or in the destructor, and must not block.
  void Send(HttpCall call, Callback callback);
  // Sends a call and waits for its answer. Must not be used in a callback.
  HttpAnswer Call(HttpCall call);

 private:
  struct Implementation;

  explicit HttpClient(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::http

#endif  // CRANBERRYSHUNT_HTTP_HTTP_CLIENT_H_
