#include "cranberryshunt/entry/entry.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>

#include "context.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/base/timer_service.h"
#include "dispatcher.h"
#include "json_output.h"
#include "poller.h"

namespace cranberryshunt::entry {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Connections in addition to max_requests_in_flight: for announcements,
// operators, the load balancer, and connections kept open between requests.
constexpr unsigned int kExtraConnections = 512;
constexpr int kMaxMallocArenas = 2;
constexpr std::chrono::seconds kCloseUnusedInterval{10};
constexpr milliseconds kShutdownCheckInterval{10};
// The server stops once no request and no order was in flight for this long.
constexpr milliseconds kMinIdleTime{100};
// Callers' waits end this long before the shutdown limit, so that the callers
// still get the status of their jobs.
constexpr milliseconds kAnswerMargin{1'000};
constexpr milliseconds kFlushLimit{3'000};

targets::TargetClientOptions TargetOptions(const EntryOptions& options) {
  targets::TargetClientOptions out;
  out.token = options.target_token;
  out.entry_count = options.entry_count;
  return out;
}

}  // namespace

// Members are destroyed in reverse order: first the server, then the poller,
// the dispatcher's threads and the reporter's thread.
struct Entry::Implementation {
  explicit Implementation(const EntryOptions& entry_options);

  Result<void> Listen();
  // Returns the bytes exchanged with targets of other regions since the last
  // call, with keys "from>to", and adds all traffic to the metrics.

  std::map<std::string, std::int64_t> TakeTraffic();
  std::int64_t Shutdown();
  // Waits until `condition` holds, `deadline` passes or Abort() is called.
  // Returns whether `condition` holds at the end.
  bool WaitFor(steady_clock::time_point deadline,
               const std::function<bool()>& condition);
  // Returns whether no request or order was in flight for kMinIdleTime. Sets
  // `idle_since` to now while one is.

  bool IsIdle(steady_clock::time_point& idle_since) const;

  const EntryOptions options;
  MetricsRegistry metrics;
  Readiness readiness;
  wire::LeaderClient leader;
  LeaderCalls leader_calls;
  Admission admission;
  PendingJobs jobs;
  WorkerDirectory workers;
  targets::TargetClient targets;
  Reporter reporter;
  Authorizer authorizer;
  Dispatcher dispatcher;
  Context context;
  std::mutex mutex;
  std::condition_variable abort_requested;
  bool aborted = false;
  TimerService timers;
  TimerService::Subscription close_unused;
  std::unique_ptr<Poller> poller;
  std::unique_ptr<http::HttpServer> server;
};

Entry::Implementation::Implementation(const EntryOptions& entry_options)
    : options(entry_options),
      leader(options.controllers, options.id, options.cluster_secret),
      leader_calls(leader),
      admission(options.max_requests_in_flight),
      targets(TargetOptions(options)),
      reporter(leader, options.id, [this] { return TakeTraffic(); }),
      authorizer(options, reporter, metrics),
      dispatcher(targets, jobs, reporter, workers, metrics),
      context{options,  leader_calls, admission, jobs,    readiness,
              reporter, authorizer,   workers,   targets, metrics},
      close_unused(timers.RunEvery(kCloseUnusedInterval, [this] {
        targets.CloseUnusedConnections();
      })) {}

Result<void> Entry::Implementation::Listen() {
  http::HttpServerOptions server_options;
  server_options.render_error = &RenderError;
  server_options.listen_address = options.listen_address;
  server_options.max_body_bytes = MaxAnnouncementBytes(options);
  server_options.max_connections =
      static_cast<unsigned int>(options.max_requests_in_flight) +
      kExtraConnections;
  std::vector<HttpRoute> routes;
  AddCallerRoutes(context, routes);
  AddTargetRoutes(context, routes);
  AddOperatorRoutes(context, routes);
  AddHealthRoutes(context, routes);
  auto started =
      http::HttpServer::Start(server_options, std::move(routes), metrics);
  if (!started) {
    return tl::unexpected(started.error());
  }
  server = std::move(*started);
  poller = std::make_unique<Poller>(options, leader, leader_calls, readiness,
                                    admission, jobs, dispatcher);
  return {};
}

std::map<std::string, std::int64_t> Entry::Implementation::TakeTraffic() {
  std::map<std::string, std::int64_t> between_regions;
  for (const auto& [address, bytes] : targets.TakeTraffic()) {
    const std::string region = workers.Find(address).region;
    metrics.Counter("target_bytes{from=\"" + options.region + "\",to=\"" +
                    region + "\"}") += bytes;
    if (!region.empty() && region != options.region) {
      between_regions[options.region + ">" + region] += bytes;
    }
  }
  return between_regions;
}

bool Entry::Implementation::WaitFor(steady_clock::time_point deadline,
                                    const std::function<bool()>& condition) {
  std::unique_lock lock(mutex);
  while (!aborted && steady_clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    abort_requested.wait_for(lock, kShutdownCheckInterval);
  }
  return condition();
}

bool Entry::Implementation::IsIdle(steady_clock::time_point& idle_since) const {
  const auto now = steady_clock::now();
  if (server->requests_in_flight() > 0 || dispatcher.pending() > 0) {
    idle_since = now;
  }
  return now - idle_since >= kMinIdleTime;
}

std::int64_t Entry::Implementation::Shutdown() {
  const auto begin = steady_clock::now();
  const auto limit = begin + options.drain_grace + options.shutdown_limit;
  readiness.StartDraining();
  jobs.LimitWaits(BootClock::now() + options.drain_grace +
                  std::max(options.shutdown_limit - kAnswerMargin,
                           options.shutdown_limit / 2));
  server->CloseAfterResponses();
  WaitFor(begin + options.drain_grace, [] { return false; });
  server->StopListening();
  auto idle_since = steady_clock::now();
  WaitFor(limit, [&] { return IsIdle(idle_since); });
  const std::int64_t interrupted = server->requests_in_flight();
  targets.Abort();
  // Handlers that still wait for a job would delay the end of the server.
  jobs.LimitWaits(BootClock::now());
  reporter.Flush(std::min<milliseconds>(
      kFlushLimit,
      std::chrono::duration_cast<milliseconds>(std::max(
          limit - steady_clock::now(), steady_clock::duration::zero()))));
  if (interrupted > 0) {
    Log(LogLevel::kWarning, "entry", "shutdown interrupted requests",
        {{"requests", interrupted}});
  }
  server.reset();
  poller.reset();
  return interrupted;
}

Entry::Entry(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Entry::~Entry() {
  implementation_->targets.Abort();
  implementation_->jobs.LimitWaits(BootClock::now());
}

Result<std::unique_ptr<Entry>> Entry::Start(const EntryOptions& options) {
  if (options.controllers.empty()) {
    return Fail(ResultCode::kInvalidSettings, "no controller is given",
                "controllers");
  }
  // Each connection has a thread; a malloc arena for each thread would take
  // most of the memory.
  mallopt(M_ARENA_MAX, kMaxMallocArenas);
  auto implementation = std::make_unique<Implementation>(options);
  if (auto listening = implementation->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<Entry>(new Entry(std::move(implementation)));
}

std::int64_t Entry::Shutdown() {
  return implementation_->Shutdown();
}

void Entry::Abort() {
  std::lock_guard lock(implementation_->mutex);
  implementation_->aborted = true;
  implementation_->abort_requested.notify_all();
}

}  // namespace cranberryshunt::entry
