// Learned run times of job families.
#ifndef CRANBERRYSHUNT_POLICY_RUN_ESTIMATOR_H_
#define CRANBERRYSHUNT_POLICY_RUN_ESTIMATOR_H_

#include <optional>
#include <vector>

#include "log_histogram.h"

namespace cranberryshunt::policy {

class RunEstimator {
 public:
  void Record(std::int32_t family, Duration run);
  // A run time that nine of ten tasks of the family stay below. Before the
  // family has enough finished tasks, the declaration doubled, and nothing when
  // there is none either.
  std::optional<Duration> Estimate(std::int32_t family,
                                   Duration declared) const;

 private:
  std::vector<LogHistogram> families_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_RUN_ESTIMATOR_H_
