// Estimates run times from finished tasks of the same queue: as a factor on the
// declared run time, or as the mean run time if a task declares none.
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

 private:
  struct QueueEstimate {
    double log_factor = 0;  // Mean of ln(run / declared).
    double mean_ms = 0;
    std::int64_t samples = 0;
  };

  std::map<std::string, QueueEstimate> by_queue_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_RUN_TIMES_H_
