// Whether this entry may admit requests: it must have a valid rules lease and a
// rules revision, and must not be draining.
#ifndef CRANBERRYSHUNT_ENTRY_READINESS_H_
#define CRANBERRYSHUNT_ENTRY_READINESS_H_

#include <atomic>
#include <cstdint>
#include <optional>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/base/result.h"

namespace cranberryshunt::entry {

// Safe for use by several threads.
class Readiness {
 public:
  // Records that the leader granted a rules lease that ends at `until`.
  void RenewLease(TimePoint until) { lease_until_ = until; }
  // Records that the entry has rules revision `revision`.
  void SetRevision(std::int64_t revision) { revision_ = revision; }
  void StartDraining() { draining_ = true; }

  bool draining() const { return draining_; }
  // Below 0 until the first revision is known.
  std::int64_t rules_revision() const { return revision_; }

  // Returns kShuttingDown or kNotReady when new work is refused, or nothing
  // when it is admitted.
  std::optional<Error> RefusalReason(TimePoint now) const;

 private:
  std::atomic<TimePoint> lease_until_{TimePoint{}};
  std::atomic<std::int64_t> revision_ = -1;
  std::atomic<bool> draining_ = false;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_READINESS_H_
