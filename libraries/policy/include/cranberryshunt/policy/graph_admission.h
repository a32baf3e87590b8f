// Admission control of step-graph jobs. A new job is accepted only if it is
// expected to meet its latency objective given the work that is already queued
// and running. Does no I/O and reads no clock.
#ifndef CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_
#define CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_

#include <cstdint>
#include <vector>

namespace cranberryshunt::policy {

// Load of one resource of the fleet, in milli-CPUs or MB.
struct DimensionLoad {
  double free = 0;
  // Average amount that running tasks release per millisecond.
  double released_per_ms = 0;

  // Adds a running task of this size to `released_per_ms`.
  void AddRunning(double size, std::int64_t expected_run_ms);
};

// Demand of the waiting tasks of a step.
struct WaitingDemand {
  bool urgent = false;
  // Time until the latest start with which the step's job meets its objective;
  // negative if the step is late.
  std::int64_t slack_ms = 0;
  double milli_cpus = 0;
  double memory_mb = 0;
};

struct LoadSummary {
  DimensionLoad cpus;
  DimensionLoad memory;
  std::vector<WaitingDemand> waiting;  // In any order.
  // Expected time until the advice service begins a new question.
  double advice_wait_ms = 0;
  // Median time in which workers answered recent start orders. It grows when
  // the leader is short of processor time.
  double answer_ms = 0;
};

struct NewJob {
  bool urgent = false;
  std::int64_t critical_path_ms = 0;  // Includes advice, excludes waiting.
  std::int64_t slack_ms = 0;          // Objective minus the critical path.
  // Whether a step of it is a gang, and the time in which the advice service is
  // expected to answer a question of it.
  bool gang = false;
  std::int64_t advice_ms = 0;
};

struct AdmissionDecision {
  bool accepted = true;
  std::int64_t expected_wait_ms = 0;
  // Demand of the waiting tasks that are placed before those of the job.
  double preceding_milli_cpus = 0;
  // Refused because the leader is short of processor time.
  bool overloaded = false;
  // Delay after which the caller should retry. Set only if the job is refused.
  std::int64_t retry_after_ms = 0;
};

// Accepts the job if the expected wait fits into its slack and the leader is
// not overloaded.
AdmissionDecision DecideAdmission(const LoadSummary& load, const NewJob& job);

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_GRAPH_ADMISSION_H_
