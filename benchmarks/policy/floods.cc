// Measures waiting times, packing and shares with and without floods of work.
#include <fmt/core.h>

#include "fleet.h"
#include "sections.h"
#include "simulation.h"

namespace cranberryshunt::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSimulatedTime = seconds(40);
constexpr Duration kFloodStart = seconds(10);
// A lent share must be returned within one second of the start of a flood.
constexpr Duration kMeasureFrom = seconds(11);
constexpr std::array<double, kKindCount> kGuaranteedShare = {0.30, 0.25, 0.15,
                                                             0.30};
constexpr std::array<std::string_view, kKindCount> kKindNames = {
    "service", "batch", "gang", "interactive"};

// Creates a stream that needs the fraction `share` of the fleet's slots. It
// needs the same fraction of the CPUs, or a quarter of it for interactive work.
Stream MakeStream(std::string name,
                  Kind kind,
                  const Resources& worker,
                  double share,
                  Duration run_time,
                  int tasks) {
  Stream stream;
  stream.name = std::move(name);
  stream.kind = kind;
  stream.task_count = tasks;
  stream.run_time = run_time;
  stream.task_resources = {worker.milli_cpus / 8, worker.memory_bytes / 8, 0,
                           1};
  if (kind == Kind::kInteractive) {
    stream.task_resources = {worker.milli_cpus / 32, worker.memory_bytes / 32,
                             0, 1};
    stream.prefers_region = true;
  }
  const double slots = static_cast<double>(worker.slots) * kSmallFleet;
  stream.jobs_per_second =
      share * slots / std::chrono::duration<double>(run_time).count() / tasks;
  stream.until = kSimulatedTime;
  return stream;
}

// Creates a stream of services that arrive in the first second and run until
// the end of the simulation.
Stream ServiceStream(const Resources& worker, double share) {
  Stream stream =
      MakeStream("service", Kind::kService, worker, share, seconds(1), 4);
  stream.run_time = seconds(10'000);
  stream.until = seconds(1);
  return stream;
}

// Creates a load of all kinds. The demand of services, batch work and gangs is
// `demand` times their guaranteed shares. Interactive work always needs 0.15 of
// the slots.
SimulationOptions MakeLoad(const Resources& worker, double demand) {
  SimulationOptions options;
  options.worker_capacity = worker;
  options.duration = kSimulatedTime;
  options.measure_from = kMeasureFrom;
  options.streams = {ServiceStream(worker, demand * kGuaranteedShare[0]),
                     MakeStream("batch", Kind::kBatch, worker,
                                demand * kGuaranteedShare[1], seconds(4), 1),
                     MakeStream("gang", Kind::kGang, worker,
                                demand * kGuaranteedShare[2], seconds(5), 8),
                     MakeStream("interactive", Kind::kInteractive, worker, 0.15,
                                milliseconds(200), 1)};
  return options;
}

void AddFlood(SimulationOptions& options, Kind kind) {
  const bool interactive = kind == Kind::kInteractive;
  Stream flood = MakeStream("flood", kind, options.worker_capacity, 10,
                            interactive ? milliseconds(200) : seconds(10), 1);
  flood.from = kFloodStart;
  flood.team_count = 2;
  // Non-idempotent requests cannot be preempted.
  flood.idempotent = !interactive;
  options.streams.push_back(flood);
}

void Print(std::string_view engine,
           std::string_view scenario,
           const SimulationResult& result) {
  fmt::print("{} / {}: packing {:.2f}\n", scenario, engine, result.packing);
  for (std::size_t n = 0; n < kKindCount; ++n) {
    const KindResult& it = result.kinds[n];
    fmt::print(
        "  {:>11}: wait p50 {:>8.1f} ms p99 {:>8.1f} ms, share mean "
        "{:.3f} least {:.3f} = {:>3.0f}% of guarantee, done {}, refused "
        "{}, preempted {}\n",
        kKindNames[n], it.wait_p50_ms, it.wait_p99_ms, it.mean_share,
        it.min_share, 100 * it.min_share / kGuaranteedShare[n], it.done,
        it.refused, it.preempted);
  }
}

void Compare(std::string_view scenario, const SimulationOptions& options) {
  const auto scheduler = MakeSchedulerEngine();
  Print(scheduler->name(), scenario, Simulate(*scheduler, options));
  const auto baseline = MakeFirstFitEngine();
  Print(baseline->name(), scenario, Simulate(*baseline, options));
}

void MeasureFleet(std::string_view name, const Resources& worker) {
  fmt::print("== floods, {} fleet ==\n", name);
  const SimulationOptions normal = MakeLoad(worker, 0.7);
  Compare("normal load", normal);
  SimulationOptions batch_flood = normal;
  AddFlood(batch_flood, Kind::kBatch);
  Compare("flood of batch", batch_flood);
  // The demand exceeds the guarantees, so that it does not limit the measured
  // shares.
  SimulationOptions interactive_flood = MakeLoad(worker, 1.4);
  AddFlood(interactive_flood, Kind::kInteractive);
  Compare("flood of interactive", interactive_flood);
}

}  // namespace

void MeasureFloods() {
  MeasureFleet("kite", kKiteWorker);
  MeasureFleet("workshop", kWorkshopWorker);
}

}  // namespace cranberryshunt::policy
