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
// Starts are answered within 60 to 115 ms while the leader of a large cell
// keeps up, most of it for round trips between regions and batches. Beyond
// these limits it takes no further work, urgent work last: leases that run out
// late cost more than jobs that come again.
constexpr double kBusyAnswerMs = 250;
constexpr double kBusyAnswerUrgentMs = 500;
constexpr std::int64_t kBusyRetryMs = 1'000;
constexpr std::int64_t kMinRetryMs = 300;
constexpr std::int64_t kMaxRetryMs = 10'000;

// When the room that is asked for before a new job has become free. What only
// waits for advice while there is room is no queue, so the room that is free
// counts first.
double RoomMs(const DimensionLoad& load, bool urgent) {
  const double asked = urgent ? load.waiting_urgent : load.waiting;
  const double missing = asked - load.free * kPackedShare;
  if (missing <= 0 || load.released_per_ms <= 0) {
    return 0;
  }
  return missing / (load.released_per_ms * kPackedShare);
}

}  // namespace

void DimensionLoad::AddRunning(double size, std::int64_t expected_run_ms) {
  released_per_ms +=
      size / static_cast<double>(std::max<std::int64_t>(1, expected_run_ms));
}

AdmissionDecision DecideAdmission(const LoadSummary& load, const NewJob& job) {
  const double room =
      std::max(RoomMs(load.cpus, job.urgent), RoomMs(load.memory, job.urgent));
  AdmissionDecision decision;
  decision.overloaded =
      load.answer_ms > (job.urgent ? kBusyAnswerUrgentMs : kBusyAnswerMs);
  decision.expected_wait_ms =
      static_cast<std::int64_t>(std::max(room, load.advice_wait_ms));
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
  if (decision.overloaded) {
    decision.accepted = false;
    decision.retry_after_ms = std::max(decision.retry_after_ms, kBusyRetryMs);
  }
  return decision;
}

}  // namespace cranberryshunt::policy
