// Case 10: large jobs fill the rack on which a job has its data. Checks LOST:
// some time after the end of the traffic, a job must not have nothing running
// for 3 s while its turn has come and there is capacity for it.
#include <string>

#include "rig.h"

int main(int /*argc*/, char** argv) {
  using namespace rig;
  constexpr int kWorkers = 10;
  constexpr int kRackWorkers = 2;
  // The sizes of the site file: workers of 32 cores, tasks of up to 15 cores
  // and 16 s. All run as long as estimated.
  constexpr std::int64_t kCpu = 32'000;
  constexpr std::int64_t kTaskCpu = 15'000;
  constexpr std::int64_t kWorkMs = 16'000;
  constexpr int kLargeJobs = 2;
  constexpr int kTasksOfLargeJob = 4;
  // After the large jobs.
  constexpr std::int64_t kLastJobMs = 11'000;
  constexpr std::int64_t kFinishMs = 14'000;
  constexpr std::int64_t kBoundMs = 3'000;
  const std::string job = "00000000000000d9";
  Record::Open(argv[1]);
  Deployment deployment({.controllers = 5, .entries = 2, .far_x = 3});
  if (!deployment.Start() ||
      !deployment.Publish(Configuration(1, "service-a", 3))) {
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
    options.cpu = kCpu;
    options.rack = n < kRackWorkers ? "r1-1" : "r1-2";
    workers.push_back(std::make_unique<Worker>(options));
    if (!workers.back()->Start()) {
      return kCannotRun;
    }
  }
  SleepMs(1'500);
  const std::string near = ",\"affinity\":\"r1-1\"";
  const auto body = [&](int tasks) {
    return JobBody("done " + std::to_string(kWorkMs), tasks, kTaskCpu, kWorkMs,
                   near);
  };
  if (Trouble()) {
    for (int n = 0; n < kLargeJobs; ++n) {
      if (deployment.Submit("/q/00000000000000d" + std::to_string(n),
                            body(kTasksOfLargeJob)) != 200) {
        return kCannotRun;
      }
    }
  }
  SleepMs(kLastJobMs);
  if (deployment.Submit("/q/" + job, body(1)) != 200) {
    return kCannotRun;
  }
  const auto accepted_ms = NowMs();
  const auto start = [&]() -> std::int64_t {
    for (const auto& it : RunLog::All()) {
      if (it.task.starts_with(job)) {
        return it.begin_ms;
      }
    }
    return -1;
  };
  WaitUntil(60'000, [&] { return start() >= 0; });
  const auto waited_ms = (start() < 0 ? NowMs() : start()) - accepted_ms;
  Record::Add("the job " + job + " had nothing running for " +
              std::to_string(waited_ms) + " ms after its acceptance");
  const bool broken = waited_ms >= kFinishMs + kBoundMs;
  Record::Add(broken ? "LOST: the job has nothing running for 3 s, though its "
                       "turn has come and there is capacity for it"
                     : "the rule held");
  return broken ? kBroken : kHeld;
}
