// Tests the queue of messages that are sent again after a failure.
#include "relay_queue.h"

#include <criterion/criterion.h>

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

std::vector<int> Numbers(const std::vector<Expiring<int>>& batch) {
  std::vector<int> out;
  out.reserve(batch.size());
  for (const auto& it : batch) {
    out.push_back(it.message);
  }
  return out;
}

}  // namespace

// Guards against messages that overtake those whose delivery failed.
Test(relay_queue, keeps_the_order_after_a_failure) {
  const ManualClock clock;
  const auto deadline = clock.Now() + std::chrono::seconds(1);
  RelayQueue<int> queue(8);
  queue.Push({1, deadline});
  queue.Push({2, deadline});
  queue.Push({3, deadline});
  auto batch = queue.TakeBatch(2, clock.Now());
  cr_expect(Numbers(batch) == std::vector({1, 2}));
  queue.Push({4, deadline});
  queue.PutBack(std::move(batch));
  cr_expect(Numbers(queue.TakeBatch(8, clock.Now())) ==
            std::vector({1, 2, 3, 4}));
  cr_expect(queue.empty());
  cr_expect_eq(queue.TakeDropped(), 0);
}

// Guards against messages that are repeated although nobody waits for them.
Test(relay_queue, drops_expired_messages) {
  ManualClock clock;
  RelayQueue<int> queue(8);
  queue.Push({1, clock.Now() + std::chrono::seconds(3)});
  queue.Push({2, clock.Now() + std::chrono::seconds(1)});
  clock.Advance(std::chrono::seconds(1));
  cr_expect(Numbers(queue.TakeBatch(8, clock.Now())) == std::vector({1}));
  cr_expect_eq(queue.TakeDropped(), 1);
  cr_expect_eq(queue.TakeDropped(), 0);
}

// Guards against memory that grows while a destination does not answer.
Test(relay_queue, is_bounded) {
  const ManualClock clock;
  const auto deadline = clock.Now() + std::chrono::seconds(1);
  RelayQueue<int> queue(2);
  queue.Push({1, deadline});
  queue.Push({2, deadline});
  queue.Push({3, deadline});
  cr_expect_eq(queue.TakeDropped(), 1);
  auto batch = queue.TakeBatch(2, clock.Now());
  queue.Push({4, deadline});
  queue.PutBack(std::move(batch));
  cr_expect(Numbers(queue.TakeBatch(8, clock.Now())) == std::vector({1, 2}));
  cr_expect_eq(queue.TakeDropped(), 1);
}
