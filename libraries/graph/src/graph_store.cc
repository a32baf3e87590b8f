#include "cranberryshunt/graph/graph_store.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::graph {

bool IsReplacedBy(const wire::CalledWorker& worker,
                  const wire::CalledWorker& later) {
  return worker.address == later.address && worker.id != later.id &&
         worker.born_ms < later.born_ms;
}

Result<void> GraphStore::Apply(std::string_view entry) {
  auto batch = wire::Decode<wire::GraphBatch>(entry);
  if (!batch) {
    return tl::unexpected(batch.error());
  }
  Apply(*batch);
  return {};
}

void GraphStore::Apply(const wire::GraphBatch& batch) {
  crashed_workers_.clear();
  last_batch_ms_ = std::max(last_batch_ms_, batch.at_ms);
  if (batch.__isset.table) {
    ApplyTable(batch.table);
  }
  for (const auto& it : batch.workers) {
    ApplyWorker(it, batch.at_ms);
  }
  for (const auto it : batch.removed_workers) {
    ApplyRemoval(it, batch.at_ms);
  }
  if (!batch.removed_workers.empty()) {
    ForgetIdleDepartedWorkers();
  }
  for (const auto& it : batch.jobs) {
    jobs_.try_emplace(static_cast<JobId>(it.id), it);
  }
  for (const auto it : batch.cancelled_jobs) {
    ApplyCancel(static_cast<JobId>(it), batch.at_ms);
  }
  for (const auto& it : batch.starts) {
    ApplyStart(it, batch.at_ms);
  }
  for (const auto& it : batch.results) {
    ApplyResult(it, batch.at_ms);
  }
  for (const auto it : batch.expired_jobs) {
    jobs_.erase(static_cast<JobId>(it));
  }
}

void GraphStore::ApplyTable(const wire::RoutingTable& table) {
  // Keeps the highest version, in whatever order the tables arrive.
  if (table.version > table_.version) {
    table_ = table;
    IndexAccounts();
  }
}

void GraphStore::IndexAccounts() {
  accounts_by_digest_.clear();
  accounts_by_name_.clear();
  for (std::size_t i = 0; i < table_.accounts.size(); ++i) {
    const auto& account = table_.accounts[i];
    accounts_by_name_.try_emplace(account.name, i);
    for (const auto& it : account.key_digests) {
      accounts_by_digest_.try_emplace(it, i);
    }
  }
}

void GraphStore::ApplyRemoval(WorkerNumber number, std::int64_t at_ms) {
  const auto worker = workers_.find(number);
  if (worker == workers_.end()) {
    return;
  }
  // The platform may give the next incarnation at an address another id.
  const bool replaced =
      std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
        return IsReplacedBy(worker->second, entry.second);
      });
  if (replaced) {
    ApplyCrash(number, worker->second, at_ms);
  }
  departed_workers_[worker->second.id] = number;
  workers_by_id_.erase(worker->second.id);
  workers_.erase(worker);
}

void GraphStore::ForgetIdleDepartedWorkers() {
  std::set<WorkerNumber> with_runs;
  for (const auto& [id, job] : jobs_) {
    if (job.open_runs_ == 0) {
      continue;
    }
    for (const auto& task : job.tasks_) {
      if (task.run != 0) {
        with_runs.insert(task.worker);
      }
    }
  }
  std::erase_if(departed_workers_,
                [&](const auto& it) { return !with_runs.contains(it.second); });
}

void GraphStore::MoveRuns(WorkerNumber from, WorkerNumber to) {
  for (auto& [id, job] : jobs_) {
    if (job.open_runs_ == 0) {
      continue;
    }
    for (auto& task : job.tasks_) {
      if (task.run != 0 && task.worker == from) {
        task.worker = to;
      }
    }
  }
}

void GraphStore::ApplyWorker(const wire::CalledWorker& worker,
                             std::int64_t at_ms) {
  const auto registered = workers_by_id_.find(worker.id);
  if (registered != workers_by_id_.end()) {
    auto& old = workers_.at(registered->second);
    if (old.born_ms == worker.born_ms) {
      const bool leaving = old.leaving || worker.leaving;
      old = worker;
      old.leaving = leaving;
      return;
    }
    if (old.born_ms > worker.born_ms) {
      return;
    }
    ApplyCrash(registered->second, old, at_ms);
    MoveRuns(registered->second, next_worker_);
    workers_.erase(registered->second);
  }
  const WorkerNumber number = next_worker_++;
  if (const auto departed = departed_workers_.extract(worker.id);
      !departed.empty()) {
    MoveRuns(departed.mapped(), number);
  }
  workers_by_id_[worker.id] = number;
  workers_[number] = worker;
}

void GraphStore::ApplyCancel(JobId id, std::int64_t at_ms) {
  const auto job = jobs_.find(id);
  if (job != jobs_.end() && job->second.active()) {
    Finish(job->second, wire::GraphJobState::kCancelled, at_ms);
  }
}

