// Rules take effect at all entries in time and are never replaced by an older
// revision.
#include <criterion/criterion.h>
#include <signal.h>

#include <string>

#include "support/cell.h"
#include "support/json.h"
#include "support/load_generator.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{30'000};
// Required (section 1.2): a revision is in force everywhere within 5 s.
constexpr std::int64_t kInForceBoundUs = 5'000'000;

std::string Publication(int base, const std::string& zone) {
  return R"({"publication_id":"p-)" + std::to_string(base) +
         R"(","base_revision":)" + std::to_string(base) + R"(,"version":"v)" +
         std::to_string(base) +
         R"(","operator":"test","files":[{"path":"a.rules.yaml","content":)"
         R"("service: model\nplacement:\n  - {kind: batch, require_zone: )" +
         zone + R"(}\n"}]})";
}

HttpReply Publish(const Cell& cell, int base, const std::string& zone) {
  HttpReply reply;
  WaitUntil(kBound, [&] {
    reply =
        SendHttpRequest("POST", cell.entry_address(0), "/v1/rules/publish",
                        cell.operator_token(), Publication(base, zone), kBound);
    return reply.status == 200;
  });
  return reply;
}

std::int64_t ReadRevision(const Cell& cell) {
  const auto reply = cell.CallAsOperator("GET", "/v1/rules", "");
  return IntegerOf(ParseJson(reply.body).get(), "revision");
}

// Runs a batch job of the service that the rules name. Returns its first
// worker, or an empty string if there is none.
std::string RunBatchJob(Cell& cell, const std::string& request) {
  JobRequest job;
  job.request = request;
  job.kind = "batch";
  job.service = "model";
  job.key = request;
  const auto response = cell.caller().SubmitUntilFinal(job, 0, kBound);
  cr_expect(response.outcome == "done", "'%s', code %d %s",
            response.outcome.c_str(), response.code, response.reason.c_str());
  return response.workers.empty() ? std::string() : response.workers.front();
}

}  // namespace

// Guards against a publication that waits forever for an entry and a controller
// that are unreachable without a connection error, and against that entry
// admitting jobs under an outdated revision.
Test(rules, in_force_with_an_entry_and_a_controller_cut_off) {
  TestSeed();
  Cell cell({.proxied = true});
  cr_assert(cell.Start());
  cr_assert_eq(Publish(cell, 0, "zone-0").status, 200);
  const int leader = cell.FindLeader();
  cr_assert_geq(leader, 0);
  const std::string follower = "controller-" + std::to_string((leader + 1) % 3);
  const std::vector<Link> links = {
      {"entry-1", ""}, {follower, ""}, {"", follower}};
  for (const auto& link : links) {
    cell.proxy().Freeze(link, Direction::kBoth);
  }
  const auto published_us = BootMicroseconds();
  const auto reply = Publish(cell, 1, "zone-1");
  const auto took_us = BootMicroseconds() - published_us;
  std::fprintf(stderr, "in force after %lld ms: %s\n",
               static_cast<long long>(took_us / 1'000), reply.body.c_str());
  cr_expect_eq(reply.status, 200);
  cr_expect_leq(took_us, kInForceBoundUs);

  JobRequest job;
  job.request = "at-cut-off-entry";
  job.kind = "batch";
  const auto response = cell.caller().Submit(job, 1, Milliseconds(1'000));
  cr_expect(response.outcome == "not_run", "'%s'", response.outcome.c_str());
  cr_expect_eq(response.http_status, 503);
  cr_expect_not(cell.IsEntryReady(1));

  for (const auto& link : links) {
    cell.proxy().Heal(link);
  }
  cr_expect(WaitUntil(kBound, [&] { return cell.IsEntryReady(1); }));
  cr_expect_eq(ReadRevision(cell), 2);
  cr_expect(cell.CheckInvariants().empty());
}

// Guards against an old revision that is restored when the controllers and an
// entry restart after many publications and snapshots.
Test(rules, restart_after_500_publications) {
  constexpr int kPublications = 500;
  Cell cell({.controller_arguments = {"--snapshot-every", "200"}});
  cr_assert(cell.Start());
  for (int n = 0; n < kPublications; ++n) {
    // All revisions but the last refuse jobs, because they require a zone
    // without workers.
    const bool last = n + 1 == kPublications;
    const auto reply = Publish(cell, n, last ? "zone-0" : "zone-9");
    cr_assert_eq(reply.status, 200, "publication %d: %s", n,
                 reply.body.c_str());
  }
  for (int n = 0; n < 3; ++n) {
    cell.controller(n).Kill();
  }
  cell.entry(1).Kill();
  for (int n = 0; n < 3; ++n) {
    cell.StartController(n, false);
  }
  cell.StartEntry(1);
  cr_expect(WaitUntil(
      kBound, [&] { return cell.IsEntryReady(0) && cell.IsEntryReady(1); }));
  cr_expect(WaitUntil(kBound, [&] { return cell.CountLiveWorkers() == 8; }));
  cr_expect_eq(ReadRevision(cell), kPublications);
  cr_expect_neq(RunBatchJob(cell, "after-restart"), "");
  const auto shown = cell.CallAsOperator("GET", "/v1/rules", "").body;
  cr_expect_neq(shown.find("zone-0"), std::string::npos, "%s", shown.c_str());
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace cranberryshunt::test
