// Random faults in controllers, entries and workers of the users' platform
// while callers submit jobs.
//
// The environment variables SOAK_SEED and SOAK_SECONDS replace the seed and the
// short duration that CI uses. A seed determines the faults and their order,
// but processes run in real time, so two runs with the same seed are similar,
// not identical.
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
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
constexpr int kLongTaskCallers = 4;
constexpr int kProxyOffset = 1'000;
constexpr int kDefaultSeconds = 12;
constexpr std::uint64_t kDefaultSeed = 20'261'204;
// Repeated tasks while leases of unknown incarnations were not expected.
constexpr std::uint64_t kCutOffSeed = 8;
// Longer than the 15 s that users allow for recovery after the loss of all
// hosts, because the jobs accepted by then must also run to completion.
constexpr Milliseconds kRecoveryBound{40'000};

std::uint64_t ReadEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

// What a caller knows about a job from the responses that it received.
struct TrackedJob {
  std::string queue;
  int tasks = 0;
  bool accepted = false;
  // Some submission got no response or status 504.
  bool may_be_accepted = false;
  bool cancel_sent = false;
  bool cancelled = false;  // The cancel was confirmed.
};

class Callers {
 public:
  // With `long_tasks`, the first callers submit jobs whose tasks take 8 s to
  // 15 s, and all make pauses, so that workers have room for further tasks.
  Callers(PlatformCell& cell, bool long_tasks)
      : cell_(cell), long_tasks_(long_tasks) {}

  // Submits the `n`-th job of a caller, with up to 4 attempts, and cancels it
  // if it was accepted and `n` is a multiple of 11.
  void SubmitJob(int caller, int n) {
    const std::string id = fmt::format("{:016x}", (caller + 1) * 100'000 + n);
    TrackedJob job;
    job.queue = n % 3 == 0 ? "urgent" : n % 3 == 1 ? "advised" : "plain";
    job.tasks = 1 + (caller + n) % 4;
    const auto path = "/" + job.queue + "/" + id;
    const bool is_long = long_tasks_ && caller < kLongTaskCallers;
    const int run_ms = is_long ? 8'000 + 1'000 * (n % 8) : 50 + 40 * (n % 6);
    const int milli_cpus = is_long ? 100 : 2'000;
    const int memory_mb = is_long ? 100 : 500;
    const auto body = fmt::format(
        R"({{"spec":"{}","steps":[{{"count":{},"cpu":{},"memMb":{},)"
        R"("estimateMs":{}}}]}})",
        TaskSpec(run_ms, milli_cpus, memory_mb), job.tasks, milli_cpus,
        memory_mb, is_long ? run_ms : 150);
    for (int attempt = 0; attempt < 4 && !job.accepted; ++attempt) {
      const int status =
          cell_.CallEntry((caller + attempt) % kEntries, "POST", path, body)
              .status;
      job.accepted = status == 200;
      job.may_be_accepted = job.may_be_accepted || status == 0 || status == 504;
    }
    job.cancel_sent = job.accepted && n % 11 == 0;
    if (job.cancel_sent) {
      job.cancelled =
          cell_.CallEntry(caller % kEntries, "DELETE", path).status == 200;
    }
    {
      const std::lock_guard lock(mutex_);
      jobs_[id] = job;
    }
    if (long_tasks_) {
      std::this_thread::sleep_for(Milliseconds(is_long ? 100 : 25));
    }
  }

  std::map<std::string, TrackedJob> jobs() const {
    const std::lock_guard lock(mutex_);
    return jobs_;
  }

 private:
  PlatformCell& cell_;
  const bool long_tasks_;
  mutable std::mutex mutex_;
  std::map<std::string, TrackedJob> jobs_;
};

// Injects random faults that may overlap. Each is undone within 10 s, but open
// connections stay closed or frozen.
class FaultInjector {
 public:
  FaultInjector(PlatformCell& cell, FaultProxy& proxy, std::uint64_t seed)
      : cell_(cell), proxy_(proxy), random_(seed), restart_random_(seed) {}

  // Skips the faults of controllers from now on, with a probability of 3/4: a
  // new leader expects longer leases than one that goes on.
  void DrawSparedControllers() {
    if (RestartBelow(4) != 0) {
      LogFault("spare the controllers");
      controller_down_ = true;
    }
  }
  bool any_cut_workers() const { return !cut_workers_.empty(); }

  void InjectRandomFault(std::int64_t now_ms) {
    using Fault = void (FaultInjector::*)();
    static constexpr std::array<Fault, 13> kFaults{
        &FaultInjector::KillController,      &FaultInjector::PauseController,
        &FaultInjector::StopController,      &FaultInjector::WipeController,
        &FaultInjector::KillAllControllers,  &FaultInjector::KillEntry,
        &FaultInjector::PauseEntry,          &FaultInjector::ReloadAllProcesses,
        &FaultInjector::SilenceWorker,       &FaultInjector::LoseResponses,
        &FaultInjector::FreezeWorkerLink,    &FaultInjector::DelayWorkerLink,
        &FaultInjector::BreakOpenConnections};
    now_ms_ = now_ms;
    (this->*kFaults[RandomBelow(static_cast<int>(kFaults.size()))])();
  }

  // Restarts a worker under its id, and cuts it off soon afterwards.
  void RestartRandomWorker(std::int64_t now_ms) {
    now_ms_ = now_ms;
    const int n = static_cast<int>(restart_random_() % kWorkers);
    LogFault(fmt::format("restart worker {}", n));
    cr_expect(cell_.fleet().RestartWorker(n), "worker %d did not start", n);
    if (restart_random_() % 3 == 0) {
      ScheduleUndo(1'000, [this, n] { cell_.fleet().SetSilent(n, true); });
      ScheduleUndo(10'000, [this, n] { cell_.fleet().SetSilent(n, false); });
    }
  }

  // Restarts several workers under their ids, each with another clock and a
  // late first report, and cuts them off within 2 s.
  void RestartAndCutOffWorkers(std::int64_t now_ms) {
    constexpr std::size_t kMaxCutWorkers = 6;
    now_ms_ = now_ms;
    // Starts go to few workers while there is room, so the busiest ones are
    // restarted.
    std::vector<std::pair<int, int>> candidates;
    for (int n = 0; n < kWorkers; ++n) {
      if (!cut_workers_.contains(n)) {
        candidates.emplace_back(-cell_.fleet().RunsOn(n), n);
      }
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<int> restarted;
    for (int left = 2 + RestartBelow(3);
         left > 0 && cut_workers_.size() < kMaxCutWorkers; --left) {
      restarted.push_back(candidates[restarted.size()].second);
      cut_workers_.insert(restarted.back());
    }
    if (restarted.empty()) {
      return;
    }
    const bool vanish = RestartBelow(3) != 0;
    for (const int n : restarted) {
      RestartWithOtherClock(n, vanish);
    }
    const int cut_ms = RestartBelow(2'000);
    const int heal_ms = cut_ms + 8'000 + RestartBelow(4'000);
    const bool reset = RestartBelow(3) == 0;
    for (const int n : restarted) {
      ScheduleUndo(cut_ms, [this, n, reset] {
        cell_.fleet().SetCutOff(n, true);
        LogFault(fmt::format("cut off worker {} with {} runs", n,
                             cell_.fleet().RunsOn(n)));
        BreakConnections(WorkerLink(n), reset);
      });
      ScheduleUndo(heal_ms, [this, n] {
        cell_.fleet().SetCutOff(n, false);
        cut_workers_.erase(n);
      });
    }
    LogFault(fmt::format("cut them off after {} ms until {} ms, {}", cut_ms,
                         heal_ms, reset ? "closed" : "frozen"));
  }

  // Undoes the faults whose time has passed at `now_ms`.
  void UndoExpiredFaults(std::int64_t now_ms) {
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
  int RandomBelow(int n) { return static_cast<int>(random_() % n); }
  int RestartBelow(int n) { return static_cast<int>(restart_random_() % n); }
  static Link WorkerLink(int n) { return {"", fmt::format("worker-{}", n)}; }
  void LogFault(const std::string& what) const {
    std::fprintf(stderr, "fault at %lld ms: %s\n",
                 static_cast<long long>(now_ms_), what.c_str());
  }
  void ScheduleUndo(int ms, const std::function<void()>& undo) {
    undo_.emplace(now_ms_ + ms, undo);
  }
  // Draws a controller into `n`. Returns false, so that the fault is skipped,
  // if another fault has a controller down: except for KillAllControllers(),
  // only one controller of three may be down at a time.
  bool ReserveController(int& n) {
    n = RandomBelow(kControllers);
    return !std::exchange(controller_down_, true);
  }

  // If the former process vanishes, its connections stay open without a
  // response. Otherwise they are closed.
  void RestartWithOtherClock(int n, bool vanish) {
    const std::int64_t change_ms = 1'000LL << RestartBelow(10);
    const bool behind = RestartBelow(2) == 0;
    WorkerRestart restart;
    restart.clock_ms = std::max<std::int64_t>(
        0, cell_.fleet().ClockOf(n) + (behind ? -change_ms : change_ms));
    restart.first_heartbeat_ms = RestartBelow(3'000);
    LogFault(
        fmt::format("restart worker {}, clock {} {} ms, first report "
                    "after {} ms, connections {}",
                    n, behind ? "behind by" : "ahead by", change_ms,
                    restart.first_heartbeat_ms, vanish ? "frozen" : "closed"));
    BreakConnections(WorkerLink(n), !vanish);
    cr_expect(cell_.fleet().RestartWorker(n, restart),
              "worker %d did not start", n);
  }
  void BreakConnections(const Link& link, bool reset) {
    if (reset) {
      proxy_.CloseOpenConnections(link);
    } else {
      proxy_.FreezeOpenConnections(link);
    }
  }

  void KillController() {
    int n = 0;
    if (ReserveController(n)) {
      LogFault(fmt::format("kill controller {}", n));
      cell_.controller(n).Kill();
      ScheduleUndo(300 + RandomBelow(3'000),
                   [this, n] { RestartController(n); });
    }
  }
  void StopController() {
    int n = 0;
    if (ReserveController(n)) {
      LogFault(fmt::format("stop controller {}", n));
      cell_.controller(n).Signal(SIGTERM);
      ScheduleUndo(1'500, [this, n] {
        cell_.controller(n).Kill();
        RestartController(n);
      });
    }
  }
  void PauseController() {
    int n = 0;
    if (ReserveController(n)) {
      LogFault(fmt::format("pause controller {}", n));
      cell_.controller(n).Signal(SIGSTOP);
      ScheduleUndo(200 + RandomBelow(4'000), [this, n] {
        cell_.controller(n).Signal(SIGCONT);
        controller_down_ = false;
      });
    }
  }
  void WipeController() {
    int n = 0;
    if (ReserveController(n)) {
      LogFault(fmt::format("wipe controller {}", n));
      cell_.controller(n).Kill();
      cell_.WipeController(n);
      const auto changes_before = CountMembershipChanges();
      cell_.StartController(n, false);
      // Another controller may fail only after this one has joined as a learner
      // and was promoted: two membership changes.
      const bool done = WaitUntil(kRecoveryBound, [&] {
        return CountMembershipChanges() >= changes_before + 2;
      });
      cr_expect(done, "controller %d did not rejoin", n);
      controller_down_ = false;
    }
  }
  std::size_t CountMembershipChanges() const {
    return cell_.LogLines("message=\"membership changed\"").size();
  }
  void KillAllControllers() {
    int n = 0;
    if (ReserveController(n)) {
      LogFault("kill all controllers");
      for (n = 0; n < kControllers; ++n) {
        cell_.controller(n).Kill();
      }
      for (n = 0; n < kControllers; ++n) {
        cell_.StartController(n, false);
      }
      controller_down_ = false;
    }
  }
  void RestartController(int n) {
    cell_.StartController(n, false);
    controller_down_ = false;
  }
  void KillEntry() {
    const int n = RandomBelow(kEntries);
    LogFault(fmt::format("kill entry {}", n));
    cell_.entry(n).Kill();
    ScheduleUndo(300 + RandomBelow(1'500), [this, n] { cell_.StartEntry(n); });
  }
  void PauseEntry() {
    const int n = RandomBelow(kEntries);
    LogFault(fmt::format("pause entry {}", n));
    cell_.entry(n).Signal(SIGSTOP);
    ScheduleUndo(200 + RandomBelow(3'000),
                 [this, n] { cell_.entry(n).Signal(SIGCONT); });
  }
  void ReloadAllProcesses() {
    LogFault("reload");
    for (int n = 0; n < kControllers; ++n) {
      cell_.controller(n).Signal(SIGHUP);
    }
    for (int n = 0; n < kEntries; ++n) {
      cell_.entry(n).Signal(SIGHUP);
    }
  }
  void SilenceWorker() {
    const int n = RandomBelow(kWorkers);
    LogFault(fmt::format("silence worker {}", n));
    cell_.fleet().SetSilent(n, true);
    ScheduleUndo(500 + RandomBelow(9'000),
                 [this, n] { cell_.fleet().SetSilent(n, false); });
  }
  void LoseResponses() {
    const int n = RandomBelow(kWorkers);
    LogFault(fmt::format("lose responses of worker {}", n));
    cell_.fleet().SetLosesResponses(n, true);
    ScheduleUndo(500 + RandomBelow(4'000),
                 [this, n] { cell_.fleet().SetLosesResponses(n, false); });
  }
  void FreezeWorkerLink() {
    const Link link{"", fmt::format("worker-{}", RandomBelow(kWorkers))};
    const auto direction =
        RandomBelow(2) == 0 ? Direction::kToClient : Direction::kBoth;
    LogFault("freeze " + link.destination);
    proxy_.Freeze(link, direction);
    ScheduleUndo(500 + RandomBelow(7'000), [this, link] { proxy_.Heal(link); });
  }
  void DelayWorkerLink() {
    const Link link{"", fmt::format("worker-{}", RandomBelow(kWorkers))};
    LogFault("delay " + link.destination);
    proxy_.Delay(link, Milliseconds(50 + RandomBelow(400)));
    ScheduleUndo(500 + RandomBelow(4'000), [this, link] { proxy_.Heal(link); });
  }
  void BreakOpenConnections() {
    const bool reset = RandomBelow(2) == 0;
    LogFault(reset ? "close open connections to workers"
                   : "freeze open connections to workers");
    BreakConnections({"", ""}, reset);
  }

  PlatformCell& cell_;
  FaultProxy& proxy_;
  std::mt19937_64 random_;
  std::mt19937_64 restart_random_;
  std::int64_t now_ms_ = 0;
  // Workers of RestartAndCutOffWorkers() whose links are not healed yet.
  std::set<int> cut_workers_;
  std::multimap<std::int64_t, std::function<void()>> undo_;
  bool controller_down_ = false;
};

void CheckJob(PlatformCell& cell,
              const std::string& id,
              const TrackedJob& job) {
  const auto counts = cell.fleet().ledger().CountsOf(id);
  if (!job.accepted && !job.may_be_accepted) {
    cr_expect_eq(counts.started, 0, "%s was refused but ran", id.c_str());
    return;
  }
  // Skips jobs with a cancel request, because it may have been carried out even
  // when no response to it arrived.
  if (job.accepted && !job.cancel_sent) {
    const bool done =
        cell.WaitForState(job.queue, id, "completed", kRecoveryBound);
    cr_expect(done, "%s was accepted, but its state is '%s'", id.c_str(),
              cell.StateOf(job.queue, id).c_str());
    const auto after = cell.fleet().ledger().CountsOf(id);
    cr_expect(!done || after.done == job.tasks,
              "%s is completed, but %d of %d tasks are done", id.c_str(),
              static_cast<int>(after.done), job.tasks);
  }
  if (job.cancelled) {
    cr_expect(
        WaitUntil(
            kRecoveryBound,
            [&] { return cell.fleet().ledger().CountsOf(id).running == 0; }),
        "%s was cancelled, but still runs", id.c_str());
  }
}

// Publishes rising versions until `stopping` is set. Returns the last one that
// was acknowledged, or 1.
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

enum class WorkerRestarts { kNone, kSingle, kSeveralAndCutOff };

void RunSoak(std::uint64_t seed,
             std::uint64_t seconds,
             WorkerRestarts restarts = WorkerRestarts::kNone) {
  const bool cut_off = restarts == WorkerRestarts::kSeveralAndCutOff;
  std::fprintf(stderr, "SOAK_SEED=%llu SOAK_SECONDS=%llu\n",
               static_cast<unsigned long long>(seed),
               static_cast<unsigned long long>(seconds));
  PlatformCellOptions options;
  options.controllers = kControllers;
  options.entries = kEntries;
  options.fleet.workers = kWorkers;
  options.fleet.allowed_share = 0.7;
  options.fleet.reported_port_offset = kProxyOffset;
  // Leaves room for clocks that are behind it.
  options.fleet.clock_ms = cut_off ? 3'600'000 : 0;
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

  Callers callers(cell, cut_off);
  LoadGenerator load(kCallers,
                     [&](int thread, int n) { callers.SubmitJob(thread, n); });
  std::atomic<bool> stopping = false;
  int version = 0;
  std::thread publisher(
      [&] { version = PublishVersions(cell, queues, stopping); });

  FaultInjector faults(cell, proxy, seed);
  if (cut_off) {
    faults.DrawSparedControllers();
  }
  std::mt19937_64 random(seed + 1);
  const auto begin_us = BootMicroseconds();
  const auto now_ms = [&] { return (BootMicroseconds() - begin_us) / 1'000; };
  const auto end_ms = static_cast<std::int64_t>(seconds) * 1'000;
  std::int64_t next_ms = 1'000;
  std::int64_t next_cut_ms = 1'500;
  while (now_ms() < end_ms || faults.any_cut_workers()) {
    faults.UndoExpiredFaults(now_ms());
    if (now_ms() < end_ms && cut_off && now_ms() >= next_cut_ms) {
      faults.RestartAndCutOffWorkers(now_ms());
      next_cut_ms = now_ms() + 3'000;
    }
    if (now_ms() < end_ms && now_ms() >= next_ms) {
      faults.InjectRandomFault(now_ms());
      if (restarts == WorkerRestarts::kSingle) {
        faults.RestartRandomWorker(now_ms());
      }
      next_ms = now_ms() + 200 + static_cast<std::int64_t>(random() % 1'300);
    }
    std::this_thread::sleep_for(Milliseconds(5));
  }
  constexpr std::int64_t kForever = std::int64_t{1} << 40;
  faults.UndoExpiredFaults(kForever);
  stopping = true;
  publisher.join();
  load.Stop();

  const auto jobs = callers.jobs();
  int accepted = 0;
  for (const auto& [id, job] : jobs) {
    accepted += job.accepted ? 1 : 0;
    CheckJob(cell, id, job);
  }
  cr_expect(WaitUntil(kRecoveryBound, [&] { return cell.FindLeader() >= 0; }));
  const auto table = cell.CallController(std::max(0, cell.FindLeader()), "GET",
                                         "/Config.Get", {})
                         .body;
  const auto compact = "\"version\":" + std::to_string(version);
  const auto spaced = "\"version\": " + std::to_string(version);
  cr_expect(table.find(compact) != std::string::npos ||
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

// Guards against jobs that are lost, run twice, run although they were refused
// or never end, and against a configuration that reverts to an older version,
// under faults in any order.
Test(soak, invariants_hold_under_random_faults) {
  RunSoak(ReadEnvironment("SOAK_SEED", kDefaultSeed),
          ReadEnvironment("SOAK_SECONDS", kDefaultSeconds));
}

// Guards against the same while workers start again under their ids, and take
// orders that were meant for their former incarnations.
Test(soak, invariants_hold_while_workers_restart_under_random_faults) {
  RunSoak(ReadEnvironment("SOAK_SEED", kDefaultSeed),
          ReadEnvironment("SOAK_SECONDS", kDefaultSeconds),
          WorkerRestarts::kSingle);
}

// Guards against tasks that run twice after starts that were meant for the
// former incarnation of a worker, and were carried out by one that the leader
// doesn't know when the worker is cut off.
Test(soak,
     invariants_hold_while_restarted_workers_are_cut_off_under_random_faults) {
  RunSoak(ReadEnvironment("SOAK_SEED", kCutOffSeed),
          ReadEnvironment("SOAK_SECONDS", kDefaultSeconds),
          WorkerRestarts::kSeveralAndCutOff);
}

// Seeds that failed once, with their causes:
//
// 1 and 27: a worker made a list of its runs before it accepted a start. The
// list arrived after the confirmation of that start, in the same millisecond,
// and the task was run twice.
//
// 30: the test assumed that a cancel request without a clear response had not
// been carried out.
Test(soak, invariants_hold_with_seed_1) {
  RunSoak(1, kDefaultSeconds);
}
Test(soak, invariants_hold_with_seed_27) {
  RunSoak(27, kDefaultSeconds);
}
Test(soak, invariants_hold_with_seed_30) {
  RunSoak(30, kDefaultSeconds);
}

}  // namespace cranberryshunt::test
