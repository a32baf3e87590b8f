// Tests that no task runs twice while workers restart under their ids at random
// times and are cut off soon after.
#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "cell_harness.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr std::int64_t kFaultsMs = 45'000;
// Several of these repeat tasks if leases are taken for shorter ones.
constexpr std::uint64_t kFirstSeed = 22;
constexpr std::uint64_t kLastSeed = 33;

class RandomFaults {
 public:
  RandomFaults(std::uint64_t seed, bool with_departures)
      : random_(seed),
        with_departures_(with_departures),
        cell_({.workers = 4,
               .network_ms = Draw(0, 2) == 0 ? Draw(20, 150) : 5,
               .seed = seed}) {}

  // Returns the violations.
  const std::vector<std::string>& Run() {
    cell_.Run(200);
    cell_.Publish({MakeQueue("a", 1)});
    cell_.Run(1'000);
    const auto end_ms = cell_.now_ms() + kFaultsMs;
    auto next_fault_ms = cell_.now_ms() + 500;
    while (cell_.now_ms() < end_ms) {
      if (Draw(0, 2) == 0) {
        SubmitJob();
      }
      if (cell_.now_ms() >= next_fault_ms) {
        RestartAndCutOff(static_cast<std::size_t>(Draw(0, 3)));
        next_fault_ms = cell_.now_ms() + Draw(200, 6'000);
      }
      UpdateCuts();
      cell_.Run(20 * Draw(1, 5));
    }
    for (auto& it : cell_.workers) {
      it.silent = false;
      it.loses_replies = false;
    }
    cell_.Run(15'000);
    return cell_.violations;
  }

 private:
  // A change of whether a worker is cut off.
  struct Cut {
    std::int64_t at_ms = 0;
    std::size_t worker = 0;
    bool silent = false;
  };

  std::int64_t Draw(std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution(from, to)(random_);
  }

  void SubmitJob() {
    const bool is_short = Draw(0, 3) == 0;
    const auto run_ms = is_short ? Draw(50, 500) : Draw(6'000, 14'000);
    const auto tasks = static_cast<std::int32_t>(Draw(1, 4));
    const auto milli_cpus = 250 * Draw(1, 4);
    cell_.Submit(next_job_++, "a", MakeJob(tasks, milli_cpus, run_ms));
  }

  void RestartAndCutOff(std::size_t n) {
    constexpr std::array kOpenCalls{OpenCalls::kAnsweredByNext,
                                    OpenCalls::kReset, OpenCalls::kDark};
    auto& worker = cell_.workers[n];
    const auto how =
        static_cast<std::size_t>(Draw(0, with_departures_ ? 3 : 2));
    if (how < kOpenCalls.size()) {
      cell_.RestartAtOnce(worker, kOpenCalls[how]);
    } else {
      cell_.Depart(worker);
      worker.gone = false;
      cell_.RestartAtOnce(worker);
    }
    worker.loses_replies = Draw(0, 1) == 0;
    const auto cut_ms = cell_.now_ms() + Draw(0, Draw(0, 2) == 0 ? 2'500 : 700);
    cuts_.push_back({cut_ms, n, true});
    cuts_.push_back({cut_ms + Draw(3'000, 14'000), n, false});
  }

  void UpdateCuts() {
    std::erase_if(cuts_, [&](const auto& it) {
      if (it.at_ms > cell_.now_ms()) {
        return false;
      }
      cell_.workers[it.worker].silent = it.silent;
      cell_.workers[it.worker].loses_replies = false;
      return true;
    });
  }

  std::mt19937_64 random_;
  const bool with_departures_;
  CellHarness cell_;
  graph::JobId next_job_ = 1;
  std::vector<Cut> cuts_;
};

void ExpectNoViolations(bool with_departures) {
  for (auto seed = kFirstSeed; seed <= kLastSeed; ++seed) {
    RandomFaults faults(seed, with_departures);
    for (const auto& it : faults.Run()) {
      cr_expect_fail("seed %d: %s", static_cast<int>(seed), it.c_str());
    }
  }
}

}  // namespace

// Guards against a lease that the leader takes for expired although an
// incarnation that it doesn't know has granted a longer one.
Test(random_restart, runs_nothing_twice) {
  ExpectNoViolations(false);
}

// Guards against the same if some of the workers say that they leave.
Test(random_restart, runs_nothing_twice_beside_departures) {
  ExpectNoViolations(true);
}
