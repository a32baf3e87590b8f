// Handler of the Thrift calls to a controller.
#ifndef CRANBERRYSHUNT_CONTROLLER_SERVICE_HANDLER_H_
#define CRANBERRYSHUNT_CONTROLLER_SERVICE_HANDLER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "ControllerService.h"
#include "cranberryshunt/consensus/replica.h"
#include "decision_thread.h"

namespace cranberryshunt::controller {

// Passes calls to the decision thread or the replica and waits for the reply
// with a timeout. Thread-safe.
class ServiceHandler final : public wire::ControllerServiceNull {
 public:
  ServiceHandler(DecisionThread& decisions, consensus::Replica& replica)
      : decisions_(decisions), replica_(replica) {}

  void Submit(wire::SubmitReply& reply,
              const wire::SubmitRequest& request) override;
  void Report(wire::ReportReply& reply,
              const wire::EntryReport& report) override;
  void Poll(wire::PollReply& reply, const wire::PollRequest& request) override;
  void GetJob(wire::GetJobReply& reply,
              const wire::GetJobRequest& request) override;
  void CancelJobs(wire::CancelReply& reply,
                  const std::string& entry_id,
                  const std::vector<std::string>& job_ids,
                  const std::string& reason) override;
  void Publish(wire::PublishReply& reply,
               const wire::PublishRequest& request,
               std::int32_t wait_ms) override;
  void GetRules(wire::RulesReply& reply, std::int64_t if_newer_than) override;
  void GetAudit(wire::AuditReply& reply,
                std::int64_t after_sequence,
                std::int32_t limit) override;
  void GetCluster(wire::ClusterReply& reply) override;
  void Drain(wire::Status& reply, const wire::DrainWorker& request) override;
  void ChangeMembership(wire::Status& reply,
                        const wire::MembershipChange& change) override;
  void DeliverRaft(const std::vector<wire::RaftMessage>& messages) override;

 private:
  // Posts `call` to the decision thread and waits up to `timeout` for the
  // reply. Stores the reply, or an error status, in `reply`.
  template <typename CallType, typename ReplyType>
  void PostAndWait(CallType call,
                   ReplyType& reply,
                   std::chrono::milliseconds timeout);

  DecisionThread& decisions_;
  consensus::Replica& replica_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_SERVICE_HANDLER_H_
