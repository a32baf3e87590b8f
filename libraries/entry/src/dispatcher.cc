#include "dispatcher.h"

#include <utility>
#include <variant>

#include "cranberryshunt/targets/task_record.h"
#include "start_task.h"

namespace cranberryshunt::entry {

namespace {

// An interactive start occupies a thread until its task ends.
constexpr std::size_t kInteractiveThreads = 320;
constexpr std::size_t kStartThreads = 32;
constexpr std::size_t kControlThreads = 16;
constexpr std::size_t kInteractiveQueue = 1'024;
constexpr std::size_t kStartQueue = 2'048;
constexpr std::size_t kControlQueue = 4'096;
// Number of latest attempts that are recorded as sent. It is far above the
// number of starts sent while one order is valid.
constexpr std::size_t kMaxSentAttempts = 8'192;

// Makes a call and, if it is not confirmed, repeats it once. The first call may
// have used a connection that went silent, which is then closed. If the second
// call fails too, the leader repeats what it still wants in its replies to
// announcements.
template <typename Call>
void CallWithOneRetry(const Call& call) {
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
      interactive_pool_(kInteractiveThreads, kInteractiveQueue),
      start_pool_(kStartThreads, kStartQueue),
      control_pool_(kControlThreads, kControlQueue) {}

targets::Target Dispatcher::TargetOf(const std::string& address) const {
  return {address, workers_.Find(address).connections};
}

bool Dispatcher::TryEnqueue(const wire::Order& order) {
  if (order.__isset.start) {
    return EnqueueStart(order.start);
  }
  if (order.__isset.stop) {
    return control_pool_.TryPost([this, stop = order.stop] {
      CallWithOneRetry([&] {
        return client_.Stop(TargetOf(stop.address), stop.attempt,
                            stop.checkpoint);
      });
    });
  }
  if (order.__isset.throttle) {
    return control_pool_.TryPost([this, throttle = order.throttle] {
      CallWithOneRetry([&] {
        return client_.Throttle(TargetOf(throttle.address), throttle.attempt,
                                throttle.percent);
      });
    });
  }
  if (order.__isset.lookup) {
    return control_pool_.TryPost(
        [this, lookup = order.lookup] { RunLookup(lookup); });
  }
  // An order type of a later version is accepted and ignored. If it was
  // refused, the orders after it would never be delivered.
  return true;
}

bool Dispatcher::EnqueueStart(const wire::StartOrder& order) {
  workers_.Update(order.address, {order.connections, order.region});
  {
    std::lock_guard lock(mutex_);
    if (!active_starts_.insert(order.attempt).second) {
      return true;
    }
  }
  const bool interactive = order.kind == wire::JobKind::kInteractive;
  auto& pool = interactive ? interactive_pool_ : start_pool_;
  const bool posted =
      pool.TryPost([this, order, received_at = BootClock::now()] {
        RunStart(order, received_at);
      });
  if (!posted) {
    std::lock_guard lock(mutex_);
    active_starts_.erase(order.attempt);
  }
  return posted;
}

bool Dispatcher::MarkAsSent(const wire::AttemptKey& attempt) {
  std::lock_guard lock(mutex_);
  if (!sent_attempts_.insert(attempt).second) {
    return true;
  }
  sent_oldest_first_.push_back(attempt);
  if (sent_oldest_first_.size() > kMaxSentAttempts) {
    sent_attempts_.erase(sent_oldest_first_.front());
    sent_oldest_first_.pop_front();
  }
  return false;
}

void Dispatcher::RunStart(const wire::StartOrder& order,
                          TimePoint received_at) {
  ++metrics_.Counter("starts");
  const bool sent_before = MarkAsSent(order.attempt);
  StartTask(client_, jobs_, reporter_, order, TargetOf(order.address),
            received_at, sent_before)
      .Run();
  std::lock_guard lock(mutex_);
  active_starts_.erase(order.attempt);
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
    // Only a lookup with ` bar` makes the target refuse the attempt from then
    // on. Without it, a start that is still in transit may succeed later.
    report.state = order.bar ? wire::AttemptState::kNeverStarted
                             : wire::AttemptState::kUnknown;
    report.reason = "the target has no record of the attempt";
  }
  report.looked_up = report.state != wire::AttemptState::kUnknown;
  reporter_.AddResult(report);
}

std::size_t Dispatcher::pending() const {
  return interactive_pool_.pending() + start_pool_.pending() +
         control_pool_.pending();
}

}  // namespace cranberryshunt::entry
