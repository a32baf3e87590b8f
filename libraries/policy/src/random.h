// Seeded pseudo-random number generator (SplitMix64). Equal seeds give equal
// decisions.
#ifndef CRANBERRYSHUNT_POLICY_RANDOM_H_
#define CRANBERRYSHUNT_POLICY_RANDOM_H_

#include <cstdint>

namespace cranberryshunt::policy {

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9E3779B97F4A7C15ULL;
    std::uint64_t n = state_;
    n = (n ^ (n >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    n = (n ^ (n >> 27U)) * 0x94D049BB133111EBULL;
    return n ^ (n >> 31U);
  }

  // Uniform in [0, bound); 0 when `bound` is 0.
  std::size_t Below(std::size_t bound) {
    return bound == 0 ? 0 : static_cast<std::size_t>(Next() % bound);
  }

  // Uniform in [0, 1).
  double Fraction() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }

 private:
  std::uint64_t state_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_RANDOM_H_
