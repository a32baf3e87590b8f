#include "readiness.h"

namespace cranberryshunt::entry {

std::optional<Error> Readiness::RefusalReason(TimePoint now) const {
  if (draining_) {
    return Error(ResultCode::kShuttingDown, "this entry is shutting down");
  }
  if (now >= lease_until_.load()) {
    return Error(ResultCode::kNotReady, "the rules lease has expired");
  }
  if (revision_ < 0) {
    return Error(ResultCode::kNotReady, "the rules have not been read yet");
  }
  return std::nullopt;
}

}  // namespace cranberryshunt::entry
