// Case 7: a heartbeat of another writer, with fields missing, names the address
// of a worker. Checks TWICE.
#include <string>

#include "rig.h"

int main(int /*argc*/, char** argv) {
  using namespace rig;
  constexpr int kWorkers = 8;
  constexpr int kTasks = 4;
  constexpr std::int64_t kWorkMs = 8'000;
  Record::Open(argv[1]);
  Deployment deployment({.controllers = 5, .entries = 2});
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
    workers.push_back(std::make_unique<Worker>(options));
    if (!workers.back()->Start()) {
      return kCannotRun;
    }
  }
  SleepMs(1'500);
  const std::string path = "/q/00000000000000a1";
  const auto status = deployment.Submit(
      path, JobBody("done " + std::to_string(kWorkMs), kTasks, 9'000, kWorkMs));
  const auto running = [&] {
    std::size_t n = 0;
    for (const auto& it : workers) {
      n += it->running();
    }
    return n;
  };
  if (status != 200 || !WaitUntil(5'000, [&] { return running() == kTasks; })) {
    return kCannotRun;
  }
  SleepMs(1'000);
  if (Trouble()) {
    for (const auto& it : workers) {
      if (it->running() == 0) {
        continue;
      }
      // The fields `version`, `slots`, `coldLeftMs`, `labels` and `clockMs` are
      // missing.
      const std::string body =
          "{\"service\":\"service-a\",\"address\":\"" +
          it->options().announced +
          "\",\"zone\":\"zone-a\",\"state\":\"ready\",\"capacity\":{\"cpu\":"
          "16000,\"memMb\":32768,\"gpu\":0},\"seq\":1,\"born\":" +
          std::to_string(UnixMs()) + "}";
      const auto answer =
          CallOnce(deployment.ControlAddress(0), "POST",
                   "/Instances.Heartbeat/i-other-writer", {}, body, 1'000);
      Record::Add("another writer's heartbeat names the address of " +
                  it->id() + ": " + body + " is answered " +
                  std::to_string(answer.status));
      break;
    }
  }
  WaitUntil(30'000, [&] { return deployment.StateOf(path) == "completed"; });
  Record::Add("GET " + path + " shows " + deployment.StateOf(path));
  SleepMs(1'000);
  const auto breaks = FindDoubleRuns();
  for (const auto& it : breaks) {
    Record::Add("TWICE: " + it);
  }
  Record::Add(breaks.empty() ? "the rule held" : "the rule was broken");
  return breaks.empty() ? kHeld : kBroken;
}
