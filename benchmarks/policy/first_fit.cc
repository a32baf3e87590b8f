#include <deque>
#include <unordered_map>
#include <utility>

#include "engine.h"

namespace cranberryshunt::policy {

namespace {

constexpr std::size_t kMaxSkippedEntries = 64;
constexpr std::int64_t kMaxQueuedTasks = 100'000;
constexpr int kMaxAttempts = 3;

class SchedulerEngine final : public Engine {
 public:
  explicit SchedulerEngine(const SchedulerOptions& options)
      : scheduler_(*Scheduler::Create(options)) {}

  std::string_view name() const override { return "cranberryshunt"; }
  void AddWorker(const WorkerInfo& worker) override {
    scheduler_->UpsertWorker(worker);
  }
  bool Submit(const JobRequest& job, TimePoint now) override {
    return std::holds_alternative<Queued>(scheduler_->Submit(job, now));
  }
  std::vector<Decision> Decide(TimePoint now, std::size_t limit) override {
    return scheduler_->Decide(now, limit);
  }
  void TaskRunning(const TaskId& task, TimePoint now) override {
    scheduler_->TaskRunning(task, now);
  }
  bool TaskEnded(const TaskId& task, EndKind end, TimePoint now) override {
    return std::holds_alternative<Requeued>(
        scheduler_->TaskEnded(task, end, now));
  }
  std::vector<Assignment> Cancel(const std::string& job) override {
    return scheduler_->Cancel(job);
  }
  std::vector<std::string> culprits(TimePoint now) const override {
    return scheduler_->Report(now).culprits;
  }

 private:
  std::unique_ptr<Scheduler> scheduler_;
};

class FirstFitEngine final : public Engine {
 public:
  std::string_view name() const override { return "first fit"; }

  void AddWorker(const WorkerInfo& worker) override {
    workers_.push_back({worker.id, worker.capacity});
  }

  bool Submit(const JobRequest& job, TimePoint /*now*/) override {
    if (queued_ + job.task_count > kMaxQueuedTasks) {
      return false;
    }
    JobState& state = jobs_[job.job_id];
    state.request = job;
    state.tasks.resize(static_cast<std::size_t>(job.task_count));
    if (job.kind == Kind::kGang) {
      queue_.push_back({job.job_id, 0});
    } else {
      for (std::int32_t n = 0; n < job.task_count; ++n) {
        queue_.push_back({job.job_id, n});
      }
    }
    queued_ += job.task_count;
    return true;
  }

  std::vector<Decision> Decide(TimePoint /*now*/, std::size_t limit) override {
    std::vector<Decision> decisions;
    std::size_t skipped = 0;
    while (decisions.size() < limit && skipped < kMaxSkippedEntries &&
           skipped < queue_.size()) {
      const TaskId task = queue_[skipped];
      const auto job = jobs_.find(task.job_id);
      if (job == jobs_.end()) {
        Erase(skipped);
        continue;
      }
      auto place = TryPlace(job->second, task);
      if (place.assignments.empty()) {
        ++skipped;
        continue;
      }
      queued_ -= static_cast<std::int64_t>(place.assignments.size());
      decisions.emplace_back(std::move(place));
      Erase(skipped);
    }
    return decisions;
  }

  void TaskRunning(const TaskId& /*task*/, TimePoint /*now*/) override {}

  bool TaskEnded(const TaskId& task, EndKind end, TimePoint /*now*/) override {
    const auto it = jobs_.find(task.job_id);
    if (it == jobs_.end()) {
      return false;
    }
    JobState& job = it->second;
    TaskState& state = job.tasks[static_cast<std::size_t>(task.index)];
    Worker& worker = workers_[state.worker];
    worker.free = worker.free + job.request.task_resources;
    if (end == EndKind::kFailed && ++state.attempts < kMaxAttempts) {
      queue_.push_back(task);
      ++queued_;
      return true;
    }
    if (++job.ended == job.request.task_count) {
      jobs_.erase(it);
    }
    return false;
  }

  std::vector<Assignment> Cancel(const std::string& job) override {
    const auto it = jobs_.find(job);
    if (it != jobs_.end() && it->second.ended == 0) {
      queued_ -= it->second.request.task_count;
      jobs_.erase(it);
    }
    return {};
  }

  std::vector<std::string> culprits(TimePoint /*now*/) const override {
    return {};
  }

 private:
  struct Worker {
    std::string id;
    Resources free;
  };
  struct TaskState {
    std::size_t worker = 0;
    int attempts = 0;
  };
  struct JobState {
    JobRequest request;
    std::vector<TaskState> tasks;
    std::int32_t ended = 0;
  };

  void Erase(std::size_t position) {
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(position));
  }

  Place TryPlace(JobState& job, const TaskId& task) {
    const bool gang = job.request.kind == Kind::kGang;
    const std::int32_t count = gang ? job.request.task_count : 1;
    std::vector<std::size_t> found;
    for (std::size_t n = 0;
         n < workers_.size() && found.size() < static_cast<std::size_t>(count);
         ++n) {
      while (found.size() < static_cast<std::size_t>(count) &&
             job.request.task_resources.FitsIn(workers_[n].free)) {
        workers_[n].free = workers_[n].free - job.request.task_resources;
        found.push_back(n);
      }
    }
    Place place;
    if (found.size() < static_cast<std::size_t>(count)) {
      for (const std::size_t n : found) {
        workers_[n].free = workers_[n].free + job.request.task_resources;
      }
      return place;
    }
    for (std::size_t n = 0; n < found.size(); ++n) {
      const std::int32_t index =
          gang ? static_cast<std::int32_t>(n) : task.index;
      job.tasks[static_cast<std::size_t>(index)].worker = found[n];
      place.assignments.push_back(
          {{task.job_id, index}, workers_[found[n]].id});
    }
    return place;
  }

  std::vector<Worker> workers_;
  std::unordered_map<std::string, JobState> jobs_;
  std::deque<TaskId> queue_;
  std::int64_t queued_ = 0;
};

}  // namespace

std::unique_ptr<Engine> MakeSchedulerEngine(const SchedulerOptions& options) {
  return std::make_unique<SchedulerEngine>(options);
}

std::unique_ptr<Engine> MakeFirstFitEngine() {
  return std::make_unique<FirstFitEngine>();
}

}  // namespace cranberryshunt::policy
