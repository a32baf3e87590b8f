// Tells failing workers from failing work.
#ifndef CRANBERRYSHUNT_POLICY_FAILURE_TRACKER_H_
#define CRANBERRYSHUNT_POLICY_FAILURE_TRACKER_H_

#include <cstdint>
#include <vector>

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt::policy {

enum class Health : std::uint8_t { kNormal, kQuarantined, kProbation };

// Decayed failure ratios of workers and families. A worker is quarantined when
// its ratio is far above the mean over all workers. The mean weighs workers
// equally, because a worker that fails at once is given far more starts than a
// sound one.
class FailureTracker {
 public:
  // Call before using a worker's number for a new worker.
  void Reset(std::int32_t worker);
  // Returns true when the worker has just been quarantined.
  bool OnFailed(std::int32_t worker, std::int32_t family, TimePoint now);
  void OnDone(std::int32_t worker, std::int32_t family, TimePoint now);
  // Ends a quarantine that is over; returns true when the worker changed to
  // probation.
  bool EndQuarantine(std::int32_t worker, TimePoint now);

  Health health(std::int32_t worker) const;
  // Whether the worker has ended a task well or run one for a while.
  bool proven(std::int32_t worker) const;
  void SetProven(std::int32_t worker);
  double failure_ratio(std::int32_t worker) const;
  bool IsFamilyCulprit(std::int32_t family) const;
  const std::vector<std::int32_t>& quarantined() const { return quarantined_; }

 private:
  struct Counts {
    double failed = 0;
    double done = 0;
    TimePoint decayed{};

    void Decay(TimePoint now);
    double ratio() const;
    double total() const { return failed + done; }
  };
  struct WorkerState {
    Counts counts;
    Health health = Health::kNormal;
    bool proven = false;
    bool counted = false;  // In mean_sum_.
    double counted_ratio = 0;
    int probation_done = 0;
    int quarantines = 0;
    TimePoint until{};
  };

  WorkerState& state(std::int32_t worker);
  Counts& family_counts(std::int32_t family);
  double MeanRatioOfOthers(const WorkerState& worker) const;
  void UpdateMean(WorkerState& worker);
  void Quarantine(WorkerState& worker, std::int32_t number, TimePoint now);

  std::vector<WorkerState> workers_;
  std::vector<Counts> families_;
  std::vector<std::int32_t> quarantined_;
  double mean_sum_ = 0;
  double mean_count_ = 0;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_FAILURE_TRACKER_H_
