#include "cranberryshunt/wire/controller_client.h"

#include <algorithm>
#include <utility>

#include "ControllerService.h"

namespace cranberryshunt::wire {

namespace {

constexpr std::chrono::milliseconds kRetryPause{25};
// The pause grows to this, because the calls that wait for a leader would
// otherwise take the processor time of all controllers.
constexpr std::chrono::milliseconds kMaxRetryPause{200};
constexpr std::size_t kAttemptsBeforePause = 2;

std::chrono::milliseconds RemainingUntil(
    std::chrono::steady_clock::time_point deadline) {
  return std::chrono::ceil<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
}

}  // namespace

LeaderClient::LeaderClient(const std::vector<std::string>& addresses,
                           const std::string& own_id,
                           const std::string& cluster_secret)
    : own_id_(own_id), cluster_secret_(cluster_secret) {
  for (const auto& address : addresses) {
    channels_.push_back(
        std::make_shared<ControllerChannel>(address, own_id, cluster_secret));
  }
}

LeaderClient::~LeaderClient() = default;

void LeaderClient::ObserveAttempts(AttemptObserver observer) {
  observer_ = std::move(observer);
}

void LeaderClient::AddControllers(const std::vector<std::string>& addresses) {
  std::lock_guard lock(mutex_);
  for (const auto& it : addresses) {
    FindOrAddChannel(it);
  }
}

std::size_t LeaderClient::FindOrAddChannel(const std::string& address) {
  for (std::size_t i = 0; i < channels_.size(); ++i) {
    if (channels_[i]->address() == address) {
      return i;
    }
  }
  // A controller that joined the cell after the start of this process is not in
  // its settings.
  channels_.push_back(
      std::make_shared<ControllerChannel>(address, own_id_, cluster_secret_));
  return channels_.size() - 1;
}

// Chooses the controller for the next attempt: the leader that `status` names,
// or else the next reachable one after `tried`. Followers name the old leader
// until they have elected another one, so a leader that cannot be reached is
// ignored.
void LeaderClient::ChooseNextController(std::size_t tried,
                                        const CallStatus& status) {
  std::lock_guard lock(mutex_);
  if (!status.leader.empty()) {
    const auto named = FindOrAddChannel(status.leader);
    if (!channels_[named]->unreachable()) {
      leader_ = named;
      return;
    }
  }
  if (leader_ % channels_.size() != tried) {
    return;  // Another thread has already chosen another controller.
  }
  for (std::size_t n = 1; n <= channels_.size(); ++n) {
    leader_ = (tried + n) % channels_.size();
    if (!channels_[leader_]->unreachable()) {
      return;
    }
  }
  leader_ = (tried + 1) % channels_.size();
}

// Ends early when another call of this process is served.
void LeaderClient::Pause(std::chrono::milliseconds duration) {
  std::unique_lock lock(mutex_);
  ++pausing_;
  served_.wait_for(lock, duration, [this, count = served_while_pausing_] {
    return served_while_pausing_ != count;
  });
  --pausing_;
}

void LeaderClient::EndPauses() {
  if (pausing_ == 0) {
    return;
  }
  const std::lock_guard lock(mutex_);
  ++served_while_pausing_;
  served_.notify_all();
}

void LeaderClient::ReportAttempt(const LeaderAttemptReport& report) const {
  if (observer_) {
    observer_(report);
  }
}

bool LeaderClient::RedirectsFrom(const ControllerChannel& channel,
                                 const CallStatus& status) {
  if (status.leader.empty() || status.leader == channel.address()) {
    return false;
  }
  const std::lock_guard lock(mutex_);
  return !channels_[FindOrAddChannel(status.leader)]->unreachable();
}

Result<void> LeaderClient::Run(std::chrono::milliseconds timeout,
                               std::chrono::milliseconds attempt_timeout,
                               const Call& call) {
  return RunAt(timeout, attempt_timeout,
               [&](auto& client, const std::string& /*address*/) {
                 return call(client);
               });
}

Result<void> LeaderClient::RunAt(std::chrono::milliseconds timeout,
                                 std::chrono::milliseconds attempt_timeout,
                                 const CallAt& call) {
  return RunAt(timeout, attempt_timeout, call,
               [](const LeaderAttemptReport&) { return RetryStep::kPause; });
}

Result<void> LeaderClient::RunAt(std::chrono::milliseconds timeout,
                                 std::chrono::milliseconds attempt_timeout,
                                 const CallAt& call,
                                 const NextStep& next_step) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  Error last_error(ResultCode::kNoLeader, "no controller answered as leader");
  std::shared_ptr<ControllerChannel> timed_out_before;
  for (std::size_t attempt = 0;; ++attempt) {
    const auto remaining = RemainingUntil(deadline);
    if (remaining <= std::chrono::milliseconds::zero()) {
      return tl::unexpected(last_error);
    }
    std::shared_ptr<ControllerChannel> channel;
    std::size_t index = 0;
    {
      std::lock_guard lock(mutex_);
      index = leader_ % channels_.size();
      channel = channels_[index];
    }
    CallStatus status;
    const auto begin = std::chrono::steady_clock::now();
    const auto call_result = channel->Run(
        attempt_timeout, deadline,
        [&](auto& client) { status = call(client, channel->address()); });
    const auto code = static_cast<ResultCode>(status.code);
    if (call_result && code != ResultCode::kNotLeader) {
      EndPauses();
      ReportAttempt({true, false, attempt, begin});
      return {};
    }
    const LeaderAttemptReport failed{false, RedirectsFrom(*channel, status),
                                     attempt, begin};
    ReportAttempt(failed);
    last_error = call_result ? Error(ResultCode::kNoLeader,
                                     "controller is not the leader")
                             : call_result.error();
    // After a timeout, only the connection may be dead. The next attempt opens
    // a new one to the same controller. If that one is not answered either, the
    // controller itself may be stuck.
    const bool timed_out =
        !call_result && call_result.error().code() == ResultCode::kTimeout;
    const bool retry_same =
        timed_out && timed_out_before != channel && !channel->unreachable();
    timed_out_before = timed_out ? channel : nullptr;
    if (!retry_same) {
      ChooseNextController(index, status);
    }
    const auto step = next_step(failed);
    if (step == RetryStep::kGiveUp) {
      return tl::unexpected(last_error);
    }
    if (step == RetryStep::kRetryOther && retry_same) {
      ChooseNextController(index, status);
    }
    const bool leader_named = !status.leader.empty();
    // During an election, controllers may name each other as leader. Retrying
    // at once each time would be a busy loop.
    if (step == RetryStep::kPause &&
        ((!leader_named && !retry_same) || attempt >= kAttemptsBeforePause)) {
      const auto pause = std::min(
          kMaxRetryPause, kRetryPause * static_cast<int>(1 + attempt / 2));
      Pause(std::min(remaining, pause));
    }
  }
}

}  // namespace cranberryshunt::wire
