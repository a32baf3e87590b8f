// Bounds the retries of each team, so that failing work cannot multiply load.
#ifndef CRANBERRYSHUNT_POLICY_RETRY_BUDGET_H_
#define CRANBERRYSHUNT_POLICY_RETRY_BUDGET_H_

#include <cstdint>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "random.h"

namespace cranberryshunt::policy {

// A token bucket for each team: every start adds a tenth of a token, every
// second adds one, every retry takes one.
class RetryBudget {
 public:
  void OnStart(std::int32_t team, TimePoint now);
  // Takes a token; false when there is none.
  bool TryRetry(std::int32_t team, TimePoint now);
  // Exponential backoff before retry number `retry` (from 1), with jitter.
  static Duration Backoff(int retry, Random& random);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled{};
    bool used = false;
  };

  Bucket& Refill(std::int32_t team, TimePoint now);

  std::vector<Bucket> buckets_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_RETRY_BUDGET_H_
