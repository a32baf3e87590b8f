// Counts faults by source for the report to operators.
#ifndef CRANBERRYSHUNT_POLICY_FAULT_COUNTS_H_
#define CRANBERRYSHUNT_POLICY_FAULT_COUNTS_H_

#include <cstdint>
#include <vector>

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt::policy {

// Counts the faults of numbered sources in the last one to two minutes.
class FaultCounts {
 public:
  void Add(std::int32_t source, TimePoint now) {
    if (source < 0) {
      return;
    }
    const auto n = static_cast<std::size_t>(source);
    if (n >= sources_.size()) {
      sources_.resize(n + 1);
    }
    Source& it = sources_[n];
    if (now - it.since >= kWindow) {
      it.previous = now - it.since < 2 * kWindow ? it.current : 0;
      it.current = 0;
      it.since = now;
    }
    ++it.current;
  }

  std::int64_t Recent(std::size_t source, TimePoint now) const {
    const Source& it = sources_[source];
    return now - it.since < 2 * kWindow ? it.current + it.previous : 0;
  }

  std::size_t size() const { return sources_.size(); }

 private:
  static constexpr Duration kWindow = std::chrono::minutes(1);

  struct Source {
    std::int64_t current = 0;
    std::int64_t previous = 0;
    TimePoint since{};
  };

  std::vector<Source> sources_;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_FAULT_COUNTS_H_
