#include "poller.h"

#include <algorithm>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/base/log.h"

namespace cranberryshunt::entry {

namespace {

constexpr std::int32_t kPollWaitMs = 400;
// kPollWaitMs and a margin for a busy leader. Start orders arrive only in poll
// replies, so this timeout limits how long the entry waits for a leader that
// was cut off: placements must resume within 2 s, of which an election takes up
// to 1 s.
constexpr std::chrono::milliseconds kPollAttemptTimeout{700};
constexpr std::chrono::milliseconds kPollDeadline{2'500};
constexpr std::chrono::milliseconds kPauseAfterFailure{50};
constexpr LeaderCalls::Limits kRulesLimits{std::chrono::milliseconds(2'000),
                                           std::chrono::milliseconds(1'000)};
constexpr std::chrono::seconds kStaleJobAge{30};
constexpr std::size_t kMaxStaleJobsAtOnce = 4;

}  // namespace

Poller::Poller(const EntryOptions& options,
               wire::LeaderClient& leader,
               LeaderCalls& leader_calls,
               Readiness& readiness,
               Admission& admission,
               PendingJobs& jobs,
               Dispatcher& dispatcher)
    : leader_(leader),
      leader_calls_(leader_calls),
      readiness_(readiness),
      admission_(admission),
      jobs_(jobs),
      dispatcher_(dispatcher) {
  request_.entry_id = options.id;
  request_.address = options.listen_address;
  request_.region = options.region;
  request_.availability_zone = options.availability_zone;
  request_.incarnation = RandomId("i");
  thread_ = std::thread([this] { Run(); });
}

Poller::~Poller() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    stop_requested_.notify_all();
  }
  thread_.join();
}

void Poller::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    const bool succeeded = PollOnce();
    RefreshStaleJobs();
    lock.lock();
    if (!succeeded) {
      stop_requested_.wait_for(lock, kPauseAfterFailure,
                               [this] { return stopping_; });
    }
  }
}

bool Poller::PollOnce() {
  request_.rules_revision =
      std::max<std::int64_t>(0, readiness_.rules_revision());
  request_.draining = readiness_.draining();
  // At the start and after a failed poll, the leader should reply at once, so
  // that the entry gets a rules lease as soon as possible.
  request_.wait_ms = last_poll_succeeded_ ? kPollWaitMs : 0;
  wire::PollReply reply;
  TimePoint sent_at;
  const auto call_result =
      leader_.Run(kPollDeadline, kPollAttemptTimeout, [&](auto& client) {
        reply = wire::PollReply();
        sent_at = BootClock::now();
        client.Poll(reply, request_);
        return ToCallStatus(reply.status);
      });
  if (!call_result || reply.status.code != 0) {
    Log(LogLevel::kDebug, "poller", "poll failed",
        {{"error",
          call_result ? reply.status.message : call_result.error().message()}});
    last_poll_succeeded_ = false;
    return false;
  }
  HandleReply(reply, sent_at);
  return true;
}

void Poller::HandleReply(const wire::PollReply& reply, TimePoint sent_at) {
  if (reply.session != request_.session) {
    request_.session = reply.session;
    request_.order_ack = 0;
    request_.update_ack = 0;
  }
  for (const auto& update : reply.updates) {
    if (update.sequence > request_.update_ack) {
      jobs_.UpdateStatus(update.job);
      request_.update_ack = update.sequence;
    }
  }
  for (const auto& order : reply.orders) {
    if (order.sequence <= request_.order_ack) {
      continue;
    }
    if (!dispatcher_.TryEnqueue(order.order)) {
      // The order is not acknowledged, so the leader sends it again.
      break;
    }
    request_.order_ack = order.sequence;
  }
  admission_.SetQueuePressure(reply.pressure);
  // An entry that held a lease but not the current rules would delay their
  // publication.
  if (UpdateRules(reply.rules_revision)) {
    readiness_.RenewLease(sent_at +
                          std::chrono::milliseconds(reply.rules_lease_ms));
  }
  last_poll_succeeded_ = true;
}

bool Poller::UpdateRules(std::int64_t leader_revision) {
  const std::int64_t held_revision = readiness_.rules_revision();
  if (held_revision >= leader_revision) {
    return true;
  }
  if (leader_revision == 0) {
    readiness_.SetRevision(0);
    return true;
  }
  const auto rules = leader_calls_.Run<wire::RulesReply>(
      LeaderLane::kControl, kRulesLimits, [&](auto& client, auto& reply) {
        client.GetRules(reply, std::max<std::int64_t>(0, held_revision));
      });
  if (!rules || rules->revision < leader_revision) {
    return false;
  }
  readiness_.SetRevision(rules->revision);
  Log(LogLevel::kInfo, "poller", "rules revision updated",
      {{"revision", rules->revision}});
  return true;
}

void Poller::RefreshStaleJobs() {
  for (const auto& job_id :
       jobs_.TakeStaleJobs(kStaleJobAge, kMaxStaleJobsAtOnce)) {
    wire::GetJobRequest request;
    request.entry_id = request_.entry_id;
    request.job_id = job_id;
    request.watch = true;
    const auto reply = leader_calls_.GetJob(LeaderLane::kControl, request);
    if (reply) {
      jobs_.UpdateStatus(reply->job);
    } else if (reply.error().code() == ResultCode::kNotFound) {
      jobs_.Remove(job_id);
    }
  }
}

}  // namespace cranberryshunt::entry
