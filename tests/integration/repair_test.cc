// Controllers that lose their disks.
#include <criterion/criterion.h>

#include <filesystem>
#include <string>

#include "support/cell.h"
#include "support/json.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{20'000};

struct Log {
  bool only_voters = false;  // All three controllers vote.
  std::int64_t commit_index = 0;
};

Log ReadLog(const Cell& cell) {
  const Json cluster =
      ParseJson(cell.CallAsOperator("GET", "/v1/cluster", "").body);
  return {json_array_size(json_object_get(cluster.get(), "voters")) == 3,
          IntegerOf(cluster.get(), "commit_index")};
}

}  // namespace

// Guards against committed jobs that are lost when a second host fails right
// after the first one was repaired with an empty disk.
Test(repair, second_loss_after_a_repair) {
  TestSeed();
  Cell cell({});
  cr_assert(cell.Start());
  const int leader = cell.FindLeader();
  cr_assert_geq(leader, 0);
  const int repaired = (leader + 1) % 3;
  const auto name = "controller-" + std::to_string(repaired);
  JobRequest job;
  job.request = "kept";
  job.kind = "batch";
  job.key = "kept";
  job.idempotent = false;
  cr_expect(cell.caller().SubmitUntilFinal(job, 0, kBound).outcome == "done");

  cell.controller(repaired).Kill();
  std::filesystem::remove_all(cell.folder() + "/" + name);
  JobRequest meanwhile = job;
  meanwhile.request = meanwhile.key = "meanwhile";
  cr_expect(cell.caller().SubmitUntilFinal(meanwhile, 0, kBound).outcome ==
            "done");
  const auto before = ReadLog(cell).commit_index;
  cell.StartController(repaired, false);
  // It votes again only after two changes of the membership: the leader took
  // the new disk in as a learner, and promoted it once it had caught up.
  cr_assert(WaitUntil(kBound, [&] {
    const Log log = ReadLog(cell);
    return log.only_voters && log.commit_index >= before + 2;
  }));

  cell.controller(leader).Kill();
  JobRequest after = job;
  after.request = after.key = "after";
  cr_expect(cell.caller().SubmitUntilFinal(after, 1, kBound).outcome == "done");
  // A resend of the first job returns its result and starts nothing.
  cr_expect(cell.caller().SubmitUntilFinal(job, 1, kBound).outcome == "done");
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace cranberryshunt::test
