// Termination signals of the long-running subcommands.
#ifndef CRANBERRYSHUNT_SERVICES_SIGNALS_H_
#define CRANBERRYSHUNT_SERVICES_SIGNALS_H_

#include <chrono>
#include <functional>

namespace cranberryshunt {

// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in all threads it starts
// later, and ignores SIGPIPE. Call before any thread is started.
void BlockTerminationSignals();

// Called when the settings may have changed: after SIGHUP (`requested`) and
// once each second.
using ReloadFunction = std::function<void(bool requested)>;

// Waits for the first SIGTERM or SIGINT and then runs `shutdown` on another
// thread. After a second signal, or when `limit` has passed, calls `abort`
// once, which must make `shutdown` return soon or end the process. Returns
// after `shutdown` has returned. `reload`, if given, is called until the first
// signal.
void WaitAndShutDown(std::chrono::milliseconds limit,
                     const std::function<void()>& shutdown,
                     const std::function<void()>& abort,
                     const ReloadFunction& reload = {});

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_SERVICES_SIGNALS_H_
