// Random faults, chosen by a seed, under a steady load of all kinds of jobs.
#include <criterion/criterion.h>
#include <signal.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "support/cell.h"
#include "support/load_generator.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{60'000};
// The environment variable MIXED_SECONDS sets another duration.
constexpr int kDefaultSeconds = 25;

int RunSeconds() {
  const char* text = std::getenv("MIXED_SECONDS");
  return text == nullptr ? kDefaultSeconds : std::atoi(text);
}

JobRequest MixedJob(int thread, int n) {
  constexpr std::array kKinds = {"interactive", "batch", "gang"};
  JobRequest job;
  job.request = "mixed-" + std::to_string(thread) + "-" + std::to_string(n);
  job.kind = kKinds[static_cast<std::size_t>(thread + n) % kKinds.size()];
  job.tasks = job.kind == "gang" ? 3 : 1;
  job.key = job.request;
  job.idempotent = n % 3 != 0;
  job.exclusive = n % 4 == 0;
  job.more_payload = "sleep=" + std::to_string(20 + 40 * (n % 5)) +
                     ";answer_bytes=" + std::to_string(100 * (n % 7));
  return job;
}

// Injects random faults, which last until UndoAll(). Exceptions: open
// connections stay frozen for good, and traffic to a target resumes after a
// fixed time.
class FaultInjector {
 public:
  FaultInjector(Cell& cell, std::uint64_t seed) : cell_(cell), random_(seed) {}

  void InjectRandomFault() {
    const int kind = RandomBelow(8);
    const int controller = RandomBelow(3);
    const int entry = RandomBelow(2);
    const int target = RandomBelow(2);
    switch (kind) {
      case 0:
        return KillController(controller);
      case 1:
        return PauseController(controller);
      case 2:
        return KillEntry(entry);
      case 3:
        return KillTarget(target);
      case 4:
        return FreezeOpenConnections();
      case 5:
        return Isolate("controller-" + std::to_string(controller));
      case 6:
        return Isolate("target-" + std::to_string(target));
      default:
        return FreezeTrafficToTarget(target);
    }
  }

  void UndoAll() {
    for (const auto& undo : undo_) {
      undo();
    }
    undo_.clear();
  }

 private:
  int RandomBelow(int n) { return static_cast<int>(random_() % n); }

  static void LogFault(const std::string& what) {
    std::fprintf(stderr, "fault: %s\n", what.c_str());
  }

  void KillController(int n) {
    LogFault("kill controller " + std::to_string(n));
    cell_.controller(n).Kill();
    undo_.emplace_back([this, n] { cell_.StartController(n, false); });
  }

  void PauseController(int n) {
    LogFault("pause controller " + std::to_string(n));
    cell_.controller(n).Signal(SIGSTOP);
    undo_.emplace_back([this, n] { cell_.controller(n).Signal(SIGCONT); });
  }

  void KillEntry(int n) {
    LogFault("kill entry " + std::to_string(n));
    cell_.entry(n).Kill();
    undo_.emplace_back([this, n] { cell_.StartEntry(n); });
  }

  void KillTarget(int n) {
    LogFault("kill target " + std::to_string(n));
    cell_.KillTarget(n);
    undo_.emplace_back([this, n] { cell_.StartTarget(n); });
  }

  void FreezeOpenConnections() {
    LogFault("freeze all open connections");
    cell_.proxy().FreezeOpenConnections({"", ""});
  }

  void Isolate(const std::string& name) {
    LogFault("isolate " + name);
    const std::vector<Link> links = {{name, ""}, {"", name}};
    for (const auto& link : links) {
      cell_.proxy().Freeze(link, Direction::kBoth);
    }
    undo_.emplace_back([this, links] {
      for (const auto& link : links) {
        cell_.proxy().Heal(link);
      }
    });
  }

  void FreezeTrafficToTarget(int target) {
    LogFault("freeze traffic to target " + std::to_string(target));
    cell_.proxy().FreezeFor({"", "target-" + std::to_string(target)},
                            Milliseconds(4'000));
  }

  Cell& cell_;
  std::mt19937_64 random_;
  std::vector<std::function<void()>> undo_;
};

}  // namespace

// Guards against violations of the invariants when faults of several kinds
// combine.
Test(mixed, faults_over_a_steady_load) {
  const auto seed = TestSeed();
  Cell cell({.proxied = true,
             .controller_arguments = {"--worker-lease", "3000",
                                      "--snapshot-every", "500"}});
  cr_assert(cell.Start());
  LoadGenerator load(10, [&](int thread, int n) {
    const auto job = MixedJob(thread, n);
    const auto response = cell.caller().SubmitUntilFinal(
        job, static_cast<std::size_t>(thread), kBound);
    const bool final_outcome =
        response.outcome == "done" || response.outcome == "failed" ||
        response.outcome == "not_run" || response.outcome == "unknown";
    cr_expect(final_outcome, "%s: '%s', code %d %s", job.request.c_str(),
              response.outcome.c_str(), response.code, response.reason.c_str());
    cr_expect(response.outcome != "unknown" || !job.idempotent,
              "%s is idempotent and became unknown: code %d %s",
              job.request.c_str(), response.code, response.reason.c_str());
  });
  FaultInjector faults(cell, seed);
  std::mt19937_64 random(seed + 1);
  const auto end_us = BootMicroseconds() + RunSeconds() * 1'000'000LL;
  while (BootMicroseconds() < end_us) {
    const auto from_us = BootMicroseconds();
    const auto pause_us =
        static_cast<std::int64_t>(1'000'000 + random() % 2'000'000);
    faults.InjectRandomFault();
    WaitUntil(kBound, [&] { return BootMicroseconds() - from_us > pause_us; });
    faults.UndoAll();
  }
  const int iterations_before = load.iterations();
  cr_expect(
      WaitUntil(kBound,
                [&] { return load.iterations() > iterations_before + 50; }),
      "no progress after the last fault");
  load.Stop();
  std::fprintf(stderr, "requests %d\n", load.iterations());
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace cranberryshunt::test
