// Repair of a controller that restarts with an empty disk.
#include <criterion/criterion.h>

#include <filesystem>
#include <string>

#include "support/cell.h"
#include "support/json.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{20'000};

struct ClusterState {
  bool all_vote = false;  // All three controllers vote.
  std::int64_t commit_index = 0;
};

ClusterState ReadClusterState(const Cell& cell) {
  const Json cluster =
      ParseJson(cell.CallAsOperator("GET", "/v1/cluster", "").body);
  return {json_array_size(json_object_get(cluster.get(), "voters")) == 3,
          IntegerOf(cluster.get(), "commit_index")};
}

}  // namespace

// Guards against committed jobs that are lost when the leader fails right after
// another controller was repaired with an empty disk.
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
  const auto commit_index_before = ReadClusterState(cell).commit_index;
  cell.StartController(repaired, false);
  // The repaired controller votes again only after two membership changes: the
  // leader adds it as a learner and promotes it once it has caught up.
  cr_assert(WaitUntil(kBound, [&] {
    const ClusterState state = ReadClusterState(cell);
    return state.all_vote && state.commit_index >= commit_index_before + 2;
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
