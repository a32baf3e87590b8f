// Detects workers on which tasks fail, from the results of runs. Does no I/O
// and reads no clock.
#ifndef CRANBERRYSHUNT_POLICY_WORKER_HEALTH_H_
#define CRANBERRYSHUNT_POLICY_WORKER_HEALTH_H_

#include <cstdint>
#include <map>

namespace cranberryshunt::policy {

// Quarantines a worker after several failures in a row. After a quarantine the
// worker is on probation until the next success or for a limited time. Each
// failure meanwhile starts another quarantine, which is longer up to a limit.
class WorkerHealth {
 public:
  void RecordSuccess(std::int64_t worker);
  // Returns whether this failure started a quarantine of the worker.
  bool RecordFailure(std::int64_t worker, std::int64_t now_ms);
  void Remove(std::int64_t worker) { records_.erase(worker); }

  bool IsQuarantined(std::int64_t worker, std::int64_t now_ms) const;
  // Whether the worker is in quarantine or on probation. Such a worker is given
  // one task at a time.
  bool IsProbing(std::int64_t worker, std::int64_t now_ms) const;

 private:
  struct Record {
    std::int32_t failures = 0;  // Since the last success.
    std::int32_t quarantines = 0;
    std::int64_t quarantined_until_ms = 0;
  };

  std::map<std::int64_t, Record> records_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_WORKER_HEALTH_H_
