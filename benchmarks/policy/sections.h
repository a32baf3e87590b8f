// The sections of policy_benchmark. Each function prints its measurements.
#ifndef CRANBERRYSHUNT_BENCHMARKS_POLICY_SECTIONS_H_
#define CRANBERRYSHUNT_BENCHMARKS_POLICY_SECTIONS_H_

namespace cranberryshunt::policy {

// If `only_workers` is not 0, measures only the scheduler, without the
// baseline, and only in the fleet with that number of workers.
void MeasureDecisionCost(int only_workers);
void CompareFitMethods();
void MeasureFloods();
void MeasureFaults();
void MeasureMemory();
void MeasureAccountRounds();
// Mean finish of tasks that prefer a rack, and the cost of plans with them.
void MeasureNearPlaces();

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_BENCHMARKS_POLICY_SECTIONS_H_
