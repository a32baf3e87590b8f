#include "pending_jobs.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "cranberryshunt/base/bytes.h"

namespace cranberryshunt::entry {

namespace {

wire::AttemptReport DoneReport(const std::string& job_id, std::int32_t index) {
  wire::AttemptReport out;
  out.attempt.job_id = job_id;
  out.attempt.index = index;
  out.attempt.attempt = 1;
  out.state = wire::AttemptState::kDone;
  out.answer.bytes = "answer";
  out.answer.length = 6;
  out.answer.crc32 = static_cast<std::int64_t>(Crc32(out.answer.bytes));
  out.answer.stored = true;
  return out;
}

}  // namespace

// Guards against a batch job or a gang whose answer is lost, or which is
// reported as done after its first task. This happens when an entry that only
// waits for the job takes the result of one lookup for the answer of the whole
// job.
Test(pending_jobs, a_result_of_a_job_that_was_not_added_is_left_to_the_leader) {
  PendingJobs jobs;
  PendingJobs::Waiter waiter(jobs, "gang", [] { return false; });
  cr_expect_not(jobs.DeliverResult(DoneReport("gang", 0), "worker-1"));
  const auto status = waiter.Wait(BootClock::now(), [] {});
  cr_expect_not(status.has_value(),
                "the result of one task was taken for the result of the gang");
}

// Guards against the answer of an interactive job not reaching its caller.
Test(pending_jobs, a_result_of_an_added_job_reaches_its_caller) {
  PendingJobs jobs;
  wire::JobSpec spec;
  spec.payload = "payload";
  spec.task_count = 1;
  cr_assert(jobs.Add("job", spec));
  PendingJobs::Waiter waiter(jobs, "job", [] { return false; });
  cr_expect(jobs.DeliverResult(DoneReport("job", 0), "worker-1"));
  const auto status = waiter.Wait(BootClock::now(), [] {});
  cr_assert(status.has_value());
  cr_expect_eq(status->tasks.front().answer.bytes, "answer");
}

}  // namespace cranberryshunt::entry
