// HTTP calls to any of several entries.
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

// Sends calls to the entries in turn until one answers or the time of the
// subcommand is over.
class EntryCaller {
 public:
  explicit EntryCaller(const ClientOptions& options);

  // Repeats the call at the next entry when no answer comes or an entry is not
  // ready; the call must be safe to repeat. Fails with kUnavailable when no
  // entry answered in time.
  Result<HttpReply> Call(const std::string& method,
                         const std::string& path,
                         const json_t* body);

  std::chrono::milliseconds time_left() const;
  bool json() const { return options_.json; }

 private:
  std::optional<HttpReply> Send(const std::string& entry,
                                const std::string& method,
                                const std::string& path,
                                const std::string& body) const;

  const ClientOptions options_;
  const TimePoint deadline_;
  std::size_t next_entry_ = 0;
};

// Encodes one segment of a path.
std::string EscapePath(const std::string& segment);

// Prints the error of a reply or of a call that got none, and returns the exit
// code for it.
int ReportError(const Error& error, bool as_json);
int ReportErrorReply(const HttpReply& reply, bool as_json);

}  // namespace cranberryshunt::client

#endif  // CRANBERRYSHUNT_CLIENT_HTTP_H_
