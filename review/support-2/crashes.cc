// Case 8: the workers of a long-running task crash, one at a time, and come
// back. Checks LOST: a job that nobody has cancelled must not be shown as
// failed without ends as failed.
#include <string>

#include "rig.h"

int main(int /*argc*/, char** argv) {
  using namespace rig;
  // One of them is an eighth of the workers.
  constexpr int kWorkers = 8;
  constexpr int kCrashes = 6;
  // More than there are runs, so that no reading of the rule counts enough
  // attempts.
  constexpr int kMaxAttempts = 10;
  constexpr std::int64_t kWorkBeforeCrashMs = 2'500;
  constexpr std::int64_t kDownMs = 2'000;
  constexpr std::int64_t kPauseMs = 2'500;
  Record::Open(argv[1]);
  Deployment deployment({.controllers = 5, .entries = 2});
  if (!deployment.Start() ||
      !deployment.Publish(Configuration(1, "service-a", kMaxAttempts))) {
    return kCannotRun;
  }
  std::vector<std::pair<std::string, std::string>> controllers;
  for (const auto& it : deployment.ControlAddresses()) {
    controllers.emplace_back(it, it);
  }
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < kWorkers; ++n) {
    WorkerOptions options;
    options.id = "i-worker-" + std::to_string(n);
    options.service = "service-a";
    options.announced = deployment.WorkerAddress(40 + n);
    options.listens = options.announced;
    options.controllers = controllers;
    options.first_controller = static_cast<std::size_t>(n);
    workers.push_back(std::make_unique<Worker>(options));
    if (!workers.back()->Start()) {
      return kCannotRun;
    }
  }
  SleepMs(1'500);
  const std::string path = "/q/00000000000000c1";
  if (deployment.Submit(path, JobBody("serve", 1, 4'000, 1'000,
                                      ",\"longRunning\":true")) != 200) {
    return kCannotRun;
  }
  const auto owner = [&]() -> Worker* {
    for (const auto& it : workers) {
      if (it->alive() && it->running() > 0) {
        return it.get();
      }
    }
    return nullptr;
  };
  std::string state;
  const auto record_state = [&] {
    std::string line = "GET " + path;
    line.append(" shows ").append(state);
    Record::Add(line);
  };
  for (int n = 0; n < kCrashes; ++n) {
    if (!WaitUntil(8'000, [&] { return owner() != nullptr; })) {
      break;
    }
    SleepMs(kWorkBeforeCrashMs);
    state = deployment.StateOf(path);
    record_state();
    auto* worker = owner();
    if (worker == nullptr || state == "failed") {
      break;
    }
    if (Trouble()) {
      worker->Crash();
      SleepMs(kDownMs);
      if (!worker->Restart()) {
        return kCannotRun;
      }
    }
    SleepMs(kPauseMs);
  }
  const bool failed =
      WaitUntil(3'000, [&] { return deployment.StateOf(path) == "failed"; });
  SleepMs(8'000);
  state = deployment.StateOf(path);
  Record::Add("GET " + path + " shows " + state + ", running on " +
              (owner() == nullptr ? "no worker" : owner()->id()));
  int failed_ends = 0;
  for (const auto& it : RunLog::All()) {
    failed_ends += it.how == "failed" ? 1 : 0;
  }
  Record::Add("ends as failed that workers have listed: " +
              std::to_string(failed_ends));
  const bool broken = failed && failed_ends == 0;
  Record::Add(broken ? "LOST: the job is shown as failed without cause"
                     : "the rule held");
  if (!broken && state != "running") {
    return kCannotRun;
  }
  return broken ? kBroken : kHeld;
}
