#include "cranberryshunt/base/clock.h"

#include <ctime>

namespace cranberryshunt {

BootClock::time_point BootClock::now() noexcept {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  const auto since_boot =
      std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
  return time_point(std::chrono::duration_cast<Duration>(since_boot));
}

std::int64_t WallClockMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace cranberryshunt
