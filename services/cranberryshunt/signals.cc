#include "signals.h"

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/base/log.h"

namespace cranberryshunt {

namespace {

sigset_t TerminationSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  // The thread that ran the shutdown wakes the main thread with this one.
  sigaddset(&set, SIGUSR1);
  return set;
}

// Waits up to `timeout`; returns 0 when none came.
int WaitForSignal(const sigset_t& set, std::chrono::milliseconds timeout) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout);
  const timespec limit{
      seconds.count(),
      std::chrono::duration_cast<std::chrono::nanoseconds>(timeout - seconds)
          .count()};
  const int signal = sigtimedwait(&set, nullptr, &limit);
  return signal > 0 ? signal : 0;
}

int WaitForTermination(const sigset_t& set, const ReloadFunction& reload) {
  constexpr std::chrono::seconds kReloadCheck{1};
  for (;;) {
    const int signal = WaitForSignal(set, kReloadCheck);
    if (signal == SIGTERM || signal == SIGINT) {
      return signal;
    }
    if (reload && (signal == SIGHUP || signal == 0)) {
      reload(signal == SIGHUP);
    } else if (signal == SIGHUP) {
      Log(LogLevel::kInfo, "service",
          "reload asked for; flags and environment stay as they are");
    }
  }
}

}  // namespace

void BlockTerminationSignals() {
  const sigset_t set = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void WaitAndShutDown(std::chrono::milliseconds limit,
                     const std::function<void()>& shutdown,
                     const std::function<void()>& abort,
                     const ReloadFunction& reload) {
  const sigset_t set = TerminationSignals();
  const int first = WaitForTermination(set, reload);
  Log(LogLevel::kInfo, "service", "shutting down", {{"signal", first}});
  std::atomic<bool> done = false;
  std::thread worker([&, main_thread = pthread_self()] {
    shutdown();
    done = true;
    pthread_kill(main_thread, SIGUSR1);
  });
  const auto deadline = BootClock::now() + limit;
  bool aborted = false;
  while (!done) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - BootClock::now());
    constexpr std::chrono::milliseconds kAfterAbort{1000};
    const int next = WaitForSignal(
        set,
        aborted ? kAfterAbort : std::max(left, std::chrono::milliseconds(0)));
    if (!done && !aborted && next != SIGUSR1 && next != SIGHUP) {
      Log(LogLevel::kWarning, "service", "ending the shutdown early",
          {{"cause", next == 0 ? "time limit" : "second signal"}});
      aborted = true;
      abort();
    }
  }
  worker.join();
}

}  // namespace cranberryshunt
