// Answers that come late, twice, cut short, or while the asking entry dies.
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

// Runs jobs of all kinds with answers of different lengths. `allowed` is the
// outcome that is right beside "done".
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
        const auto told = cell.caller().SubmitUntilFinal(
            job, static_cast<std::size_t>(thread), kBound);
        cr_expect(told.outcome == "done" || told.outcome == allowed,
                  "%s: '%s', code %d %s", job.request.c_str(),
                  told.outcome.c_str(), told.code, told.reason.c_str());
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
}

}  // namespace

// Guards against answers that are given to another request when they come late,
// out of order or twice.
Test(answers, late_and_duplicated) {
  TestSeed();
  Cell cell({.target_arguments = {"--answer-delay-ms", "300",
                                  "--duplicate-answers"}});
  cr_assert(cell.Start());
  RunJobs(cell, "late-", "done");
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a part of an answer that is handed on as the answer.
Test(answers, cut_short) {
  Cell cell({.target_arguments = {"--truncate-answers"}});
  cr_assert(cell.Start());
  RunJobs(cell, "short-", "failed");
  const auto records = cell.caller().records();
  const auto whole =
      std::count_if(records.begin(), records.end(),
                    [](const auto& it) { return it.outcome == "done"; });
  cr_expect_eq(whole, 0, "a truncated answer was handed on");
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against answers that are lost with the entry that asked, and against a
// second start when the caller asks another entry with the same key.
Test(answers, asking_entry_dies) {
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
      const auto told = cell.caller().SubmitUntilFinal(job, 0, kBound);
      cr_expect(told.outcome == "done", "%s: '%s', code %d %s",
                job.request.c_str(), told.outcome.c_str(), told.code,
                told.reason.c_str());
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
