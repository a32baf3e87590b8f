// Tests how the answers of the advice service are counted.
#include <criterion/criterion.h>

#include "advice_usage.h"

using namespace cranberryshunt::cell;  // NOLINT

namespace {

AdviceOutcome MakeOutcome(std::int64_t step, bool answered, bool renewal) {
  AdviceOutcome outcome;
  outcome.question.step = step;
  outcome.question.queue = "q";
  outcome.question.renewal = renewal;
  outcome.answered = answered;
  outcome.caller_ms = 100;
  return outcome;
}

}  // namespace

// Guards against a backlog of questions whose cause the log doesn't tell:
// answers that expire unused look like any others.
Test(advice_usage, tells_used_answers_from_those_that_expire) {
  AdviceUsage usage;
  usage.RecordOutcome(MakeOutcome(1, true, false), true, 1'500);
  usage.RecordOutcome(MakeOutcome(2, true, false), true, 1'500);
  usage.RecordOutcome(MakeOutcome(3, true, true), true, 1'500);
  usage.RecordOutcome(MakeOutcome(4, true, false), false, 1'500);
  usage.RecordOutcome(MakeOutcome(5, false, false), true, 1'500);
  usage.RecordPlacement(1);
  auto counts = usage.TakeCounts(1'000)["q"];
  cr_expect_eq(counts.used, 1);
  cr_expect_eq(counts.gone, 1);
  cr_expect_eq(counts.lost, 1);
  cr_expect_eq(counts.unused + counts.unused_renewals, 0);
  counts = usage.TakeCounts(1'500)["q"];
  cr_expect_eq(counts.unused, 1);
  cr_expect_eq(counts.unused_renewals, 1);
  cr_expect_eq(counts.unused_ms, 200);
  cr_expect(usage.TakeCounts(9'000).empty());
}
