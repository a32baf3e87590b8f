// Connections that go silent and processes that are cut off without an error.
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
// Section 1.6: placements resume within 2 s of a leader failure, and service
// recovers within 3 s when all open connections stop delivering data.
constexpr std::int64_t kResumeBoundUs = 2'000'000;
constexpr std::int64_t kSilenceBoundUs = 3'000'000;

// Submits jobs of all sorts; outcomes of work that must not be started again
// may stay unknown while parts of the cell are cut off.
class MixedLoad {
 public:
  explicit MixedLoad(Cell& cell,
                     int threads = 12,
                     std::string prefix = "mixed-")
      : cell_(cell),
        prefix_(std::move(prefix)),
        load_(threads, [this](int thread, int n) { Submit(thread, n); }) {}

  LoadGenerator& load() { return load_; }

 private:
  void Submit(int thread, int n) {
    JobRequest job;
    job.request = prefix_ + std::to_string(thread) + "-" + std::to_string(n);
    job.kind = thread % 2 == 0 ? "batch" : "interactive";
    job.key = job.request;
    job.idempotent = thread % 4 < 2;
    job.exclusive = thread % 3 == 0;
    job.more_payload = "sleep=20";
    const auto told = cell_.caller().SubmitUntilFinal(job, thread, kBound);
    cr_expect(told.outcome == "done" ||
                  (!job.idempotent && told.outcome == "unknown"),
              "%s: '%s', code %d %s", job.request.c_str(), told.outcome.c_str(),
              told.code, told.reason.c_str());
  }

  Cell& cell_;
  const std::string prefix_;
  LoadGenerator load_;
};

// Time from `from_us` to the first start after it, or the time until now.
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

void WaitForTurns(LoadGenerator& load, int turns) {
  const int before = load.iterations();
  cr_assert(
      WaitUntil(kBound, [&] { return load.iterations() >= before + turns; }));
}

}  // namespace

// Guards against a component that waits for ever on a connection that a
// middlebox has forgotten.
Test(network, open_connections_go_silent) {
  TestSeed();
  Cell cell({.proxied = true});
  cr_assert(cell.Start());
  MixedLoad mixed(cell);
  WaitForTurns(mixed.load(), 100);
  const auto begin_us = BootMicroseconds();
  cell.proxy().FreezeOpenConnections(Link());
  // Callers whose own connection is dead send nothing until they give up, after
  // up to 7 s, so others measure when service is back.
  MixedLoad arrivals(cell, 4, "arrival-");
  WaitForTurns(mixed.load(), 200);
  arrivals.load().Stop();
  mixed.load().Stop();
  cr_expect_leq(LongestGapUs(cell, begin_us), kSilenceBoundUs);
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a leader that is cut off and goes on deciding, and against a
// cell that waits for it.
Test(network, leader_is_cut_off) {
  Cell cell({.proxied = true});
  cr_assert(cell.Start());
  MixedLoad mixed(cell);
  WaitForTurns(mixed.load(), 100);
  const auto leader = "controller-" + std::to_string(cell.FindLeader());
  const auto begin_us = BootMicroseconds();
  cell.proxy().Freeze({leader, ""}, Direction::kBoth);
  cell.proxy().Freeze({"", leader}, Direction::kBoth);
  WaitForTurns(mixed.load(), 200);
  cell.proxy().Heal({leader, ""});
  cell.proxy().Heal({"", leader});
  WaitForTurns(mixed.load(), 100);
  mixed.load().Stop();
  cr_expect_leq(LongestGapUs(cell, begin_us), kResumeBoundUs);
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against exclusive work that is placed again while a worker that was
// cut off still runs it, and against work that waits for that worker for ever.
Test(network, workers_are_cut_off) {
  Cell cell({.proxied = true});
  cr_assert(cell.Start());
  JobRequest job;
  job.kind = "batch";
  job.tasks = 8;
  job.more_payload = "sleep=1500";
  std::atomic<int> done = 0;
  LoadGenerator load(4, [&](int thread, int n) {
    JobRequest own = job;
    own.request = "cut-" + std::to_string(thread) + "-" + std::to_string(n);
    own.key = own.request;
    own.exclusive = thread % 2 == 0;
    const auto told = cell.caller().SubmitUntilFinal(own, thread, kBound);
    done += told.outcome == "done" ? 1 : 0;
    cr_expect(told.outcome == "done", "%s: '%s', code %d %s",
              own.request.c_str(), told.outcome.c_str(), told.code,
              told.reason.c_str());
  });
  cr_assert(WaitUntil(kBound, [&] { return load.iterations() >= 4; }));
  cell.proxy().Freeze({"target-0", ""}, Direction::kBoth);
  cell.proxy().Freeze({"", "target-0"}, Direction::kBoth);
  // The leases last 10 s; the leader may place again a little later.
  cr_assert(WaitUntil(kBound, [&] { return cell.CountLiveWorkers() == 4; }));
  const int before = done;
  cr_expect(WaitUntil(kBound, [&] { return done >= before + 4; }));
  cell.proxy().Heal({"target-0", ""});
  cell.proxy().Heal({"", "target-0"});
  cr_expect(WaitUntil(kBound, [&] { return cell.CountLiveWorkers() == 8; }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace cranberryshunt::test
