// Counts the controllers that a cell has to do without.
#ifndef CRANBERRYSHUNT_TESTS_CELL_LOSS_COUNT_H_
#define CRANBERRYSHUNT_TESTS_CELL_LOSS_COUNT_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cranberryshunt::cell {

// A controller counts as lost while it is unavailable and for the catch-up time
// after it became available. One that was removed for good counts until its
// successor was started; from then on the successor counts.
class LossCount {
 public:
  explicit LossCount(std::int64_t catch_up_ms) : catch_up_ms_(catch_up_ms) {}

  void SetAvailable(const std::string& id, std::int64_t now_ms) {
    removed_.erase(replaces_[id]);
    unavailable_.erase(id);
    available_since_ms_[id] = now_ms;
  }
  void SetUnavailable(const std::string& id) { unavailable_.insert(id); }
  // `successor` takes the place of `id`, now or once it was started.
  void Remove(const std::string& id, const std::string& successor) {
    if (!available_since_ms_.contains(successor)) {
      replaces_[successor] = id;
      removed_.insert(id);
    }
    unavailable_.erase(id);
    available_since_ms_.erase(id);
  }

  bool IsLost(const std::string& id, std::int64_t now_ms) const {
    const auto since = available_since_ms_.find(id);
    return removed_.contains(id) || unavailable_.contains(id) ||
           (since != available_since_ms_.end() &&
            now_ms - since->second < catch_up_ms_);
  }
  std::int64_t Count(std::int64_t now_ms) const {
    auto out = static_cast<std::int64_t>(removed_.size());
    for (const auto& [id, since_ms] : available_since_ms_) {
      out += IsLost(id, now_ms) ? 1 : 0;
    }
    return out;
  }

 private:
  const std::int64_t catch_up_ms_;
  std::map<std::string, std::int64_t> available_since_ms_;
  std::map<std::string, std::string> replaces_;  // By successor.
  std::set<std::string> unavailable_;
  std::set<std::string> removed_;  // Their successors were not started yet.
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_TESTS_CELL_LOSS_COUNT_H_
