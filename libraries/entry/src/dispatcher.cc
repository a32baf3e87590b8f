#include "dispatcher.h"

#include <utility>
#include <variant>

#include "cranberryshunt/targets/task_record.h"
#include "start_task.h"

namespace cranberryshunt::entry {

namespace {

// A waiting interactive start takes a thread until its task ends.
constexpr std::size_t kInteractiveThreads = 320;
constexpr std::size_t kStartThreads = 32;
constexpr std::size_t kControlThreads = 16;
constexpr std::size_t kInteractiveQueue = 1'024;
constexpr std::size_t kStartQueue = 2'048;
constexpr std::size_t kControlQueue = 4'096;
// Attempts that are remembered as sent; far above what is sent while an order
// is valid.
constexpr std::size_t kRememberedAttempts = 8'192;

// Makes a call and repeats it once: the first may have met a connection that
// went silent, which is then retired. The leader repeats what it still wants in
// its replies to announcements.
template <typename Call>
void CallTwice(const Call& call) {
  if (!std::holds_alternative<targets::Confirmed>(call())) {
    call();
  }
}

}  // namespace

Dispatcher::Dispatcher(targets::TargetClient& client,
                       PendingJobs& jobs,
                       Reporter& reporter,
                       WorkerDirectory& workers,
                       MetricsRegistry& metrics)
    : client_(client),
      jobs_(jobs),
      reporter_(reporter),
      workers_(workers),
      metrics_(metrics),
      interactive_(kInteractiveThreads, kInteractiveQueue),
      starts_(kStartThreads, kStartQueue),
      control_(kControlThreads, kControlQueue) {}

targets::Target Dispatcher::TargetOf(const std::string& address) const {
  return {address, workers_.Find(address).connections};
}

bool Dispatcher::TryEnqueue(const wire::Order& order) {
  if (order.__isset.start) {
    return EnqueueStart(order.start);
  }
  if (order.__isset.stop) {
    return control_.TryPost([this, stop = order.stop] {
      CallTwice([&] {
        return client_.Stop(TargetOf(stop.address), stop.attempt,
                            stop.checkpoint);
      });
    });
  }
  if (order.__isset.throttle) {
    return control_.TryPost([this, throttle = order.throttle] {
      CallTwice([&] {
        return client_.Throttle(TargetOf(throttle.address), throttle.attempt,
                                throttle.percent);
      });
    });
  }
  if (order.__isset.lookup) {
    return control_.TryPost(
        [this, lookup = order.lookup] { RunLookup(lookup); });
  }
  // An order of a later version is taken, so that the ones after it get here.
  return true;
}

bool Dispatcher::EnqueueStart(const wire::StartOrder& order) {
  workers_.Learn(order.address, {order.connections, order.region});
  {
    std::lock_guard lock(mutex_);
    if (!active_.insert(order.attempt).second) {
      return true;
    }
  }
  const bool interactive = order.kind == wire::JobKind::kInteractive;
  auto& pool = interactive ? interactive_ : starts_;
  const bool posted =
      pool.TryPost([this, order, received_at = BootClock::now()] {
        RunStart(order, received_at);
      });
  if (!posted) {
    std::lock_guard lock(mutex_);
    active_.erase(order.attempt);
  }
  return posted;
}

bool Dispatcher::RememberSent(const wire::AttemptKey& attempt) {
  std::lock_guard lock(mutex_);
  if (!sent_.insert(attempt).second) {
    return true;
  }
  sent_order_.push_back(attempt);
  if (sent_order_.size() > kRememberedAttempts) {
    sent_.erase(sent_order_.front());
    sent_order_.pop_front();
  }
  return false;
}

void Dispatcher::RunStart(const wire::StartOrder& order,
                          TimePoint received_at) {
  ++metrics_.Counter("starts");
  const bool sent_before = RememberSent(order.attempt);
  StartTask(client_, jobs_, reporter_, order, TargetOf(order.address),
            received_at, sent_before)
      .Run();
  std::lock_guard lock(mutex_);
  active_.erase(order.attempt);
}

void Dispatcher::RunLookup(const wire::LookupOrder& order) {
  const auto target = TargetOf(order.address);
  auto result = client_.Lookup(target, order.attempt, order.bar,
                               targets::Reuse::kAllowed);
  const bool answered = std::holds_alternative<targets::Found>(result) ||
                        std::holds_alternative<targets::NotFound>(result);
  if (!answered) {
    result = client_.Lookup(target, order.attempt, order.bar,
                            targets::Reuse::kForbidden);
  }
  if (client_.aborted()) {
    return;
  }
  wire::AttemptReport report;
  report.attempt = order.attempt;
  report.state = wire::AttemptState::kUnknown;
  report.reason = "the target does not answer lookups";
  report.answer.stored = true;
  if (auto* found = std::get_if<targets::Found>(&result)) {
    report = found->record;
    StripUnstoredAnswer(report.answer);
  } else if (std::holds_alternative<targets::NotFound>(result)) {
    // Without a bar a start may still be on its way; the leader asked for no
    // more than the present state.
    report.state = order.bar ? wire::AttemptState::kNeverStarted
                             : wire::AttemptState::kUnknown;
    report.reason = "the target has no record of the attempt";
  }
  report.looked_up = report.state != wire::AttemptState::kUnknown;
  reporter_.AddResult(report);
}

std::size_t Dispatcher::pending() const {
  return interactive_.pending() + starts_.pending() + control_.pending();
}

}  // namespace cranberryshunt::entry
