// Requests of which an earlier attempt may arrive after a later one was
// refused.
#ifndef CRANBERRYSHUNT_CELL_REFUSED_REQUESTS_H_
#define CRANBERRYSHUNT_CELL_REFUSED_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "cranberryshunt/base/clock.h"
#include "wire_types.h"

namespace cranberryshunt::cell {

// Keeps refusals true: an attempt that arrives after its request was refused
// gets the same refusal. An attempt can only arrive at the process that it was
// sent to, so the refusals are kept for the life of the process, whoever leads.
class RefusedRequests {
 public:
  // Returns false, and remembers nothing, if too many refusals are remembered.
  bool Add(std::int64_t request_id, const wire::Status& status, TimePoint now);
  // Returns the refusal of the request, or nullptr.
  const wire::Status* Find(std::int64_t request_id) const;

 private:
  std::unordered_map<std::int64_t, wire::Status> refusals_;
  // In the order in which they are forgotten.
  std::deque<std::pair<TimePoint, std::int64_t>> expiries_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_REFUSED_REQUESTS_H_
