// Random faults on the programs of the users' platform while callers use them.
//
// SOAK_SEED and SOAK_SECONDS give other runs than the short one of CI. A seed
// fixes which faults are injected and their order; processes run in real time,
// so a run with the same seed is alike, not equal.
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <signal.h>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "support/fault_proxy.h"
#include "support/load_generator.h"
#include "support/platform/platform_cell.h"
#include "support/records.h"

namespace cranberryshunt::test {

namespace {

constexpr int kControllers = 3;
constexpr int kEntries = 2;
constexpr int kWorkers = 10;
constexpr int kCallers = 6;
constexpr int kProxyOffset = 1'000;
constexpr int kDefaultSeconds = 12;
constexpr std::uint64_t kDefaultSeed = 20'261'204;
// Beyond the recovery that the users allow after all hosts were lost, 15 s: the
// work that was accepted by then has to run as well.
constexpr Milliseconds kRecoveryBound{40'000};

std::uint64_t FromEnvironment(const char* name, std::uint64_t standard) {
  const char* text = std::getenv(name);
  return text == nullptr ? standard : std::strtoull(text, nullptr, 10);
}

// What a caller was told of a job.
struct TrackedJob {
  std::string queue;
  int tasks = 0;
  bool accepted = false;
  bool unclear = false;  // Some submission got no clear answer.
  bool cancel_sent = false;
  bool cancelled = false;  // The cancel was confirmed.
};

class Callers {
 public:
  explicit Callers(PlatformCell& cell) : cell_(cell) {}

  void Turn(int caller, int n) {
    const std::string id = fmt::format("{:016x}", (caller + 1) * 100'000 + n);
    TrackedJob job;
    job.queue = n % 3 == 0 ? "urgent" : n % 3 == 1 ? "advised" : "plain";
    job.tasks = 1 + (caller + n) % 4;
    const auto path = "/" + job.queue + "/" + id;
    const auto body = fmt::format(
        R"({{"spec":"{}","steps":[{{"count":{},"cpu":2000,"memMb":500,)"
        R"("estimateMs":150}}]}})",
        TaskSpec(50 + 40 * (n % 6), 2'000, 500), job.tasks);
    for (int attempt = 0; attempt < 4 && !job.accepted; ++attempt) {
      const int status =
          cell_.Call((caller + attempt) % kEntries, "POST", path, body).status;
      job.accepted = status == 200;
      job.unclear = job.unclear || status == 0 || status == 504;
    }
    job.cancel_sent = job.accepted && n % 11 == 0;
    if (job.cancel_sent) {
      job.cancelled =
          cell_.Call(caller % kEntries, "DELETE", path).status == 200;
    }
    const std::lock_guard lock(mutex_);
    jobs_[id] = job;
  }

  std::map<std::string, TrackedJob> jobs() const {
    const std::lock_guard lock(mutex_);
    return jobs_;
  }

 private:
  PlatformCell& cell_;
  mutable std::mutex mutex_;
  std::map<std::string, TrackedJob> jobs_;
};

// Injects faults that overlap; each is undone some seconds later.
class Faults {
 public:
  Faults(PlatformCell& cell, FaultProxy& proxy, std::uint64_t seed)
      : cell_(cell), proxy_(proxy), random_(seed) {}

  void InjectOne(std::int64_t now_ms) {
    using Fault = void (Faults::*)();
    static constexpr std::array<Fault, 13> kFaults{
        &Faults::KillController,     &Faults::PauseController,
        &Faults::StopController,     &Faults::WipeController,
        &Faults::KillAllControllers, &Faults::KillEntry,
        &Faults::PauseEntry,         &Faults::ReloadAll,
        &Faults::SilenceWorker,      &Faults::LoseAnswers,
        &Faults::CutWorker,          &Faults::DelayWorker,
        &Faults::SilenceOpen};
    now_ms_ = now_ms;
    (this->*kFaults[Below(static_cast<int>(kFaults.size()))])();
  }

  void UndoDue(std::int64_t now_ms) {
    for (auto it = undo_.begin(); it != undo_.end();) {
      if (now_ms < it->first) {
        ++it;
        continue;
      }
      const auto undo = it->second;
      it = undo_.erase(it);
      undo();
    }
  }

 private:
  int Below(int n) { return static_cast<int>(random_() % n); }
  void Say(const std::string& what) const {
    std::fprintf(stderr, "fault at %lld ms: %s\n",
                 static_cast<long long>(now_ms_), what.c_str());
  }
  void Later(int ms, const std::function<void()>& undo) {
    undo_.emplace(now_ms_ + ms, undo);
  }
  // One controller of three may be away at a time; others wait their turn.
  bool TakeController(int& n) {
    n = Below(kControllers);
    return !std::exchange(controller_away_, true);
  }

  void KillController() {
    int n = 0;
    if (TakeController(n)) {
      Say(fmt::format("kill controller {}", n));
      cell_.controller(n).Kill();
      Later(300 + Below(3'000), [this, n] { Restart(n); });
    }
  }
  void StopController() {
    int n = 0;
    if (TakeController(n)) {
      Say(fmt::format("stop controller {}", n));
      cell_.controller(n).Signal(SIGTERM);
      Later(1'500, [this, n] {
        cell_.controller(n).Kill();
        Restart(n);
      });
    }
  }
  void PauseController() {
    int n = 0;
    if (TakeController(n)) {
      Say(fmt::format("pause controller {}", n));
      cell_.controller(n).Signal(SIGSTOP);
      Later(200 + Below(4'000), [this, n] {
        cell_.controller(n).Signal(SIGCONT);
        controller_away_ = false;
      });
    }
  }
  void WipeController() {
    int n = 0;
    if (TakeController(n)) {
      Say(fmt::format("wipe controller {}", n));
      cell_.controller(n).Kill();
      cell_.WipeController(n);
      const auto joined = JoinedCount();
      cell_.StartController(n, false);
      // It counts again once it has joined and was promoted.
      const bool done = WaitUntil(kRecoveryBound,
                                  [&] { return JoinedCount() >= joined + 2; });
      cr_expect(done, "controller %d did not join again", n);
      controller_away_ = false;
    }
  }
  std::size_t JoinedCount() const {
    return cell_.LogLines("message=\"membership changed\"").size();
  }
  void KillAllControllers() {
    int n = 0;
    if (TakeController(n)) {
      Say("kill all controllers");
      for (n = 0; n < kControllers; ++n) {
        cell_.controller(n).Kill();
      }
      for (n = 0; n < kControllers; ++n) {
        cell_.StartController(n, false);
      }
      controller_away_ = false;
    }
  }
  void Restart(int n) {
    cell_.StartController(n, false);
    controller_away_ = false;
  }
  void KillEntry() {
    const int n = Below(kEntries);
    Say(fmt::format("kill entry {}", n));
    cell_.entry(n).Kill();
    Later(300 + Below(1'500), [this, n] { cell_.StartEntry(n); });
  }
  void PauseEntry() {
    const int n = Below(kEntries);
    Say(fmt::format("pause entry {}", n));
    cell_.entry(n).Signal(SIGSTOP);
    Later(200 + Below(3'000), [this, n] { cell_.entry(n).Signal(SIGCONT); });
  }
  void ReloadAll() {
    Say("reload");
    for (int n = 0; n < kControllers; ++n) {
      cell_.controller(n).Signal(SIGHUP);
    }
    for (int n = 0; n < kEntries; ++n) {
      cell_.entry(n).Signal(SIGHUP);
    }
  }
  void SilenceWorker() {
    const int n = Below(kWorkers);
    Say(fmt::format("worker {} is silent", n));
    cell_.fleet().Silence(n, true);
    Later(500 + Below(9'000), [this, n] { cell_.fleet().Silence(n, false); });
  }
  void LoseAnswers() {
    const int n = Below(kWorkers);
    Say(fmt::format("worker {} loses answers", n));
    cell_.fleet().LoseAnswers(n, true);
    Later(500 + Below(4'000),
          [this, n] { cell_.fleet().LoseAnswers(n, false); });
  }
  void CutWorker() {
    const Link link{"", fmt::format("worker-{}", Below(kWorkers))};
    const auto direction =
        Below(2) == 0 ? Direction::kToClient : Direction::kBoth;
    Say("cut " + link.destination);
    proxy_.Freeze(link, direction);
    Later(500 + Below(7'000), [this, link] { proxy_.Heal(link); });
  }
  void DelayWorker() {
    const Link link{"", fmt::format("worker-{}", Below(kWorkers))};
    Say("delay " + link.destination);
    proxy_.Delay(link, Milliseconds(50 + Below(400)));
    Later(500 + Below(4'000), [this, link] { proxy_.Heal(link); });
  }
  void SilenceOpen() {
    const bool reset = Below(2) == 0;
    Say(reset ? "reset connections to workers"
              : "open connections to workers go silent");
    if (reset) {
      proxy_.CloseOpenConnections({"", ""});
    } else {
      proxy_.FreezeOpenConnections({"", ""});
    }
  }

  PlatformCell& cell_;
  FaultProxy& proxy_;
  std::mt19937_64 random_;
  std::int64_t now_ms_ = 0;
  std::multimap<std::int64_t, std::function<void()>> undo_;
  bool controller_away_ = false;
};

void CheckJob(PlatformCell& cell,
              const std::string& id,
              const TrackedJob& job) {
  const auto counts = cell.fleet().ledger().CountsOf(id);
  if (!job.accepted && !job.unclear) {
    cr_expect_eq(counts.started, 0, "%s was refused and ran", id.c_str());
    return;
  }
  // A cancel without a clear answer may have been carried out.
  if (job.accepted && !job.cancel_sent) {
    const bool done =
        cell.WaitForState(job.queue, id, "completed", kRecoveryBound);
    cr_expect(done, "%s was accepted and is '%s'", id.c_str(),
              cell.StateOf(job.queue, id).c_str());
    const auto after = cell.fleet().ledger().CountsOf(id);
    cr_expect(!done || after.done == job.tasks,
              "%s is shown as completed with %d of %d tasks", id.c_str(),
              static_cast<int>(after.done), job.tasks);
  }
  if (job.cancelled) {
    cr_expect(
        WaitUntil(kRecoveryBound,
                  [&] { return cell.fleet().ledger().CountsOf(id).live == 0; }),
        "%s was cancelled and still runs", id.c_str());
  }
}

// Publishes versions until it is told to stop; returns the last acknowledged.
int PublishVersions(PlatformCell& cell,
                    const std::vector<PlatformQueue>& queues,
                    const std::atomic<bool>& stopping) {
  int acknowledged = 1;
  for (int version = 2; !stopping; ++version) {
    acknowledged =
        cell.Publish(version, queues) == 200 ? version : acknowledged;
    WaitUntil(Milliseconds(700), [&] { return stopping.load(); });
  }
  return acknowledged;
}

void RunSoak(std::uint64_t seed, std::uint64_t seconds) {
  std::fprintf(stderr, "SOAK_SEED=%llu SOAK_SECONDS=%llu\n",
               static_cast<unsigned long long>(seed),
               static_cast<unsigned long long>(seconds));
  PlatformCellOptions options;
  options.controllers = kControllers;
  options.entries = kEntries;
  options.fleet.workers = kWorkers;
  options.fleet.allowed_share = 0.7;
  options.fleet.reported_port_offset = kProxyOffset;
  PlatformCell cell(options);
  FaultProxy proxy([](std::uint16_t, std::uint16_t) { return std::string(); });
  for (int n = 0; n < kWorkers; ++n) {
    cr_assert(proxy.ListenAt(fmt::format("worker-{}", n),
                             cell.fleet().ReportedAddress(n),
                             cell.fleet().ListenAddress(n)));
  }
  const std::vector<PlatformQueue> queues = {
      {.name = "plain", .priority = 2},
      {.name = "urgent", .priority = 0, .stretch = 10},
      {.name = "advised", .advice = true}};
  cr_assert(cell.Start(), "the entries did not become ready");
  cr_assert_eq(cell.Publish(1, queues), 200);

  Callers callers(cell);
  LoadGenerator load(kCallers,
                     [&](int thread, int n) { callers.Turn(thread, n); });
  std::atomic<bool> stopping = false;
  int version = 0;
  std::thread publisher(
      [&] { version = PublishVersions(cell, queues, stopping); });

  Faults faults(cell, proxy, seed);
  std::mt19937_64 random(seed + 1);
  const auto begin_us = BootMicroseconds();
  const auto now_ms = [&] { return (BootMicroseconds() - begin_us) / 1'000; };
  const auto end_ms = static_cast<std::int64_t>(seconds) * 1'000;
  std::int64_t next_ms = 1'000;
  while (now_ms() < end_ms) {
    faults.UndoDue(now_ms());
    if (now_ms() >= next_ms) {
      faults.InjectOne(now_ms());
      next_ms = now_ms() + 200 + static_cast<std::int64_t>(random() % 1'300);
    }
    std::this_thread::sleep_for(Milliseconds(5));
  }
  constexpr std::int64_t kForever = std::int64_t{1} << 40;
  faults.UndoDue(kForever);
  stopping = true;
  publisher.join();
  load.Stop();

  const auto jobs = callers.jobs();
  int accepted = 0;
  for (const auto& [id, job] : jobs) {
    accepted += job.accepted ? 1 : 0;
    CheckJob(cell, id, job);
  }
  cr_expect(WaitUntil(kRecoveryBound, [&] { return cell.Leader() >= 0; }));
  const auto table =
      cell.Control(std::max(0, cell.Leader()), "GET", "/Config.Get", {}).body;
  const auto text = "\"version\":" + std::to_string(version);
  const auto spaced = "\"version\": " + std::to_string(version);
  cr_expect(table.find(text) != std::string::npos ||
                table.find(spaced) != std::string::npos,
            "version %d was acknowledged, but is not in force", version);
  for (const auto& it : cell.fleet().ledger().violations()) {
    cr_expect_fail("%s", it.c_str());
  }
  std::fprintf(stderr, "jobs %d, accepted %d, version %d\n",
               static_cast<int>(jobs.size()), accepted, version);
  cr_expect_gt(accepted, 20);
}

}  // namespace

// Guards against lost, doubled, refused and yet run, or never ending work, and
// against a configuration that reverts, while faults come in any order.
Test(soak, keeps_its_promises_under_random_faults) {
  RunSoak(FromEnvironment("SOAK_SEED", kDefaultSeed),
          FromEnvironment("SOAK_SECONDS", kDefaultSeconds));
}

// Seeds that failed once, with their causes:
// 1 and 27: a list that was made before a start was taken came back after its
// confirmation in the same millisecond; the task ran twice.
// 30: the check took a cancel without a clear answer for one that was not
// carried out.
Test(soak, keeps_its_promises_with_seed_1) {
  RunSoak(1, kDefaultSeconds);
}
Test(soak, keeps_its_promises_with_seed_27) {
  RunSoak(27, kDefaultSeconds);
}
Test(soak, keeps_its_promises_with_seed_30) {
  RunSoak(30, kDefaultSeconds);
}

}  // namespace cranberryshunt::test
