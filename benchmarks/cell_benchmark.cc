// Measures a whole cell of real processes on loopback: completed jobs per
// second, latency, and the processor time and memory of each process.
#include <curl/curl.h>
#include <fmt/format.h>
#include <jansson.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/cell.h"

namespace cranberryshunt::benchmark {

namespace {

using Clock = std::chrono::steady_clock;

struct Options {
  int controllers = 5;
  int entries = 2;
  int workers = 48;
  int callers = 64;
  int seconds = 10;
  std::string kind = "interactive";
  int task_ms = 0;
};

// Write callback of libcurl: appends the body to the string at `out`.
std::size_t AppendToString(char* data,
                           std::size_t size,
                           std::size_t n,
                           void* out) {
  static_cast<std::string*>(out)->append(data, size * n);
  return size * n;
}

// Submits jobs over one persistent connection, like a caller behind a load
// balancer.
class LoadCaller {
 public:
  LoadCaller(const std::string& entry, const std::string& token)
      : url_("http://" + entry + "/v1/jobs?wait_ms=10000"),
        handle_(curl_easy_init()) {
    headers_ =
        curl_slist_append(headers_, ("Authorization: Bearer " + token).c_str());
    headers_ = curl_slist_append(headers_, "Content-Type: application/json");
    headers_ = curl_slist_append(headers_, "Expect:");
  }
  ~LoadCaller() {
    curl_slist_free_all(headers_);
    curl_easy_cleanup(handle_);
  }
  LoadCaller(const LoadCaller&) = delete;
  LoadCaller& operator=(const LoadCaller&) = delete;

  // Returns whether the job was done.
  bool Submit(const std::string& body) {
    reply_.clear();
    curl_easy_setopt(handle_, CURLOPT_URL, url_.c_str());
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, AppendToString);
    curl_easy_setopt(handle_, CURLOPT_WRITEDATA, &reply_);
    curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS, 15'000L);
    curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
    return curl_easy_perform(handle_) == CURLE_OK &&
           reply_.find("\"done\"") != std::string::npos;
  }

  const std::string& reply() const { return reply_; }

 private:
  std::string url_;
  CURL* handle_;
  curl_slist* headers_ = nullptr;
  std::string reply_;
};

struct CallerResult {
  std::int64_t done = 0;
  std::int64_t other = 0;
  std::vector<double> latencies_ms;
  std::string sample_failure;
};

void SubmitUntilStopped(const test::Cell& cell,
                        const Options& options,
                        int number,
                        const std::atomic<bool>& stop,
                        CallerResult& result) {
  LoadCaller caller(cell.entry_address(number % options.entries),
                    cell.caller_token());
  for (std::int64_t n = 0; !stop; ++n) {
    const std::string body = fmt::format(
        R"({{"team":"team-{}","kind":"{}","milli_cpus":100,"memory_bytes":1000000,)"
        R"("payload":"request=r{}-{};sleep={}"}})",
        number % 8, options.kind, number, n, options.task_ms);
    const auto start = Clock::now();
    const bool done = caller.Submit(body);
    const std::chrono::duration<double, std::milli> elapsed =
        Clock::now() - start;
    if (done) {
      ++result.done;
      result.latencies_ms.push_back(elapsed.count());
    } else {
      ++result.other;
      result.sample_failure = caller.reply();
    }
  }
}

double Quantile(std::vector<double>& values, double probability) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(probability * last)];
}

struct RoleUsage {
  std::string name;
  pid_t pid;
  test::ProcessUsage before;
};

void PrintUsage(const std::vector<RoleUsage>& processes, double seconds) {
  fmt::print("{:<16}{:>14}{:>14}\n", "process", "cores", "resident MB");
  for (const auto& it : processes) {
    const auto after = test::ReadUsage(it.pid);
    fmt::print("{:<16}{:>14.3f}{:>14.1f}\n", it.name,
               (after.cpu_seconds - it.before.cpu_seconds) / seconds,
               after.resident_mb);
  }
}

