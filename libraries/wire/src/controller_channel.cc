#include "cranberryshunt/wire/controller_client.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "ControllerService.h"
#include "connection_attempt.h"
#include "cranberryshunt/base/log.h"
#include "transport_errors.h"

namespace cranberryshunt::wire {

namespace {

// For this time after a call that waited in vain for a connection, replies that
// name the controller as the leader are ignored.
constexpr std::chrono::seconds kUnreachablePeriod{1};
constexpr std::size_t kMaxIdleConnections = 64;
// How many attempts to connect to the same controller are under way at a time.
// Other calls wait for a connection, since a controller that many callers reach
// at once answers none of them in time.
constexpr std::size_t kMaxAttempts = 2;
// How long a controller may take to answer a handshake. The limit doubles after
// each attempt that reaches it, so that the attempts of all callers together
// become as rare as the controller can answer them.
constexpr std::chrono::milliseconds kMinAttemptLimit{3'000};
constexpr std::chrono::milliseconds kMaxAttemptLimit{24'000};
// Pause after an attempt that failed although the controller answers others.
constexpr std::chrono::milliseconds kAttemptPause{50};

std::int64_t ToMs(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

struct ControllerChannel::Attempt {
  std::uint64_t id = 0;
  std::chrono::steady_clock::time_point begin;
  bool done = false;
  std::unique_ptr<ConnectionAttempt> work;
};

ControllerChannel::ControllerChannel(
    std::string address,
    std::string own_id,
    std::string cluster_secret,
    std::chrono::milliseconds handshake_timeout)
    : ends_(std::make_unique<ConnectionEnds>(ConnectionEnds{
          std::move(address), std::move(own_id), std::move(cluster_secret)})),
      handshake_timeout_(handshake_timeout),
      attempt_limit_(std::max(kMinAttemptLimit, handshake_timeout)) {}

ControllerChannel::~ControllerChannel() {
  std::vector<std::unique_ptr<Attempt>> attempts;
  {
    const std::lock_guard lock(mutex_);
    attempts = std::move(attempts_);
    attempts_.clear();
  }
  // Not under the mutex, which the attempts lock when they end.
  attempts.clear();
}

const std::string& ControllerChannel::address() const {
  return ends_->address;
}

bool ControllerChannel::unreachable() const {
  const std::lock_guard lock(mutex_);
  return std::chrono::steady_clock::now() < unreachable_until_;
}

std::size_t ControllerChannel::attempts_under_way() const {
  return static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(),
                    [](const auto& it) { return !it->done; }));
}

bool ControllerChannel::AnsweredSince(TimePoint time) const {
  return last_reply_ && *last_reply_ >= time;
}

void ControllerChannel::StartAttempt(TimePoint now) {
  std::erase_if(attempts_, [](const auto& it) { return it->done; });
  auto& attempt = *attempts_.emplace_back(std::make_unique<Attempt>());
  attempt.id = ++last_attempt_id_;
  attempt.begin = now;
  try {
    attempt.work = std::make_unique<ConnectionAttempt>(
        *ends_, HandshakeLimits{handshake_timeout_, attempt_limit_},
        [this, id = attempt.id](Result<ConnectionPointer> outcome) {
          OnAttemptDone(id, std::move(outcome));
        });
  } catch (const std::system_error& error) {
    attempts_.pop_back();
    next_attempt_ = now + kAttemptPause;
    Log(LogLevel::kError, "wire", "no thread to connect to a controller",
        {{"controller", address()}, {"error", error.what()}});
  }
}

void ControllerChannel::OnAttemptDone(std::uint64_t id,
                                      Result<ConnectionPointer> outcome) {
  const std::lock_guard lock(mutex_);
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&](const auto& it) { return it->id == id; });
  if (found == attempts_.end()) {
    return;  // The channel is being destroyed.
  }
  const auto now = std::chrono::steady_clock::now();
  auto& attempt = **found;
  if (outcome) {
    attempt_limit_ = std::max(kMinAttemptLimit, handshake_timeout_);
    last_reply_ = now;
    unreachable_until_ = now;
    ReturnConnection(std::move(*outcome));
  } else {
    if (now - attempt.begin >= attempt_limit_) {
      attempt_limit_ = std::min(2 * attempt_limit_, kMaxAttemptLimit);
    }
    if (AnsweredSince(attempt.begin)) {
      next_attempt_ = now + kAttemptPause;
    } else {
      MarkUnreachable(outcome.error(), now);
      ++failures_;
      last_failure_ = outcome.error();
    }
  }
  attempt.done = true;
  changed_.notify_all();
}

Result<ControllerChannel::ConnectionPointer> ControllerChannel::TakeConnection(
    std::chrono::milliseconds timeout,
    TimePoint deadline) {
  const auto begin = std::chrono::steady_clock::now();
  std::unique_lock lock(mutex_);
  ++waiting_;
  auto connection =
      WaitForConnection(lock, begin + std::min(timeout, handshake_timeout_),
                        std::min(deadline, begin + timeout));
  --waiting_;
  return connection;
}

Result<ControllerChannel::ConnectionPointer>
ControllerChannel::WaitForConnection(std::unique_lock<std::mutex>& lock,
                                     TimePoint patience_end,
                                     TimePoint deadline) {
  const auto begin = std::chrono::steady_clock::now();
  const auto failures = failures_;
  while (idle_.empty()) {
    const auto now = std::chrono::steady_clock::now();
    if (failures_ != failures) {
      return tl::unexpected(*last_failure_);
    }
    const bool answers = AnsweredSince(begin);
    if (now >= patience_end && !answers) {
      const Error error(ResultCode::kTimeout, "no connection was opened");
      MarkUnreachable(error, now);
      return tl::unexpected(error);
    }
    if (now >= deadline) {
      return Fail(ResultCode::kTimeout, "no connection became free");
    }
    if (now >= next_attempt_ &&
        attempts_under_way() < std::min(kMaxAttempts, waiting_)) {
      StartAttempt(now);
    }
    auto wake = answers ? deadline : std::min(patience_end, deadline);
    if (now < next_attempt_) {
      wake = std::min(wake, next_attempt_);
    }
    changed_.wait_until(lock, wake);
  }
  auto connection = std::move(idle_.back());
  idle_.pop_back();
  return connection;
}

void ControllerChannel::MarkUnreachable(const Error& error, TimePoint now) {
  if (now >= unreachable_until_) {
    const auto oldest = std::find_if(attempts_.begin(), attempts_.end(),
                                     [](const auto& it) { return !it->done; });
    const auto progress = oldest == attempts_.end()
                              ? ConnectionAttempt::Progress{}
                              : (*oldest)->work->progress();
    Log(LogLevel::kInfo, "wire", "controller is not reachable",
        {{"controller", address()},
         {"error", error.message()},
         {"step", progress.step},
         {"earlier_steps_ms", ToMs(progress.step_begin - progress.begin)},
         {"step_ms", ToMs(now - progress.step_begin)},
         {"opening", attempts_under_way()},
         {"idle", idle_.size()},
         {"last_reply_ms", last_reply_ ? ToMs(now - *last_reply_) : -1}});
  }
  unreachable_until_ = now + kUnreachablePeriod;
}

void ControllerChannel::CloseConnectionsWithoutReplySince(TimePoint time) {
  const std::lock_guard lock(mutex_);
  std::erase_if(idle_, [&](const auto& connection) {
    return connection->last_reply < time;
  });
}

Result<void> ControllerChannel::Run(std::chrono::milliseconds timeout,
                                    const Call& call) {
  return Run(timeout, std::chrono::steady_clock::now() + 2 * timeout, call);
}

Result<void> ControllerChannel::Run(std::chrono::milliseconds timeout,
                                    TimePoint deadline,
                                    const Call& call) {
  auto taken = TakeConnection(timeout, deadline);
  if (!taken) {
    return tl::unexpected(taken.error());
  }
  auto connection = std::move(*taken);
  const auto begin = std::chrono::steady_clock::now();
  if (begin >= deadline) {
    const std::lock_guard lock(mutex_);
    ReturnConnection(std::move(connection));
    return Fail(ResultCode::kTimeout, "the deadline has passed");
  }
  const auto done = CatchTransportErrors([&]() -> Result<void> {
    LimitSocket(*connection->socket, timeout, deadline);
    call(*connection->client);
    return {};
  });
  if (!done) {
    CloseConnectionsWithoutReplySince(begin);
    return tl::unexpected(done.error());
  }
  const std::lock_guard lock(mutex_);
  connection->last_reply = std::chrono::steady_clock::now();
  last_reply_ = connection->last_reply;
  unreachable_until_ = connection->last_reply;
  ReturnConnection(std::move(connection));
  return {};
}

void ControllerChannel::ReturnConnection(ConnectionPointer connection) {
  if (idle_.size() < kMaxIdleConnections) {
    idle_.push_back(std::move(connection));
    changed_.notify_one();
  }
}

}  // namespace cranberryshunt::wire
