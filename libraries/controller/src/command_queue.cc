#include "command_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryshunt::controller {

namespace {

constexpr std::size_t kMaxInFlight = 4;
constexpr std::size_t kMaxCommandsPerBatch = 1'024;
// Maximum number of items in a merged command.
constexpr std::size_t kMaxMergedItems = 512;
// A batch may exceed this by its last command. Payloads are at most 64 KiB, so
// the batch stays below the replica's limit.
constexpr std::size_t kMaxPayloadBytesPerBatch = std::size_t{512} << 10;

std::size_t PayloadBytes(const wire::Command& command) {
  std::size_t bytes = 0;
  if (command.__isset.submit_job) {
    bytes += command.submit_job.spec.payload.size();
  }
  for (const auto& result : command.finish_tasks.results) {
    bytes += result.answer.bytes.size();
  }
  for (const auto& file : command.publish_rules.files) {
    bytes += file.content.size();
  }
  return bytes;
}

}  // namespace

void CommandQueue::Submit(const wire::SubmitJob& submit) {
  wire::Command command;
  command.__set_submit_job(submit);
  Add(std::move(command));
}

void CommandQueue::AddPlacement(const wire::Placement& placement,
                                std::int64_t now_ms) {
  const bool merge = !waiting_.empty() && Last().__isset.place_tasks &&
                     Last().place_tasks.placements.size() < kMaxMergedItems;
  if (!merge) {
    wire::Command command;
    command.__set_place_tasks({});
    Add(std::move(command));
  }
  Last().place_tasks.placed_ms = now_ms;
  Last().place_tasks.placements.push_back(placement);
}

void CommandQueue::Finish(const wire::TaskResult& result, std::int64_t now_ms) {
  const bool merge = !waiting_.empty() && Last().__isset.finish_tasks &&
                     Last().finish_tasks.results.size() < kMaxMergedItems &&
                     PayloadBytes(Last()) < kMaxPayloadBytesPerBatch;
  if (!merge) {
    wire::Command command;
    command.__set_finish_tasks({});
    Add(std::move(command));
  }
  Last().finish_tasks.finished_ms = now_ms;
  Last().finish_tasks.results.push_back(result);
}

void CommandQueue::Requeue(const wire::AttemptKey& attempt,
                           const std::string& reason,
                           bool never_started) {
  const bool merge = !waiting_.empty() && Last().__isset.requeue_tasks &&
                     Last().requeue_tasks.reason == reason &&
                     Last().requeue_tasks.never_started == never_started &&
                     Last().requeue_tasks.attempts.size() < kMaxMergedItems;
  if (!merge) {
    wire::Command command;
    command.__set_requeue_tasks({});
    command.requeue_tasks.reason = reason;
    command.requeue_tasks.never_started = never_started;
    Add(std::move(command));
  }
  Last().requeue_tasks.attempts.push_back(attempt);
}

void CommandQueue::MarkRunning(const wire::AttemptKey& attempt) {
  const bool merge = !waiting_.empty() && Last().__isset.mark_running &&
                     Last().mark_running.attempts.size() < kMaxMergedItems;
  if (!merge) {
    wire::Command command;
    command.__set_mark_running({});
    Add(std::move(command));
  }
  Last().mark_running.attempts.push_back(attempt);
}

void CommandQueue::Cancel(const wire::CancelJobs& cancel) {
  wire::Command command;
  command.__set_cancel_jobs(cancel);
  Add(std::move(command));
}

void CommandQueue::UpsertWorker(const wire::Worker& worker) {
  const bool merge = !waiting_.empty() && Last().__isset.upsert_workers &&
                     Last().upsert_workers.workers.size() < kMaxMergedItems;
  if (!merge) {
    wire::Command command;
    command.__set_upsert_workers({});
    Add(std::move(command));
  }
  Last().upsert_workers.workers.push_back(worker);
}

void CommandQueue::RemoveWorker(const std::string& identity) {
  wire::Command command;
  command.__set_remove_workers({});
  command.remove_workers.identities.push_back(identity);
  Add(std::move(command));
}

void CommandQueue::Record(const wire::AuditRecord& record) {
  const bool merge = !waiting_.empty() && Last().__isset.record_audit &&
                     Last().record_audit.records.size() < kMaxMergedItems;
  if (!merge) {
    wire::Command command;
    command.__set_record_audit({});
    Add(std::move(command));
  }
  Last().record_audit.records.push_back(record);
}

void CommandQueue::Add(wire::Command command) {
  waiting_.push_back(std::move(command));
}

std::optional<Proposal> CommandQueue::Take() {
  // After a failure, waits for the other proposals in flight. They may fail as
  // well, and their commands must be proposed before the queued ones.
  if (paused_ || (!failed_.empty() && !in_flight_.empty())) {
    return std::nullopt;
  }
  RestoreFailed();
  if (waiting_.empty() || in_flight_.size() >= kMaxInFlight) {
    return std::nullopt;
  }
  auto batch = std::make_shared<wire::CommandBatch>();
  std::size_t bytes = 0;
  while (!waiting_.empty() && batch->commands.size() < kMaxCommandsPerBatch &&
         bytes < kMaxPayloadBytesPerBatch) {
    bytes += PayloadBytes(waiting_.front());
    batch->commands.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
    for (auto& placement : batch->commands.back().place_tasks.placements) {
      placement.fence = ++last_fence_;
    }
  }
  const std::uint64_t id = next_id_++;
  in_flight_[id] = batch;
  return Proposal{id, batch};
}

void CommandQueue::RestoreFailed() {
  for (auto it = failed_.rbegin(); it != failed_.rend(); ++it) {
    waiting_.insert(waiting_.begin(),
                    std::make_move_iterator(it->second.begin()),
                    std::make_move_iterator(it->second.end()));
  }
  failed_.clear();
}

void CommandQueue::Succeeded(std::uint64_t id) {
  in_flight_.erase(id);
}

std::vector<wire::SubmitJob> CommandQueue::Failed(std::uint64_t id,
                                                  ResultCode code) {
  std::vector<wire::SubmitJob> rejected;
  auto it = in_flight_.find(id);
  if (it == in_flight_.end()) {
    return rejected;
  }
  const auto batch = it->second;
  in_flight_.erase(it);
  paused_ = true;
  const bool not_in_log =
      code == ResultCode::kStorageFull || code == ResultCode::kQueueFull;
  for (const auto& command : batch->commands) {
    if (not_in_log && command.__isset.submit_job) {
      rejected.push_back(command.submit_job);
      continue;
    }
    failed_[id].push_back(command);
  }
  return rejected;
}

}  // namespace cranberryshunt::controller
