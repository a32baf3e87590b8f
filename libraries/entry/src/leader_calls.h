// Calls to the leader, with a limit on the calls in flight.
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

// Groups of calls. Each has its own limit, so that a flood of submissions of
// one kind does not delay the other calls.
enum class LeaderLane {
  kService,
  kBatch,
  kGang,
  kInteractive,
  kStatus,
  kControl,  // Operators' calls, fetching rules, refreshing stale jobs.
};
inline constexpr std::size_t kLeaderLanes = 6;

LeaderLane LaneOf(wire::JobKind::type kind);

// Converts the status of a reply to the form that LeaderClient expects. Codes
// for which IsTransient() is true become kNotLeader, so that the call is
// repeated on the next leader: the controller is shutting down, or it lost its
// lease while a proposal was in flight.
wire::CallStatus ToCallStatus(const wire::Status& status);

// Returns whether a reply with `code` leaves open whether the controller
// carried out the call, so that the call should be repeated on the next leader.
bool IsTransient(ResultCode code);

// Limits how many calls of this entry are in flight at once, because each
// occupies a connection and a thread at the leader. Safe for use by several
// threads.
class LeaderCalls {
 public:
  explicit LeaderCalls(wire::LeaderClient& leader);

  struct Limits {
    // Longest time for all attempts together.
    std::chrono::milliseconds deadline{5'000};
    std::chrono::milliseconds attempt_timeout{1'000};
  };

  // Runs `call`, which fills a reply. Returns the reply, or the error of the
  // call or of the reply's status.
  template <typename Reply, typename Call>
  Result<Reply> Run(LeaderLane lane, const Limits& limits, const Call& call) {
    Reply reply;
    auto call_result =
        RunUnchecked(lane, limits, [&](wire::ControllerServiceClient& client) {
          reply = Reply();
          call(client, reply);
          return ToCallStatus(StatusOf(reply));
        });
    if (!call_result) {
      return tl::unexpected(call_result.error());
    }
    if (StatusOf(reply).code != 0) {
      return tl::unexpected(wire::ToError(StatusOf(reply)));
    }
    return reply;
  }

  // Runs `call` within the limit of `lane`; the caller checks the status of the
  // reply. Fails with kUnavailable, without making the call, when no other call
  // of the lane ends within a second.
  Result<void> RunUnchecked(LeaderLane lane,
                            const Limits& limits,
                            const wire::LeaderClient::Call& call);

  Result<wire::GetJobReply> GetJob(LeaderLane lane,
                                   const wire::GetJobRequest& request);

 private:
  static constexpr std::ptrdiff_t kMaxCallsInFlight = 16;  // In each lane.
  using Semaphore = std::counting_semaphore<kMaxCallsInFlight>;

  static const wire::Status& StatusOf(const wire::Status& status) {
    return status;
  }
  template <typename Reply>
  static const wire::Status& StatusOf(const Reply& reply) {
    return reply.status;
  }

  wire::LeaderClient& leader_;
  // One per lane; each counts the calls that may still be started.
  std::array<std::unique_ptr<Semaphore>, kLeaderLanes> semaphores_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_LEADER_CALLS_H_
