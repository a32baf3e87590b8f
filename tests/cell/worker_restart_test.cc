// Tests that a worker which starts again under its old id does no harm with the
// orders that were meant for its former incarnation.
#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "cell_harness.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr std::int64_t kLongRunMs = 30'000;
constexpr std::int64_t kReportDelayMs = 1'500;

void StartCell(CellHarness& cell) {
  cell.Run(1'000);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
}

void ExpectNoViolations(const CellHarness& cell, std::int64_t restart_ms) {
  for (const auto& it : cell.violations) {
    cr_expect_fail("restart at %d ms: %s", static_cast<int>(restart_ms),
                   it.c_str());
  }
}

// Restarts all workers of a cell `restart_ms` after a job of long tasks was
// handed in, and cuts half of them off once their reports have arrived.
void CutOffAfterRestart(std::int64_t restart_ms,
                        bool change_leader,
                        std::int64_t wall_step_ms = 0) {
  CellHarness cell({.workers = 4, .seed = 7});
  StartCell(cell);
  graph::JobId id = 1;
  for (std::int64_t n = 0; n < 10; ++n) {
    cell.Submit(id++, "a", MakeJob(4, 500, kLongRunMs));
    cell.Run(restart_ms / 10);
  }
  for (auto& it : cell.workers) {
    cell.RestartAtOnce(it);
  }
  for (std::int64_t n = 0; n < 10; ++n) {
    cell.Submit(id++, "a", MakeJob(4, 500, kLongRunMs));
    cell.Run(kReportDelayMs / 10);
  }
  cell.wall_offset_ms += wall_step_ms;
  if (change_leader) {
    cell.ChangeLeader();
  }
  cell.Run(500);
  cell.workers[0].silent = true;
  cell.workers[1].silent = true;
  cell.Run(9'000);
  cell.workers[0].silent = false;
  cell.workers[1].silent = false;
  cell.Run(20'000);
  ExpectNoViolations(cell, restart_ms);
}

}  // namespace

// Guards against a task that runs twice: a start for the former incarnation of
// its worker gives the new one the longest lease, and the leader expects the
// end of a shorter one.
Test(worker_restart, repeats_no_task_while_a_lease_of_a_former_start_lasts) {
  for (std::int64_t ms = 0; ms <= 1'500; ms += 100) {
    CutOffAfterRestart(ms, false);
  }
}

// Guards against the same if the next leader doesn't know of that start.
Test(worker_restart, repeats_no_task_of_a_worker_that_the_last_leader_called) {
  for (std::int64_t ms = 0; ms <= 1'500; ms += 100) {
    CutOffAfterRestart(ms, true);
  }
}

// Guards against the same if the time of day of the next leader is wrong.
Test(worker_restart, repeats_no_task_if_the_next_leader_has_another_time) {
  for (std::int64_t ms = 0; ms <= 1'500; ms += 300) {
    for (const std::int64_t step_ms : {-3'600'000, -30'000, 30'000}) {
      CutOffAfterRestart(ms, true, step_ms);
    }
  }
}

// Guards against a task that runs again after it was done: a hold for the
// former incarnation of its worker acknowledges an end that nobody has read.
Test(worker_restart, repeats_no_task_whose_end_was_acknowledged_unread) {
  for (std::int64_t restart_ms = 2'000; restart_ms <= 3'500; restart_ms += 50) {
    CellHarness cell({.workers = 2});
    StartCell(cell);
    graph::JobId id = 1;
    const auto submit_until = [&](std::int64_t end_ms) {
      while (cell.now_ms() < end_ms) {
        cell.Submit(id++, "a", MakeJob(2, 2'000, 40));
        cell.Run(20);
      }
    };
    submit_until(cell.now_ms() + restart_ms);
    for (auto& it : cell.workers) {
      cell.RestartAtOnce(it);
    }
    submit_until(cell.now_ms() + 2 * kReportDelayMs);
    cell.Run(10'000);
    ExpectNoViolations(cell, restart_ms);
    for (graph::JobId job = 1; job < id; ++job) {
      if (cell.jobs[job].code == 0) {
        cr_expect(cell.StateOf(job) == wire::GraphJobState::kCompleted);
      }
    }
  }
}

namespace {

constexpr std::array kAllOpenCalls{OpenCalls::kAnsweredByNext,
                                   OpenCalls::kReset, OpenCalls::kDark};
constexpr std::int64_t kCutStepMs = 50;
constexpr std::int64_t kLastCutMs = 1'300;

struct EarlyCut {
  OpenCalls open_calls = OpenCalls::kDark;
  std::int64_t cut_ms = 0;  // Time between the restart and the cut.
  bool loses_replies = false;
  std::uint64_t seed = 1;
};

// Restarts all workers of a cell just after their reports, and cuts half of
// them off before their next ones. Jobs of long tasks arrive all the time.
// Returns the number of violations.
std::size_t CutOffBeforeFirstReport(const EarlyCut& options) {
  CellHarness cell({.workers = 4, .seed = options.seed});
  StartCell(cell);
  graph::JobId id = 1;
  const auto submit_for = [&](std::int64_t duration_ms) {
    const auto end_ms = cell.now_ms() + duration_ms;
    while (cell.now_ms() < end_ms) {
      cell.Submit(id++, "a", MakeJob(4, 250, kLongRunMs));
      cell.Run(std::min<std::int64_t>(100, end_ms - cell.now_ms()));
    }
  };
  submit_for(cell.MillisecondsToReport(3) + 10 +
             static_cast<std::int64_t>(options.seed % 2) * kReportDelayMs);
  for (auto& it : cell.workers) {
    cell.RestartAtOnce(it, options.open_calls);
    it.loses_replies = options.loses_replies;
  }
  submit_for(options.cut_ms);
  for (std::size_t n = 0; n < cell.workers.size(); ++n) {
    cell.workers[n].silent = n < 2;
    cell.workers[n].loses_replies = false;
  }
  cell.Run(12'000);
  for (auto& it : cell.workers) {
    it.silent = false;
  }
  cell.Run(20'000);
  for (const auto& it : cell.violations) {
    cr_expect_fail("open calls %d, cut after %d ms, seed %d: %s",
                   static_cast<int>(options.open_calls),
                   static_cast<int>(options.cut_ms),
                   static_cast<int>(options.seed), it.c_str());
  }
  return cell.violations.size();
}

void CutOffAtAnyTimeBeforeFirstReport(bool loses_replies) {
  int broken = 0;
  int cases = 0;
  for (const auto open_calls : kAllOpenCalls) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      for (std::int64_t ms = 0; ms <= kLastCutMs; ms += kCutStepMs) {
        ++cases;
        broken +=
            CutOffBeforeFirstReport({open_calls, ms, loses_replies, seed}) > 0
                ? 1
                : 0;
      }
    }
  }
  std::fprintf(stderr, "%d of %d cases are broken\n", broken, cases);
}

}  // namespace

// Guards against a task that runs twice: the leader doesn't know yet that the
// worker has restarted, and takes a lease on the former clock, which the new
// incarnation grants for as long as it allows, for a shorter one.
Test(worker_restart, repeats_no_task_of_a_worker_cut_off_before_its_report) {
  CutOffAtAnyTimeBeforeFirstReport(false);
}

// Guards against the same if the replies to the starts are lost, too.
Test(worker_restart, repeats_no_task_whose_start_got_no_reply_before_a_cut) {
  CutOffAtAnyTimeBeforeFirstReport(true);
}
