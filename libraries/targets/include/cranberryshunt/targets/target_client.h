// HTTP calls from an entry to targets over pooled connections.
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
  // Entries that share a target's connection limit.
  std::int32_t entry_count = 1;
  // Bound of a call that does not wait for a task.
  std::chrono::milliseconds call_timeout{1'000};
  // A waiting start without an answer looks the attempt up after this time and
  // then at this interval, to notice a connection that went silent. libcurl
  // reports back about once a second while nothing arrives, which these values
  // must stay below to be checked each time.
  std::chrono::milliseconds silence_limit{900};
  std::chrono::milliseconds lookup_interval{500};
  // Without any successful lookup for this long, the target counts as lost.
  std::chrono::milliseconds unreachable_limit{3'000};
  // Bound of a waiting start; the task's result then comes by an announcement.
  std::chrono::milliseconds follow_limit{600'000};
};

// Where to send a call.
struct Target {
  std::string address;           // "ip:port".
  std::int32_t connections = 0;  // Limit that it announced; 0: not known.

  bool operator==(const Target&) const = default;
};

// The task was started, or had been before, and is running.
struct Accepted {};

// The attempt ended; the record has been checked.
struct Finished {
  wire::AttemptReport record;
};

// The target did not start the attempt and never will.
struct RefusedByTarget {
  std::string reason;
};

// The call was certainly not sent.
struct NotReached {
  std::string detail;
};

// The call was sent, or may have been, and there is no whole and valid answer.
struct Undetermined {
  std::string detail;
};

// The target has a record of the attempt, which may still be running.
struct Found {
  wire::AttemptReport record;
};

// The target has no record of the attempt.
struct NeverStarted {};

// The target carried the call out.
struct Confirmed {};

using StartResult =
    std::variant<Accepted, Finished, RefusedByTarget, NotReached, Undetermined>;
using LookupResult =
    std::variant<Found, NeverStarted, NotReached, Undetermined>;
using CallResult = std::variant<Confirmed, NotReached, Undetermined>;

// Whether a call may use a connection that has been used before.
enum class Reuse { kAllowed, kForbidden };

// Safe for use by several threads. Calls block.
class TargetClient {
 public:
  explicit TargetClient(TargetClientOptions options);
  ~TargetClient();

  // Starts an attempt and returns without waiting for its end. `payload` is
  // passed apart from the order, because an interactive payload never is in it.
  StartResult Start(const Target& target,
                    const wire::StartOrder& order,
                    const std::string& payload,
                    Reuse reuse);

  // Starts an attempt and waits for its record. When the connection stays
  // silent, the record is taken by lookups on other connections. Returns
  // Undetermined soon after a lookup shows that the target does not know the
  // attempt, so that the caller can send it again.
  StartResult StartAndWait(const Target& target,
                           const wire::StartOrder& order,
                           const std::string& payload,
                           Reuse reuse);

  // Waits by lookups for the end of an attempt that the target knows.
  StartResult Follow(const Target& target, const wire::AttemptKey& attempt);

  CallResult Stop(const Target& target,
                  const wire::AttemptKey& attempt,
                  bool checkpoint);
  CallResult Throttle(const Target& target,
                      const wire::AttemptKey& attempt,
                      std::int32_t percent);
  // With `bar`, NeverStarted means that the target will refuse the attempt.
  LookupResult Lookup(const Target& target,
                      const wire::AttemptKey& attempt,
                      bool bar,
                      Reuse reuse);
  CallResult Acknowledge(const Target& target,
                         const std::vector<wire::AttemptKey>& attempts);

  // Ends waiting calls with Undetermined; later calls fail at once.
  void Abort();
  bool aborted() const;

  // Closes the connections to targets that had no call for a minute.
  void CloseUnused();

  std::int64_t connection_count() const;

  // Bytes sent and received for each address since the last call.
  std::map<std::string, std::int64_t> TakeTraffic();

 private:
  struct Implementation;
  class Follower;

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_TARGET_CLIENT_H_
