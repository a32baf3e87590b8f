// Handles the Thrift calls to a controller in a cell whose leader calls its
// workers.
#ifndef CRANBERRYSHUNT_CELL_CALL_HANDLER_H_
#define CRANBERRYSHUNT_CELL_CALL_HANDLER_H_

#include <chrono>
#include <string>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/consensus/replica.h"
#include "decision_thread.h"

namespace cranberryshunt::cell {

// Returns the reply to a call that could not be queued for the decision thread,
// or on which it has not decided in time. It may still take up the latter.
wire::GraphReply ReplyWithoutDecision(const Error& error);

// Passes calls that need a decision to the decision thread and waits for their
// answers up to a time limit. Safe for use by several threads.
class CallHandler final : public wire::ControllerServiceNull {
 public:
  CallHandler(DecisionThread& decisions,
              consensus::Replica& replica,
              Relay& relay)
      : decisions_(decisions), replica_(replica), relay_(relay) {}

  void CallGraph(wire::GraphReply& reply,
                 const wire::GraphRequest& request) override;
  void PollAdvice(wire::AdviceOrders& reply,
                  const wire::AdvicePoll& poll) override;
  void Join(wire::Status& reply, const wire::Member& member) override;
  void Leave(wire::Status& reply, const wire::Member& member) override;
  void DeliverRaft(const std::vector<wire::RaftMessage>& messages) override;
  void RelayOrders(const std::string& leader,
                   const std::vector<wire::RelayedOrder>& orders) override;
  void RelayReplies(const std::vector<wire::RelayedReply>& replies) override;

 private:
  // Posts the call that `make` builds from a reply callback, and waits up to
  // `limit` for the reply.
  template <typename T, typename Make>
  Result<T> PostAndWait(Make make, std::chrono::milliseconds limit);

  const std::int64_t process_id_ = RandomNumber();
  DecisionThread& decisions_;
  consensus::Replica& replica_;
  Relay& relay_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_CALL_HANDLER_H_
