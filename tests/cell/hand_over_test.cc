// Tests that a leader does nothing on a permission that has run out, and that a
// worker forgets no end before the committed state shows it.
#include <criterion/criterion.h>

#include "cell_harness.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

void StartCell(CellHarness& cell) {
  cell.Run(200);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
}

void ExpectNoViolations(const CellHarness& cell) {
  for (const auto& it : cell.violations) {
    cr_expect_fail("%s", it.c_str());
  }
}

}  // namespace

// Guards against orders that go out twice around a change of leaders: the
// decision thread still acts for an earlier term of this member, which holds
// the lease of a later one by now.
Test(hand_over, does_nothing_with_the_lease_of_a_later_term) {
  CellHarness cell;
  StartCell(cell);
  cell.Submit(1, "a", MakeJob(4, 2'000, 300));
  cell.Run(1);
  cell.lease_term = 3;
  cell.Run(1'000);
  cr_expect_eq(cell.starts, 0);
  cell.lease_term.reset();
  cell.Run(2'000);
  cr_expect(cell.StateOf(1) == wire::GraphJobState::kCompleted);
  ExpectNoViolations(cell);
}
