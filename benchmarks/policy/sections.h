// The parts of policy_benchmark. Each prints its figures.
#ifndef CRANBERRYSHUNT_BENCHMARKS_POLICY_SECTIONS_H_
#define CRANBERRYSHUNT_BENCHMARKS_POLICY_SECTIONS_H_

namespace cranberryshunt::policy {

// With `only_workers` other than 0, only the scheduler with so many workers.
void MeasureDecisionCost(int only_workers);
void CompareFitMethods();
void MeasureFloods();
void MeasureFaults();
void MeasureMemory();

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_BENCHMARKS_POLICY_SECTIONS_H_
