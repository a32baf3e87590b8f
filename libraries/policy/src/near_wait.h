// Decides how long a near place is worth waiting for. A task runs longer on a
// far place, so it may end sooner if it waits for a near one.
#ifndef CRANBERRYSHUNT_POLICY_NEAR_WAIT_H_
#define CRANBERRYSHUNT_POLICY_NEAR_WAIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cranberryshunt::policy {

struct NearWait {
  std::int64_t now_ms = 0;
  std::int64_t since_ms = 0;      // When the wait began.
  std::int64_t run_ms = 0;        // Expected run time on a near place.
  double far_run_factor = 1;      // Run time on a far place over `run_ms`.
  std::int64_t far_delay_ms = 0;  // From now until a far place is free.
  // The latest start on a near place with which the job is on time.
  std::int64_t latest_start_ms = 0;
  bool waiting = false;  // Whether the task waits for a near place already.
};

// Returns the longest time from now for which a near place is worth waiting
// for. Negative if it isn't worth any wait.
std::int64_t LongestNearWaitMs(const NearWait& wait);

// An opening is the time at which room for one task is expected to be free.
// Returns when the opening at `position` is expected, counted from 0, if each
// opening is used by a task that runs for `run_ms` and is free again after it.
// `openings` must be ordered and not empty.
std::int64_t OpeningAt(const std::vector<std::int64_t>& openings,
                       std::size_t position,
                       std::int64_t run_ms);

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_NEAR_WAIT_H_
