// Run times learned from finished tasks, as a factor on what jobs declare.
#ifndef CRANBERRYSHUNT_CELL_RUN_TIMES_H_
#define CRANBERRYSHUNT_CELL_RUN_TIMES_H_

#include <cstdint>
#include <map>
#include <string>

namespace cranberryshunt::cell {

class RunTimes {
 public:
  // A task that declared `declared_ms` was done after `run_ms`.
  void Record(const std::string& queue,
              std::int64_t declared_ms,
              std::int64_t run_ms);
  // Expected run time; at least a millisecond.
  std::int64_t Expected(const std::string& queue,
                        std::int64_t declared_ms) const;

 private:
  struct Learned {
    double log_factor = 0;  // Mean of ln(run / declared).
    double mean_ms = 0;
    std::int64_t samples = 0;
  };

  std::map<std::string, Learned> by_queue_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_RUN_TIMES_H_
