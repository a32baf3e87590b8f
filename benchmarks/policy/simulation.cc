#include "simulation.h"

#include <fmt/core.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <unordered_map>

#include "fleet.h"

namespace cranberryshunt::policy {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kSamplePeriod = std::chrono::milliseconds(100);
constexpr int kSamplesPerSecond = 10;
constexpr Duration kStopDelay = std::chrono::milliseconds(200);
constexpr Duration kFailAfter = std::chrono::milliseconds(3);

struct JobState {
  std::size_t stream = 0;
  Resources need;
  TimePoint submitted{};
  std::vector<std::int8_t> started;
};

struct RunningTask {
  std::string worker;
  std::uint64_t attempt = 0;
};

struct EndEvent {
  TimePoint at;
  std::uint64_t attempt;
  TaskId task;
  EndKind kind;

  bool operator>(const EndEvent& other) const {
    return at != other.at ? at > other.at : attempt > other.attempt;
  }
};

class Simulation {
 public:
  Simulation(Engine& engine, const SimulationOptions& options)
      : engine_(engine), options_(options), random_(options.seed) {
    for (std::size_t n = 0; n < options.streams.size(); ++n) {
      stream_randoms_.emplace_back(options.seed * 1000 + n);
    }
    for (int n = 0; n < kSmallFleet; ++n) {
      const WorkerInfo info = SmallFleetWorker(n, options.worker_capacity);
      fleet_capacity_ = fleet_capacity_ + info.capacity;
      reserved_by_worker_[info.id] = Resources();
      engine_.AddWorker(info);
    }
    ChooseFailingWorkers();
  }

  SimulationResult Run() {
    const TimePoint start = now_;
    while (now_ - start < options_.duration) {
      elapsed_ = now_ - start;
      now_ += kStep;
      SubmitArrivals();
      EndDueTasks();
      DecideAll();
      if (elapsed_ % kSamplePeriod < kStep) {
        SampleShares();
      }
    }
    Finish();
    return std::move(result_);
  }

 private:
  KindResult& ResultOf(Kind kind) {
    return result_.kinds[static_cast<std::size_t>(kind)];
  }
  bool measuring() const { return elapsed_ >= options_.measure_from; }

  void ChooseFailingWorkers() {
    const int failing = static_cast<int>(
        std::lround(options_.failing_worker_fraction * kSmallFleet));
    for (int n = 0; n < kSmallFleet; ++n) {
      const WorkerInfo info = SmallFleetWorker(n, options_.worker_capacity);
      is_failing_[info.id] = failing > 0 && n % (kSmallFleet / failing) == 0 &&
                             n / (kSmallFleet / failing) < failing;
    }
  }

  static double RandomErrorFactor(double max_factor, std::mt19937_64& random) {
    std::uniform_real_distribution<double> exponent(-1, 1);
    return std::pow(max_factor, exponent(random));
  }

  void SubmitArrivals() {
    const double seconds = std::chrono::duration<double>(kStep).count();
    for (std::size_t n = 0; n < options_.streams.size(); ++n) {
      const Stream& stream = options_.streams[n];
      if (elapsed_ < stream.from || elapsed_ >= stream.until) {
        continue;
      }
      std::poisson_distribution<int> arrivals(stream.jobs_per_second * seconds);
      for (int count = arrivals(stream_randoms_[n]); count > 0; --count) {
        Submit(n);
      }
    }
  }

