#include "cranberryshunt/policy/graph_admission.h"

#include <algorithm>

namespace cranberryshunt::policy {

namespace {

// Share of the capacity that packing unlike tasks reaches in practice.
constexpr double kPackedShare = 0.9;
// Part of the slack that the expected wait may use; the rest covers run times
// that are longer than expected.
constexpr double kUsableSlack = 0.8;
// Expected wait that counts as room.
constexpr std::int64_t kWaitWithoutSlackMs = 150;
constexpr std::int64_t kMinRetryMs = 300;
constexpr std::int64_t kMaxRetryMs = 10'000;

double DrainMs(double work, double capacity) {
  return capacity > 0 ? work / (capacity * kPackedShare) : 0;
}

}  // namespace

AdmissionDecision DecideAdmission(const LoadSummary& load, const NewJob& job) {
  const double cpus = job.urgent ? load.urgent_cpus : load.total_cpus;
  const double memory = job.urgent ? load.urgent_memory : load.total_memory;
  const double drain = std::max(DrainMs(cpus, load.capacity_cpus),
                                DrainMs(memory, load.capacity_memory));
  AdmissionDecision decision;
  decision.expected_wait_ms =
      static_cast<std::int64_t>(std::max(drain, load.advice_wait_ms));
  // A job that is late already is still worth something to its caller while
  // there is room.
  const auto usable =
      std::max(kWaitWithoutSlackMs,
               static_cast<std::int64_t>(kUsableSlack *
                                         static_cast<double>(job.slack_ms)));
  if (decision.expected_wait_ms > usable) {
    decision.accepted = false;
    decision.retry_after_ms = std::clamp(decision.expected_wait_ms - usable,
                                         kMinRetryMs, kMaxRetryMs);
  }
  return decision;
}

}  // namespace cranberryshunt::policy
