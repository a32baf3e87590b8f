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

struct Held {
  std::string worker;
  std::uint64_t attempt = 0;
};

struct End {
  TimePoint at;
  std::uint64_t attempt;
  TaskId task;
  EndKind kind;

  bool operator>(const End& other) const {
    return at != other.at ? at > other.at : attempt > other.attempt;
  }
};

class Simulation {
 public:
  Simulation(Engine& engine, const SimulationOptions& options)
      : engine_(engine), options_(options), random_(options.seed) {
    for (std::size_t n = 0; n < options.streams.size(); ++n) {
      randoms_.emplace_back(options.seed * 1000 + n);
    }
    for (int n = 0; n < kSmallFleet; ++n) {
      const WorkerInfo info = SmallFleetWorker(n, options.worker_capacity);
      fleet_ = fleet_ + info.capacity;
      reserved_[info.id] = Resources();
      engine_.AddWorker(info);
    }
    ChooseFailing();
  }

  SimulationResult Run() {
    const TimePoint start = now_;
    while (now_ - start < options_.duration) {
      elapsed_ = now_ - start;
      now_ += kStep;
      Arrive();
      EndDue();
      DecideAll();
      if (elapsed_ % kSamplePeriod < kStep) {
        Sample();
      }
    }
    Finish();
    return std::move(result_);
  }

 private:
  KindResult& of(Kind kind) {
    return result_.kinds[static_cast<std::size_t>(kind)];
  }
  bool measuring() const { return elapsed_ >= options_.measure_from; }

  void ChooseFailing() {
    const int failing = static_cast<int>(
        std::lround(options_.failing_worker_fraction * kSmallFleet));
    for (int n = 0; n < kSmallFleet; ++n) {
      const WorkerInfo info = SmallFleetWorker(n, options_.worker_capacity);
      fails_[info.id] = failing > 0 && n % (kSmallFleet / failing) == 0 &&
                        n / (kSmallFleet / failing) < failing;
    }
  }

  static double Wrong(double by, std::mt19937_64& random) {
    std::uniform_real_distribution<double> exponent(-1, 1);
    return std::pow(by, exponent(random));
  }

  void Arrive() {
    const double seconds = std::chrono::duration<double>(kStep).count();
    for (std::size_t n = 0; n < options_.streams.size(); ++n) {
      const Stream& stream = options_.streams[n];
      if (elapsed_ < stream.from || elapsed_ >= stream.until) {
        continue;
      }
      std::poisson_distribution<int> arrivals(stream.jobs_per_second * seconds);
      for (int count = arrivals(randoms_[n]); count > 0; --count) {
        Submit(n);
      }
    }
  }

  void Submit(std::size_t number) {
    const Stream& stream = options_.streams[number];
    auto& random = randoms_[number];
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
      const double size = Wrong(stream.max_error_factor, random_);
      const auto scaled = [size](std::int64_t n, std::int64_t most) {
        return std::clamp<std::int64_t>(
            static_cast<std::int64_t>(static_cast<double>(n) * size), 1, most);
      };
      job.task_resources.milli_cpus =
          scaled(stream.task_resources.milli_cpus,
                 options_.worker_capacity.milli_cpus);
      job.task_resources.memory_bytes =
          scaled(stream.task_resources.memory_bytes,
                 options_.worker_capacity.memory_bytes);
      job.expected_run = Duration(static_cast<std::int64_t>(
          static_cast<double>(stream.run_time.count()) *
          Wrong(stream.max_error_factor, random_)));
    }
    if (stream.prefers_region) {
      job.constraint.prefer_region = random() % 3 == 0 ? "west" : "east";
    }
    // Arrivals fall anywhere within the step.
    const TimePoint at =
        now_ - Duration(static_cast<std::int64_t>(random() % kStep.count()));
    if (!engine_.Submit(job, at)) {
      of(stream.kind).refused += measuring() ? 1 : 0;
      return;
    }
    jobs_[job.job_id] = {
        number, job.task_resources, at,
        std::vector<std::int8_t>(static_cast<std::size_t>(stream.task_count))};
  }

  void EndDue() {
    while (!ends_.empty() && ends_.top().at <= now_) {
      const End end = ends_.top();
      ends_.pop();
      const auto it = held_.find(end.task);
      if (it == held_.end() || it->second.attempt != end.attempt) {
        continue;
      }
      const JobState& job = jobs_.at(end.task.job_id);
      const Stream& stream = options_.streams[job.stream];
      Account(it->second.worker, stream.kind, job.need, -1);
      held_.erase(it);
      engine_.TaskEnded(end.task, end.kind, now_);
      if (end.kind == EndKind::kDone && measuring()) {
        ++of(stream.kind).done;
        result_.valid_done += stream.is_valid ? 1 : 0;
      }
    }
  }

  void Account(const std::string& worker,
               Kind kind,
               const Resources& need,
               int sign) {
    auto& used = by_kind_[static_cast<std::size_t>(kind)];
    used = used + need * sign;
    auto& reserved = reserved_[worker];
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
          Stop(preempt->task);
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
    Account(it.worker, stream.kind, job.need, 1);
    const std::uint64_t attempt = next_attempt_++;
    held_[it.task] = {it.worker, attempt};
    const bool fails = fails_.at(it.worker);
    ends_.push({now_ + (fails ? kFailAfter : stream.run_time), attempt, it.task,
                fails ? EndKind::kFailed : EndKind::kDone});
    engine_.TaskRunning(it.task, now_);
  }

  void RecordWait(const Stream& stream, const JobState& job, TimePoint until) {
    if (job.submitted.time_since_epoch() >=
        options_.measure_from + Duration(std::chrono::seconds(1))) {
      waits_[static_cast<std::size_t>(stream.kind)].push_back(
          std::chrono::duration<double, std::milli>(until - job.submitted)
              .count());
    }
  }

  void Stop(const TaskId& task) {
    const auto it = held_.find(task);
    if (it != held_.end()) {
      const JobState& job = jobs_.at(task.job_id);
      of(options_.streams[job.stream].kind).preempted += measuring() ? 1 : 0;
      ends_.push(
          {now_ + kStopDelay, it->second.attempt, task, EndKind::kPreempted});
    }
  }

  void Sample() {
    if (!measuring()) {
      return;
    }
    ++samples_;
    for (std::size_t n = 0; n < kKindCount; ++n) {
      const double share = DominantShare(by_kind_[n], fleet_);
      result_.kinds[n].mean_share += share;
      in_second_[n] += share / kSamplesPerSecond;
      if (samples_ % kSamplesPerSecond == 0) {
        result_.kinds[n].min_share =
            std::min(result_.kinds[n].min_share, in_second_[n]);
        in_second_[n] = 0;
      }
    }
    double packed = 0;
    int used = 0;
    for (const auto& [id, it] : reserved_) {
      if (it != Resources()) {
        packed += DominantShare(it, options_.worker_capacity);
        ++used;
      }
    }
    result_.packing += used > 0 ? packed / used : 0;
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
      auto& waits = waits_[n];
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
  // One for each stream, so that a further stream leaves the others alike.
  std::vector<std::mt19937_64> randoms_;
  TimePoint now_{std::chrono::seconds(1)};
  Duration elapsed_{};
  Resources fleet_;
  std::unordered_map<std::string, bool> fails_;
  std::unordered_map<std::string, Resources> reserved_;
  std::array<Resources, kKindCount> by_kind_;
  std::unordered_map<std::string, JobState> jobs_;
  std::unordered_map<TaskId, Held, TaskHash> held_;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  std::array<std::vector<double>, kKindCount> waits_;
  std::array<double, kKindCount> in_second_{};
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
