#include "failure_tracker.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

constexpr double kHalfLifeSeconds = 30;
// Fewer failures than this can happen to a sound worker by chance.
constexpr double kLeastFailures = 2.5;
constexpr double kLeastRatio = 0.5;
constexpr double kTimesTheFleet = 3;
// Above this mean the cause is not the single worker.
constexpr double kFleetWideRatio = 0.5;
constexpr Duration kFirstQuarantine = std::chrono::seconds(10);
constexpr int kMostDoublings = 5;
constexpr int kProbationSuccesses = 3;
constexpr double kCulpritFailures = 3;
constexpr double kCulpritRatio = 0.5;
// A failure that the family explains still counts a little, since a bad worker
// can be the only one that runs the family.
constexpr double kLeastWeight = 0.1;

}  // namespace

void FailureTracker::Counts::Decay(TimePoint now) {
  if (now <= decayed) {
    return;
  }
  const double seconds = std::chrono::duration<double>(now - decayed).count();
  const double factor = std::exp2(-seconds / kHalfLifeSeconds);
  failed *= factor;
  done *= factor;
  decayed = now;
}

double FailureTracker::Counts::ratio() const {
  return total() > 0 ? failed / total() : 0;
}

FailureTracker::WorkerState& FailureTracker::state(std::int32_t worker) {
  const auto n = static_cast<std::size_t>(worker);
  if (n >= workers_.size()) {
    workers_.resize(n + 1);
  }
  return workers_[n];
}

FailureTracker::Counts& FailureTracker::family_counts(std::int32_t family) {
  const auto n = static_cast<std::size_t>(family);
  if (n >= families_.size()) {
    families_.resize(n + 1);
  }
  return families_[n];
}

void FailureTracker::Reset(std::int32_t worker) {
  WorkerState& it = state(worker);
  if (it.counted) {
    mean_sum_ -= it.counted_ratio;
    mean_count_ -= 1;
  }
  std::erase(quarantined_, worker);
  it = WorkerState();
}

void FailureTracker::UpdateMean(WorkerState& worker) {
  if (!worker.counted) {
    worker.counted = true;
    mean_count_ += 1;
  } else {
    mean_sum_ -= worker.counted_ratio;
  }
  worker.counted_ratio = worker.counts.ratio();
  mean_sum_ += worker.counted_ratio;
}

double FailureTracker::MeanRatioOfOthers(const WorkerState& worker) const {
  const double sum = mean_sum_ - worker.counted_ratio;
  return mean_count_ > 1 ? std::max(0.0, sum / (mean_count_ - 1)) : 0;
}

void FailureTracker::Quarantine(WorkerState& worker,
                                std::int32_t number,
                                TimePoint now) {
  worker.health = Health::kQuarantined;
  worker.probation_done = 0;
  worker.until = now + kFirstQuarantine *
                           (1 << std::min(worker.quarantines, kMostDoublings));
  ++worker.quarantines;
  if (std::ranges::find(quarantined_, number) == quarantined_.end()) {
    quarantined_.push_back(number);
  }
}

bool FailureTracker::OnFailed(std::int32_t worker,
                              std::int32_t family,
                              TimePoint now) {
  WorkerState& it = state(worker);
  double weight = 1;
  if (family >= 0) {
    Counts& counts = family_counts(family);
    counts.Decay(now);
    if (counts.total() >= kCulpritFailures) {
      weight = std::max(kLeastWeight, 1 - counts.ratio());
    }
    // A worker that keeps failing says little about the family.
    counts.failed += 1 / (1 + it.counts.failed);
  }
  it.counts.Decay(now);
  it.counts.failed += weight;
  UpdateMean(it);
  if (it.health == Health::kQuarantined) {
    return false;
  }
  const double mean = MeanRatioOfOthers(it);
  const bool far_above = it.counts.failed >= kLeastFailures &&
                         it.counts.ratio() >= kLeastRatio &&
                         it.counts.ratio() > kTimesTheFleet * mean;
  if (it.health != Health::kProbation &&
      (mean > kFleetWideRatio || !far_above)) {
    return false;
  }
  Quarantine(it, worker, now);
  return true;
}

void FailureTracker::OnDone(std::int32_t worker,
                            std::int32_t family,
                            TimePoint now) {
  if (family >= 0) {
    Counts& counts = family_counts(family);
    counts.Decay(now);
    counts.done += 1;
  }
  WorkerState& it = state(worker);
  it.counts.Decay(now);
  it.counts.done += 1;
  it.proven = true;
  UpdateMean(it);
  if (it.health == Health::kProbation &&
      ++it.probation_done >= kProbationSuccesses) {
    it.health = Health::kNormal;
    it.counts.failed = 0;
    UpdateMean(it);
    std::erase(quarantined_, worker);
  }
}

bool FailureTracker::EndQuarantine(std::int32_t worker, TimePoint now) {
  WorkerState& it = state(worker);
  if (it.health != Health::kQuarantined || now < it.until) {
    return false;
  }
  it.health = Health::kProbation;
  it.proven = false;
  return true;
}

Health FailureTracker::health(std::int32_t worker) const {
  const auto n = static_cast<std::size_t>(worker);
  return n < workers_.size() ? workers_[n].health : Health::kNormal;
}

bool FailureTracker::proven(std::int32_t worker) const {
  const auto n = static_cast<std::size_t>(worker);
  return n < workers_.size() && workers_[n].proven;
}

void FailureTracker::SetProven(std::int32_t worker) {
  state(worker).proven = true;
}

double FailureTracker::failure_ratio(std::int32_t worker) const {
  const auto n = static_cast<std::size_t>(worker);
  return n < workers_.size() ? workers_[n].counts.ratio() : 0;
}

bool FailureTracker::IsFamilyCulprit(std::int32_t family) const {
  const auto n = static_cast<std::size_t>(family);
  return n < families_.size() && families_[n].failed >= kCulpritFailures &&
         families_[n].ratio() >= kCulpritRatio;
}

}  // namespace cranberryshunt::policy
