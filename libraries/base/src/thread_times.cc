#include "cranberryshunt/base/thread_times.h"

#include <pthread.h>
#include <time.h>

#include <mutex>
#include <utility>

namespace cranberryshunt {

namespace {

std::int64_t ReadMs(clockid_t clock) {
  timespec time{};
  if (clock_gettime(clock, &time) != 0) {
    return 0;
  }
  constexpr std::int64_t kMsPerSecond = 1'000;
  constexpr std::int64_t kNsPerMs = 1'000'000;
  return time.tv_sec * kMsPerSecond + time.tv_nsec / kNsPerMs;
}

struct LiveThread {
  std::string duty;
  clockid_t clock = CLOCK_THREAD_CPUTIME_ID;
  std::int64_t begin_ms = 0;
};

struct Registry {
  std::mutex mutex;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, LiveThread> live;
  std::map<std::string, std::int64_t> ended_ms;
};

Registry& GetRegistry() {
  // Never destroyed: threads may end after static objects.
  static auto* const registry = new Registry();
  return *registry;
}

}  // namespace

ThreadDuty::ThreadDuty(std::string_view duty) {
  LiveThread thread;
  thread.duty = duty;
  if (pthread_getcpuclockid(pthread_self(), &thread.clock) != 0) {
    return;
  }
  thread.begin_ms = ReadMs(thread.clock);
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  id_ = registry.next_id++;
  registry.live.emplace(id_, std::move(thread));
}

ThreadDuty::~ThreadDuty() {
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  const auto node = registry.live.extract(id_);
  if (!node.empty()) {
    const auto& thread = node.mapped();
    registry.ended_ms[thread.duty] += ReadMs(thread.clock) - thread.begin_ms;
  }
}

std::map<std::string, std::int64_t> ThreadTimes() {
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  auto out = registry.ended_ms;
  for (const auto& [id, thread] : registry.live) {
    out[thread.duty] += ReadMs(thread.clock) - thread.begin_ms;
  }
  out["all"] = ReadMs(CLOCK_PROCESS_CPUTIME_ID);
  return out;
}

}  // namespace cranberryshunt
