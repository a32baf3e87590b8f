// Exclusive jobs while leaders and workers fail.
#include <criterion/criterion.h>
#include <signal.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/cell.h"
#include "support/load_generator.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{40'000};
// In milliseconds; short enough that leases expire several times during a test.
const std::vector<std::string> kShortLease = {"--worker-lease", "3000"};

JobRequest ExclusiveJob(const std::string& prefix, int thread, int n) {
  JobRequest job;
  job.request = prefix + std::to_string(thread) + "-" + std::to_string(n);
  job.kind = "batch";
  job.key = job.request;
  job.exclusive = true;
  job.more_payload = "sleep=300";
  return job;
}

// Returns an iteration that submits one exclusive job and expects it to be
// done.
LoadGenerator::Iteration MakeExclusiveIteration(Cell& cell,
                                                const std::string& prefix) {
  return [&cell, prefix](int thread, int n) {
    const auto response = cell.caller().SubmitUntilFinal(
        ExclusiveJob(prefix, thread, n), static_cast<std::size_t>(thread),
        kBound);
    cr_expect(response.outcome == "done", "%s: '%s', code %d %s",
              response.request.c_str(), response.outcome.c_str(), response.code,
              response.reason.c_str());
  };
}

// Whether at least `count` tasks have started after `from_us`.
bool HasStartsAfter(const Cell& cell, std::int64_t from_us, int count) {
  const auto records = cell.records();
  return std::count_if(records.begin(), records.end(), [&](const auto& it) {
           return it.event == "start" && it.boot_us > from_us;
         }) >= count;
}

// Returns the name of the stand-in process that started the first task, for
// example "target-1".
std::string FindBusyTarget(const Cell& cell) {
  for (const auto& it : cell.records()) {
    if (it.event == "start") {
      return it.worker.substr(0, it.worker.rfind('-'));
    }
  }
  return {};
}

}  // namespace

// Guards against a leader that is paused for longer than its lease and then
// places jobs that its successor has already placed.
Test(exclusive, leader_paused_past_its_lease) {
  TestSeed();
  Cell cell({});
  cr_assert(cell.Start());
  LoadGenerator load(8, MakeExclusiveIteration(cell, "paused-"));
  cr_assert(WaitUntil(kBound, [&] { return load.iterations() > 16; }));
  for (int round = 0; round < 2; ++round) {
    const int leader = cell.FindLeader();
    cr_assert_geq(leader, 0);
    cell.controller(leader).Signal(SIGSTOP);
    const auto paused_us = BootMicroseconds();
    cr_expect(WaitUntil(kBound, [&] {
      return cell.FindLeader() >= 0 && cell.FindLeader() != leader &&
             HasStartsAfter(cell, paused_us, 20);
    }));
    cell.controller(leader).Signal(SIGCONT);
    const int iterations_before = load.iterations();
    cr_expect(WaitUntil(
        kBound, [&] { return load.iterations() > iterations_before + 16; }));
  }
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a leader that receives no requests from its peers but can
// still send its own, and therefore prevents an election or continues to place
// jobs.
Test(exclusive, leader_cut_off_in_one_direction) {
  Cell cell({.proxied = true});
  cr_assert(cell.Start());
  LoadGenerator load(8, MakeExclusiveIteration(cell, "one-way-"));
  cr_assert(WaitUntil(kBound, [&] { return load.iterations() > 16; }));
  const int leader = cell.FindLeader();
  cr_assert_geq(leader, 0);
  const Link to_leader{"", "controller-" + std::to_string(leader)};
  cell.proxy().Freeze(to_leader, Direction::kToServer);
  const auto cut_us = BootMicroseconds();
  cr_expect(WaitUntil(kBound, [&] {
    return cell.FindLeader() != leader && HasStartsAfter(cell, cut_us, 40);
  }));
  cell.proxy().Heal(to_leader);
  const int iterations_before = load.iterations();
  cr_expect(WaitUntil(
      kBound, [&] { return load.iterations() > iterations_before + 16; }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against an exclusive task that is placed again while an unreachable
// worker still runs it, and against tasks that stay assigned to a worker that
// has failed.
Test(exclusive, worker_cut_off_and_back) {
  Cell cell({.target_processes = 2,
             .proxied = true,
             .controller_arguments = kShortLease});
  cr_assert(cell.Start());
  JobRequest job = ExclusiveJob("cut-", 0, 0);
  job.more_payload = "sleep=6000";
  job.tasks = 8;
  cr_assert_eq(cell.caller().Submit(job, 0, Milliseconds(0)).outcome,
               "pending");
  cr_assert(WaitUntil(kBound, [&] { return HasStartsAfter(cell, 0, 8); }));
  const std::string target = FindBusyTarget(cell);
  const std::vector<Link> links = {{"", target}, {target, ""}};
  for (const Link& link : links) {
    cell.proxy().Freeze(link, Direction::kBoth);
  }
  const auto cut_us = BootMicroseconds();
  cr_expect(WaitUntil(kBound, [&] { return HasStartsAfter(cell, cut_us, 1); }));
  const auto response = cell.caller().SubmitUntilFinal(job, 0, kBound);
  cr_expect(response.outcome == "done", "'%s', code %d %s",
            response.outcome.c_str(), response.code, response.reason.c_str());
  for (const Link& link : links) {
    cell.proxy().Heal(link);
  }
  cr_expect(WaitUntil(kBound, [&] { return cell.CountLiveWorkers() == 8; }));
  LoadGenerator load(4, MakeExclusiveIteration(cell, "after-cut-"));
  cr_expect(WaitUntil(kBound, [&] { return load.iterations() > 8; }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against tasks of a previous process of a worker that are assumed to
// run in its new process.
Test(exclusive, worker_restarts_with_the_same_identity) {
  Cell cell({.target_processes = 2, .controller_arguments = kShortLease});
  cr_assert(cell.Start());
  LoadGenerator load(8, MakeExclusiveIteration(cell, "restart-"));
  for (int round = 0; round < 2; ++round) {
    const int iterations_before = load.iterations();
    cr_assert(WaitUntil(
        kBound, [&] { return load.iterations() > iterations_before + 16; }));
    cell.KillTarget(round);
    cell.StartTarget(round);
  }
  const int iterations_before = load.iterations();
  cr_expect(WaitUntil(
      kBound, [&] { return load.iterations() > iterations_before + 16; }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a start request that arrives after its lease has expired and
// runs at the same time as the replacement of the task.
Test(exclusive, start_held_back_past_the_lease) {
  Cell cell({.target_processes = 2,
             .proxied = true,
             .controller_arguments = kShortLease});
  cr_assert(cell.Start());
  LoadGenerator load(8, MakeExclusiveIteration(cell, "held-"));
  cr_assert(WaitUntil(kBound, [&] { return load.iterations() > 8; }));
  const auto held_us = BootMicroseconds();
  cell.proxy().FreezeFor({"entry-0", "target-0"}, Milliseconds(7'000));
  cell.proxy().FreezeFor({"entry-1", "target-0"}, Milliseconds(7'000));
  cr_expect(WaitUntil(kBound, [&] {
    return BootMicroseconds() - held_us > 9'000'000 &&
           HasStartsAfter(cell, held_us, 40);
  }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace cranberryshunt::test
