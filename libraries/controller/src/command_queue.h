// Queue of commands for the next proposal, and of the proposals in flight.
#ifndef CRANBERRYSHUNT_CONTROLLER_COMMAND_QUEUE_H_
#define CRANBERRYSHUNT_CONTROLLER_COMMAND_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::controller {

struct Proposal {
  std::uint64_t id = 0;
  std::shared_ptr<const wire::CommandBatch> batch;
};

// Keeps commands in order. Merges adjacent items of the same type into one
// command, so that a burst of calls results in few commands.
class CommandQueue {
 public:
  explicit CommandQueue(std::int64_t last_fence) : last_fence_(last_fence) {}

  void Submit(const wire::SubmitJob& command);
  // Leaves the fence unset. Take() assigns it, so that fences increase in the
  // order of proposals.
  void AddPlacement(const wire::Placement& placement, std::int64_t now_ms);
  void Finish(const wire::TaskResult& result, std::int64_t now_ms);
  void Requeue(const wire::AttemptKey& attempt,
               const std::string& reason,
               bool never_started);
  void MarkRunning(const wire::AttemptKey& attempt);
  void Cancel(const wire::CancelJobs& command);
  void UpsertWorker(const wire::Worker& worker);
  void RemoveWorker(const std::string& identity);
  void Record(const wire::AuditRecord& record);
  void Add(wire::Command command);

  // Returns the next batch. Returns nothing if no command is queued, if too
  // many proposals are in flight, or after a failure until the queue is resumed
  // and the remaining proposals have completed. The limit on proposals in
  // flight lets batches grow while the disk is busy.
  std::optional<Proposal> Take();

  void Succeeded(std::uint64_t id);
  // Keeps the commands of a failed proposal, so that they are proposed again in
  // the same order and before later commands. If `code` shows that the batch is
  // certainly not in the log, its submissions are returned instead of kept.
  std::vector<wire::SubmitJob> Failed(std::uint64_t id, ResultCode code);

  // Lets Take() return batches again after Failed() has paused the queue.
  void Resume() { paused_ = false; }
  std::size_t in_flight() const { return in_flight_.size(); }

 private:
  wire::Command& Last() { return waiting_.back(); }
  void RestoreFailed();

  std::deque<wire::Command> waiting_;
  std::map<std::uint64_t, std::shared_ptr<const wire::CommandBatch>> in_flight_;
  // Commands to propose again, by the id of the failed proposal.
  std::map<std::uint64_t, std::vector<wire::Command>> failed_;
  std::uint64_t next_id_ = 1;
  std::int64_t last_fence_ = 0;
  bool paused_ = false;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_COMMAND_QUEUE_H_
