#include "call_handler.h"

#include <criterion/criterion.h>

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

// Guards against telling a caller that its job never runs because the leader
// was stuck for some seconds, after which it accepts the job.
Test(call_handler, reports_a_call_without_a_decision_as_unknown) {
  cr_expect(
      ReplyWithoutDecision({ResultCode::kTimeout, "late"}).may_be_accepted);
  cr_expect_not(
      ReplyWithoutDecision({ResultCode::kQueueFull, "full"}).may_be_accepted);
}
