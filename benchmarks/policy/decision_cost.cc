// Measures the cost of a decision in fleets of different sizes.
#include <fmt/core.h>

#include <time.h>

#include <algorithm>
#include <random>

#include "engine.h"
#include "fleet.h"
#include "sections.h"

namespace cranberryshunt::policy {

namespace {

// Returns the processor time of this thread, which does not include other load
// on the machine.
double ThreadCpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

constexpr double kRunningTasksPerWorker = 200'000.0 / 13'000;
constexpr int kTeamCount = 270;
constexpr double kMeasurementMicroseconds = 2e6;

// Creates a job. A fifth of the jobs are services.
JobRequest MakeJob(std::mt19937_64& random, int number) {
  JobRequest job;
  job.job_id = fmt::format("job-{:020}", number);
  job.team = fmt::format("team-{}", random() % kTeamCount);
  const auto draw = random() % 10;
  job.kind = draw < 2   ? Kind::kService
             : draw < 8 ? Kind::kBatch
                        : Kind::kInteractive;
  const auto cpus = static_cast<std::int64_t>(1 + random() % 6);
  job.task_resources = {cpus * 1000, cpus * 3 * kGigabyte,
                        draw == 7 && random() % 2 == 0 ? 1 : 0, 1};
  job.family = fmt::format("family-{}", random() % 100);
  if (random() % 2 == 0) {
    job.constraint.prefer_region = fmt::format("region-{}", random() % 8);
  }
  return job;
}

class DecisionCostRun {
 public:
  DecisionCostRun(std::unique_ptr<Engine> engine, int workers)
      : engine_(std::move(engine)), workers_(workers) {
    for (int n = 0; n < workers; ++n) {
      engine_->AddWorker(LargeFleetWorker(n));
    }
  }

  void Fill() {
    const auto target =
        static_cast<std::size_t>(workers_ * kRunningTasksPerWorker);
    // Takes several rounds, because a worker accepts few tasks at a time until
    // it has completed a task or has run one for a while.
    for (int round = 0; running_.size() < target && round < 20; ++round) {
      while (running_.size() + static_cast<std::size_t>(queued_) < target &&
             Submit()) {
      }
      while (DecideOnce(1024) > 0) {
      }
      now_ += std::chrono::milliseconds(1100);
    }
  }

  // Fills the queues, so that every release of resources is followed by a
  // placement on a full fleet.
  void Saturate() {
    for (int round = 0; round < 3; ++round) {
      while (queued_ < 20'000 && Submit()) {
      }
      while (DecideOnce(1024) > 0) {
      }
      now_ += std::chrono::milliseconds(1100);
    }
    DecideOnce(1024);
  }

  void Measure(std::string_view load) {
    std::vector<double> decide_micros;
    int placed = 0;
    const double start = ThreadCpuMicroseconds();
    double end = start;
    while (end - start < kMeasurementMicroseconds) {
      now_ += std::chrono::microseconds(50);
      EndOne();
      Submit();
      const double before = ThreadCpuMicroseconds();
      placed += DecideOnce(16);
      end = ThreadCpuMicroseconds();
      decide_micros.push_back(end - before);
    }
    const double seconds = (end - start) / 1e6;
    std::ranges::sort(decide_micros);
    fmt::print(
        "{:>14} {:>6} workers {:>7} running {:>6} queued {:>9}: {:>8.0f} "
        "placements/s (with submit and end), Decide p50 {:>7.2f} us "
        "p99 {:>8.2f} us max {:>8.0f} us\n",
        engine_->name(), workers_, running_.size(), queued_, load,
        placed / seconds, decide_micros[decide_micros.size() / 2],
        decide_micros[decide_micros.size() * 99 / 100], decide_micros.back());
  }

 private:
  bool Submit() {
    const JobRequest job = MakeJob(random_, next_++);
    if (!engine_->Submit(job, now_)) {
      return false;
    }
    ++queued_;
    return true;
  }

  int DecideOnce(std::size_t limit) {
    int placed = 0;
    for (const Decision& it : engine_->Decide(now_, limit)) {
      if (const auto* place = std::get_if<Place>(&it)) {
        for (const Assignment& assignment : place->assignments) {
          running_.push_back(assignment.task);
          engine_->TaskRunning(assignment.task, now_);
          --queued_;
          ++placed;
        }
      } else if (const auto* preempt = std::get_if<Preempt>(&it)) {
        preempted_.push_back(preempt->task);
      }
    }
    return placed;
  }

  // Ends the preempted tasks or, when there are none, a random running task.
  void EndOne() {
    if (!preempted_.empty()) {
      for (const TaskId& it : preempted_) {
        if (std::erase(running_, it) > 0) {
          queued_ += engine_->TaskEnded(it, EndKind::kPreempted, now_) ? 1 : 0;
        }
      }
      preempted_.clear();
      return;
    }
    if (running_.empty()) {
      return;
    }
    std::swap(running_[random_() % running_.size()], running_.back());
    engine_->TaskEnded(running_.back(), EndKind::kDone, now_);
    running_.pop_back();
  }

  std::unique_ptr<Engine> engine_;
  int workers_;
  std::mt19937_64 random_{1};
  std::vector<TaskId> running_;
  std::vector<TaskId> preempted_;
  TimePoint now_{std::chrono::seconds(1)};
  int next_ = 0;
  int queued_ = 0;
};

}  // namespace

void MeasureDecisionCost(int only_workers) {
  fmt::print("== cost of decisions, one core ==\n");
  for (const int workers : {48, 1'000, 4'000, 13'000}) {
    for (const bool baseline : {false, true}) {
      if (only_workers != 0 && (baseline || workers != only_workers)) {
        continue;
      }
      DecisionCostRun run(
          baseline ? MakeFirstFitEngine() : MakeSchedulerEngine(), workers);
      run.Fill();
      run.Measure("with room");
      run.Saturate();
      run.Measure("saturated");
    }
  }
}

}  // namespace cranberryshunt::policy