  void Submit(std::size_t number) {
    const Stream& stream = options_.streams[number];
    auto& random = stream_randoms_[number];
    JobRequest job;
    job.job_id = fmt::format("{}-{}", stream.name, next_job_++);
    job.team = fmt::format("team-{}", random() % stream.team_count);
    job.kind = stream.kind;
    job.task_count = stream.task_count;
    job.task_resources = stream.task_resources;
    job.expected_run = stream.run_time;
    job.family = stream.name;
    job.idempotent = stream.idempotent;
    if (stream.max_error_factor > 1) {
      const double size = RandomErrorFactor(stream.max_error_factor, random_);
      const auto scaled = [size](std::int64_t n, std::int64_t max) {
        return std::clamp<std::int64_t>(
            static_cast<std::int64_t>(static_cast<double>(n) * size), 1, max);
      };
      job.task_resources.milli_cpus =
          scaled(stream.task_resources.milli_cpus,
                 options_.worker_capacity.milli_cpus);
      job.task_resources.memory_bytes =
          scaled(stream.task_resources.memory_bytes,
                 options_.worker_capacity.memory_bytes);
      job.expected_run = Duration(static_cast<std::int64_t>(
          static_cast<double>(stream.run_time.count()) *
          RandomErrorFactor(stream.max_error_factor, random_)));
    }
    if (stream.prefers_region) {
      job.constraint.prefer_region = random() % 3 == 0 ? "west" : "east";
    }
    // Jobs arrive at random times within the step.
    const TimePoint at =
        now_ - Duration(static_cast<std::int64_t>(random() % kStep.count()));
    if (!engine_.Submit(job, at)) {
      ResultOf(stream.kind).refused += measuring() ? 1 : 0;
      return;
    }
    jobs_[job.job_id] = {
        number, job.task_resources, at,
        std::vector<std::int8_t>(static_cast<std::size_t>(stream.task_count))};
  }

  void EndDueTasks() {
    while (!end_events_.empty() && end_events_.top().at <= now_) {
      const EndEvent end = end_events_.top();
      end_events_.pop();
      const auto it = running_tasks_.find(end.task);
      if (it == running_tasks_.end() || it->second.attempt != end.attempt) {
        continue;
      }
      const JobState& job = jobs_.at(end.task.job_id);
      const Stream& stream = options_.streams[job.stream];
      UpdateUsage(it->second.worker, stream.kind, job.need, -1);
      running_tasks_.erase(it);
      engine_.TaskEnded(end.task, end.kind, now_);
      if (end.kind == EndKind::kDone && measuring()) {
        ++ResultOf(stream.kind).done;
        result_.valid_done += stream.is_valid ? 1 : 0;
      }
    }
  }

  void UpdateUsage(const std::string& worker,
                   Kind kind,
                   const Resources& need,
                   int sign) {
    auto& used = reserved_by_kind_[static_cast<std::size_t>(kind)];
    used = used + need * sign;
    auto& reserved = reserved_by_worker_[worker];
    reserved = reserved + need * sign;
  }

  void DecideAll() {
    for (;;) {
      const auto decisions = engine_.Decide(now_, 256);
      if (decisions.empty()) {
        return;
      }
      for (const Decision& it : decisions) {
        if (const auto* place = std::get_if<Place>(&it)) {
          for (const Assignment& assignment : place->assignments) {
            Start(assignment);
          }
        } else if (const auto* preempt = std::get_if<Preempt>(&it)) {
          HandlePreemption(preempt->task);
        }
      }
    }
  }

  void Start(const Assignment& it) {
    JobState& job = jobs_.at(it.task.job_id);
    const Stream& stream = options_.streams[job.stream];
    auto& started = job.started[static_cast<std::size_t>(it.task.index)];
    if (started == 0) {
      started = 1;
      RecordWait(stream, job, now_);
    }
    UpdateUsage(it.worker, stream.kind, job.need, 1);
    const std::uint64_t attempt = next_attempt_++;
    running_tasks_[it.task] = {it.worker, attempt};
    const bool fails = is_failing_.at(it.worker);
    end_events_.push({now_ + (fails ? kFailAfter : stream.run_time), attempt,
                      it.task, fails ? EndKind::kFailed : EndKind::kDone});
    engine_.TaskRunning(it.task, now_);
  }

