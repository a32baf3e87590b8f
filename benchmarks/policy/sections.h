// The parts of policy_benchmark. Each prints its figures.
#ifndef CRANBERRYSHUNT_BENCHMARKS_POLICY_SECTIONS_H_
#define CRANBERRYSHUNT_BENCHMARKS_POLICY_SECTIONS_H_

namespace cranberryshunt::policy {

void MeasureDecisionCost();
void CompareFitMethods();
void MeasureFloods();
void MeasureFaults();
void MeasureMemory();

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_BENCHMARKS_POLICY_SECTIONS_H_
