#include "cranberryshunt/base/resources.h"

#include <algorithm>

namespace cranberryshunt {

namespace {

double Fraction(std::int64_t part, std::int64_t total) {
  return total > 0 ? static_cast<double>(part) / static_cast<double>(total)
                   : 0.0;
}

}  // namespace

double DominantShare(const Resources& part, const Resources& total) {
  return std::max({Fraction(part.milli_cpus, total.milli_cpus),
                   Fraction(part.memory_bytes, total.memory_bytes),
                   Fraction(part.accelerators, total.accelerators),
                   Fraction(part.slots, total.slots)});
}

}  // namespace cranberryshunt
