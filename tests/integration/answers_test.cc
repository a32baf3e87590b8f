// Answers that arrive late, twice or truncated, or whose entry is killed before
// they arrive.
#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "support/cell.h"
#include "support/load_generator.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{30'000};

// Runs batch and interactive jobs with answers of different lengths. Expects
// each to have the outcome "done" or `allowed`.
void RunJobs(Cell& cell, const std::string& prefix, const char* allowed) {
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int thread = 0; thread < 8; ++thread) {
    threads.emplace_back([&cell, &prefix, allowed, thread] {
      for (int n = 0; n < 10; ++n) {
        JobRequest job;
        job.request = prefix + std::to_string(thread) + "-" + std::to_string(n);
        job.kind = thread % 2 == 0 ? "batch" : "interactive";
        job.key = n % 2 == 0 ? job.request : "";
        job.idempotent = n % 3 == 0;
        job.more_payload = "sleep=" + std::to_string(10 * (n % 4)) +
                           ";answer_bytes=" + std::to_string(1 + n * 3'000);
        const auto response = cell.caller().SubmitUntilFinal(
            job, static_cast<std::size_t>(thread), kBound);
        cr_expect(response.outcome == "done" || response.outcome == allowed,
                  "%s: '%s', code %d %s", job.request.c_str(),
                  response.outcome.c_str(), response.code,
                  response.reason.c_str());
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
}

}  // namespace

// Guards against an answer that is assigned to the wrong request because it
// arrives late, out of order or twice.
Test(answers, late_and_duplicated) {
  TestSeed();
  Cell cell({.target_arguments = {"--answer-delay-ms", "300",
                                  "--duplicate-answers"}});
  cr_assert(cell.Start());
  RunJobs(cell, "late-", "done");
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a truncated answer that is passed to the caller as if it were
// complete.
Test(answers, cut_short) {
  Cell cell({.target_arguments = {"--truncate-answers"}});
  cr_assert(cell.Start());
  RunJobs(cell, "short-", "failed");
  const auto records = cell.caller().records();
  const auto complete =
      std::count_if(records.begin(), records.end(),
                    [](const auto& it) { return it.outcome == "done"; });
  cr_expect_eq(complete, 0, "a truncated answer was passed to the caller");
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against answers that are lost when the entry that waits for them is
// killed, and against a second start when the caller retries at another entry
// with the same key.
Test(answers, waiting_entry_is_killed) {
  Cell cell({});
  cr_assert(cell.Start());
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int n = 0; n < 8; ++n) {
    threads.emplace_back([&cell, n] {
      JobRequest job;
      job.request = "dies-" + std::to_string(n);
      job.kind = n % 2 == 0 ? "batch" : "interactive";
      job.key = job.request;
      job.idempotent = n % 4 < 2;
      job.more_payload = "sleep=1500;answer_bytes=20000";
      const auto response = cell.caller().SubmitUntilFinal(job, 0, kBound);
      cr_expect(response.outcome == "done", "%s: '%s', code %d %s",
                job.request.c_str(), response.outcome.c_str(), response.code,
                response.reason.c_str());
    });
  }
  cr_expect(WaitUntil(kBound, [&] {
    const auto records = cell.records();
    return std::count_if(records.begin(), records.end(), [](const auto& it) {
             return it.event == "start";
           }) >= 8;
  }));
  cell.entry(0).Kill();
  for (auto& it : threads) {
    it.join();
  }
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace cranberryshunt::test
