// Tells workers on which tasks fail from job families that fail by themselves.
#ifndef CRANBERRYSHUNT_POLICY_FAILURE_TRACKER_H_
#define CRANBERRYSHUNT_POLICY_FAILURE_TRACKER_H_

#include <cstdint>
#include <vector>

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt::policy {

enum class Health : std::uint8_t { kNormal, kQuarantined, kProbation };

// Tracks failure ratios of workers and families with exponential decay. A
// worker is quarantined when its ratio is far above the mean of the other
// workers. All workers have equal weight in the mean, because a worker on which
// tasks fail immediately is given far more starts than a healthy one.
class FailureTracker {
 public:
  // Clears the state of a worker. Must be called before its number is used
  // for a new worker.
  void Reset(std::int32_t worker);
  // Records a failed task. Returns true if the failure started a quarantine of
  // the worker.
  bool OnFailed(std::int32_t worker, std::int32_t family, TimePoint now);
  // Records a completed task, which may end the probation of the worker.
  void OnDone(std::int32_t worker, std::int32_t family, TimePoint now);
  // Puts the worker on probation if its quarantine has expired. Returns whether
  // it did.
  bool EndQuarantine(std::int32_t worker, TimePoint now);

  Health health(std::int32_t worker) const;
  // Whether the worker has shown that it can run tasks, since it was added or
  // since its last quarantine ended. OnDone() records this when a task has been
  // completed. SetProven() is called for a task that has run for a while or is
  // restored.
  bool proven(std::int32_t worker) const;
  void SetProven(std::int32_t worker);
  double failure_ratio(std::int32_t worker) const;
  // Whether the family has several recent failures and at least half of its
  // recent tasks failed.
  bool IsFamilyCulprit(std::int32_t family) const;
  // Workers in quarantine or on probation.
  const std::vector<std::int32_t>& quarantined() const { return quarantined_; }

 private:
  struct Counts {
    double failed = 0;
    double done = 0;
    TimePoint decayed_at{};

    void Decay(TimePoint now);
    double ratio() const;
    double total() const { return failed + done; }
  };
  struct WorkerState {
    Counts counts;
    Health health = Health::kNormal;
    bool proven = false;
    bool in_mean = false;      // Whether the ratio is counted in the mean.
    double ratio_in_mean = 0;  // The ratio as last added to ratio_sum_.
    int probation_done = 0;    // Tasks completed on probation.
    int quarantines = 0;
    TimePoint quarantined_until{};
  };

  WorkerState& state(std::int32_t worker);
  Counts& family_counts(std::int32_t family);
  // Mean failure ratio of all other workers.
  double MeanRatioOfOthers(const WorkerState& worker) const;
  // Replaces the worker's ratio in the mean by its present ratio.
  void UpdateMean(WorkerState& worker);
  void Quarantine(WorkerState& worker, std::int32_t number, TimePoint now);

  std::vector<WorkerState> workers_;
  std::vector<Counts> families_;
  // Workers in quarantine or on probation.
  std::vector<std::int32_t> quarantined_;
  // Sum and number of the workers' ratios in the mean.
  double ratio_sum_ = 0;
  double ratio_count_ = 0;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_FAILURE_TRACKER_H_
