// Client for HTTP calls from an entry to targets over pooled connections.
#ifndef CRANBERRYSHUNT_TARGETS_TARGET_CLIENT_H_
#define CRANBERRYSHUNT_TARGETS_TARGET_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "wire_types.h"

namespace cranberryshunt::targets {

struct TargetClientOptions {
  std::string token;
  // Number of entries that share the connection limit of a target.
  std::int32_t entry_count = 1;
  // Limit of a call that does not wait for the end of a task, and of the wait
  // for a free connection.
  std::chrono::milliseconds call_timeout{1'000};
  // StartAndWait() looks the attempt up if there is no answer for
  // `silence_limit`, and then every `lookup_interval`, to detect a connection
  // that no longer delivers anything. While nothing arrives, libcurl runs the
  // callback that checks both times about once a second. Both must be below a
  // second, so that every run finds them elapsed.
  std::chrono::milliseconds silence_limit{900};
  std::chrono::milliseconds lookup_interval{500};
  // Polling ends with Undetermined if no lookup has succeeded for this long.
  std::chrono::milliseconds unreachable_limit{3'000};
  // Limit of the wait for the end of a task. A later result arrives in an
  // announcement of the target.
  std::chrono::milliseconds task_wait_limit{600'000};
};

// Recipient of a call.
struct Target {
  std::string address;  // "ip:port".
  // Connection limit that the target announced; 0: not known.
  std::int32_t connections = 0;

  bool operator==(const Target&) const = default;
};

// The task is running: it was started by this call or an earlier one.
struct Accepted {};

// The attempt has ended. The answer in its record, if any, matches its length
// and checksum.
struct Finished {
  wire::AttemptReport record;
};

// The target has not started the attempt and never will.
struct RefusedByTarget {
  std::string reason;
};

// The call was certainly not sent.
struct NotSent {
  std::string detail;
};

// The outcome is unknown: the call was or may have been sent, and there is no
// complete and valid answer.
struct Undetermined {
  std::string detail;
};

// The target has a record of the attempt, which may still be running.
struct Found {
  wire::AttemptReport record;
};

// The target has no record of the attempt. Unless the lookup barred it, a start
// may still arrive.
struct NotFound {};

// The target has executed the call.
struct Confirmed {};

using StartResult =
    std::variant<Accepted, Finished, RefusedByTarget, NotSent, Undetermined>;
using LookupResult = std::variant<Found, NotFound, NotSent, Undetermined>;
using CallResult = std::variant<Confirmed, NotSent, Undetermined>;

// Whether a call may use a connection that has been used before.
enum class Reuse { kAllowed, kForbidden };

// Safe for use by several threads. Calls block.
class TargetClient {
 public:
  explicit TargetClient(TargetClientOptions options);
  ~TargetClient();

  // Starts an attempt and returns without waiting for its end. `payload` is a
  // separate argument, because the order never contains an interactive payload.
  StartResult Start(const Target& target,
                    const wire::StartOrder& order,
                    const std::string& payload,
                    Reuse reuse);

  // Starts an attempt and waits for its final record. While no answer arrives,
  // looks the attempt up on other connections. Returns Undetermined soon after
  // a lookup shows that the target does not know the attempt, so that the
  // caller can send it again.
  StartResult StartAndWait(const Target& target,
                           const wire::StartOrder& order,
                           const std::string& payload,
                           Reuse reuse);

  // Repeats lookups of an attempt that the target knows until its record is
  // final. Returns Accepted if it still runs after `task_wait_limit`.
  StartResult PollUntilFinal(const Target& target,
                             const wire::AttemptKey& attempt);

  CallResult Stop(const Target& target,
                  const wire::AttemptKey& attempt,
                  bool checkpoint);
  CallResult Throttle(const Target& target,
                      const wire::AttemptKey& attempt,
                      std::int32_t percent);
  // With `bar`, a target without a record of the attempt refuses any later
  // start of it.
  LookupResult Lookup(const Target& target,
                      const wire::AttemptKey& attempt,
                      bool bar,
                      Reuse reuse);
  // Tells the target that it need not report `attempts` again and may discard
  // their answers.
  CallResult Acknowledge(const Target& target,
                         const std::vector<wire::AttemptKey>& attempts);

  // Ends waiting calls with Undetermined; later calls fail at once.
  void Abort();
  bool aborted() const;

  // Closes the connections to targets that were not called for a minute.
  void CloseUnusedConnections();

  std::int64_t connection_count() const;

  // Returns the bytes sent and received by address since the previous call of
  // this function.
  std::map<std::string, std::int64_t> TakeTraffic();

 private:
  struct Implementation;
  class AttemptPoller;

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_TARGET_CLIENT_H_
