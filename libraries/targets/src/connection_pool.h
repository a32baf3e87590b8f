// The bounded connections of this entry to one target.
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

// kWait: a start that waits for the end of a task. Such calls leave one
// connection to the others, so that lookups and stops always get through.
enum class CallUse { kShort, kWait };

class ConnectionPool {
 public:
  explicit ConnectionPool(std::string token);

  // Sets how many connections may be open at once, at least 1.
  void SetLimit(std::int32_t limit);

  // Returns whether calls that wait for a task may use this pool at all.
  bool AllowsWaits() const;

  // Returns a connection, or null when none became free in time. With
  // kForbidden it is a new one, for which an idle one is closed if needed.
  std::unique_ptr<Connection> Acquire(CallUse use,
                                      Reuse reuse,
                                      std::chrono::milliseconds timeout);

  // Gives a connection back. It is closed unless `reusable`, or when it has
  // been retired meanwhile.
  void Release(std::unique_ptr<Connection> connection,
               CallUse use,
               bool reusable);

  // Retires the connection `sequence` and every older one: a middlebox that
  // lost one connection has usually lost the older ones too.
  void RetireUpTo(std::uint64_t sequence);
  bool IsRetired(std::uint64_t sequence) const;

  std::int64_t open_count() const;
  std::chrono::steady_clock::time_point last_use() const;

 private:
  bool MayOpen(CallUse use) const;
  std::unique_ptr<Connection> Take(CallUse use, Reuse reuse);

  const std::string token_;
  mutable std::mutex mutex_;
  std::condition_variable released_;
  std::vector<std::unique_ptr<Connection>> idle_;
  std::int32_t limit_ = 1;
  std::int32_t busy_ = 0;
  std::int32_t waits_ = 0;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t retired_up_to_ = 0;
  std::chrono::steady_clock::time_point last_use_;
};

}  // namespace cranberryshunt::targets

#endif  // CRANBERRYSHUNT_TARGETS_CONNECTION_POOL_H_
