// Bounded calls to the leader.
#ifndef CRANBERRYSHUNT_ENTRY_LEADER_CALLS_H_
#define CRANBERRYSHUNT_ENTRY_LEADER_CALLS_H_

#include <chrono>
#include <cstddef>
#include <semaphore>
#include <string>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/base/result.h"
#include "cranberryshunt/wire/codec.h"
#include "cranberryshunt/wire/controller_client.h"

namespace cranberryshunt::entry {

// Limits how many calls of this entry are open at once, because each takes a
// connection and a thread at the leader. Safe for use by several threads.
class LeaderCalls {
 public:
  explicit LeaderCalls(wire::LeaderClient& leader) : leader_(leader) {}

  struct Limits {
    std::chrono::milliseconds deadline{5'000};
    std::chrono::milliseconds attempt{1'000};
  };

  // Runs `call`, which fills a reply, and returns the error of its status.
  template <typename Reply, typename Call>
  Result<Reply> Run(const Limits& limits, const Call& call) {
    Reply reply;
    auto ran = RunRaw(limits, [&](wire::ControllerServiceClient& client) {
      reply = Reply();
      call(client, reply);
      const wire::Status& status = StatusOf(reply);
      return wire::CallStatus{status.code, status.leader};
    });
    if (!ran) {
      return tl::unexpected(ran.error());
    }
    if (StatusOf(reply).code != 0) {
      return tl::unexpected(wire::ToError(StatusOf(reply)));
    }
    return reply;
  }

  // Runs `call` under the bound. Fails with kUnavailable without any call when
  // too many are open for too long.
  Result<void> RunRaw(const Limits& limits,
                      const wire::LeaderClient::Call& call);

  Result<wire::GetJobReply> GetJob(const wire::GetJobRequest& request);

 private:
  static constexpr std::ptrdiff_t kMaxOpenCalls = 64;

  static const wire::Status& StatusOf(const wire::Status& status) {
    return status;
  }
  template <typename Reply>
  static const wire::Status& StatusOf(const Reply& reply) {
    return reply.status;
  }

  wire::LeaderClient& leader_;
  std::counting_semaphore<kMaxOpenCalls> open_calls_{kMaxOpenCalls};
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_LEADER_CALLS_H_
