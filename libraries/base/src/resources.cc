#include "cranberryshunt/base/resources.h"

#include <algorithm>

namespace cranberryshunt {

namespace {

double Ratio(std::int64_t part, std::int64_t total) {
  return total > 0 ? static_cast<double>(part) / static_cast<double>(total)
                   : 0.0;
}

}  // namespace

double DominantShare(const Resources& part, const Resources& total) {
  return std::max({Ratio(part.milli_cpus, total.milli_cpus),
                   Ratio(part.memory_bytes, total.memory_bytes),
                   Ratio(part.accelerators, total.accelerators),
                   Ratio(part.slots, total.slots)});
}

}  // namespace cranberryshunt
