// Periodic and one-time callbacks.
#ifndef CRANBERRYSHUNT_BASE_TIMER_SERVICE_H_
#define CRANBERRYSHUNT_BASE_TIMER_SERVICE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt {

// Runs callbacks on a thread of its own, one at a time. A callback must not
// block, because it would delay the others; it usually adds an event to the
// queue of another thread.
class TimerService {
 public:
  // Keeps a callback scheduled until it is destroyed. The destructor waits for
  // the callback if it is running on the timer thread, unless the callback
  // itself destroys its subscription.
  class Subscription {
   public:
    Subscription() = default;
    Subscription(TimerService* service, std::uint64_t id);
    Subscription(Subscription&& other) noexcept;
    Subscription& operator=(Subscription&& other) noexcept;
    ~Subscription();

   private:
    TimerService* service_ = nullptr;
    std::uint64_t id_ = 0;
  };

  TimerService();
  ~TimerService();
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  // Calls `callback` every `period` until the subscription ends. Missed periods
  // are skipped, not made up for.
  [[nodiscard]] Subscription RunEvery(Duration period,
                                      std::function<void()> callback);

  // Calls `callback` once after `delay`.
  [[nodiscard]] Subscription RunAfter(Duration delay,
                                      std::function<void()> callback);

 private:
  struct Timer;

  Subscription Add(Duration delay,
                   Duration period,
                   std::function<void()> callback);
  void Remove(std::uint64_t id);
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<std::chrono::steady_clock::time_point, std::shared_ptr<Timer>>
      timers_;
  std::uint64_t next_id_ = 1;
  std::uint64_t running_id_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_TIMER_SERVICE_H_
