// Open connections that stop delivering data without being closed, while new
// connections work.
#include <criterion/criterion.h>

#include <algorithm>
#include <string>

#include "support/cell.h"
#include "support/load_generator.h"

namespace cranberryshunt::test {

namespace {

constexpr Milliseconds kBound{30'000};
// Required (section 1.6): service recovers within 3 s.
constexpr std::int64_t kRecoveryBoundUs = 3'000'000;

// Returns the longest time without a start between `from_us` and `until_us`.
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

void RunWithFrozenConnections(const char* name, const Link& link) {
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
    const auto response = cell.caller().SubmitUntilFinal(
        job, static_cast<std::size_t>(thread), kBound);
    // The outcome of a non-idempotent job may stay unknown.
    const bool unknown_allowed =
        !job.idempotent && response.outcome == "unknown";
    cr_expect(response.outcome == "done" || unknown_allowed,
              "%s: '%s', code %d %s", job.request.c_str(),
              response.outcome.c_str(), response.code, response.reason.c_str());
  };
  LoadGenerator load(10, [&](int thread, int n) { submit("-", thread, n); });
  for (int round = 0; round < 2; ++round) {
    const int iterations_before = load.iterations();
    cr_assert(WaitUntil(
        kBound, [&] { return load.iterations() > iterations_before + 60; }));
    const auto frozen_us = BootMicroseconds();
    cell.proxy().FreezeOpenConnections(link);
    // Callers whose own connection is frozen send nothing until they time out,
    // after up to 7 s. New callers therefore measure when service recovers.
    const auto prefix = "-new" + std::to_string(round) + "-";
    LoadGenerator arrivals(
        4, [&](int thread, int n) { submit(prefix, thread, n); });
    cr_expect(WaitUntil(kBound, [&] {
      return BootMicroseconds() - frozen_us > 2 * kRecoveryBoundUs;
    }));
    const auto gap =
        LongestGapUs(cell.records(), frozen_us, BootMicroseconds());
    std::fprintf(stderr, "%s round %d: longest gap between starts %lld ms\n",
                 name, round, static_cast<long long>(gap / 1'000));
    cr_expect_leq(gap, kRecoveryBoundUs);
    arrivals.Stop();
  }
  load.Stop();
  cr_expect(cell.CheckInvariants().empty());
}

}  // namespace

// Each test guards against a connection pool that continues to use frozen
// connections, here those between two kinds of processes, and against jobs that
// are repeated because of them.
Test(silence, between_entries_and_controllers) {
  RunWithFrozenConnections("entry-controller", {"entry-0", ""});
}

Test(silence, between_controllers) {
  RunWithFrozenConnections("controller-controller", {"controller-0", ""});
}

Test(silence, from_entries_to_targets) {
  RunWithFrozenConnections("entry-target", {"", "target-0"});
}

Test(silence, from_targets_to_entries) {
  RunWithFrozenConnections("target-entry", {"target-0", ""});
}

Test(silence, everywhere_at_once) {
  RunWithFrozenConnections("everywhere", {"", ""});
}

}  // namespace cranberryshunt::test
