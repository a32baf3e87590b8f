#include "poller.h"

#include <algorithm>

#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/base/log.h"

namespace cranberryshunt::entry {

namespace {

constexpr std::int32_t kPollWaitMs = 400;
// The wait and a margin for a busy leader. Starts come only with this call, so
// it bounds how long a leader that was cut off is waited for: placements must
// resume within 2 s, of which an election takes up to 1 s.
constexpr std::chrono::milliseconds kPollAttempt{700};
constexpr std::chrono::milliseconds kPollDeadline{2'500};
constexpr std::chrono::milliseconds kPauseAfterFailure{50};
constexpr LeaderCalls::Limits kRulesLimits{std::chrono::milliseconds(2'000),
                                           std::chrono::milliseconds(1'000)};
constexpr std::chrono::seconds kOldJobAge{30};
constexpr std::size_t kOldJobsAtOnce = 4;

}  // namespace

Poller::Poller(const EntryOptions& options,
               wire::LeaderClient& leader,
               LeaderCalls& calls,
               Readiness& readiness,
               Admission& admission,
               PendingJobs& jobs,
               Dispatcher& dispatcher)
    : leader_(leader),
      calls_(calls),
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
    stopped_.notify_all();
  }
  thread_.join();
}

void Poller::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    const bool answered = PollOnce();
    CheckOldJobs();
    lock.lock();
    if (!answered) {
      stopped_.wait_for(lock, kPauseAfterFailure, [this] { return stopping_; });
    }
  }
}

bool Poller::PollOnce() {
  request_.rules_revision =
      std::max<std::int64_t>(0, readiness_.rules_revision());
  request_.draining = readiness_.draining();
  // After a failure, and at the start, the lease is needed without a wait.
  request_.wait_ms = lease_is_fresh_ ? kPollWaitMs : 0;
  wire::PollReply reply;
  TimePoint sent_at;
  const auto ran = leader_.Run(kPollDeadline, kPollAttempt, [&](auto& client) {
    reply = wire::PollReply();
    sent_at = BootClock::now();
    client.Poll(reply, request_);
    return ToCallStatus(reply.status);
  });
  if (!ran || reply.status.code != 0) {
    Log(LogLevel::kDebug, "poller", "poll failed",
        {{"error", ran ? reply.status.message : ran.error().message()}});
    lease_is_fresh_ = false;
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
      jobs_.Update(update.job);
      request_.update_ack = update.sequence;
    }
  }
  for (const auto& order : reply.orders) {
    if (order.sequence <= request_.order_ack) {
      continue;
    }
    if (!dispatcher_.TryEnqueue(order.order)) {
      // The leader sends it again, because it is not acknowledged.
      break;
    }
    request_.order_ack = order.sequence;
  }
  admission_.SetPressure(reply.pressure);
  // A lease without the current rules in hand would hold up their publication.
  if (UpdateRules(reply.rules_revision)) {
    readiness_.RenewLease(sent_at +
                          std::chrono::milliseconds(reply.rules_lease_ms));
  }
  lease_is_fresh_ = true;
}

bool Poller::UpdateRules(std::int64_t leader_revision) {
  const std::int64_t own = readiness_.rules_revision();
  if (own >= leader_revision) {
    return true;
  }
  if (leader_revision == 0) {
    readiness_.SetRevision(0);
    return true;
  }
  const auto rules = calls_.Run<wire::RulesReply>(
      LeaderLane::kControl, kRulesLimits, [&](auto& client, auto& reply) {
        client.GetRules(reply, std::max<std::int64_t>(0, own));
      });
  if (!rules || rules->revision < leader_revision) {
    return false;
  }
  readiness_.SetRevision(rules->revision);
  Log(LogLevel::kInfo, "poller", "rules revision in hand",
      {{"revision", rules->revision}});
  return true;
}

void Poller::CheckOldJobs() {
  for (const auto& job_id : jobs_.OldJobs(kOldJobAge, kOldJobsAtOnce)) {
    wire::GetJobRequest request;
    request.entry_id = request_.entry_id;
    request.job_id = job_id;
    request.watch = true;
    const auto reply = calls_.GetJob(LeaderLane::kControl, request);
    if (reply) {
      jobs_.Update(reply->job);
    } else if (reply.error().code() == ResultCode::kNotFound) {
      jobs_.Remove(job_id);
    }
  }
}

}  // namespace cranberryshunt::entry
