#include "failure_tracker.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

constexpr double kHalfLifeSeconds = 30;
// Fewer failures than this can occur on a healthy worker by chance.
constexpr double kMinFailures = 2.5;
constexpr double kMinRatio = 0.5;
constexpr double kMinMultipleOfMean = 3;
// If the mean ratio of the other workers is above this, the cause is not a
// single worker.
constexpr double kFleetWideRatio = 0.5;
constexpr Duration kFirstQuarantine = std::chrono::seconds(10);
constexpr int kMaxDoublings = 5;
constexpr int kProbationSuccesses = 3;
constexpr double kCulpritFailures = 3;
constexpr double kCulpritRatio = 0.5;
// Minimum weight of a failure for the worker's ratio. A failure weighs less if
// the family often fails, but it still counts, since a bad worker can be the
// only one that runs the family.
constexpr double kMinWeight = 0.1;

}  // namespace

void FailureTracker::Counts::Decay(TimePoint now) {
  if (now <= decayed_at) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(now - decayed_at).count();
  const double factor = std::exp2(-seconds / kHalfLifeSeconds);
  failed *= factor;
  done *= factor;
  decayed_at = now;
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
  if (it.in_mean) {
    ratio_sum_ -= it.ratio_in_mean;
    ratio_count_ -= 1;
  }
  std::erase(quarantined_, worker);
  it = WorkerState();
}

void FailureTracker::UpdateMean(WorkerState& worker) {
  if (!worker.in_mean) {
    worker.in_mean = true;
    ratio_count_ += 1;
  } else {
    ratio_sum_ -= worker.ratio_in_mean;
  }
  worker.ratio_in_mean = worker.counts.ratio();
  ratio_sum_ += worker.ratio_in_mean;
}

double FailureTracker::MeanRatioOfOthers(const WorkerState& worker) const {
  const double sum = ratio_sum_ - worker.ratio_in_mean;
  return ratio_count_ > 1 ? std::max(0.0, sum / (ratio_count_ - 1)) : 0;
}

void FailureTracker::Quarantine(WorkerState& worker,
                                std::int32_t number,
                                TimePoint now) {
  worker.health = Health::kQuarantined;
  worker.probation_done = 0;
  worker.quarantined_until =
      now +
      kFirstQuarantine * (1 << std::min(worker.quarantines, kMaxDoublings));
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
      weight = std::max(kMinWeight, 1 - counts.ratio());
    }
    // The more failures the worker has, the less this one says about the
    // family.
    counts.failed += 1 / (1 + it.counts.failed);
  }
  it.counts.Decay(now);
  it.counts.failed += weight;
  UpdateMean(it);
  if (it.health == Health::kQuarantined) {
    return false;
  }
  const double mean = MeanRatioOfOthers(it);
  const bool far_above = it.counts.failed >= kMinFailures &&
                         it.counts.ratio() >= kMinRatio &&
                         it.counts.ratio() > kMinMultipleOfMean * mean;
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
  if (it.health != Health::kQuarantined || now < it.quarantined_until) {
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
