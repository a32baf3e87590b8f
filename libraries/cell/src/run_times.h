// Estimates run times from finished tasks of the same queue, and from how far
// the declared run times of these tasks said something about the real ones.
#ifndef CRANBERRYSHUNT_CELL_RUN_TIMES_H_
#define CRANBERRYSHUNT_CELL_RUN_TIMES_H_

#include <cstdint>
#include <map>
#include <string>

namespace cranberryshunt::cell {

class RunTimes {
 public:
  // Records that a task with a declared run time of `declared_ms` was done
  // after `run_ms`.
  void Record(const std::string& queue,
              std::int64_t declared_ms,
              std::int64_t run_ms);
  // Returns the expected run time, which is at least one millisecond.
  std::int64_t Expected(const std::string& queue,
                        std::int64_t declared_ms) const;
  // Returns a run time that is short for the queue: about one task in six runs
  // for less. The expected one until enough tasks have finished.
  std::int64_t Short(const std::string& queue, std::int64_t declared_ms) const;

 private:
  // Regression of ln(run) on ln(declared). Older samples count less and less.
  struct QueueEstimate {
    double mean_ms = 0;
    std::int64_t samples = 0;
    double weight = 0;  // Sum of the weights of the samples.
    double mean_declared = 0;
    double mean_run = 0;
    double declared_variation = 0;  // Sum of squares around the mean.
    double run_variation = 0;
    double covariation = 0;
    std::int64_t declared_samples = 0;

    double Slope() const;
    // Standard deviation of ln(run) from the regression.
    double Deviation() const;
  };

  std::map<std::string, QueueEstimate> by_queue_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_RUN_TIMES_H_
