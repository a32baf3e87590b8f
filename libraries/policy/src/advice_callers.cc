#include "cranberryshunt/policy/advice_callers.h"

#include <algorithm>
#include <cmath>

namespace cranberryshunt::policy {

namespace {

// An urgent question occupies its caller for about 100 ms. The average covers
// some of them, so that a few that arrive together don't refuse other jobs,
// while jobs that arrive in a burst of urgent ones learn of it at once.
constexpr double kUrgentShareMs = 300;

}  // namespace

void AdviceCallerQueue::AddCaller(std::int64_t free_in_ms) {
  free_in_ms_.push(std::max<std::int64_t>(0, free_in_ms));
}

void AdviceCallerQueue::SetAside(std::size_t callers) {
  for (; callers > 0 && free_in_ms_.size() > 1; --callers) {
    free_in_ms_.pop();
  }
}

void AdviceCallerQueue::AddQuestion(std::int64_t busy_ms) {
  if (!free_in_ms_.empty()) {
    const auto begin = free_in_ms_.top();
    free_in_ms_.pop();
    free_in_ms_.push(begin + busy_ms);
  }
}

std::int64_t AdviceCallerQueue::WaitMs() const {
  return free_in_ms_.empty() ? 0 : free_in_ms_.top();
}

void UrgentCallerShare::Update(std::int64_t now_ms,
                               std::size_t urgent,
                               std::size_t callers) {
  const auto elapsed_ms = static_cast<double>(now_ms - updated_ms_);
  updated_ms_ = now_ms;
  const auto now = static_cast<double>(urgent) /
                   static_cast<double>(std::max<std::size_t>(1, callers));
  share_ += (now - share_) * (1 - std::exp(-elapsed_ms / kUrgentShareMs));
}

std::size_t UrgentCallerShare::Of(std::size_t callers) const {
  return static_cast<std::size_t>(
      std::lround(share_ * static_cast<double>(callers)));
}

}  // namespace cranberryshunt::policy
