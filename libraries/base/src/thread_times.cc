#include "cranberryshunt/base/thread_times.h"

#include <pthread.h>

#include <ctime>
#include <mutex>
#include <utility>

namespace cranberryshunt {

namespace {

struct NamedThread {
  std::string name;
  clockid_t clock = CLOCK_THREAD_CPUTIME_ID;
};

struct Registry {
  std::mutex mutex;
  std::map<int, NamedThread> threads;
  std::map<std::string, std::chrono::microseconds> ended;
  int next_id = 1;
};

Registry& GetRegistry() {
  // Never destroyed, because the thread of the log may end after the static
  // objects do.
  static auto* const registry = new Registry;
  return *registry;
}

std::chrono::microseconds ReadClock(clockid_t clock) {
  timespec time{};
  if (clock_gettime(clock, &time) != 0) {
    return std::chrono::microseconds(0);
  }
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

ScopedThreadName::ScopedThreadName(std::string name) {
  NamedThread thread{std::move(name)};
  pthread_getcpuclockid(pthread_self(), &thread.clock);
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  id_ = registry.next_id++;
  registry.threads.emplace(id_, std::move(thread));
}

ScopedThreadName::~ScopedThreadName() {
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  const auto node = registry.threads.extract(id_);
  registry.ended[node.mapped().name] += ReadClock(node.mapped().clock);
}

std::map<std::string, std::chrono::microseconds> ThreadTimes() {
  auto& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  auto out = registry.ended;
  for (const auto& [id, thread] : registry.threads) {
    out[thread.name] += ReadClock(thread.clock);
  }
  out["process"] = ReadClock(CLOCK_PROCESS_CPUTIME_ID);
  return out;
}

}  // namespace cranberryshunt
