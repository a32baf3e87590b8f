// Connections of this entry to one target, limited in number.
#ifndef CRANBERRYSHUNT_TARGETS_CONNECTION_POOL_H_
#define CRANBERRYSHUNT_TARGETS_CONNECTION_POOL_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "connection.h"
#include "cranberryshunt/targets/target_client.h"

namespace cranberryshunt::targets {

// kWaiting is a start that waits for the end of its task. Waiting calls leave
// one connection to short calls, so that lookups and stops can always be sent.
enum class CallKind { kShort, kWaiting };

// Safe for use by several threads.
class ConnectionPool {
 public:
  explicit ConnectionPool(std::string token);

  // Sets the limit of connections that are open at the same time. A limit below
  // 1 counts as 1.
  void SetLimit(std::int32_t limit);

  // Returns whether the limit is high enough for waiting calls.
  bool AllowsWaitingCalls() const;

  // Returns a connection, or null if none is free within `timeout`. With
  // Reuse::kForbidden the connection is new; the oldest idle one is closed if
  // the limit requires it.
  std::unique_ptr<Connection> Acquire(CallKind kind,
                                      Reuse reuse,
                                      std::chrono::milliseconds timeout);

  // Returns a connection to the pool. It is closed if it is not `reusable`, has
  // been retired or exceeds the limit.
  void Release(std::unique_ptr<Connection> connection,
               CallKind kind,
               bool reusable);

  // Excludes the connection `sequence` and all older ones from reuse: a
  // middlebox that lost the state of one connection has usually lost that of
  // older ones too.
  void RetireUpTo(std::uint64_t sequence);
  bool IsRetired(std::uint64_t sequence) const;

  std::int64_t open_count() const;
  std::chrono::steady_clock::time_point last_use() const;

 private:
  // Returns whether a call of this kind may have a connection now.
  bool HasCapacity(CallKind kind) const;
  std::unique_ptr<Connection> TakeOrOpen(CallKind kind, Reuse reuse);

  const std::string token_;
  mutable std::mutex mutex_;
  std::condition_variable released_;
  std::vector<std::unique_ptr<Connection>> idle_;
  std::int32_t limit_ = 1;
  std::int32_t busy_ = 0;  // Connections used by a call.
  std::int32_t waiting_calls_ = 0;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t retired_up_to_ = 0;
  std::chrono::steady_clock::time_point last_use_;
};

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_CONNECTION_POOL_H_
