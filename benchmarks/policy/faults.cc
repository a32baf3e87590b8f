// Measures the throughput of valid work in the presence of faults.
#include <fmt/core.h>

#include "fleet.h"
#include "sections.h"
#include "simulation.h"

namespace cranberryshunt::policy {

namespace {

using std::chrono::seconds;
using WallClock = std::chrono::steady_clock;

constexpr Duration kSimulatedTime = seconds(60);
constexpr int kCancelledJobs = 50'000;

Stream ValidStream() {
  Stream stream;
  stream.name = "valid";
  stream.task_resources = {2'000, 4 * kGigabyte, 0, 1};
  stream.run_time = seconds(1);
  stream.until = kSimulatedTime;
  // This rate occupies six tenths of the fleet's slots.
  stream.jobs_per_second = 230;
  return stream;
}

SimulationOptions BaseOptions() {
  SimulationOptions options;
  options.worker_capacity = kKiteWorker;
  options.duration = kSimulatedTime;
  options.streams = {ValidStream()};
  return options;
}

SimulationOptions WithFaults(bool wrong, bool impossible, double failing) {
  SimulationOptions options = BaseOptions();
  if (wrong) {
    options.streams[0].max_error_factor = 10;
  }
  if (impossible) {
    Stream stream = ValidStream();
    stream.name = "impossible";
    stream.task_resources = {33'000, 4 * kGigabyte, 0, 1};
    stream.jobs_per_second = 30;
    stream.is_valid = false;
    options.streams.push_back(stream);
  }
  options.failing_worker_fraction = failing;
  return options;
}

void Measure(std::string_view name, const SimulationOptions& options) {
  for (const bool baseline : {false, true}) {
    const auto make = [baseline] {
      return baseline ? MakeFirstFitEngine() : MakeSchedulerEngine();
    };
    const auto engine_without_faults = make();
    const auto engine_with_faults = make();
    const SimulationResult without_faults =
        Simulate(*engine_without_faults, BaseOptions());
    const SimulationResult with_faults = Simulate(*engine_with_faults, options);
    fmt::print(
        "{:>22} {:>14}: {:>6} of {:>6} valid tasks done, {:>5.1f}%, "
        "{} culprits reported\n",
        name, engine_with_faults->name(), with_faults.valid_done,
        without_faults.valid_done,
        100.0 * static_cast<double>(with_faults.valid_done) /
            static_cast<double>(without_faults.valid_done),
        with_faults.culprits.size());
  }
}

void MeasureCancellations() {
  for (const bool baseline : {false, true}) {
    const auto engine = baseline ? MakeFirstFitEngine() : MakeSchedulerEngine();
    for (int n = 0; n < kSmallFleet; ++n) {
      engine->AddWorker(SmallFleetWorker(n, kKiteWorker));
    }
    const TimePoint now{seconds(1)};
    std::vector<std::string> ids;
    for (int n = 0; n < kCancelledJobs; ++n) {
      JobRequest job;
      job.job_id = fmt::format("job-{:020}", n);
      job.team = fmt::format("team-{}", n % 5);
      job.task_resources = {1'000, kGigabyte, 0, 1};
      engine->Submit(job, now);
      ids.push_back(job.job_id);
    }
    const auto start = WallClock::now();
    for (const auto& id : ids) {
      engine->Cancel(id);
    }
    const double total_micros =
        std::chrono::duration<double, std::micro>(WallClock::now() - start)
            .count();
    fmt::print("{:>14}: {} cancellations in {:.1f} ms, {:.2f} us each\n",
               engine->name(), kCancelledJobs, total_micros / 1000,
               total_micros / kCancelledJobs);
  }
}

}  // namespace

void MeasureFaults() {
  fmt::print("== throughput of valid work with faults, kite fleet ==\n");
  Measure("wrong declarations", WithFaults(true, false, 0));
  Measure("impossible jobs", WithFaults(false, true, 0));
  Measure("10% failing workers", WithFaults(false, false, 0.1));
  Measure("all of these", WithFaults(true, true, 0.1));
  MeasureCancellations();
}

}  // namespace cranberryshunt::policy
