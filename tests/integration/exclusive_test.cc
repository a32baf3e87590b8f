// Exclusive work while leaders and workers fail.
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
// Short, so that leases run out several times during a test.
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

// Submits exclusive jobs one after the other; each must be done in the end.
LoadGenerator::Iteration ExclusiveTurns(Cell& cell, const std::string& prefix) {
  return [&cell, prefix](int thread, int n) {
    const auto told = cell.caller().SubmitUntilFinal(
        ExclusiveJob(prefix, thread, n), static_cast<std::size_t>(thread),
        kBound);
    cr_expect(told.outcome == "done", "%s: '%s', code %d %s",
              told.request.c_str(), told.outcome.c_str(), told.code,
              told.reason.c_str());
  };
}

bool StartsAfter(const Cell& cell, std::int64_t from_us, int count) {
  const auto records = cell.records();
  return std::count_if(records.begin(), records.end(), [&](const auto& it) {
           return it.event == "start" && it.boot_us > from_us;
         }) >= count;
}

// The stand-in process that holds the first task started, as in "target-1".
std::string BusyTarget(const Cell& cell) {
  for (const auto& it : cell.records()) {
    if (it.event == "start") {
      return it.worker.substr(0, it.worker.rfind('-'));
    }
  }
  return {};
}

}  // namespace

// Guards against a leader that was paused for longer than its lease and goes on
// placing work after another leader has placed it.
Test(exclusive, leader_paused_past_its_lease) {
  TestSeed();
  Cell cell({});
  cr_assert(cell.Start());
  LoadGenerator load(8, ExclusiveTurns(cell, "paused-"));
  cr_assert(WaitUntil(kBound, [&] { return load.iterations() > 16; }));
  for (int round = 0; round < 2; ++round) {
    const int leader = cell.FindLeader();
    cr_assert_geq(leader, 0);
    cell.controller(leader).Signal(SIGSTOP);
    const auto paused_us = BootMicroseconds();
    cr_expect(WaitUntil(kBound, [&] {
      return cell.FindLeader() >= 0 && cell.FindLeader() != leader &&
             StartsAfter(cell, paused_us, 20);
    }));
    cell.controller(leader).Signal(SIGCONT);
    const int before = load.iterations();
    cr_expect(
        WaitUntil(kBound, [&] { return load.iterations() > before + 16; }));
  }
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a leader that cannot hear its peers but still reaches them,
// and therefore keeps others from being elected or keeps placing work.
Test(exclusive, leader_cut_off_in_one_direction) {
  Cell cell({.proxied = true});
  cr_assert(cell.Start());
  LoadGenerator load(8, ExclusiveTurns(cell, "one-way-"));
  cr_assert(WaitUntil(kBound, [&] { return load.iterations() > 16; }));
  const int leader = cell.FindLeader();
  cr_assert_geq(leader, 0);
  const Link to_leader{"", "controller-" + std::to_string(leader)};
  cell.proxy().Freeze(to_leader, Direction::kToServer);
  const auto cut_us = BootMicroseconds();
  cr_expect(WaitUntil(kBound, [&] {
    return cell.FindLeader() != leader && StartsAfter(cell, cut_us, 40);
  }));
  cell.proxy().Heal(to_leader);
  const int before = load.iterations();
  cr_expect(WaitUntil(kBound, [&] { return load.iterations() > before + 16; }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against exclusive work that is placed again while a worker that cannot
// be reached still runs it, and against work that stays with a worker that is
// gone.
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
  cr_assert(WaitUntil(kBound, [&] { return StartsAfter(cell, 0, 8); }));
  const std::string target = BusyTarget(cell);
  const std::vector<Link> links = {{"", target}, {target, ""}};
  for (const Link& link : links) {
    cell.proxy().Freeze(link, Direction::kBoth);
  }
  const auto cut_us = BootMicroseconds();
  cr_expect(WaitUntil(kBound, [&] { return StartsAfter(cell, cut_us, 1); }));
  const auto told = cell.caller().SubmitUntilFinal(job, 0, kBound);
  cr_expect(told.outcome == "done", "'%s', code %d %s", told.outcome.c_str(),
            told.code, told.reason.c_str());
  for (const Link& link : links) {
    cell.proxy().Heal(link);
  }
  cr_expect(WaitUntil(kBound, [&] { return cell.CountLiveWorkers() == 8; }));
  LoadGenerator load(4, ExclusiveTurns(cell, "after-cut-"));
  cr_expect(WaitUntil(kBound, [&] { return load.iterations() > 8; }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against tasks of an earlier process of a worker that are believed to
// run in the new one.
Test(exclusive, worker_restarts_with_the_same_identity) {
  Cell cell({.target_processes = 2, .controller_arguments = kShortLease});
  cr_assert(cell.Start());
  LoadGenerator load(8, ExclusiveTurns(cell, "restart-"));
  for (int round = 0; round < 2; ++round) {
    const int before = load.iterations();
    cr_assert(
        WaitUntil(kBound, [&] { return load.iterations() > before + 16; }));
    cell.KillTarget(round);
    cell.StartTarget(round);
  }
  const int before = load.iterations();
  cr_expect(WaitUntil(kBound, [&] { return load.iterations() > before + 16; }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a start that arrives after the lease under which it was sent
// and runs beside the one that replaced it.
Test(exclusive, start_held_back_past_the_lease) {
  Cell cell({.target_processes = 2,
             .proxied = true,
             .controller_arguments = kShortLease});
  cr_assert(cell.Start());
  LoadGenerator load(8, ExclusiveTurns(cell, "held-"));
  cr_assert(WaitUntil(kBound, [&] { return load.iterations() > 8; }));
  const auto held_us = BootMicroseconds();
  cell.proxy().FreezeFor({"entry-0", "target-0"}, Milliseconds(7'000));
  cell.proxy().FreezeFor({"entry-1", "target-0"}, Milliseconds(7'000));
  cr_expect(WaitUntil(kBound, [&] {
    return BootMicroseconds() - held_us > 9'000'000 &&
           StartsAfter(cell, held_us, 40);
  }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace cranberryshunt::test
