// Tests the estimates of run times.
#include "run_times.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace cranberryshunt::cell;  // NOLINT

// Guards against plans that follow declared run times which say nothing: tasks
// of one queue run for about 5 s and are declared with 1 s to 100 s.
Test(run_times, learns_that_declared_run_times_say_nothing) {
  RunTimes times;
  std::mt19937_64 random(1);
  std::lognormal_distribution<> declared(std::log(10'000), 1);
  std::lognormal_distribution<> run(std::log(5'000), 0.2);
  for (int n = 0; n < 50; ++n) {
    times.Record("a", std::llround(declared(random)),
                 std::llround(run(random)));
  }
  for (const auto it : {1'000, 10'000, 100'000}) {
    const auto expected = times.Expected("a", it);
    cr_expect(expected > 2'500 && expected < 10'000, "%d for %d",
              static_cast<int>(expected), it);
  }
}

// Guards against estimates that ignore declared run times which are right but
// for a factor.
Test(run_times, follows_declared_run_times_that_differ_by_a_factor) {
  RunTimes times;
  std::mt19937_64 random(1);
  std::lognormal_distribution<> declared(std::log(10'000), 1);
  for (int n = 0; n < 50; ++n) {
    const auto it = std::llround(declared(random));
    times.Record("a", it, 2 * it);
  }
  for (const auto it : {1'000, 10'000, 100'000}) {
    const auto ratio = static_cast<double>(times.Expected("a", it)) / it;
    cr_expect(ratio > 1.6 && ratio < 2.5, "%f for %d", ratio, it);
  }
}

// A queue without finished tasks, one with a single one, and tasks without a
// declared run time.
Test(run_times, uses_declared_run_times_until_it_knows_more) {
  RunTimes times;
  cr_expect_eq(times.Expected("a", 700), 700);
  cr_expect_eq(times.Expected("a", 0), 1'000);
  times.Record("a", 1'000, 3'000);
  cr_expect_eq(times.Expected("a", 1'000), 3'000);
  cr_expect_eq(times.Expected("a", 2'000), 6'000);
  cr_expect_eq(times.Expected("a", 0), 3'000);
}

// Guards against an order in which half of the jobs end late: the time that a
// job may wait follows its real run time, which is often less than expected.
Test(run_times, knows_how_short_runs_can_be) {
  RunTimes times;
  std::mt19937_64 random(1);
  std::lognormal_distribution<> run(std::log(5'000), 0.45);
  cr_expect_eq(times.Short("a", 700), 700);
  std::vector<std::int64_t> runs;
  for (int n = 0; n < 300; ++n) {
    runs.push_back(std::llround(run(random)));
    times.Record("a", 4'000, runs.back());
  }
  const auto shorter = std::count_if(
      runs.begin(), runs.end(),
      [&](const auto& it) { return it < times.Short("a", 4'000); });
  cr_expect(shorter > 30 && shorter < 75, "%d of 300",
            static_cast<int>(shorter));
}
