// Publication of rules by several operators at the same time and from the
// command line.
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "support/cell.h"
#include "support/json.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{20'000};
// Required (section 1.2): a revision is in force everywhere within 5 s.
constexpr Milliseconds kInForceBound{5'000};

std::string Publication(const std::string& id,
                        std::int64_t base,
                        const std::string& region) {
  return fmt::format(
      R"({{"publication_id":"{}","base_revision":{},"version":"1","operator":"{}",)"
      R"("files":[{{"path":"a.rules.yaml","content":"placement: [{{prefer_region: {}}}]"}}]}})",
      id, base, id, region);
}

HttpReply Publish(Cell& cell, int entry, const std::string& body) {
  return SendHttpRequest("POST", cell.entry_address(entry), "/v1/rules/publish",
                         cell.operator_token(), body, kBound);
}

Json ReadRules(const Cell& cell) {
  return ParseJson(cell.CallAsOperator("GET", "/v1/rules", "").body);
}

}  // namespace

// Guards against two concurrent publications that both succeed, and against a
// resent request that creates another revision.
Test(publication, one_of_several_concurrent_publications_succeeds) {
  TestSeed();
  Cell cell({});
  cr_assert(cell.Start());
  constexpr int kOperators = 6;
  std::vector<HttpReply> replies(kOperators);
  std::vector<std::thread> threads;
  threads.reserve(kOperators);
  for (int n = 0; n < kOperators; ++n) {
    threads.emplace_back([&, n] {
      const auto name = "operator-" + std::to_string(n);
      replies[n] = Publish(cell, n % 2, Publication(name, 0, name));
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  int winner = -1;
  for (int n = 0; n < kOperators; ++n) {
    if (replies[n].status == 200) {
      cr_expect_eq(winner, -1, "two publications succeeded");
      winner = n;
    }
  }
  cr_assert_geq(winner, 0);
  const auto winner_name = "operator-" + std::to_string(winner);
  for (int n = 0; n < kOperators; ++n) {
    const Json reply = ParseJson(replies[n].body);
    cr_expect(n == winner || replies[n].status == 409, "status %d",
              replies[n].status);
    cr_expect(n == winner || TextOf(reply.get(), "winner").find(winner_name) !=
                                 std::string::npos,
              "reply %s", replies[n].body.c_str());
  }
  const auto resent =
      Publish(cell, 0, Publication(winner_name, 0, winner_name));
  cr_expect_eq(resent.status, 200);
  cr_expect_eq(IntegerOf(ParseJson(resent.body).get(), "revision"), 1);
  cr_expect_eq(IntegerOf(ReadRules(cell).get(), "revision"), 1);
}

// Guards against revisions that take effect late or are lost when controllers
// restart, and against a command-line client with a wrong exit status or
// output.
Test(publication, command_line_and_restart) {
  Cell cell({});
  cr_assert(cell.Start());
  const std::string rules = cell.folder() + "/rules";
  std::filesystem::create_directories(rules);
  const auto publish = [&](const std::string& content) {
    std::ofstream(rules + "/a.rules.yaml") << content;
    return RunProgram("cranberryshunt",
                      {"rules", "publish", rules, "--timeout", "5000"},
                      cell.client_environment(), kBound);
  };
  for (int n = 1; n <= 20; ++n) {
    const auto begin_us = BootMicroseconds();
    const auto run = publish(fmt::format("service: s{}\n", n));
    cr_expect_eq(run.exit_code, 0, "%s", run.output.c_str());
    cr_expect_leq(BootMicroseconds() - begin_us, kInForceBound.count() * 1'000);
  }
  cr_expect_eq(publish("servce: x\n").exit_code, 6);
  for (int n = 0; n < 3; ++n) {
    cell.controller(n).Kill();
  }
  for (int n = 0; n < 3; ++n) {
    cell.StartController(n, false);
  }
  cr_expect(WaitUntil(kBound, [&] {
    return IntegerOf(ReadRules(cell).get(), "revision") == 20;
  }));
  const auto shown = RunProgram("cranberryshunt", {"rules", "show"},
                                cell.client_environment(), kBound);
  cr_expect(shown.output.find("service: s20") != std::string::npos, "%s",
            shown.output.c_str());
}

}  // namespace cranberryshunt::test
