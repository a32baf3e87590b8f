// Learned run times of job families.
#ifndef CRANBERRYSHUNT_POLICY_RUN_ESTIMATOR_H_
#define CRANBERRYSHUNT_POLICY_RUN_ESTIMATOR_H_

#include <optional>
#include <vector>

#include "log_histogram.h"

namespace cranberryshunt::policy {

class RunEstimator {
 public:
  // `declared` is zero when nothing was declared.
  void Record(std::int32_t family, Duration run, Duration declared);
  // Whether the declared run times are usually wrong by a factor above two.
  bool IsDeclarationUnreliable(std::int32_t family) const;
  // A run time that nine of ten tasks of the family stay below. Before the
  // family has enough finished tasks, the declaration doubled, and nothing when
  // there is none either.
  std::optional<Duration> Estimate(std::int32_t family,
                                   Duration declared) const;

 private:
  struct Family {
    LogHistogram runs;
    // Mean of the absolute binary logarithm of run time over declaration.
    double error = 0;
    int declared = 0;
  };

  std::vector<Family> families_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_RUN_ESTIMATOR_H_
