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
  // The shutdown thread sends SIGUSR1 to wake the main thread.
  sigaddset(&set, SIGUSR1);
  return set;
}

// Waits up to `timeout` for a signal of `set`; returns 0 if none arrived.
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

// Waits for SIGTERM or SIGINT and returns it. Calls `reload` after SIGHUP and
// once each second.
int WaitForTermination(const sigset_t& set, const ReloadFunction& reload) {
  constexpr std::chrono::seconds kReloadInterval{1};
  for (;;) {
    const int signal = WaitForSignal(set, kReloadInterval);
    if (signal == SIGTERM || signal == SIGINT) {
      return signal;
    }
    if (reload && (signal == SIGHUP || signal == 0)) {
      reload(signal == SIGHUP);
    } else if (signal == SIGHUP) {
      Log(LogLevel::kInfo, "service",
          "reload requested; flags and environment variables do not change");
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
  const int first_signal = WaitForTermination(set, reload);
  Log(LogLevel::kInfo, "service", "shutting down", {{"signal", first_signal}});
  std::atomic<bool> done = false;
  std::thread shutdown_thread([&, main_thread = pthread_self()] {
    shutdown();
    done = true;
    pthread_kill(main_thread, SIGUSR1);
  });
  const auto deadline = BootClock::now() + limit;
  bool aborted = false;
  while (!done) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline -
                                                              BootClock::now());
    constexpr std::chrono::milliseconds kWaitAfterAbort{1000};
    const int next_signal = WaitForSignal(
        set, aborted ? kWaitAfterAbort
                     : std::max(remaining, std::chrono::milliseconds(0)));
    if (!done && !aborted && next_signal != SIGUSR1 && next_signal != SIGHUP) {
      Log(LogLevel::kWarning, "service", "aborting the graceful shutdown",
          {{"cause", next_signal == 0 ? "time limit" : "second signal"}});
      aborted = true;
      abort();
    }
  }
  shutdown_thread.join();
}

}  // namespace cranberryshunt
