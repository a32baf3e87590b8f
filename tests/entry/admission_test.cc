#include <criterion/criterion.h>

#include <vector>

#include "admission.h"

namespace cranberryshunt::entry {

// Guards against a flood of one job kind that uses up the guaranteed places of
// the other kinds, and against places that are not released.
Test(admission, a_flood_leaves_other_kinds_their_guaranteed_places) {
  constexpr std::int32_t kMaxInFlight = 100;
  Admission admission(kMaxInFlight);
  for (int round = 0; round < 2; ++round) {
    std::vector<Admission::Ticket> flood;
    for (;;) {
      auto ticket = admission.AdmitSubmission(wire::JobKind::kInteractive);
      if (!ticket) {
        cr_assert_gt(ticket.error().retry_after_ms, 0);
        break;
      }
      flood.push_back(std::move(*ticket));
    }
    // The flood may take the shared half in addition to its own guaranteed
    // places.
    cr_assert_gt(flood.size(), 50U);
    std::vector<Admission::Ticket> others;
    for (const auto kind : {wire::JobKind::kBatch, wire::JobKind::kService,
                            wire::JobKind::kGang}) {
      for (int i = 0; i < 7; ++i) {
        auto ticket = admission.AdmitSubmission(kind);
        cr_assert(ticket.has_value());
        others.push_back(std::move(*ticket));
      }
    }
    cr_assert(admission.Admit(RequestClass::kStatus).has_value());
    cr_assert_leq(flood.size() + others.size(),
                  static_cast<std::size_t>(kMaxInFlight));
  }
  cr_assert_eq(admission.in_flight(RequestClass::kInteractive), 0);
}

}  // namespace cranberryshunt::entry