  void RecordWait(const Stream& stream, const JobState& job, TimePoint until) {
    if (job.submitted.time_since_epoch() >=
        options_.measure_from + Duration(std::chrono::seconds(1))) {
      waits_ms_[static_cast<std::size_t>(stream.kind)].push_back(
          std::chrono::duration<double, std::milli>(until - job.submitted)
              .count());
    }
  }

  void HandlePreemption(const TaskId& task) {
    const auto it = running_tasks_.find(task);
    if (it != running_tasks_.end()) {
      const JobState& job = jobs_.at(task.job_id);
      ResultOf(options_.streams[job.stream].kind).preempted +=
          measuring() ? 1 : 0;
      end_events_.push(
          {now_ + kStopDelay, it->second.attempt, task, EndKind::kPreempted});
    }
  }

  void SampleShares() {
    if (!measuring()) {
      return;
    }
    ++samples_;
    for (std::size_t n = 0; n < kKindCount; ++n) {
      const double share = DominantShare(reserved_by_kind_[n], fleet_capacity_);
      result_.kinds[n].mean_share += share;
      mean_in_second_[n] += share / kSamplesPerSecond;
      if (samples_ % kSamplesPerSecond == 0) {
        result_.kinds[n].min_share =
            std::min(result_.kinds[n].min_share, mean_in_second_[n]);
        mean_in_second_[n] = 0;
      }
    }
    double share_sum = 0;
    int used = 0;
    for (const auto& [id, it] : reserved_by_worker_) {
      if (it != Resources()) {
        share_sum += DominantShare(it, options_.worker_capacity);
        ++used;
      }
    }
    result_.packing += used > 0 ? share_sum / used : 0;
  }

  void Finish() {
    for (const auto& [id, job] : jobs_) {
      for (const auto started : job.started) {
        if (started == 0) {
          RecordWait(options_.streams[job.stream], job, now_);
        }
      }
    }
    for (std::size_t n = 0; n < kKindCount; ++n) {
      KindResult& kind = result_.kinds[n];
      kind.mean_share /= std::max(1, samples_);
      auto& waits = waits_ms_[n];
      std::ranges::sort(waits);
      if (!waits.empty()) {
        kind.wait_p50_ms = waits[(waits.size() - 1) / 2];
        kind.wait_p99_ms = waits[(waits.size() - 1) * 99 / 100];
      }
    }
    result_.packing /= std::max(1, samples_);
    result_.culprits = engine_.culprits(now_);
  }

  struct TaskHash {
    std::size_t operator()(const TaskId& task) const {
      return std::hash<std::string>()(task.job_id) * 31 +
             static_cast<std::size_t>(task.index);
    }
  };

  Engine& engine_;
  const SimulationOptions& options_;
  std::mt19937_64 random_;
  // One generator for each stream, so that an additional stream does not change
  // the arrivals of the others.
  std::vector<std::mt19937_64> stream_randoms_;
  TimePoint now_{std::chrono::seconds(1)};
  Duration elapsed_{};
  Resources fleet_capacity_;
  std::unordered_map<std::string, bool> is_failing_;
  std::unordered_map<std::string, Resources> reserved_by_worker_;
  std::array<Resources, kKindCount> reserved_by_kind_;
  std::unordered_map<std::string, JobState> jobs_;
  std::unordered_map<TaskId, RunningTask, TaskHash> running_tasks_;
  std::priority_queue<EndEvent, std::vector<EndEvent>, std::greater<>>
      end_events_;
  std::array<std::vector<double>, kKindCount> waits_ms_;
  std::array<double, kKindCount> mean_in_second_{};
  SimulationResult result_;
  int samples_ = 0;
  std::uint64_t next_job_ = 0;
  std::uint64_t next_attempt_ = 0;
};

}  // namespace

SimulationResult Simulate(Engine& engine, const SimulationOptions& options) {
  return Simulation(engine, options).Run();
}

}  // namespace cranberryshunt::policy
