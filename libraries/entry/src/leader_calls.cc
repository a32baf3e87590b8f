#include "leader_calls.h"

namespace cranberryshunt::entry {

namespace {

constexpr std::chrono::milliseconds kMaxWaitForCall{1'000};

}  // namespace

Result<void> LeaderCalls::RunRaw(const Limits& limits,
                                 const wire::LeaderClient::Call& call) {
  if (!open_calls_.try_acquire_for(kMaxWaitForCall)) {
    return Fail(ResultCode::kUnavailable,
                "too many calls to the leader are open");
  }
  auto ran = leader_.Run(limits.deadline, limits.attempt, call);
  open_calls_.release();
  return ran;
}

Result<wire::GetJobReply> LeaderCalls::GetJob(
    const wire::GetJobRequest& request) {
  return Run<wire::GetJobReply>(Limits(), [&](auto& client, auto& reply) {
    client.GetJob(reply, request);
  });
}

}  // namespace cranberryshunt::entry
