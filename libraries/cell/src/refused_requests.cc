#include "refused_requests.h"

namespace cranberryshunt::cell {

namespace {

// Longer than a kernel keeps sending the data of a connection whose process has
// closed it.
constexpr std::chrono::minutes kKeepTime{15};
constexpr std::size_t kMaxRefusals = 20'000;

}  // namespace

bool RefusedRequests::Add(std::int64_t request_id,
                          const wire::Status& status,
                          TimePoint now) {
  while (!expiries_.empty() && expiries_.front().first <= now) {
    refusals_.erase(expiries_.front().second);
    expiries_.pop_front();
  }
  if (refusals_.size() >= kMaxRefusals) {
    return false;
  }
  if (refusals_.emplace(request_id, status).second) {
    expiries_.emplace_back(now + kKeepTime, request_id);
  }
  return true;
}

const wire::Status* RefusedRequests::Find(std::int64_t request_id) const {
  const auto it = refusals_.find(request_id);
  return it == refusals_.end() ? nullptr : &it->second;
}

}  // namespace cranberryshunt::cell
