// Recovery of a cell whose controllers lose their disks.
#include <criterion/criterion.h>
#include <signal.h>

#include <filesystem>
#include <mutex>
#include <string>
#include <vector>

#include "support/cell.h"
#include "support/json.h"
#include "support/load_generator.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{40'000};

std::size_t CountVoters(const Cell& cell) {
  const auto reply = cell.CallAsOperator("GET", "/v1/cluster", "");
  return json_array_size(
      json_object_get(ParseJson(reply.body).get(), "voters"));
}

// Whether any controller has logged a membership with `controller` as a
// learner.
bool WasLearner(Cell& cell, int controller) {
  const std::string learner_field =
      "learners=controller-" + std::to_string(controller);
  for (int n = 0; n < 5; ++n) {
    if (cell.controller(n).ReadLog().find(learner_field) != std::string::npos) {
      return true;
    }
  }
  return false;
}

void DeleteDataFolder(const Cell& cell, int controller) {
  std::filesystem::remove_all(cell.folder() + "/controller-" +
                              std::to_string(controller));
}

JobRequest KeyedJob(const std::string& request) {
  JobRequest job;
  job.request = request;
  job.kind = "batch";
  job.key = request;
  job.idempotent = false;
  job.more_payload = "sleep=10;answer_bytes=500";
  return job;
}

}  // namespace

// Guards against accepted jobs that are lost when a controller is replaced
// after the loss of its disk, and a second one is lost right after that repair.
Test(recovery, second_host_lost_right_after_a_repair) {
  TestSeed();
  Cell cell(
      {.controllers = 5, .controller_arguments = {"--snapshot-every", "300"}});
  cr_assert(cell.Start());
  std::mutex mutex;
  std::vector<JobRequest> done;
  LoadGenerator load(6, [&](int thread, int n) {
    const auto job =
        KeyedJob("repair-" + std::to_string(thread) + "-" + std::to_string(n));
    const auto response = cell.caller().SubmitUntilFinal(
        job, static_cast<std::size_t>(thread), kBound);
    const std::lock_guard lock(mutex);
    if (response.outcome == "done") {
      done.push_back(job);
    } else {
      cr_expect(response.outcome == "unknown", "%s: '%s', code %d %s",
                job.request.c_str(), response.outcome.c_str(), response.code,
                response.reason.c_str());
    }
  });
  cr_assert(WaitUntil(kBound, [&] { return load.iterations() > 200; }));
  const int leader = cell.FindLeader();
  cr_assert_geq(leader, 0);
  const int replaced = (leader + 1) % 5;
  cell.controller(replaced).Kill();
  DeleteDataFolder(cell, replaced);
  cell.StartController(replaced, false);
  // The controller is a learner until it has caught up, which may take only a
  // few milliseconds. The logs are checked because a poll could miss that
  // state.
  cr_expect(WaitUntil(kBound, [&] { return WasLearner(cell, replaced); }),
            "the emptied controller kept its vote");
  cr_expect(WaitUntil(kBound, [&] { return CountVoters(cell) == 5; }),
            "the replaced controller did not become a voter");
  cell.controller(leader).Kill();
  DeleteDataFolder(cell, leader);
  const int iterations_before = load.iterations();
  cr_expect(WaitUntil(
      kBound, [&] { return load.iterations() > iterations_before + 200; }));
  load.Stop();
  // Each key must still be known: repeating the request returns the first
  // answer and starts nothing.
  cr_expect_gt(done.size(), 200U);
  for (const auto& job : done) {
    const auto response = cell.caller().SubmitUntilFinal(job, 0, kBound);
    cr_expect(response.outcome == "done", "%s: '%s', code %d %s",
              job.request.c_str(), response.outcome.c_str(), response.code,
              response.reason.c_str());
  }
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against a majority of controllers with empty disks that forms a new
// cell without the accepted jobs, even when they are started with the bootstrap
// option.
Test(recovery, emptied_majority_does_not_form_a_new_cell) {
  Cell cell({});
  cr_assert(cell.Start());
  const auto job = KeyedJob("kept");
  cr_assert_eq(cell.caller().SubmitUntilFinal(job, 0, kBound).outcome, "done");
  const int leader = cell.FindLeader();
  cr_assert_geq(leader, 0);
  const int first = (leader + 1) % 3;
  const int second = (leader + 2) % 3;
  for (const int n : {first, second}) {
    cell.controller(n).Kill();
    DeleteDataFolder(cell, n);
  }
  for (const int n : {first, second}) {
    cell.StartController(n, true);
  }
  // Covers several election timeouts and rules leases.
  constexpr Milliseconds kObservation{6'000};
  const auto from_us = BootMicroseconds();
  bool admitted = false;
  WaitUntil(kObservation, [&] {
    // The rules lease of the entries may expire up to 3 s after the leader is
    // lost.
    const bool lease_expired = BootMicroseconds() - from_us > 3'500'000;
    admitted = admitted || (lease_expired &&
                            (cell.IsEntryReady(0) || cell.IsEntryReady(1)));
    return admitted;
  });
  cr_expect_not(admitted, "emptied controllers formed a new cell");
  const auto response =
      cell.caller().Submit(KeyedJob("new"), 0, Milliseconds(1'000));
  cr_expect(response.outcome == "not_run", "'%s'", response.outcome.c_str());
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace cranberryshunt::test
