// Finds workers that fail what they start, from the ends of runs. No I/O, no
// clock.
#ifndef CRANBERRYSHUNT_POLICY_WORKER_HEALTH_H_
#define CRANBERRYSHUNT_POLICY_WORKER_HEALTH_H_

#include <cstdint>
#include <map>

namespace cranberryshunt::policy {

class WorkerHealth {
 public:
  void RecordSuccess(std::int64_t worker);
  // Returns whether the worker is quarantined because of this failure.
  bool RecordFailure(std::int64_t worker, std::int64_t now_ms);
  void Remove(std::int64_t worker) { records_.erase(worker); }

  bool IsQuarantined(std::int64_t worker, std::int64_t now_ms) const;
  // After a quarantine, until the next success: one task at a time.
  bool IsProbing(std::int64_t worker) const;

 private:
  struct Record {
    std::int32_t failures = 0;  // Since the last success.
    std::int32_t quarantines = 0;
    std::int64_t until_ms = 0;
  };

  std::map<std::int64_t, Record> records_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_WORKER_HEALTH_H_
