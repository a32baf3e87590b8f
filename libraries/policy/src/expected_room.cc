#include "expected_room.h"

#include <algorithm>

namespace cranberryshunt::policy {

namespace {

// Expected end of a task. A task that is overdue is expected to run on for as
// long as it is already overdue.
std::int64_t EndOf(const ExpectedEnd& end, std::int64_t now_ms) {
  return end.at_ms >= now_ms ? end.at_ms : now_ms + (now_ms - end.at_ms);
}

}  // namespace

std::vector<std::int64_t> ExpectedRoom(const PlanWorker& worker,
                                       Demand free,
                                       const Demand& task,
                                       std::int64_t limit,
                                       std::int64_t now_ms) {
  std::vector<std::int64_t> out;
  const auto add = [&](std::int64_t at_ms) {
    const auto fit = static_cast<std::size_t>(FitCount(task, free, limit));
    if (fit > out.size()) {
      out.resize(fit, at_ms);
    }
  };
  add(now_ms);
  std::int64_t at_ms = now_ms;
  for (const auto& it : worker.ends) {
    if (static_cast<std::int64_t>(out.size()) >= limit) {
      break;
    }
    free += it.demand;
    at_ms = std::max(at_ms, EndOf(it, now_ms));
    add(at_ms);
  }
  return out;
}

}  // namespace cranberryshunt::policy
