// Measures the decisions of the policy library in comparison with a baseline
// that has one FIFO queue, first-fit placement and no guaranteed shares.
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "policy/sections.h"

int main(int argc, char** argv) {
  using namespace cranberryshunt::policy;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::vector<std::string_view> arguments(argv + 1, argv + argc);
  const auto is_selected = [&arguments](std::string_view name) {
    return arguments.empty() || arguments.front() == name;
  };
  if (is_selected("decisions")) {
    MeasureDecisionCost(arguments.size() > 1 ? std::atoi(argv[2]) : 0);
  }
  if (is_selected("methods")) {
    CompareFitMethods();
  }
  if (is_selected("floods")) {
    MeasureFloods();
  }
  if (is_selected("faults")) {
    MeasureFaults();
  }
  if (is_selected("memory")) {
    MeasureMemory();
  }
  if (is_selected("accounts")) {
    MeasureAccountRounds();
  }
  if (is_selected("near")) {
    MeasureNearPlaces();
  }
  return 0;
}
