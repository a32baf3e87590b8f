// Bounded calls to the leader.
#ifndef CRANBERRYSHUNT_ENTRY_LEADER_CALLS_H_
#define CRANBERRYSHUNT_ENTRY_LEADER_CALLS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <semaphore>
#include <string>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/base/result.h"
#include "cranberryshunt/wire/codec.h"
#include "cranberryshunt/wire/controller_client.h"

namespace cranberryshunt::entry {

// Calls that are bounded apart from each other, so that a flood of one kind of
// submission does not hold up the others.
enum class LeaderLane {
  kService,
  kBatch,
  kGang,
  kInteractive,
  kStatus,
  kControl,  // Operators and the rules.
};
inline constexpr std::size_t kLeaderLanes = 6;

LeaderLane LaneOf(wire::JobKind::type kind);

// Returns what LeaderClient is to know of a reply. A controller that is
// shutting down, or that lost its lease while a proposal was under way, counts
// as one that does not lead, so that the call goes to the next leader.
wire::CallStatus ToCallStatus(const wire::Status& status);

// Returns whether the controller leaves open if it carried the call out.
bool IsTransient(ResultCode code);

// Limits how many calls of this entry are open at once, because each takes a
// connection and a thread at the leader. Safe for use by several threads.
class LeaderCalls {
 public:
  explicit LeaderCalls(wire::LeaderClient& leader);

  struct Limits {
    std::chrono::milliseconds deadline{5'000};
    std::chrono::milliseconds attempt{1'000};
  };

  // Runs `call`, which fills a reply, and returns the error of its status.
  template <typename Reply, typename Call>
  Result<Reply> Run(LeaderLane lane, const Limits& limits, const Call& call) {
    Reply reply;
    auto ran = RunRaw(lane, limits, [&](wire::ControllerServiceClient& client) {
      reply = Reply();
      call(client, reply);
      return ToCallStatus(StatusOf(reply));
    });
    if (!ran) {
      return tl::unexpected(ran.error());
    }
    if (StatusOf(reply).code != 0) {
      return tl::unexpected(wire::ToError(StatusOf(reply)));
    }
    return reply;
  }

  // Runs `call` under the bound of `lane`. Fails with kUnavailable without any
  // call when too many are open for too long.
  Result<void> RunRaw(LeaderLane lane,
                      const Limits& limits,
                      const wire::LeaderClient::Call& call);

  Result<wire::GetJobReply> GetJob(LeaderLane lane,
                                   const wire::GetJobRequest& request);

 private:
  static constexpr std::ptrdiff_t kMaxOpenCalls = 16;  // In each lane.
  using Semaphore = std::counting_semaphore<kMaxOpenCalls>;

  static const wire::Status& StatusOf(const wire::Status& status) {
    return status;
  }
  template <typename Reply>
  static const wire::Status& StatusOf(const Reply& reply) {
    return reply.status;
  }

  wire::LeaderClient& leader_;
  std::array<std::unique_ptr<Semaphore>, kLeaderLanes> open_calls_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_LEADER_CALLS_H_
