// Estimates how many times as long tasks run on a far place: off the rack that
// they prefer, or for a gang that prefers one rack, on several racks.
#ifndef CRANBERRYSHUNT_POLICY_FAR_FACTOR_H_
#define CRANBERRYSHUNT_POLICY_FAR_FACTOR_H_

#include <cstdint>
#include <map>
#include <string>

#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::policy {

class FarFactors {
 public:
  // `configured` is the factor of the settings. If it is not above 1, nothing
  // is learned and all factors are 1.
  explicit FarFactors(double configured) : configured_(configured) {}

  // Records that a task ran for `run_ms` that was expected to run for
  // `expected_ms` on a near place. `rack` is the one that it prefers; empty for
  // gangs.
  void Record(const std::string& rack,
              Nearness nearness,
              std::int64_t expected_ms,
              std::int64_t run_ms);
  // At least 1.
  double Expected(const std::string& rack) const;
  // Returns the expected run time on a place, given that on a near one.
  std::int64_t RunMs(const std::string& rack,
                     Nearness nearness,
                     std::int64_t near_run_ms) const;
  // Returns the run time that a run on a place corresponds to on a near one.
  std::int64_t NearRunMs(const std::string& rack,
                         Nearness nearness,
                         std::int64_t run_ms) const;

 private:
  // Mean of ln(run / expected). Older samples count less and less.
  struct Mean {
    double weight = 0;
    double value = 0;

    void Add(double sample);
  };
  struct Samples {
    Mean near;
    Mean far;
  };

  double configured_;
  std::map<std::string, Samples> by_rack_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_FAR_FACTOR_H_
