// Clocks. Leases and deadlines use BootClock; wall-clock time is only for
// display and for the retention of data.
#ifndef CRANBERRYSHUNT_BASE_CLOCK_H_
#define CRANBERRYSHUNT_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace cranberryshunt {

using Duration = std::chrono::microseconds;

// Monotonic time that also advances while the host is suspended
// (CLOCK_BOOTTIME), so that a resumed process sees that its leases have
// expired.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  // The name is fixed by the Clock requirements of the standard library.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;

// Source of monotonic time that tests can replace.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

// Reads BootClock.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override { return BootClock::now(); }
};

// A clock for tests, which moves only when Advance() is called.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  void Advance(Duration duration) { now_ += duration; }

 private:
  TimePoint now_{Duration(1'000'000)};
};

// Milliseconds since the Unix epoch.
std::int64_t WallClockMilliseconds();

// Whole milliseconds of `duration`, rounded towards zero.
constexpr std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_CLOCK_H_
