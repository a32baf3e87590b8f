// Starts at targets: within capacity, never at a leaving target, and once for
// each key.
#include <criterion/criterion.h>
#include <signal.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "support/cell.h"
#include "support/load_generator.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{20'000};

int CountEvents(const Cell& cell,
                const std::string& event,
                const std::string& request) {
  const auto records = cell.records();
  return static_cast<int>(
      std::count_if(records.begin(), records.end(), [&](const auto& it) {
        return it.event == event && it.request == request;
      }));
}

}  // namespace

// Guards against placements that are based on outdated reservations. The burst
// needs several times the total capacity, so that every worker is filled
// several times.
Test(targets, burst_stays_within_capacity) {
  TestSeed();
  Cell cell({});
  cr_assert(cell.Start());
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int thread = 0; thread < 8; ++thread) {
    threads.emplace_back([&, thread] {
      for (int n = 0; n < 12; ++n) {
        JobRequest job;
        job.request =
            "burst-" + std::to_string(thread) + "-" + std::to_string(n);
        job.kind = n % 3 == 0 ? "batch" : "interactive";
        job.tasks = n % 3 == 0 ? 20 : 1;
        job.milli_cpus = 3'000 + 1'000 * (n % 7);
        job.key = job.request;
        job.exclusive = n % 4 == 0;
        job.more_payload = "sleep=" + std::to_string(20 + 10 * (n % 5));
        const auto response =
            cell.caller().SubmitUntilFinal(job, thread, kBound);
        cr_expect(response.outcome == "done", "%s: %s, code %d %s",
                  job.request.c_str(), response.outcome.c_str(), response.code,
                  response.reason.c_str());
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against starts at a target that is leaving, and against a target that
// exits while its tasks are still running.
Test(targets, leaving_target_gets_no_new_work) {
  Cell cell({});
  cr_assert(cell.Start());
  LoadGenerator load(6, [&](int thread, int n) {
    JobRequest job;
    job.request = "leave-" + std::to_string(thread) + "-" + std::to_string(n);
    job.kind = thread % 2 == 0 ? "batch" : "interactive";
    job.key = job.request;
    job.more_payload = "sleep=60";
    const auto response = cell.caller().SubmitUntilFinal(job, thread, kBound);
    cr_expect(response.outcome == "done", "%s: %s, code %d %s",
              job.request.c_str(), response.outcome.c_str(), response.code,
              response.reason.c_str());
  });
  cr_assert(WaitUntil(kBound, [&] { return load.iterations() > 40; }));
  cell.target(0).Signal(SIGTERM);
  const auto exit_code = cell.target(0).Wait(kBound);
  cr_expect(exit_code == 0, "target ended with %d", exit_code.value_or(-1));
  const int iterations_before = load.iterations();
  cr_expect(WaitUntil(
      kBound, [&] { return load.iterations() > iterations_before + 40; }));
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a second start when several entries receive the same job with
// the same key, as after a lost response, and against a key that is accepted
// for a different job.
Test(targets, resend_of_a_key_starts_once) {
  Cell cell({});
  cr_assert(cell.Start());
  for (const char* kind : {"interactive", "batch"}) {
    JobRequest job;
    job.request = std::string("booking-") + kind;
    job.kind = kind;
    job.idempotent = false;
    job.key = job.request;
    job.more_payload = "sleep=700";
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int n = 0; n < 4; ++n) {
      threads.emplace_back([&, n] {
        const auto response = cell.caller().SubmitUntilFinal(job, n, kBound);
        cr_expect(response.outcome == "done", "%s: %s, code %d %s", kind,
                  response.outcome.c_str(), response.code,
                  response.reason.c_str());
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    cr_expect_eq(CountEvents(cell, "start", job.request), 1);
    JobRequest other = job;
    other.request += "-other";
    other.milli_cpus += 1;
    cr_expect_eq(cell.caller().Submit(other, 1, Milliseconds(0)).http_status,
                 409);
  }
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace cranberryshunt::test
