#include <criterion/criterion.h>

#include <vector>

#include "admission.h"

namespace cranberryshunt::entry {

// Guards against a flood of one kind that takes the places of the others, and
// against places that are not given back.
Test(admission, a_flood_leaves_the_other_kinds_their_part) {
  constexpr std::int32_t kBound = 100;
  Admission admission(kBound);
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
    // Idle places are lent out, but only the shared half.
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
                  static_cast<std::size_t>(kBound));
  }
  cr_assert_eq(admission.in_flight(RequestClass::kInteractive), 0);
}

}  // namespace cranberryshunt::entry
