// Commands that wait for the next proposal, and those that are in flight.
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

// Keeps the order of commands. Neighbours of the same type are merged, so that
// a burst becomes few commands.
class CommandQueue {
 public:
  explicit CommandQueue(std::int64_t last_fence) : last_fence_(last_fence) {}

  void Submit(const wire::SubmitJob& command);
  // Take() assigns the fence, so that fences grow in the order of proposals.
  void Place(const wire::Placement& placement, std::int64_t now_ms);
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

  // Returns the next batch, unless none waits or enough are in flight: a bound
  // on those lets batches grow while the disk is busy.
  std::optional<Proposal> Take();

  void Succeeded(std::uint64_t id);
  // Keeps the commands of a failed proposal, to be proposed again in their
  // order and before later ones. Returns the submissions of the batch instead
  // of keeping them when `code` says that the batch is certainly not in the
  // log.
  std::vector<wire::SubmitJob> Failed(std::uint64_t id, ResultCode code);

  // Failed() holds all batches back until the next call of this.
  void Resume() { paused_ = false; }
  std::size_t in_flight() const { return in_flight_.size(); }

 private:
  wire::Command& Last() { return waiting_.back(); }
  void RestoreFailed();

  std::deque<wire::Command> waiting_;
  std::map<std::uint64_t, std::shared_ptr<const wire::CommandBatch>> in_flight_;
  // Commands of failed proposals by the id of the proposal.
  std::map<std::uint64_t, std::vector<wire::Command>> failed_;
  std::uint64_t next_id_ = 1;
  std::int64_t last_fence_ = 0;
  bool paused_ = false;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_COMMAND_QUEUE_H_
