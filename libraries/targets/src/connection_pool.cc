#include "connection_pool.h"

#include <algorithm>
#include <utility>

namespace cranberryshunt::targets {

ConnectionPool::ConnectionPool(std::string token)
    : token_(std::move(token)), last_use_(std::chrono::steady_clock::now()) {}

void ConnectionPool::SetLimit(std::int32_t limit) {
  std::lock_guard lock(mutex_);
  limit_ = std::max(limit, 1);
  released_.notify_all();
}

bool ConnectionPool::AllowsWaitingCalls() const {
  std::lock_guard lock(mutex_);
  return limit_ > 1;
}

bool ConnectionPool::HasCapacity(CallKind kind) const {
  if (busy_ >= limit_) {
    return false;
  }
  return kind == CallKind::kShort || waiting_calls_ < limit_ - 1;
}

std::unique_ptr<Connection> ConnectionPool::TakeOrOpen(CallKind kind,
                                                       Reuse reuse) {
  ++busy_;
  waiting_calls_ += kind == CallKind::kWaiting ? 1 : 0;
  if (reuse == Reuse::kAllowed && !idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    return connection;
  }
  if (!idle_.empty() &&
      busy_ + static_cast<std::int32_t>(idle_.size()) > limit_) {
    idle_.erase(idle_.begin());
  }
  return std::make_unique<Connection>(next_sequence_++, token_);
}

std::unique_ptr<Connection> ConnectionPool::Acquire(
    CallKind kind,
    Reuse reuse,
    std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  last_use_ = std::chrono::steady_clock::now();
  const bool free = released_.wait_until(lock, last_use_ + timeout,
                                         [&] { return HasCapacity(kind); });
  return free ? TakeOrOpen(kind, reuse) : nullptr;
}

void ConnectionPool::Release(std::unique_ptr<Connection> connection,
                             CallKind kind,
                             bool reusable) {
  std::lock_guard lock(mutex_);
  --busy_;
  waiting_calls_ -= kind == CallKind::kWaiting ? 1 : 0;
  if (reusable && connection->sequence() > retired_up_to_ &&
      busy_ + static_cast<std::int32_t>(idle_.size()) < limit_) {
    idle_.push_back(std::move(connection));
  }
  released_.notify_all();
}

void ConnectionPool::RetireUpTo(std::uint64_t sequence) {
  std::lock_guard lock(mutex_);
  retired_up_to_ = std::max(retired_up_to_, sequence);
  std::erase_if(idle_, [&](const auto& connection) {
    return connection->sequence() <= retired_up_to_;
  });
}

bool ConnectionPool::IsRetired(std::uint64_t sequence) const {
  std::lock_guard lock(mutex_);
  return sequence <= retired_up_to_;
}

std::int64_t ConnectionPool::open_count() const {
  std::lock_guard lock(mutex_);
  return busy_ + static_cast<std::int64_t>(idle_.size());
}

std::chrono::steady_clock::time_point ConnectionPool::last_use() const {
  std::lock_guard lock(mutex_);
  return last_use_;
}

}  // namespace cranberryshunt::targets
