// Estimates run times from the past runs of job families.
#ifndef CRANBERRYSHUNT_POLICY_RUN_ESTIMATOR_H_
#define CRANBERRYSHUNT_POLICY_RUN_ESTIMATOR_H_

#include <optional>
#include <vector>

#include "log_histogram.h"

namespace cranberryshunt::policy {

class RunEstimator {
 public:
  // Records the run time of a finished task. `declared` is zero if the job
  // declared no run time.
  void Record(std::int32_t family, Duration run, Duration declared);
  // Whether the declared run times of the family are off by more than a factor
  // of two on average.
  bool IsDeclarationUnreliable(std::int32_t family) const;
  // Returns the run time that nine of ten tasks of the family do not exceed.
  // While the family has too few finished tasks, returns twice the declared run
  // time, or nothing if none was declared.
  std::optional<Duration> Estimate(std::int32_t family,
                                   Duration declared) const;

 private:
  struct Family {
    LogHistogram runs;
    // Moving mean of the error |log2(run time / declared run time)|.
    double mean_error = 0;
    // Number of runs in the mean, up to its window.
    int declared_runs = 0;
  };

  std::vector<Family> families_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_RUN_ESTIMATOR_H_
