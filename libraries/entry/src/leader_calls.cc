#include "leader_calls.h"

namespace cranberryshunt::entry {

namespace {

constexpr std::chrono::milliseconds kMaxSemaphoreWait{1'000};

}  // namespace

LeaderLane LaneOf(wire::JobKind::type kind) {
  switch (kind) {
    case wire::JobKind::kService:
      return LeaderLane::kService;
    case wire::JobKind::kBatch:
      return LeaderLane::kBatch;
    case wire::JobKind::kGang:
      return LeaderLane::kGang;
    case wire::JobKind::kInteractive:
      return LeaderLane::kInteractive;
  }
  return LeaderLane::kStatus;
}

bool IsTransient(ResultCode code) {
  return code == ResultCode::kShuttingDown || code == ResultCode::kTimeout ||
         code == ResultCode::kNoLeader || code == ResultCode::kUnavailable;
}

wire::CallStatus ToCallStatus(const wire::Status& status) {
  if (IsTransient(static_cast<ResultCode>(status.code))) {
    return {static_cast<int>(ResultCode::kNotLeader), {}};
  }
  return {status.code, status.leader};
}

LeaderCalls::LeaderCalls(wire::LeaderClient& leader) : leader_(leader) {
  for (auto& semaphore : semaphores_) {
    semaphore = std::make_unique<Semaphore>(kMaxCallsInFlight);
  }
}

Result<void> LeaderCalls::RunUnchecked(LeaderLane lane,
                                       const Limits& limits,
                                       const wire::LeaderClient::Call& call) {
  auto& semaphore = *semaphores_[static_cast<std::size_t>(lane)];
  if (!semaphore.try_acquire_for(kMaxSemaphoreWait)) {
    return Fail(ResultCode::kUnavailable,
                "too many calls to the leader are open");
  }
  auto call_result = leader_.Run(limits.deadline, limits.attempt_timeout, call);
  semaphore.release();
  return call_result;
}

Result<wire::GetJobReply> LeaderCalls::GetJob(
    LeaderLane lane,
    const wire::GetJobRequest& request) {
  return Run<wire::GetJobReply>(lane, Limits(), [&](auto& client, auto& reply) {
    client.GetJob(reply, request);
  });
}

}  // namespace cranberryshunt::entry
