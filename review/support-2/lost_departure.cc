// Case 8: a worker that leaves gets no acknowledgement of its deregistration,
// because its link is cut in one direction, and ends some seconds later. Checks
// TWICE.
#include <string>

#include "rig.h"

int main(int /*argc*/, char** argv) {
  using namespace rig;
  constexpr int kWorkers = 8;
  constexpr int kTasks = 4;
  constexpr std::int64_t kWorkMs = 14'000;
  // The worker serves on for this long after its draining was acknowledged.
  constexpr std::int64_t kServesOnMs = 3'000;
  constexpr std::int64_t kCutBeforeMs = 300;
  constexpr std::int64_t kCutMs = 4'000;
  // The worker ends this long after a deregistration without an answer.
  constexpr std::int64_t kEndsAnywayMs = 3'000;
  Record::Open(argv[1]);
  Deployment deployment({.controllers = 5, .entries = 2});
  if (!deployment.Start() ||
      !deployment.Publish(Configuration(1, "service-a", 3))) {
    return kCannotRun;
  }
  const int leader = deployment.Leader();
  if (leader < 0) {
    return kCannotRun;
  }
  // Worker 0 lies behind links of its own.
  const auto own_address = deployment.WorkerAddress(40);
  Link to_worker(own_address, deployment.WorkerAddress(50));
  std::vector<std::unique_ptr<Link>> to_controllers;
  std::vector<std::pair<std::string, std::string>> direct;
  std::vector<std::pair<std::string, std::string>> linked;
  for (const auto& it : deployment.ControlAddresses()) {
    const auto n = static_cast<int>(to_controllers.size());
    const auto address = deployment.WorkerAddress(51 + n);
    to_controllers.push_back(std::make_unique<Link>(address, it));
    direct.emplace_back(it, it);
    linked.emplace_back(it, address);
  }
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < kWorkers; ++n) {
    WorkerOptions options;
    options.id = "i-worker-" + std::to_string(n);
    options.service = "service-a";
    options.announced = deployment.WorkerAddress(40 + n);
    options.listens = n == 0 ? deployment.WorkerAddress(50) : options.announced;
    options.controllers = n == 0 ? linked : direct;
    options.first_controller = static_cast<std::size_t>(n == 0 ? leader : n);
    workers.push_back(std::make_unique<Worker>(options));
    if (!workers.back()->Start()) {
      return kCannotRun;
    }
  }
  SleepMs(1'500);
  auto& leaving = *workers[0];
  // Jobs are handed in until one runs on the worker that will leave.
  std::vector<std::string> paths;
  for (int n = 0; n < 4 && leaving.running() == 0; ++n) {
    paths.push_back("/q/00000000000000b" + std::to_string(n));
    if (deployment.Submit(paths.back(),
                          JobBody("done " + std::to_string(kWorkMs), kTasks,
                                  7'000, kWorkMs)) != 200) {
      return kCannotRun;
    }
    WaitUntil(1'000, [&] { return leaving.running() > 0; });
  }
  if (leaving.running() == 0) {
    return kCannotRun;
  }
  SleepMs(1'000);
  if (!leaving.Drain(5'000)) {
    return kCannotRun;
  }
  SleepMs(kServesOnMs);
  if (leaving.controller() != deployment.ControlAddress(leader) ||
      !leaving.HasOpenConnection() || deployment.Leader() != leader) {
    return kCannotRun;
  }
  if (Trouble()) {
    Record::Add("the direction from the controllers to " + leaving.id() +
                " is cut");
    to_worker.Cut(true, false);
    for (const auto& it : to_controllers) {
      it->Cut(false, true);
    }
    SleepMs(kCutBeforeMs);
  }
  const bool acknowledged = leaving.Deregister(1'000);
  if (!acknowledged) {
    SleepMs(kEndsAnywayMs - 1'000);
  }
  leaving.End();
  if (Trouble()) {
    SleepMs(kCutMs - kCutBeforeMs - kEndsAnywayMs);
    to_worker.Cut(false, false);
    for (const auto& it : to_controllers) {
      it->Cut(false, false);
    }
    Record::Add("the link is whole again");
  }
  for (const auto& it : paths) {
    WaitUntil(40'000, [&] { return deployment.StateOf(it) == "completed"; });
    Record::Add("GET " + it + " shows " + deployment.StateOf(it));
  }
  const auto breaks = FindDoubleRuns();
  for (const auto& it : breaks) {
    Record::Add("TWICE: " + it);
  }
  Record::Add(breaks.empty() ? "the rule held" : "the rule was broken");
  return breaks.empty() ? kHeld : kBroken;
}
