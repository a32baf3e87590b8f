// Measures what waiting for near places is worth and what it costs.
#include <fmt/core.h>

#include <chrono>
#include <numeric>

#include "near_replay.h"
#include "sections.h"

namespace cranberryshunt::policy {

namespace {

constexpr int kSeeds = 3;

double MeanFinishMs(NearReplayOptions options, double planned_factor) {
  options.planned_factor = planned_factor;
  double sum = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    options.seed = static_cast<std::uint64_t>(seed);
    NearReplay replay(options);
    replay.Run();
    sum += replay.MeanFinishMs();
  }
  return sum / kSeeds;
}

void CompareFinish(const char* name, const NearReplayOptions& options) {
  const auto never = MeanFinishMs(options, 1);
  const auto planned = MeanFinishMs(options, options.far_run_factor);
  fmt::print(
      "{:<24} load {:.2f}  never wait {:>6.0f} ms  planned {:>6.0f} ms\n", name,
      options.load, never, planned);
}

// Time of a full round with 500 waiting steps on 350 workers. Tasks of more
// than 1,000 thousandths of a core fit nowhere; smaller ones fit on the workers
// of all racks but the first.
double FullRoundMicroseconds(const char* data_rack,
                             double factor,
                             std::int64_t milli_cpus) {
  constexpr std::int64_t kWorkers = 350;
  constexpr std::int64_t kWorkersPerRack = 12;
  constexpr StepId kSteps = 500;
  constexpr int kRounds = 40;
  GraphPlanner planner(PlannerOptions{.far_run_factor = factor});
  for (std::int64_t n = 1; n <= kWorkers; ++n) {
    PlanWorker worker;
    worker.number = n;
    worker.service_name = "fleet";
    worker.rack = fmt::format("r{}", n / kWorkersPerRack);
    worker.capacity = {16'000, 64'000, 0};
    worker.usable = true;
    const Demand used{15'000, 60'000, 0};
    worker.used = n < kWorkersPerRack ? worker.capacity : used;
    worker.AddEnd({1'000'500 + n, worker.used});
    planner.workers()[n] = worker;
  }
  for (StepId n = 1; n <= kSteps; ++n) {
    PlanStep step;
    step.id = n;
    step.service_name = "fleet";
    step.priority = 1;
    step.demand = {milli_cpus, 10, 0};
    step.data_rack = data_rack;
    step.expected_run_ms = 100'000;
    step.remaining_ms = 100'000;
    step.accepted_ms = 1'000'000;
    step.objective_ms = 2'000'000;
    step.waiting_since_ms = 1'000'000;
    step.waiting.resize(2);
    std::iota(step.waiting.begin(), step.waiting.end(), 0);
    planner.AddStep(step);
  }
  (void)planner.Decide(1'000'000);
  const auto begin = std::chrono::steady_clock::now();
  for (int n = 1; n <= kRounds; ++n) {
    (void)planner.Decide(1'000'000 + n * 50);
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - begin;
  return took.count() / kRounds;
}

}  // namespace

void MeasureNearPlaces() {
  for (const double load : {0.3, 0.7, 0.95}) {
    NearReplayOptions options;
    options.load = load;
    CompareFinish("hot rack", options);
    options.hot_gangs = true;
    options.tasks = 12;
    CompareFinish("gangs on one rack", options);
  }
  NearReplayOptions options;
  options.estimate_error = 0.5;
  CompareFinish("estimates of half", options);
  options = {};
  options.load = 0.5;
  options.slow_rack = 3;
  CompareFinish("slow workers on the rack", options);
  options = {};
  options.far_run_factor = 3;
  options.drain_at_ms = 30'000;
  CompareFinish("rack drained", options);
  options.lose_rack = true;
  CompareFinish("rack lost", options);
  fmt::print(
      "full round, 350 workers, 500 steps that fit nowhere: {:.0f} us without "
      "a "
      "rack, {:.0f} us with a rack and a factor; that leave far room: {:.0f} "
      "us\n",
      FullRoundMicroseconds("", 1, 2'000),
      FullRoundMicroseconds("r0", 2, 2'000),
      FullRoundMicroseconds("r0", 2, 20));
}

}  // namespace cranberryshunt::policy
