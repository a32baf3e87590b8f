// The programs of the users' platform as real processes: forming a cell from
// seeds, the whole path, reloads, lost controllers and disks.
#include <criterion/criterion.h>
#include <signal.h>

#include <string>
#include <vector>

#include "support/platform/platform_cell.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{20'000};

std::string JobId(int n) {
  std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), 'a') + digits;
}

void Begin(PlatformCell& cell, const std::vector<PlatformQueue>& queues) {
  cr_assert(cell.Start(), "the entries did not become ready");
  cr_assert_eq(cell.Publish(1, queues), 200);
}

// Submits until the job is accepted; workers may not have been found yet.
void SubmitAccepted(PlatformCell& cell,
                    const std::string& queue,
                    const std::string& id,
                    int tasks,
                    std::int64_t run_ms) {
  cr_assert(
      WaitUntil(
          kBound,
          [&] { return cell.Submit(queue, id, tasks, run_ms, 2'000) == 200; }),
      "job %s was not accepted", id.c_str());
}

void ExpectNoViolations(PlatformCell& cell) {
  for (const auto& it : cell.fleet().ledger().violations()) {
    cr_expect_fail("%s", it.c_str());
  }
}

}  // namespace

// Guards the whole path: a cell forms from three seeds, takes a configuration,
// finds workers by their reports, and runs and cancels jobs.
Test(platform_cell, serves_a_calm_day) {
  PlatformCell cell({});
  Begin(cell, {{.name = "plain"}, {.name = "advised", .advice = true}});
  for (int n = 0; n < 6; ++n) {
    SubmitAccepted(cell, n % 2 == 0 ? "plain" : "advised", JobId(n), 3, 200);
  }
  for (int n = 0; n < 6; ++n) {
    cr_expect(cell.WaitForState(n % 2 == 0 ? "plain" : "advised", JobId(n),
                                "completed", kBound),
              "job %d", n);
  }
  cr_expect_eq(cell.fleet().ledger().starts(), 18);
  // The same id is the same job.
  cr_expect_eq(cell.Submit("plain", JobId(0), 3, 200, 2'000), 200);
  SubmitAccepted(cell, "plain", JobId(10), 2, 60'000);
  cr_expect(cell.WaitForState("plain", JobId(10), "running", kBound));
  cr_expect_eq(cell.Call(0, "DELETE", "/plain/" + JobId(10)).status, 200);
  cr_expect(cell.WaitForState("plain", JobId(10), "cancelled", kBound));
  cr_expect_eq(cell.Call(1, "GET", "/plain/" + JobId(77)).status, 410);
  cr_expect_eq(cell.Call(1, "GET", "/nowhere/" + JobId(0)).status, 404);
  cr_expect_eq(cell.fleet().ledger().starts(), 20);
  ExpectNoViolations(cell);
}

// Guards against a reload signal that ends a process, and against a changed
// settings file that is only noticed with a signal.
Test(platform_cell, reloads_settings_while_it_serves) {
  PlatformCell cell({});
  Begin(cell, {{.name = "plain"}});
  SubmitAccepted(cell, "plain", JobId(1), 4, 1'500);
  for (int round = 0; round < 3; ++round) {
    for (int n = 0; n < 3; ++n) {
      cell.controller(n).Signal(SIGHUP);
    }
    for (int n = 0; n < 2; ++n) {
      cell.entry(n).Signal(SIGHUP);
    }
    SubmitAccepted(cell, "plain", JobId(100 + round), 1, 50);
  }
  cr_expect(WaitUntil(kBound, [&] {
    return cell.LogLines("requested=yes changed=no").size() >= 5;
  }));
  cell.WriteControllerSettings(0, true, {1, 2});
  cr_expect(WaitUntil(
      kBound, [&] { return !cell.LogLines("seeds_changed=yes").empty(); }));
  cr_expect(cell.WaitForState("plain", JobId(1), "completed", kBound));
  for (int n = 0; n < 3; ++n) {
    cr_expect(cell.controller(n).running());
  }
  cr_expect_eq(cell.fleet().ledger().starts(), 7);
  ExpectNoViolations(cell);
}

// Guards against runs that are lost or doubled when the leader is killed, and
// against a controller that cannot come back.
Test(platform_cell, survives_a_killed_leader) {
  PlatformCell cell({});
  Begin(cell, {{.name = "plain"}});
  SubmitAccepted(cell, "plain", JobId(1), 8, 4'000);
  cr_assert(cell.WaitForState("plain", JobId(1), "running", kBound));
  const int leader = cell.Leader();
  cr_assert_geq(leader, 0);
  cell.controller(leader).Kill();
  SubmitAccepted(cell, "plain", JobId(2), 4, 300);
  cr_expect(cell.WaitForState("plain", JobId(2), "completed", kBound));
  cell.StartController(leader, false);
  cr_expect(cell.WaitForState("plain", JobId(1), "completed", kBound));
  cr_expect_eq(cell.fleet().ledger().starts(), 12);
  ExpectNoViolations(cell);
}

// Guards against what was accepted being lost with disks: first one controller
// comes back with an empty disk, then another one.
Test(platform_cell, replaces_lost_disks_one_after_the_other) {
  PlatformCell cell({});
  Begin(cell, {{.name = "plain"}});
  SubmitAccepted(cell, "plain", JobId(1), 2, 100);
  cr_assert(cell.WaitForState("plain", JobId(1), "completed", kBound));
  for (int n = 0; n < 2; ++n) {
    const auto joined = cell.LogLines("message=\"membership changed\"").size();
    cell.controller(n).Kill();
    cell.WipeController(n);
    cell.StartController(n, false);
    // The new disk joins as a learner and is promoted.
    cr_assert(
        WaitUntil(
            kBound,
            [&] {
              return cell.LogLines("message=\"membership changed\"").size() >=
                     joined + 2;
            }),
        "controller %d did not join", n);
    SubmitAccepted(cell, "plain", JobId(10 + n), 2, 100);
    cr_expect(cell.WaitForState("plain", JobId(10 + n), "completed", kBound));
  }
  cr_expect(cell.WaitForState("plain", JobId(1), "completed", kBound));
  cr_expect_eq(cell.fleet().ledger().starts(), 6);
  ExpectNoViolations(cell);
}

// Guards against a worker whose silence holds its tasks up for good, and
// against a second run before its lease has run out.
Test(platform_cell, moves_tasks_off_a_silent_worker) {
  PlatformCell cell({});
  Begin(cell, {{.name = "plain"}});
  SubmitAccepted(cell, "plain", JobId(1), 16, 4'000);
  cr_assert(
      WaitUntil(kBound, [&] { return cell.fleet().ledger().starts() >= 16; }));
  cell.fleet().Silence(0, true);
  cr_expect(
      cell.WaitForState("plain", JobId(1), "completed", Milliseconds(30'000)));
  ExpectNoViolations(cell);
}

// Guards against runs that are lost or doubled in a cell whose calls to workers
// are spread, when a controller that makes them is killed.
Test(platform_cell, spreads_the_calls_of_a_large_cell) {
  PlatformCellOptions options;
  options.fleet.workers = 160;
  PlatformCell cell(options);
  Begin(cell, {{.name = "plain"}});
  cr_assert(WaitUntil(kBound, [&] {
    return !cell.LogLines("calls to workers are spread").empty();
  }));
  for (int n = 0; n < 10; ++n) {
    SubmitAccepted(cell, "plain", JobId(n), 20, 1'000);
  }
  const int leader = cell.Leader();
  cr_assert_geq(leader, 0);
  cell.controller((leader + 1) % 3).Kill();
  for (int n = 10; n < 20; ++n) {
    SubmitAccepted(cell, "plain", JobId(n), 20, 1'000);
  }
  for (int n = 0; n < 20; ++n) {
    cr_expect(cell.WaitForState("plain", JobId(n), "completed", kBound),
              "job %d", n);
  }
  ExpectNoViolations(cell);
}

// Shows that the logs alone lead from the id of a refused job to its cause.
Test(platform_cell, logs_explain_a_refused_job) {
  PlatformCell cell({});
  Begin(cell, {{.name = "tight", .target_ms = 100, .stretch = 1.1}});
  SubmitAccepted(cell, "tight", JobId(1), 1, 50);
  // Fills the fleet far beyond what the objective of the next job allows.
  int refused = -1;
  for (int n = 2; refused < 0 && n < 60; ++n) {
    if (cell.Submit("tight", JobId(n), 16, 3'000, 16'000) == 429) {
      refused = n;
    }
  }
  cr_assert_geq(refused, 0);
  const auto lines = cell.LogLines(JobId(refused));
  const auto find = [&](const std::string& text) {
    for (const auto& it : lines) {
      if (it.find(text) != std::string::npos) {
        return it;
      }
    }
    return std::string();
  };
  const auto decided = find("component=admission");
  cr_expect(decided.find("message=\"job refused\"") != std::string::npos);
  for (const char* field : {"table_version=1", "slack_ms=", "expected_wait_ms=",
                            "advice_wait_ms=", "retry_after_ms="}) {
    cr_expect(decided.find(field) != std::string::npos, "no %s in: %s", field,
              decided.c_str());
  }
  const auto told = find("component=entry");
  cr_expect(told.find("code=queue_full") != std::string::npos, "%s",
            told.c_str());
  cr_expect(told.find("may_be_accepted=no") != std::string::npos);
}

}  // namespace cranberryshunt::test
