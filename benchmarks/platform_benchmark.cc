// Measures processor time and memory of controllers and entries on the users'
// platform under the load of one of the platform's specifications, with
// stand-ins for the workers and the advice service.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <exception>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "support/platform/platform_cell.h"

namespace cranberryshunt::benchmark {

namespace {

using Clock = std::chrono::steady_clock;

struct Options {
  int controllers = 5;
  int entries = 8;
  int workers = 48;
  double factor = 1;
  int seconds = 10;
};

// Mean values of one kind of job in the load specifications of the small
// deployment.
struct JobKind {
  test::PlatformQueue queue;
  double jobs_per_s;
  double tasks;
  double milli_cpus;
  double run_ms;
  bool gang;
};

std::vector<JobKind> JobKinds() {
  return {
      {{"launch", 0, 400, 1.5, true, 12, 0.17}, 30.9, 2, 2'800, 1'000, false},
      {{"coastal", 1, 1'200, 2.2, true, 520, 7.4},
       1.75,
       6.4,
       9'000,
       6'200,
       true},
      {{"gust", 2, 3'000, 4, true, 53, 0.75}, 10.2, 10, 2'000, 2'200, false}};
}

// Submits jobs at random times and polls them until they have completed.
class LoadGenerator {
 public:
  LoadGenerator(const Options& options, test::PlatformCell& cell)
      : options_(options), cell_(cell) {
    http::HttpClientOptions client;
    client.max_connections_per_address = 64;
    client_ = std::move(*http::HttpClient::Create(client));
  }

  void Run(std::chrono::seconds duration) {
    const auto end = Clock::now() + duration;
    auto next = Clock::now();
    while (Clock::now() < end) {
      next += std::chrono::milliseconds(1);
      for (const auto& kind : JobKinds()) {
        std::poisson_distribution<int> arrivals(kind.jobs_per_s *
                                                options_.factor / 1e3);
        for (int n = arrivals(random_); n > 0; --n) {
          Submit(kind);
        }
      }
      PollJobs();
      std::this_thread::sleep_until(next);
    }
  }

  std::atomic<int> submitted = 0;
  std::atomic<int> accepted = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> completed = 0;

 private:
  struct OpenJob {
    Clock::time_point poll_at;
    std::string path;
    int polls = 0;
  };

  // Draws a positive whole number around `mean`; `spread` is the standard
  // deviation of its logarithm.
  double DrawAround(double mean, double spread) {
    std::lognormal_distribution<double> draw(-spread * spread / 2, spread);
    return std::max(1.0, std::round(mean * draw(random_)));
  }

  http::HttpCall MakeCall(const std::string& method, const std::string& path) {
    http::HttpCall call;
    call.method = method;
    call.url =
        "http://" +
        test::PlatformCell::EntryAddress(next_entry_++ % options_.entries) +
        path;
    call.headers = {std::string("Host: ") + test::PlatformCell::Host(),
                    "X-Deadline-Ms: 3000", "Expect:"};
    call.timeout = std::chrono::seconds(4);
    return call;
  }

  void Submit(const JobKind& kind) {
    constexpr std::int64_t kMemoryMb = 2'000;
    const auto run_ms = static_cast<std::int64_t>(DrawAround(kind.run_ms, 0.5));
    const auto cpus = std::min<std::int64_t>(
        static_cast<std::int64_t>(DrawAround(kind.milli_cpus, 0.4)), 15'000);
    const auto path =
        fmt::format("/{}/{:016x}", kind.queue.name, 0x1000 + ++submitted);
    auto call = MakeCall("POST", path);
    call.body = fmt::format(
        R"({{"spec":"{}","steps":[{{"count":{},"cpu":{},"memMb":{},)"
        R"("estimateMs":{},"gang":{}}}]}})",
        test::TaskSpec(run_ms, cpus, kMemoryMb),
        std::min(60.0, DrawAround(kind.tasks, 0.6)), cpus, kMemoryMb, run_ms,
        kind.gang);
    client_->Send(std::move(call), [this, path,
                                    run_ms](const http::HttpAnswer& answer) {
      constexpr int kTooMany = 429;
      accepted += answer.status == 200;
      refused += answer.status == kTooMany;
      if (answer.status == 200) {
        const std::lock_guard lock(mutex_);
        open_jobs_.push_back(
            {Clock::now() + std::chrono::milliseconds(run_ms + 150), path, 0});
      }
    });
  }

  // Requests the state of each job after its expected end, and repeats
  // the request until the job has completed or kMaxPolls is reached.
  void PollJobs() {
    std::vector<OpenJob> due;
    {
      const std::lock_guard lock(mutex_);
      const auto now = Clock::now();
      std::erase_if(open_jobs_, [&](const auto& it) {
        if (it.poll_at <= now) {
          due.push_back(it);
          return true;
        }
        return false;
      });
    }
    for (auto& it : due) {
      client_->Send(MakeCall("GET", it.path),
                    [this, it](const http::HttpAnswer& answer) {
                      constexpr int kMaxPolls = 20;
                      if (answer.body.find("completed") != std::string::npos) {
                        ++completed;
                      } else if (it.polls < kMaxPolls) {
                        const std::lock_guard lock(mutex_);
                        open_jobs_.push_back(
                            {Clock::now() + std::chrono::milliseconds(500),
                             it.path, it.polls + 1});
                      }
                    });
    }
  }

  const Options& options_;
  test::PlatformCell& cell_;
  std::unique_ptr<http::HttpClient> client_;
  std::mt19937_64 random_{11};
  int next_entry_ = 0;
  std::mutex mutex_;
  std::vector<OpenJob> open_jobs_;
};

int Measure(const Options& options) {
  test::PlatformCellOptions cell_options;
  cell_options.controllers = options.controllers;
  cell_options.entries = options.entries;
  cell_options.fleet.workers = options.workers;
  cell_options.fleet.heartbeat_ms = 1'500;
  cell_options.fleet.allowed_share = 0.45;
  test::PlatformCell cell(cell_options);
  std::vector<test::PlatformQueue> queues;
  for (const auto& it : JobKinds()) {
    queues.push_back(it.queue);
  }
  if (!cell.Start() || cell.Publish(1, queues) != 200) {
    std::fprintf(stderr, "the cell did not start\n");
    return 1;
  }
  LoadGenerator load(options, cell);
  load.Run(std::chrono::seconds(6));
  const int leader = cell.FindLeader();
  std::vector<test::ProcessUsage> usage_before;
  const auto read_usage_of_all = [&] {
    std::vector<test::ProcessUsage> out;
    out.reserve(static_cast<std::size_t>(options.controllers) +
                static_cast<std::size_t>(options.entries));
    for (int n = 0; n < options.controllers; ++n) {
      out.push_back(test::ReadUsage(cell.controller(n).pid()));
    }
    for (int n = 0; n < options.entries; ++n) {
      out.push_back(test::ReadUsage(cell.entry(n).pid()));
    }
    return out;
  };
  fmt::print("leader pid {}\n", cell.controller(leader).pid());
  std::fflush(stdout);
  usage_before = read_usage_of_all();
  const auto starts = cell.fleet().ledger().starts();
  load.Run(std::chrono::seconds(options.seconds));
  const auto usage_after = read_usage_of_all();
  const auto started =
      static_cast<double>(cell.fleet().ledger().starts() - starts);
  for (std::size_t n = 0; n < usage_after.size(); ++n) {
    const bool entry = n >= static_cast<std::size_t>(options.controllers);
    const auto used = usage_after[n].cpu_seconds - usage_before[n].cpu_seconds;
    const auto user =
        usage_after[n].user_seconds - usage_before[n].user_seconds;
    fmt::print(
        "{:10} {:6.1f} ms of processor time a second, {:6.1f} of it "
        "outside the kernel, {:5.1f} MB\n",
        entry                           ? "entry"
        : static_cast<int>(n) == leader ? "leader"
                                        : "follower",
        used * 1e3 / options.seconds, user * 1e3 / options.seconds,
        usage_after[n].resident_mb);
  }
  const auto leader_ms =
      (usage_after[static_cast<std::size_t>(leader)].cpu_seconds -
       usage_before[static_cast<std::size_t>(leader)].cpu_seconds) *
      1e3;
  fmt::print(
      "{} workers: {:.0f} starts/s, {:.0f} us of the leader a start; {} jobs, "
      "{} accepted, {} refused, {} completed; violations: {}\n",
      options.workers, started / options.seconds,
      leader_ms * 1e3 / std::max(started, 1.0), load.submitted.load(),
      load.accepted.load(), load.refused.load(), load.completed.load(),
      cell.fleet().ledger().violations().size());
  return 0;
}

}  // namespace

}  // namespace cranberryshunt::benchmark

int main(int argc, char** argv) {
  using cranberryshunt::benchmark::Options;
  try {
    CLI::App app("Programs of the users' platform under load");
    Options options;
    app.add_option("--controllers", options.controllers, "Controllers");
    app.add_option("--entries", options.entries, "Entries");
    app.add_option("--workers", options.workers, "Workers");
    app.add_option("--factor", options.factor,
                   "Factor of the load; 1 is the load of 48 workers");
    app.add_option("--seconds", options.seconds,
                   "Length of the measurement, s");
    CLI11_PARSE(app, argc, argv);
    return cranberryshunt::benchmark::Measure(options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "platform_benchmark: %s\n", error.what());
    return 1;
  }
}
