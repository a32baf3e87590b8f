// Connections that stop delivering without being closed, while new ones work.
#include <criterion/criterion.h>

#include <algorithm>
#include <string>

#include "support/cell.h"
#include "support/load_generator.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{30'000};
// Section 1.6: service recovers within 3 s.
constexpr std::int64_t kRecoveryBoundUs = 3'000'000;

// The longest time without a start.
std::int64_t LongestGapUs(const std::vector<TargetRecord>& records,
                          std::int64_t from_us,
                          std::int64_t until_us) {
  std::int64_t last = from_us;
  std::int64_t longest = 0;
  for (const auto& record : records) {
    if (record.event == "start" && record.boot_us > last &&
        record.boot_us <= until_us) {
      longest = std::max(longest, record.boot_us - last);
      last = record.boot_us;
    }
  }
  return std::max(longest, until_us - last);
}

void RunSilence(const char* name, const Link& link) {
  TestSeed();
  Cell cell({.proxied = true});
  cr_assert(cell.Start());
  const auto submit = [&](const std::string& prefix, int thread, int n) {
    JobRequest job;
    job.request = std::string(name) + prefix + std::to_string(thread) + "-" +
                  std::to_string(n);
    job.kind = thread % 2 == 0 ? "batch" : "interactive";
    job.key = job.request;
    job.idempotent = thread % 4 < 2;
    job.exclusive = thread % 3 == 0;
    job.more_payload = "sleep=30";
    const auto told = cell.caller().SubmitUntilFinal(
        job, static_cast<std::size_t>(thread), kBound);
    // The result of a start that must not be repeated may stay unknown.
    const bool excused = !job.idempotent && told.outcome == "unknown";
    cr_expect(told.outcome == "done" || excused, "%s: '%s', code %d %s",
              job.request.c_str(), told.outcome.c_str(), told.code,
              told.reason.c_str());
  };
  LoadGenerator load(10, [&](int thread, int n) { submit("-", thread, n); });
  for (int round = 0; round < 2; ++round) {
    const int before = load.iterations();
    cr_assert(
        WaitUntil(kBound, [&] { return load.iterations() > before + 60; }));
    const auto silent_us = BootMicroseconds();
    cell.proxy().FreezeOpenConnections(link);
    // Callers whose own connection is dead send nothing until they give up,
    // after up to 7 s, so others measure when service is back.
    const auto prefix = "-new" + std::to_string(round) + "-";
    LoadGenerator arrivals(
        4, [&](int thread, int n) { submit(prefix, thread, n); });
    cr_expect(WaitUntil(kBound, [&] {
      return BootMicroseconds() - silent_us > 2 * kRecoveryBoundUs;
    }));
    const auto gap =
        LongestGapUs(cell.records(), silent_us, BootMicroseconds());
    std::fprintf(stderr, "%s round %d: longest gap between starts %lld ms\n",
                 name, round, static_cast<long long>(gap / 1'000));
    cr_expect_leq(gap, kRecoveryBoundUs);
    arrivals.Stop();
  }
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace

// Each test guards against a pool that keeps using dead connections of one pair
// of kinds of process, and against work that is repeated because of it.
Test(silence, between_entries_and_controllers) {
  RunSilence("entry-controller", {"entry-0", ""});
}

Test(silence, between_controllers) {
  RunSilence("controller-controller", {"controller-0", ""});
}

Test(silence, from_entries_to_targets) {
  RunSilence("entry-target", {"", "target-0"});
}

Test(silence, from_targets_to_entries) {
  RunSilence("target-entry", {"target-0", ""});
}

Test(silence, everywhere_at_once) {
  RunSilence("everywhere", {"", ""});
}

}  // namespace cranberryshunt::test
