// Measures the decisions of the policy library, each figure beside a baseline
// of one FIFO queue, first fit and no shares.
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "policy/sections.h"

int main(int argc, char** argv) {
  using namespace cranberryshunt::policy;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::vector<std::string_view> wanted(argv + 1, argv + argc);
  const auto is_wanted = [&wanted](std::string_view name) {
    return wanted.empty() || wanted.front() == name;
  };
  if (is_wanted("decisions")) {
    MeasureDecisionCost(wanted.size() > 1 ? std::atoi(argv[2]) : 0);
  }
  if (is_wanted("methods")) {
    CompareFitMethods();
  }
  if (is_wanted("floods")) {
    MeasureFloods();
  }
  if (is_wanted("faults")) {
    MeasureFaults();
  }
  if (is_wanted("memory")) {
    MeasureMemory();
  }
  return 0;
}
