// Whether a new step-graph job is accepted: only if it is expected to make its
// latency objective behind the work that is already there. No I/O, no clock.
#ifndef CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_
#define CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_

#include <cstdint>

namespace cranberryshunt::policy {

// One dimension of the fleet: milli-CPUs or MB.
struct DimensionLoad {
  double free = 0;
  // What waiting tasks ask for that go before a new job of an urgent queue, or
  // of another one.
  double waiting_urgent = 0;
  double waiting = 0;
  // What running tasks give back in a millisecond, on average.
  double released_per_ms = 0;

  // Adds a running task.
  void AddRunning(double size, std::int64_t expected_run_ms);
};

struct LoadSummary {
  DimensionLoad cpus;
  DimensionLoad memory;
  // Expected time until a new question to the advice service is taken up.
  double advice_wait_ms = 0;
  // Median time in which workers answered the latest starts. It grows when the
  // leader is short of processor time.
  double answer_ms = 0;
};

struct NewJob {
  bool urgent = false;
  std::int64_t critical_path_ms = 0;  // With advice, without any wait.
  std::int64_t slack_ms = 0;          // Objective less the critical path.
};

struct AdmissionDecision {
  bool accepted = true;
  std::int64_t expected_wait_ms = 0;
  // Refused because the leader is short of processor time.
  bool overloaded = false;
  // When room is expected for it; meaningful when it is refused.
  std::int64_t retry_after_ms = 0;
};

AdmissionDecision DecideAdmission(const LoadSummary& load, const NewJob& job);

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_
