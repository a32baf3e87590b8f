#include "cranberryshunt/base/timer_service.h"

#include <algorithm>
#include <utility>

namespace cranberryshunt {

struct TimerService::Timer {
  std::uint64_t id;
  Duration period;
  std::function<void()> callback;
};

TimerService::Subscription::Subscription(TimerService* service,
                                         std::uint64_t id)
    : service_(service), id_(id) {}

TimerService::Subscription::Subscription(Subscription&& other) noexcept
    : service_(std::exchange(other.service_, nullptr)), id_(other.id_) {}

TimerService::Subscription& TimerService::Subscription::operator=(
    Subscription&& other) noexcept {
  std::swap(service_, other.service_);
  std::swap(id_, other.id_);
  return *this;
}

TimerService::Subscription::~Subscription() {
  if (service_ != nullptr) {
    service_->Remove(id_);
  }
}

TimerService::TimerService() : thread_([this] { Run(); }) {}

TimerService::~TimerService() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  thread_.join();
}

TimerService::Subscription TimerService::RunEvery(
    Duration period,
    std::function<void()> callback) {
  return Add(period, period, std::move(callback));
}

TimerService::Subscription TimerService::RunAfter(
    Duration delay,
    std::function<void()> callback) {
  return Add(delay, Duration::zero(), std::move(callback));
}

TimerService::Subscription TimerService::Add(Duration delay,
                                             Duration period,
                                             std::function<void()> callback) {
  std::lock_guard lock(mutex_);
  auto timer = std::make_shared<Timer>();
  timer->id = next_id_++;
  timer->period = period;
  timer->callback = std::move(callback);
  const std::uint64_t id = timer->id;
  timers_.emplace(std::chrono::steady_clock::now() + delay, std::move(timer));
  changed_.notify_all();
  return {this, id};
}

void TimerService::Remove(std::uint64_t id) {
  std::unique_lock lock(mutex_);
  std::erase_if(timers_,
                [id](const auto& entry) { return entry.second->id == id; });
  // A callback may end its own subscription. It must not wait for itself, which
  // would be a deadlock.
  if (std::this_thread::get_id() != thread_.get_id()) {
    changed_.wait(lock, [&] { return running_id_ != id; });
  }
}

void TimerService::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (timers_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const auto due = timers_.begin()->first;
    if (std::chrono::steady_clock::now() < due) {
      changed_.wait_until(lock, due);
      continue;
    }
    auto timer = timers_.begin()->second;
    timers_.erase(timers_.begin());
    if (timer->period > Duration::zero()) {
      const auto next =
          std::max(due + timer->period, std::chrono::steady_clock::now());
      timers_.emplace(next, timer);
    }
    running_id_ = timer->id;
    lock.unlock();
    timer->callback();
    lock.lock();
    running_id_ = 0;
    changed_.notify_all();
  }
}

}  // namespace cranberryshunt
