// Cost of a decision by the size of the fleet.
#include <fmt/core.h>

#include <time.h>

#include <algorithm>
#include <random>

#include "engine.h"
#include "fleet.h"
#include "sections.h"

namespace cranberryshunt::policy {

namespace {

// Processor time of this thread, so that other load on the machine does not
// count.
double ProcessorMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

constexpr double kRunningPerWorker = 200'000.0 / 13'000;
constexpr int kTeams = 270;
constexpr double kMeasureForMicroseconds = 2e6;

// A mix in which a fifth of the running tasks are services.
JobRequest NextJob(std::mt19937_64& engine, int number) {
  JobRequest job;
  job.job_id = fmt::format("job-{:020}", number);
  job.team = fmt::format("team-{}", engine() % kTeams);
  const auto draw = engine() % 10;
  job.kind = draw < 2   ? Kind::kService
             : draw < 8 ? Kind::kBatch
                        : Kind::kInteractive;
  const auto cpus = static_cast<std::int64_t>(1 + engine() % 6);
  job.task_resources = {cpus * 1000, cpus * 3 * kGigabyte,
                        draw == 7 && engine() % 2 == 0 ? 1 : 0, 1};
  job.family = fmt::format("family-{}", engine() % 100);
  if (engine() % 2 == 0) {
    job.constraint.prefer_region = fmt::format("region-{}", engine() % 8);
  }
  return job;
}

class CostRun {
 public:
  CostRun(std::unique_ptr<Engine> engine, int workers)
      : engine_(std::move(engine)), workers_(workers) {
    for (int n = 0; n < workers; ++n) {
      engine_->AddWorker(LargeFleetWorker(n));
    }
  }

  void Fill() {
    const auto target = static_cast<std::size_t>(workers_ * kRunningPerWorker);
    // In rounds, since workers without a proven start take few tasks at once.
    for (int round = 0; running_.size() < target && round < 20; ++round) {
      while (running_.size() + static_cast<std::size_t>(queued_) < target &&
             Submit()) {
      }
      while (DecideOnce(1024) > 0) {
      }
      now_ += std::chrono::milliseconds(1100);
    }
  }

  // Fills the queues so that every release is followed by a placement on a full
  // fleet.
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
    std::vector<double> micros;
    int placed = 0;
    const double start = ProcessorMicroseconds();
    double end = start;
    while (end - start < kMeasureForMicroseconds) {
      now_ += std::chrono::microseconds(50);
      EndOne();
      Submit();
      const double before = ProcessorMicroseconds();
      placed += DecideOnce(16);
      end = ProcessorMicroseconds();
      micros.push_back(end - before);
    }
    const double seconds = (end - start) / 1e6;
    std::ranges::sort(micros);
    fmt::print(
        "{:>14} {:>6} workers {:>7} running {:>6} queued {:>9}: {:>8.0f} "
        "placements/s (with submit and end), Decide p50 {:>7.2f} us "
        "p99 {:>8.2f} us max {:>8.0f} us\n",
        engine_->name(), workers_, running_.size(), queued_, load,
        placed / seconds, micros[micros.size() / 2],
        micros[micros.size() * 99 / 100], micros.back());
  }

 private:
  bool Submit() {
    const JobRequest job = NextJob(random_, next_++);
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

  // Ends the preempted tasks, or one at random.
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
      CostRun run(baseline ? MakeFirstFitEngine() : MakeSchedulerEngine(),
                  workers);
      run.Fill();
      run.Measure("with room");
      run.Saturate();
      run.Measure("saturated");
    }
  }
}

}  // namespace cranberryshunt::policy