std::vector<RoleUsage> ListProcesses(test::Cell& cell, const Options& options) {
  std::vector<RoleUsage> processes;
  for (int n = 0; n < options.controllers; ++n) {
    const bool is_leader = cell.FindLeader() == n;
    processes.push_back(
        {fmt::format("controller-{}{}", n, is_leader ? "*" : ""),
         cell.controller(n).pid(), test::ReadUsage(cell.controller(n).pid())});
  }
  for (int n = 0; n < options.entries; ++n) {
    processes.push_back({fmt::format("entry-{}", n), cell.entry(n).pid(),
                         test::ReadUsage(cell.entry(n).pid())});
  }
  return processes;
}

int Run(const Options& options) {
  constexpr int kWorkersPerProcess = 24;
  test::CellOptions cell_options;
  cell_options.controllers = options.controllers;
  cell_options.entries = options.entries;
  cell_options.target_processes =
      std::max(1, options.workers / kWorkersPerProcess);
  cell_options.workers_per_process =
      options.workers / cell_options.target_processes;
  test::Cell cell(cell_options);
  if (!cell.Start()) {
    fmt::print(stderr, "the cell did not start\n");
    return 1;
  }
  const auto processes = ListProcesses(cell, options);
  std::atomic<bool> stop = false;
  std::vector<CallerResult> results(static_cast<std::size_t>(options.callers));
  std::vector<std::thread> threads;
  threads.reserve(results.size());
  const auto start = Clock::now();
  for (int n = 0; n < options.callers; ++n) {
    threads.emplace_back([&, n] {
      SubmitUntilStopped(cell, options, n, stop,
                         results[static_cast<std::size_t>(n)]);
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
  stop = true;
  for (auto& it : threads) {
    it.join();
  }
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  CallerResult total;
  for (auto& it : results) {
    total.done += it.done;
    total.other += it.other;
    total.latencies_ms.insert(total.latencies_ms.end(), it.latencies_ms.begin(),
                              it.latencies_ms.end());
    if (!it.sample_failure.empty()) {
      total.sample_failure = it.sample_failure;
    }
  }
  fmt::print(
      "controllers {} entries {} workers {} callers {} kind {} task {} ms\n",
      options.controllers, options.entries, options.workers, options.callers,
      options.kind, options.task_ms);
  fmt::print("done {} other {} rate {:.0f}/s p50 {:.2f} ms p99 {:.2f} ms\n",
             total.done, total.other,
             static_cast<double>(total.done) / elapsed.count(),
             Quantile(total.latencies_ms, 0.5),
             Quantile(total.latencies_ms, 0.99));
  if (total.other > 0) {
    fmt::print("reply to a job that was not done: {}\n", total.sample_failure);
  }
  PrintUsage(processes, elapsed.count());
  return total.done > 0 ? 0 : 1;
}

}  // namespace

}  // namespace cranberryshunt::benchmark

int main(int argc, char** argv) try {
  using cranberryshunt::benchmark::Options;
  Options options;
  CLI::App app("Measures a cell of real processes on loopback.");
  app.add_option("--controllers", options.controllers, "Number of controllers");
  app.add_option("--entries", options.entries, "Number of entries");
  app.add_option("--workers", options.workers, "Number of workers");
  app.add_option("--callers", options.callers, "Concurrent callers");
  app.add_option("--seconds", options.seconds, "Length of the run, s");
  app.add_option("--kind", options.kind, "Kind of the jobs");
  app.add_option("--task-ms", options.task_ms, "Run time of each task, ms");
  CLI11_PARSE(app, argc, argv);
  curl_global_init(CURL_GLOBAL_ALL);
  return cranberryshunt::benchmark::Run(options);
} catch (const std::exception& error) {
  std::fprintf(stderr, "cell_benchmark: %s\n", error.what());
  return 1;
}