void GraphStore::ApplyStart(const wire::RunStart& start, std::int64_t at_ms) {
  const TaskKey key = FromWire(start.task);
  const auto job = jobs_.find(key.job);
  if (job == jobs_.end() || !job->second.active() ||
      !job->second.Contains(key)) {
    return;
  }
  auto& task = job->second.tasks_[job->second.IndexOf(key)];
  if (task.done || task.run != 0 || start.run <= task.last_run) {
    return;
  }
  task.run = start.run;
  task.last_run = start.run;
  task.worker = start.worker;
  task.started_ms = at_ms;
  ++job->second.open_runs_;
  job->second.state_ = wire::GraphJobState::kRunning;
}

void GraphStore::ApplyResult(const wire::RunResult& result,
                             std::int64_t at_ms) {
  const TaskKey key = FromWire(result.task);
  const auto found = jobs_.find(key.job);
  if (found == jobs_.end() || !found->second.Contains(key)) {
    return;
  }
  Job& job = found->second;
  auto& task = job.tasks_[job.IndexOf(key)];
  if (!job.AcceptsResult(key, result.run, result.how)) {
    return;
  }
  if (result.how == wire::RunEnd::kLost) {
    task.lost_run = result.run;
    task.lost_worker = task.worker;
  }
  CloseRun(job, task);
  if (!result.checkpoint.empty()) {
    task.checkpoint = result.checkpoint;
  }
  if (!job.active()) {
    return;
  }
  // It is not known whether a lost run ever began.
  job.started_ = job.started_ || (result.how != wire::RunEnd::kNotStarted &&
                                  result.how != wire::RunEnd::kLost);
  if (!job.started_ && job.open_runs_ == 0) {
    job.state_ = wire::GraphJobState::kQueued;
  }
  const bool long_running = job.step(key.step).long_running;
  if (result.how == wire::RunEnd::kFailed) {
    // It has run without crashing its worker.
    task.alone_crashes = 0;
  }
  if (result.how == wire::RunEnd::kDone && !long_running) {
    MarkDone(job, key);
    if (job.open_task_count_ == 0) {
      Finish(job, wire::GraphJobState::kCompleted, at_ms);
    }
  } else if (result.how == wire::RunEnd::kFailed && !long_running) {
    task.run = result.run;  // CountFailure() reads the run from the task.
    CountFailure(job, key, at_ms);
    task.run = 0;
  }
}

void GraphStore::CloseRun(Job& job, TaskState& task) {
  job.open_runs_ -= task.run != 0 ? 1 : 0;
  task.run = 0;
  task.worker = 0;
}

// A kDone result of one task of a gang marks all tasks of the gang as done.
void GraphStore::MarkDone(Job& job, const TaskKey& key) {
  const bool gang = job.step(key.step).gang;
  TaskKey it = key;
  const std::int32_t first = gang ? 0 : key.index;
  const std::int32_t last = gang ? job.step(key.step).task_count - 1 : first;
  auto& open_tasks = job.open_tasks_by_step_[job.StepIndexOf(key.step_key())];
  for (it.index = first; it.index <= last; ++it.index) {
    auto& task = job.tasks_[job.IndexOf(it)];
    if (!task.done) {
      task.done = true;
      CloseRun(job, task);
      --open_tasks;
      --job.open_task_count_;
    }
  }
}

// Counts at most one failure for each run of a gang, however many of its tasks
// fail.
void GraphStore::CountFailure(Job& job,
                              const TaskKey& key,
                              std::int64_t at_ms) {
  auto& task = job.tasks_[job.IndexOf(key)];
  auto& counted_task = job.MutableCountedTask(key);
  if (counted_task.failed_run >= task.run) {
    return;
  }
  counted_task.failed_run = task.run;
  ++counted_task.failures;
  const auto max_attempts = QueueOf(job).max_attempts;
  if (max_attempts > 0 && counted_task.failures >= max_attempts) {
    Finish(job, wire::GraphJobState::kFailed, at_ms);
  }
}

void GraphStore::Finish(Job& job,
                        wire::GraphJobState::type state,
                        std::int64_t at_ms) {
  job.state_ = state;
  job.finished_ms_ = at_ms;
}

