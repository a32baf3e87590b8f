// Replays a load of which a part prefers one rack in virtual time against the
// planner. Commits, calls and admission take no time, and advice isn't needed.
#ifndef CRANBERRYSHUNT_TESTS_POLICY_NEAR_REPLAY_H_
#define CRANBERRYSHUNT_TESTS_POLICY_NEAR_REPLAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cranberryshunt/policy/far_factor.h"
#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::policy {

struct NearReplayOptions {
  std::int32_t racks = 6;
  std::int32_t workers_per_rack = 8;
  std::int64_t worker_milli_cpus = 16'000;
  // Processors that all tasks would use on near places, as a share.
  double load = 0.7;
  double hot_share = 0.5;  // Of the jobs, which prefer rack 0.
  std::int32_t tasks = 6;  // Of a job.
  std::int64_t milli_cpus = 4'000;
  std::int64_t run_ms = 2'000;
  double run_time_spread = 0.45;  // Deviation of the logarithm.
  bool hot_gangs = false;         // Whether the jobs on rack 0 are gangs.
  double far_run_factor = 2;      // The real one.
  double planned_factor = 2;      // The one that the planner is told.
  double slow_rack = 1;           // Factor of the run times on rack 0.
  double estimate_error = 1;      // Expected run times over the real mean.
  double stretch = 4;             // Objective over the run time.
  std::int64_t latency_target_ms = 3'000;
  std::int64_t traffic_ms = 60'000;
  // When the workers of rack 0 stop accepting tasks, and whether their tasks
  // are lost then. 0: never.
  std::int64_t drain_at_ms = 0;
  bool lose_rack = false;
  std::uint64_t seed = 1;
};

class NearReplay {
 public:
  explicit NearReplay(NearReplayOptions options);

  void Run();

  // From the arrivals of the jobs to the ends of their tasks.
  double MeanFinishMs(bool hot) const;
  double MeanFinishMs() const;
  double InTime() const;
  std::int64_t near_starts() const { return near_starts_; }
  std::int64_t far_starts() const { return far_starts_; }
  std::int64_t longest_near_wait_ms() const { return longest_near_wait_ms_; }
  std::int64_t last_end_ms() const { return now_ms_; }

 private:
  struct Job {
    std::int64_t sent_ms = 0;
    std::int64_t objective_ms = 0;
    std::int32_t open = 0;
    std::int64_t run_ms = 0;
    bool hot = false;
  };
  struct Finishes {
    double total_ms = 0;
    std::int64_t tasks = 0;
  };
  struct TaskRun {
    PlannedStart start;
    std::int64_t expected_end_ms = 0;
    std::int64_t started_ms = 0;
  };

  void At(std::int64_t at_ms, std::function<void()> action);
  void Arrive();
  void Plan();
  void Start(const PlannedStart& start);
  void End(std::int64_t run);
  void Release(const TaskRun& run);
  void CloseRack();

  const NearReplayOptions options_;
  std::mt19937_64 random_;
  GraphPlanner planner_;
  FarFactors far_factors_;
  std::int64_t now_ms_ = 0;
  std::int64_t planned_ms_ = 0;
  bool plan_due_ = false;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::map<StepId, Job> jobs_;
  std::map<std::int64_t, TaskRun> runs_;
  std::int64_t next_id_ = 1;
  std::map<bool, Finishes> finishes_;  // By whether the job is hot.
  std::int64_t ended_jobs_ = 0;
  std::int64_t ended_in_time_ = 0;
  std::int64_t near_starts_ = 0;
  std::int64_t far_starts_ = 0;
  std::int64_t longest_near_wait_ms_ = 0;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_TESTS_POLICY_NEAR_REPLAY_H_
