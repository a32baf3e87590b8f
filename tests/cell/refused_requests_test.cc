// Tests that a refusal stays true if an earlier attempt of the request arrives
// late.
#include "refused_requests.h"

#include <criterion/criterion.h>

#include "cell_harness.h"
#include "cranberryshunt/cell/open_attempts.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr graph::JobId kJob{7};
constexpr std::int64_t kRequest = 41;

// A cell of one worker that has no room for the job at first.
struct Fixture {
  Fixture() : cell({.workers = 1}) {
    cell.Publish({MakeQueue("q", 1)});
    cell.Run(1'000);
    SetRoom(1'000);
  }

  void SetRoom(std::int64_t milli_cpus) {
    cell.SetCapacity(0, milli_cpus, 65'536);
    cell.Run(100);
  }
  // Submits the job and returns the reply.
  wire::GraphReply Submit(std::int64_t request_id, bool earlier_attempt_open) {
    wire::GraphReply reply = cell.SubmitAttempt(
        kJob, "q", MakeJob(1, 2'000, 100), request_id, earlier_attempt_open);
    cell.Run(500);
    return reply;
  }

  CellHarness cell;
};

}  // namespace

// Guards against a job that runs although its caller was told that it never
// does: the second attempt is refused, and the first one arrives afterwards.
Test(refused_requests, refuses_the_first_attempt_after_the_second) {
  Fixture it;
  const auto second = it.Submit(kRequest, true);
  cr_assert_neq(second.status.code, 0);
  cr_expect(second.refuses_earlier_attempts);
  it.SetRoom(32'000);
  const auto first = it.Submit(kRequest, false);
  cr_expect_eq(first.status.code, second.status.code);
  cr_expect_eq(it.cell.starts, 0);
  // Also after the controller has lost the lead and got it back.
  it.cell.ChangeLeader();
  it.cell.Run(2'000);
  cr_expect_neq(it.Submit(kRequest, false).status.code, 0);
  cr_expect_eq(it.cell.starts, 0);
}

// Guards against refusing a caller that submits a refused job once more.
Test(refused_requests, accepts_a_new_request_for_a_refused_job) {
  Fixture it;
  cr_assert_neq(it.Submit(kRequest, true).status.code, 0);
  it.SetRoom(32'000);
  it.Submit(kRequest + 1, false);
  it.cell.Run(2'000);
  cr_expect_eq(it.cell.jobs[kJob].code, 0);
  cr_expect_eq(it.cell.starts, 1, "%d starts",
               static_cast<int>(it.cell.starts));
}

// Guards against a promise to refuse late attempts that is not remembered.
Test(refused_requests, promises_nothing_when_it_is_full) {
  RefusedRequests requests;
  const TimePoint now{};
  std::int64_t id = 1;
  while (requests.Add(id, {}, now)) {
    ++id;
  }
  cr_expect_null(requests.Find(id));
  cr_expect_not_null(requests.Find(id - 1));
  cr_expect(requests.Add(id, {}, now + std::chrono::hours(1)));
  cr_expect_null(requests.Find(id - 1));
}

// Guards against a definite answer while an attempt may arrive at a process
// that has not refused it.
Test(open_attempts, stay_open_until_their_process_refuses_them) {
  wire::GraphReply refusal;
  refusal.process_id = 1;
  auto final_refusal = refusal;
  final_refusal.refuses_earlier_attempts = true;
  OpenAttempts attempts;
  attempts.Begin(1);
  attempts.End(refusal);
  cr_expect_not(attempts.any());
  attempts.Begin(1);  // Not answered.
  attempts.Begin(1);
  attempts.End(refusal);
  cr_expect(attempts.any());
  attempts.Begin(1);
  attempts.End(final_refusal);
  cr_expect_not(attempts.any());
  attempts.Begin(2);  // Not answered.
  attempts.Begin(1);
  attempts.End(final_refusal);
  cr_expect(attempts.any());
}

// Guards against a definite answer while an attempt may arrive at a process
// that has not been heard of.
Test(open_attempts, stay_open_at_an_unknown_process) {
  wire::GraphReply final_refusal;
  final_refusal.refuses_earlier_attempts = true;
  final_refusal.process_id = 1;
  OpenAttempts attempts;
  attempts.Begin(0);  // Not answered.
  attempts.Begin(0);
  attempts.End(final_refusal);
  cr_expect(attempts.any());
}
