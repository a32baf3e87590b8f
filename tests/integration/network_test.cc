// Connections and processes that become unreachable without a connection error.
#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <string>
#include <utility>

#include "support/cell.h"
#include "support/load_generator.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{25'000};
// Required (section 1.6): placements resume within 2 s of a leader failure, and
// service recovers within 3 s when all open connections stop delivering data.
constexpr std::int64_t kResumeBoundUs = 2'000'000;
constexpr std::int64_t kSilenceBoundUs = 3'000'000;

// Submits batch and interactive jobs until stopped. The outcomes of
// non-idempotent jobs may stay unknown while parts of the cell are unreachable.
class MixedLoad {
 public:
  explicit MixedLoad(Cell& cell,
                     int threads = 12,
                     std::string prefix = "mixed-")
      : cell_(cell),
        prefix_(std::move(prefix)),
        load_(threads, [this](int thread, int n) { SubmitJob(thread, n); }) {}

  LoadGenerator& load() { return load_; }

 private:
  void SubmitJob(int thread, int n) {
    JobRequest job;
    job.request = prefix_ + std::to_string(thread) + "-" + std::to_string(n);
    job.kind = thread % 2 == 0 ? "batch" : "interactive";
    job.key = job.request;
    job.idempotent = thread % 4 < 2;
    job.exclusive = thread % 3 == 0;
    job.more_payload = "sleep=20";
    const auto response = cell_.caller().SubmitUntilFinal(job, thread, kBound);
    cr_expect(response.outcome == "done" ||
                  (!job.idempotent && response.outcome == "unknown"),
              "%s: '%s', code %d %s", job.request.c_str(),
              response.outcome.c_str(), response.code, response.reason.c_str());
  }

  Cell& cell_;
  const std::string prefix_;
  LoadGenerator load_;
};

// Returns the longest time between two consecutive starts after `from_us`,
// which itself counts as the first one. Prints the result.
std::int64_t LongestGapUs(const Cell& cell, std::int64_t from_us) {
  std::int64_t last = from_us;
  std::int64_t longest = 0;
  for (const auto& record : cell.records()) {
    if (record.event == "start" && record.boot_us > last) {
      longest = std::max(longest, record.boot_us - last);
      last = record.boot_us;
    }
  }
  std::fprintf(stderr, "longest gap between starts %lld ms\n",
               static_cast<long long>(longest / 1'000));
  return longest;
}

void WaitForIterations(LoadGenerator& load, int count) {
  const int iterations_before = load.iterations();
  cr_assert(WaitUntil(
      kBound, [&] { return load.iterations() >= iterations_before + count; }));
}

}  // namespace

// Guards against a component that waits forever on an open connection that a
// middlebox has silently dropped.
Test(network, open_connections_go_silent) {
  TestSeed();
  Cell cell({.proxied = true});
  cr_assert(cell.Start());
  MixedLoad mixed(cell);
  WaitForIterations(mixed.load(), 100);
  const auto fault_us = BootMicroseconds();
  cell.proxy().FreezeOpenConnections(Link());
  // Callers whose own connection is frozen send nothing until they time
  // out, after up to 7 s. New callers therefore measure when service recovers.
  MixedLoad arrivals(cell, 4, "arrival-");
  WaitForIterations(mixed.load(), 200);
  arrivals.load().Stop();
  mixed.load().Stop();
  cr_expect_leq(LongestGapUs(cell, fault_us), kSilenceBoundUs);
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against an isolated leader that continues to place jobs, and against a
// cell that waits for it instead of electing another leader.
Test(network, leader_is_cut_off) {
  Cell cell({.proxied = true});
  cr_assert(cell.Start());
  MixedLoad mixed(cell);
  WaitForIterations(mixed.load(), 100);
  const auto leader = "controller-" + std::to_string(cell.FindLeader());
  const auto fault_us = BootMicroseconds();
  cell.proxy().Freeze({leader, ""}, Direction::kBoth);
  cell.proxy().Freeze({"", leader}, Direction::kBoth);
  WaitForIterations(mixed.load(), 200);
  cell.proxy().Heal({leader, ""});
  cell.proxy().Heal({"", leader});
  WaitForIterations(mixed.load(), 100);
  mixed.load().Stop();
  cr_expect_leq(LongestGapUs(cell, fault_us), kResumeBoundUs);
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against an exclusive task that is placed again while an isolated
// worker still runs it, and against jobs that wait forever for that worker.
Test(network, workers_are_cut_off) {
  Cell cell({.proxied = true});
  cr_assert(cell.Start());
  JobRequest job;
  job.kind = "batch";
  job.tasks = 8;
  job.more_payload = "sleep=1500";
  std::atomic<int> done = 0;
  LoadGenerator load(4, [&](int thread, int n) {
    JobRequest thread_job = job;
    thread_job.request =
        "cut-" + std::to_string(thread) + "-" + std::to_string(n);
    thread_job.key = thread_job.request;
    thread_job.exclusive = thread % 2 == 0;
    const auto response =
        cell.caller().SubmitUntilFinal(thread_job, thread, kBound);
    done += response.outcome == "done" ? 1 : 0;
    cr_expect(response.outcome == "done", "%s: '%s', code %d %s",
              thread_job.request.c_str(), response.outcome.c_str(),
              response.code, response.reason.c_str());
  });
  cr_assert(WaitUntil(kBound, [&] { return load.iterations() >= 4; }));
  cell.proxy().Freeze({"target-0", ""}, Direction::kBoth);
  cell.proxy().Freeze({"", "target-0"}, Direction::kBoth);
  // The leases last 10 s. The leader may place the tasks again shortly after
  // they expire.
  cr_assert(WaitUntil(kBound, [&] { return cell.CountLiveWorkers() == 4; }));
  const int done_before = done;
  cr_expect(WaitUntil(kBound, [&] { return done >= done_before + 4; }));
  cell.proxy().Heal({"target-0", ""});
  cell.proxy().Heal({"", "target-0"});
  cr_expect(WaitUntil(kBound, [&] { return cell.CountLiveWorkers() == 8; }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace cranberryshunt::test
