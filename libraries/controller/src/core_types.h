// Calls and options of the decision core, and the interface that gives it
// access to the replica and the clock.
#ifndef CRANBERRYSHUNT_CONTROLLER_CORE_TYPES_H_
#define CRANBERRYSHUNT_CONTROLLER_CORE_TYPES_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/policy/scheduler.h"
#include "wire_types.h"

namespace cranberryshunt::controller {

// Sends the reply to a call. Called exactly once, on the decision thread.
template <typename T>
using Reply = std::function<void(T)>;

struct SubmitCall {
  wire::SubmitRequest request;
  Reply<wire::SubmitReply> reply;
};
struct ReportCall {
  wire::EntryReport report;
  Reply<wire::ReportReply> reply;
};
struct PollCall {
  wire::PollRequest request;
  Reply<wire::PollReply> reply;
};
struct GetJobCall {
  wire::GetJobRequest request;
  Reply<wire::GetJobReply> reply;
};
struct CancelCall {
  std::string entry_id;
  std::vector<std::string> job_ids;
  std::string reason;
  Reply<wire::CancelReply> reply;
};
struct PublishCall {
  wire::PublishRequest request;
  std::chrono::milliseconds wait{};
  Reply<wire::PublishReply> reply;
};
struct RulesCall {
  std::int64_t if_newer_than = 0;
  Reply<wire::RulesReply> reply;
};
struct AuditCall {
  std::int64_t after_sequence = 0;
  std::int32_t limit = 0;
  Reply<wire::AuditReply> reply;
};
struct ClusterCall {
  Reply<wire::ClusterReply> reply;
};
struct DrainCall {
  wire::DrainWorker request;
  Reply<wire::Status> reply;
};

using Call = std::variant<SubmitCall,
                          ReportCall,
                          PollCall,
                          GetJobCall,
                          CancelCall,
                          PublishCall,
                          RulesCall,
                          AuditCall,
                          ClusterCall,
                          DrainCall>;

struct CoreOptions {
  std::string id;
  policy::SchedulerOptions scheduler;
  std::chrono::milliseconds worker_lease{10'000};
  std::chrono::milliseconds start_window{2'000};
  std::chrono::milliseconds rules_lease{3'000};
  std::chrono::milliseconds entry_lease{3'000};
  std::chrono::milliseconds key_retention{std::chrono::hours(24)};
};

// State of the replicated log that GetCluster reports.
struct ReplicationStatus {
  std::int64_t commit_index = 0;
  wire::Membership membership;
  std::map<std::string, std::int64_t> bytes_between_regions;
};

// Gives the core access to the replica and the wall clock.
class CoreEnvironment {
 public:
  virtual ~CoreEnvironment() = default;
  // Returns whether this replica holds the leader lease of `term`, that is,
  // whether it leads in this term and no other leader can exist now.
  virtual bool HasLease(std::int64_t term) const = 0;
  virtual ReplicationStatus ReadReplicationStatus() const = 0;
  virtual std::int64_t WallMilliseconds() const = 0;
};

// Returns how long to wait on this process's clock until a lease of `duration`
// has certainly expired on another process's clock. Adds 2% for clock drift and
// 500 ms for scheduling delays.
constexpr Duration WithClockMargin(Duration duration) {
  return duration + duration / 50 + std::chrono::milliseconds(500);
}

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_CORE_TYPES_H_
