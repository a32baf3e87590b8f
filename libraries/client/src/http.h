// HTTP calls to one of several entries.
#ifndef CRANBERRYSHUNT_CLIENT_HTTP_H_
#define CRANBERRYSHUNT_CLIENT_HTTP_H_

#include <chrono>
#include <optional>
#include <string>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/base/result.h"
#include "cranberryshunt/client/client.h"
#include "json.h"

namespace cranberryshunt::client {

struct HttpReply {
  int status = 0;
  Json body;  // Never null; an empty object for a body that is not JSON.
};

// Sends calls to the entries in turn until one replies or the timeout of the
// subcommand has passed.
class EntryCaller {
 public:
  explicit EntryCaller(const ClientOptions& options);

  // Sends a call, and repeats it at the next entry when an entry does not reply
  // or replies with HTTP status 503 or 504. The call must therefore be
  // idempotent. When the time is over, returns the last of these replies; fails
  // with kUnavailable if there was none. `body` may be null.
  Result<HttpReply> Call(const std::string& method,
                         const std::string& path,
                         const json_t* body);

  // Time until the timeout of the subcommand; 0 after it.
  std::chrono::milliseconds time_left() const;
  bool json() const { return options_.json; }

 private:
  // Sends the call to `entry` once. Returns nothing if there was no reply.
  std::optional<HttpReply> Send(const std::string& entry,
                                const std::string& method,
                                const std::string& path,
                                const std::string& body) const;

  const ClientOptions options_;
  const TimePoint deadline_;
  std::size_t next_entry_ = 0;
};

// Percent-encodes one segment of a URL path.
std::string EscapePathSegment(const std::string& segment);

// Prints the error of a call that got no reply, and returns its exit code.
int PrintError(const Error& error, bool as_json);

// Prints the error that a reply holds, and returns its exit code.
int PrintErrorReply(const HttpReply& reply, bool as_json);

}  // namespace cranberryshunt::client

#endif  // CRANBERRYSHUNT_CLIENT_HTTP_H_
