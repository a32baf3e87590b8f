// Measures the processor time of the leader's decisions per start, in virtual
// time and with fakes of the workers, the log and the advice service. HTTP
// calls are not included.
#include <fmt/format.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <random>
#include <string>
#include <vector>

#include "cell_harness.h"
#include "cranberryshunt/base/log.h"

namespace cranberryshunt::benchmark {

namespace {

// A kind of job, with the mean values from the users' load sheets.
struct Kind {
  std::string name;
  double jobs_per_s;
  double steps;
  double tasks;
  double milli_cpus;
  double memory_mb;
  double run_ms;
  bool gang;
  double base_ms;
  double per_worker_ms;
  double allowed_share;
  double stretch;
  std::int64_t target_ms;
};

struct Load {
  std::int32_t workers;
  std::int32_t callers;
  std::vector<Kind> kinds;
};

Load SmallLoad() {
  return {48,
          13,
          {{"launch", 30.9, 1, 2, 2'800, 4'000, 1'000, false, 12, 0.17, 0.7,
            1.5, 400},
           {"coastal", 1.46, 1.2, 6.4, 9'000, 17'000, 6'200, true, 520, 7.4,
            0.3, 2.2, 1'200},
           {"gust", 6.83, 1.5, 10, 2'000, 3'600, 2'200, false, 53, 0.75, 0.45,
            4, 3'000}}};
}

Load GrownLoad() {
  return {350,
          41,
          {{"launch", 88.4, 1, 3, 5'000, 4'000, 1'000, false, 12, 0.17, 0.7,
            1.5, 400},
           {"coastal", 4.76, 1.2, 20, 9'000, 13'000, 5'000, true, 559, 8.06,
            0.3, 2.2, 1'200},
           {"gust", 12.3, 1.5, 25, 3'500, 6'000, 2'200, false, 53, 0.75, 0.45,
            4, 3'000}}};
}

double CpuMs() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto ms = [](const timeval& it) {
    return static_cast<double>(it.tv_sec) * 1e3 +
           static_cast<double>(it.tv_usec) / 1e3;
  };
  return ms(usage.ru_utime) + ms(usage.ru_stime);
}

class Driver {
 public:
  Driver(Load load, double factor)
      : load_(std::move(load)),
        factor_(factor),
        cell_({.workers = load_.workers,
               .advice_callers = load_.callers,
               .allowed_share = 0.45,
               .check = false}) {
    std::vector<wire::JobQueue> queues;
    for (std::size_t n = 0; n < load_.kinds.size(); ++n) {
      const auto& kind = load_.kinds[n];
      auto queue = cell::MakeQueue(kind.name, static_cast<std::int32_t>(n));
      queue.latency_target_ms = kind.target_ms;
      queue.stretch = kind.stretch;
      queue.needs_advice = true;
      queue.advice.base_ms = kind.base_ms;
      queue.advice.per_worker_ms = kind.per_worker_ms;
      queue.advice.ticket_valid_ms = 2'000;
      queues.push_back(queue);
    }
    cell_.Run(500);
    cell_.Publish(queues);
    cell_.Run(500);
  }

  void Run(std::int64_t duration_ms) {
    for (std::int64_t n = 0; n < duration_ms; ++n) {
      for (const auto& kind : load_.kinds) {
        std::poisson_distribution<int> arrivals(kind.jobs_per_s * factor_ /
                                                1e3);
        for (int i = arrivals(random_); i > 0; --i) {
          cell_.Submit(next_id_++, kind.name, DrawJob(kind));
        }
      }
      cell_.Run(1);
    }
  }

  cell::CellHarness& cell() { return cell_; }

 private:
  std::int64_t DrawAround(double mean, double spread) {
    std::lognormal_distribution<double> draw(-spread * spread / 2, spread);
    return std::max<std::int64_t>(1, std::llround(mean * draw(random_)));
  }

  wire::GraphJob DrawJob(const Kind& kind) {
    wire::GraphJob job;
    job.occurrences = 1;
    std::bernoulli_distribution second(kind.steps - 1);
    const int steps = second(random_) ? 2 : 1;
    for (int n = 0; n < steps; ++n) {
      auto& step = job.steps.emplace_back();
      step.task_count = static_cast<std::int32_t>(std::min<std::int64_t>(
          DrawAround(kind.tasks, 0.6), std::llround(kind.tasks * 5)));
      step.milli_cpus =
          std::min<std::int64_t>(DrawAround(kind.milli_cpus, 0.4), 15'000);
      step.memory_mb =
          std::min<std::int64_t>(DrawAround(kind.memory_mb, 0.5), 34'000);
      step.estimate_ms = DrawAround(kind.run_ms, 0.5);
      step.gang = kind.gang;
      if (n > 0) {
        step.depends_on = {n - 1};
      }
    }
    return job;
  }

  const Load load_;
  const double factor_;
  cell::CellHarness cell_;
  std::mt19937_64 random_{7};
  graph::JobId next_id_ = 1;
};

void Measure(const Load& load, double factor, std::int64_t seconds) {
  Driver driver(load, factor);
  driver.Run(5'000);
  const auto starts = driver.cell().starts;
  const auto engine_ms = driver.cell().engine_ms();
  driver.Run(seconds * 1'000);
  const auto started = static_cast<double>(driver.cell().starts - starts);
  const auto used = driver.cell().engine_ms() - engine_ms;
  std::int64_t accepted = 0;
  std::int64_t completed = 0;
  for (const auto& [id, it] : driver.cell().jobs) {
    accepted += it.code == 0 ? 1 : 0;
    completed += it.completed_ms >= 0 ? 1 : 0;
  }
  fmt::print(
      "{:4} workers, load x {:.2f}: {:6.0f} starts/s, {:7.1f} ms of processor "
      "time a second, {:6.1f} us a start; {} of {} jobs accepted, {} done\n",
      load.workers, factor, started / static_cast<double>(seconds),
      used / static_cast<double>(seconds), used * 1e3 / std::max(started, 1.0),
      accepted, driver.cell().jobs.size(), completed);
}

int Main(int argc, char** argv) {
  CLI::App app("Processor time of the leader's decisions");
  std::int64_t seconds = 10;
  std::string size = "both";
  double factor = 0;
  app.add_option("--seconds", seconds, "Measured virtual time");
  app.add_option("--size", size, "small, grown or both");
  app.add_option("--factor", factor, "Load; 0: 1 and 2");
  CLI11_PARSE(app, argc, argv);
  if (auto configured = ConfigureLogging("error", "benchmark"); !configured) {
    return 1;
  }
  const std::vector<double> factors =
      factor > 0 ? std::vector{factor} : std::vector{1.0, 2.0};
  for (const auto it : factors) {
    if (size != "grown") {
      Measure(SmallLoad(), it, seconds);
    }
    if (size != "small") {
      Measure(GrownLoad(), it, seconds);
    }
  }
  fmt::print("whole program: {:.0f} ms\n", CpuMs());
  return 0;
}

}  // namespace

}  // namespace cranberryshunt::benchmark

int main(int argc, char** argv) {
  try {
    return cranberryshunt::benchmark::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "leader_benchmark: %s\n", error.what());
    return 1;
  }
}
