// Limits the retries of each team, so that failing tasks cannot multiply the
// load.
#ifndef CRANBERRYSHUNT_POLICY_RETRY_BUDGET_H_
#define CRANBERRYSHUNT_POLICY_RETRY_BUDGET_H_

#include <cstdint>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "random.h"

namespace cranberryshunt::policy {

// A token bucket for each team. Each first start of a task adds a tenth of a
// token, each second adds one, and each retry takes one.
class RetryBudget {
 public:
  void OnStart(std::int32_t team, TimePoint now);
  // Takes a token. Returns false if there is none.
  bool TryRetry(std::int32_t team, TimePoint now);
  // Returns the delay before retry number `retry` (counted from 1): exponential
  // backoff with jitter.
  static Duration Backoff(int retry, Random& random);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint refilled_at{};
    bool initialized = false;
  };

  // Adds the tokens for the time that has passed since the last refill. A new
  // bucket is full.
  Bucket& Refill(std::int32_t team, TimePoint now);

  std::vector<Bucket> buckets_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_RETRY_BUDGET_H_
