// Whether a new step-graph job is accepted: only if it is expected to make its
// latency objective behind the work that is already there. No I/O, no clock.
#ifndef CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_
#define CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_

#include <cstdint>

namespace cranberryshunt::policy {

// Capacity, and the work that waits for it: milli-CPU or MB times milliseconds.
struct LoadSummary {
  double capacity_cpus = 0;    // Of the usable workers, in milli-CPUs.
  double capacity_memory = 0;  // MB.
  // Waiting work that goes before a new job of the urgent class, or of another
  // one.
  double urgent_cpus = 0;
  double urgent_memory = 0;
  double total_cpus = 0;
  double total_memory = 0;
  // Expected time until a new question to the advice service is taken up.
  double advice_wait_ms = 0;
};

struct NewJob {
  bool urgent = false;
  double cpus = 0;  // Its own work, milli-CPU milliseconds.
  double memory = 0;
  std::int64_t critical_path_ms = 0;  // With advice, without any wait.
  std::int64_t slack_ms = 0;          // Objective less the critical path.
};

struct AdmissionDecision {
  bool accepted = true;
  std::int64_t expected_wait_ms = 0;
  // When room is expected for it; meaningful when it is refused.
  std::int64_t retry_after_ms = 0;
};

AdmissionDecision DecideAdmission(const LoadSummary& load, const NewJob& job);

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_