const wire::JobQueue* GraphStore::FindQueue(const std::string& name) const {
  for (const auto& it : table_.queues) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

const wire::JobQueue* GraphStore::MatchQueue(std::string_view host,
                                             std::string_view path) const {
  const wire::JobQueue* best = nullptr;
  for (const auto& it : table_.queues) {
    if (it.host == host && path.starts_with(it.path_prefix) &&
        (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
      best = &it;
    }
  }
  return best;
}

const wire::JobQueue& GraphStore::QueueOf(const Job& job) const {
  const auto* current = FindQueue(job.queue().name);
  return current != nullptr ? *current : job.queue();
}

std::optional<std::string> GraphStore::FindAccount(
    std::string_view key_digest) const {
  const auto account = accounts_by_digest_.find(std::string(key_digest));
  if (account == accounts_by_digest_.end()) {
    return std::nullopt;
  }
  return table_.accounts[account->second].name;
}

const wire::ClientAccount* GraphStore::FindAccountByName(
    const std::string& name) const {
  const auto account = accounts_by_name_.find(name);
  return account == accounts_by_name_.end() ? nullptr
                                            : &table_.accounts[account->second];
}

const Job* GraphStore::FindJob(JobId id) const {
  const auto job = jobs_.find(id);
  return job == jobs_.end() ? nullptr : &job->second;
}

std::optional<WorkerNumber> GraphStore::FindWorker(
    const std::string& id) const {
  const auto registered = workers_by_id_.find(id);
  if (registered == workers_by_id_.end()) {
    return std::nullopt;
  }
  return registered->second;
}

std::string GraphStore::Snapshot() const {
  wire::GraphSnapshot out;
  out.table = table_;
  out.next_worker = next_worker_;
  out.last_batch_ms = last_batch_ms_;
  out.departed_workers = departed_workers_;
  out.recent_crashes = recent_crashes_;
  out.recent_external_crashes = recent_external_crashes_;
  for (const auto& [number, worker] : workers_) {
    auto& image = out.workers.emplace_back();
    image.number = number;
    image.worker = worker;
  }
  for (const auto& [id, job] : jobs_) {
    auto& image = out.jobs.emplace_back();
    image.accepted = job.accepted_;
    image.state = job.state_;
    image.finished_ms = job.finished_ms_;
    image.started = job.started_;
    for (const auto& task : job.tasks_) {
      auto& it = image.tasks.emplace_back();
      it.last_run = task.last_run;
      it.failures = task.failures;
      it.done = task.done;
      it.run = task.run;
      it.worker = task.worker;
      it.checkpoint = task.checkpoint;
      it.failed_run = task.failed_run;
      it.crashes = task.crashes;
      it.crashed_run = task.crashed_run;
      it.lost_run = task.lost_run;
      it.lost_worker = task.lost_worker;
      it.alone_crashes = task.alone_crashes;
      it.alone_crash_ms = task.alone_crash_ms;
      it.started_ms = task.started_ms;
    }
  }
  return wire::Encode(out);
}

Result<void> GraphStore::Restore(std::string_view snapshot) {
  auto decoded = wire::Decode<wire::GraphSnapshot>(snapshot);
  if (!decoded) {
    return tl::unexpected(decoded.error());
  }
  GraphStore next;
  next.table_ = std::move(decoded->table);
  next.IndexAccounts();
  next.next_worker_ = decoded->next_worker;
  next.last_batch_ms_ = decoded->last_batch_ms;
  next.departed_workers_ = std::move(decoded->departed_workers);
  next.recent_crashes_ = std::move(decoded->recent_crashes);
  next.recent_external_crashes_ = std::move(decoded->recent_external_crashes);
  for (auto& it : decoded->workers) {
    next.workers_by_id_[it.worker.id] = it.number;
    next.workers_[it.number] = std::move(it.worker);
  }
  for (auto& image : decoded->jobs) {
    Job job(std::move(image.accepted));
    if (job.tasks_.size() != image.tasks.size()) {
      return Fail(ResultCode::kCorrupt,
                  "a job in the snapshot has the wrong number of tasks");
    }
    job.state_ = static_cast<wire::GraphJobState::type>(image.state);
    job.finished_ms_ = image.finished_ms;
    next.last_batch_ms_ = std::max(next.last_batch_ms_, job.finished_ms_);
    job.started_ = image.started;
    for (std::size_t i = 0; i < image.tasks.size(); ++i) {
      auto& it = image.tasks[i];
      job.tasks_[i] = {it.last_run,
                       it.run,
                       it.failures,
                       it.failed_run,
                       it.worker,
                       it.done,
                       std::move(it.checkpoint),
                       it.crashes,
                       it.crashed_run,
                       it.lost_run,
                       it.lost_worker,
                       it.alone_crashes,
                       it.alone_crash_ms,
                       it.started_ms};
      job.has_crashes_ = job.has_crashes_ || it.crashes > 0;
      job.open_runs_ += it.run != 0 ? 1 : 0;
      if (it.done) {
        --job.open_task_count_;
        const auto per_occurrence =
            static_cast<std::size_t>(job.tasks_per_occurrence_);
        const auto occurrence = i / per_occurrence;
        auto step = job.step_offsets_.size() - 1;
        while (static_cast<std::size_t>(job.step_offsets_[step]) >
               i % per_occurrence) {
          --step;
        }
        --job.open_tasks_by_step_[occurrence * job.step_offsets_.size() + step];
      }
    }
    const auto id = job.id();
    next.jobs_.emplace(id, std::move(job));
  }
  *this = std::move(next);
  return {};
}

}  // namespace cranberryshunt::graph
