// Tests what an entry decides about calls while no leader serves.
#include "cranberryshunt/cell/leader_outage.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "leader_outage_replay.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) {
  return TimePoint(milliseconds(ms));
}

LeaderAttempt Attempt(LeaderAnswer answer,
                      std::int64_t begin_ms,
                      std::int64_t end_ms,
                      bool repeated = false) {
  return {answer, repeated, At(begin_ms), At(end_ms)};
}

// Brings `outage` into an outage that began at 1,000 ms.
void Lose(LeaderOutage& outage) {
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kServed, 900, 920));
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, 1'000, 1'010));
  cr_assert(outage.OnAttempt(Attempt(LeaderAnswer::kNone, 1'030, 1'040)) ==
            LeaderOutage::Change::kBegan);
}

void Find(LeaderOutage& outage, std::int64_t at_ms) {
  cr_assert(outage.OnAttempt(Attempt(LeaderAnswer::kServed, at_ms - 10,
                                     at_ms)) == LeaderOutage::Change::kEnded);
}

}  // namespace

// Guards against held calls, because one connection broke or the leader
// changed, while a leader serves.
Test(leader_outage, a_single_failure_is_none) {
  LeaderOutage outage;
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kServed, 900, 920));
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, 1'000, 1'010));
  for (int n = 0; n < 5; ++n) {
    (void)outage.OnAttempt(Attempt(LeaderAnswer::kRedirected, 1'010, 1'020));
  }
  cr_expect_not(outage.ongoing());
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kServed, 1'020, 1'040));
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, 1'050, 1'060));
  cr_expect_not(outage.ongoing());
  cr_expect(outage.Decide(1, At(4'000), At(1'100)).step ==
            LeaderOutage::Step::kSend);
}

// Guards against an outage that is seen after its end: an attempt at the former
// leader times out while the next one already answers.
Test(leader_outage, ignores_failures_of_attempts_before_the_last_answer) {
  LeaderOutage outage;
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kServed, 1'500, 1'520));
  for (int n = 0; n < 5; ++n) {
    (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, 1'000, 1'900, true));
  }
  cr_expect_not(outage.ongoing());
}

// Guards against an end that is seen too early: the reply of the former leader
// arrives after others were refused.
Test(leader_outage, ignores_replies_from_before_the_outage) {
  LeaderOutage outage;
  Lose(outage);
  cr_expect(outage.OnAttempt(Attempt(LeaderAnswer::kServed, 990, 1'050)) ==
            LeaderOutage::Change::kNone);
  cr_expect(outage.ongoing());
}

// Guards against calls that are sent back and forth between two controllers
// that name each other.
Test(leader_outage, controllers_that_name_each_other_do_not_serve) {
  LeaderOutage outage;
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kRedirected, 1'000, 1'010));
  (void)outage.OnAttempt(
      Attempt(LeaderAnswer::kRedirected, 1'010, 1'020, true));
  cr_expect(outage.OnAttempt(Attempt(LeaderAnswer::kRedirected, 1'020, 1'030,
                                     true)) == LeaderOutage::Change::kBegan);
}

// Guards against callers that wait for nothing: an outage that outlasts any
// election is not expected to end within a short time.
Test(leader_outage, refuses_at_once_what_the_next_leader_cannot_serve) {
  LeaderOutage outage;
  Lose(outage);
  cr_expect(outage.Decide(1, At(4'100), At(1'100)).step ==
            LeaderOutage::Step::kHold);
  const auto short_time = outage.Decide(2, At(1'180), At(1'100));
  cr_expect(short_time.step == LeaderOutage::Step::kRefuse);
  cr_expect_geq(short_time.retry_after_ms, 1'000);
  // A call that can come back is refused before one that can't.
  cr_expect(outage.Decide(3, At(13'000), At(11'000)).step ==
            LeaderOutage::Step::kRefuse);
  cr_expect(outage.Decide(4, At(12'000), At(11'000)).step ==
            LeaderOutage::Step::kHold);
  cr_expect(outage.Decide(5, At(62'000), At(61'000)).step ==
            LeaderOutage::Step::kRefuse);
}

// Guards against an outage whose length is known from earlier ones, and whose
// calls are refused because elections are usually shorter.
Test(leader_outage, learns_how_long_takeovers_last) {
  LeaderOutage outage;
  std::int64_t now_ms = 1'000;
  for (int n = 0; n < 16; ++n, now_ms += 10'000) {
    (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, now_ms, now_ms + 5));
    (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, now_ms, now_ms + 10));
    Find(outage, now_ms + 6'000);
  }
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, now_ms, now_ms + 5));
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, now_ms, now_ms + 10));
  cr_expect(outage.Decide(1, At(now_ms + 4'000), At(now_ms + 1'000)).step ==
            LeaderOutage::Step::kRefuse);
  cr_expect(outage.Decide(2, At(now_ms + 7'000), At(now_ms + 4'000)).step ==
            LeaderOutage::Step::kHold);
}

// Guards against broken connections that are taken for short elections, after
// which calls would be refused in a usual one.
Test(leader_outage, learns_nothing_from_broken_connections) {
  LeaderOutage outage;
  std::int64_t now_ms = 1'000;
  for (int n = 0; n < 50; ++n, now_ms += 1'000) {
    (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, now_ms, now_ms + 5));
    (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, now_ms, now_ms + 10));
    Find(outage, now_ms + 30);
  }
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, now_ms, now_ms + 5));
  (void)outage.OnAttempt(Attempt(LeaderAnswer::kNone, now_ms, now_ms + 10));
  cr_expect_gt(outage.ChanceWithin(milliseconds(2'000), At(now_ms + 100)), 0.8);
}

// Guards against unbounded memory, and against refusals of the calls that the
// next leader could still serve.
Test(leader_outage, refuses_the_least_time_left_if_too_many_are_held) {
  LeaderOutage outage({.max_held = 2});
  Lose(outage);
  (void)outage.Decide(1, At(3'000), At(1'100));
  (void)outage.Decide(2, At(3'500), At(1'100));
  cr_expect(outage.Decide(3, At(2'900), At(1'100)).step ==
            LeaderOutage::Step::kRefuse);
  cr_expect(outage.Decide(4, At(4'000), At(1'100)).step ==
            LeaderOutage::Step::kHold);
  const auto refused = outage.TakeRefused(At(1'100));
  cr_assert_eq(refused.size(), 1);
  cr_expect_eq(refused.front().first, 1);
  cr_expect_eq(outage.summary().refused, 2);
}

// Guards against calls that get no answer because no leader comes.
Test(leader_outage, refuses_held_calls_before_their_deadline) {
  LeaderOutage outage;
  Lose(outage);
  const auto decision = outage.Decide(1, At(3'000), At(1'100));
  cr_assert(decision.step == LeaderOutage::Step::kHold);
  cr_expect(decision.hold_until < At(3'000));
  cr_expect(outage.TakeRefused(decision.hold_until - milliseconds(1)).empty());
  cr_expect_eq(outage.TakeRefused(decision.hold_until).size(), 1);
  cr_expect_not(outage.holds_calls());
}

// Guards against a burst of all held calls at the new leader, and against calls
// that run out of time behind others that have more.
Test(leader_outage, releases_the_most_urgent_first_in_small_groups) {
  constexpr LeaderOutage::CallId kCalls = 20;
  LeaderOutage outage;
  Lose(outage);
  for (LeaderOutage::CallId n = 1; n <= kCalls; ++n) {
    (void)outage.Decide(n, At(4'000 - static_cast<std::int64_t>(n)), At(1'100));
  }
  cr_expect(outage.Release(At(1'200)).empty());
  Find(outage, 1'200);
  auto group = outage.Release(At(1'200));
  cr_assert(group == std::vector<LeaderOutage::CallId>({20}));
  cr_expect(outage.Release(At(1'200)).empty());
  // A call that arrives now does not overtake them.
  cr_expect(outage.Decide(21, At(4'200), At(1'205)).step ==
            LeaderOutage::Step::kHold);
  outage.Finish(20);
  group = outage.Release(At(1'210));
  cr_expect(group == std::vector<LeaderOutage::CallId>({19, 18}));
  std::size_t released = 3;
  while (!group.empty()) {
    for (const auto it : group) {
      outage.Finish(it);
    }
    group = outage.Release(At(1'220));
    released += group.size();
  }
  cr_expect_eq(released, kCalls + 1);
  cr_expect(outage.Decide(22, At(4'200), At(1'230)).step ==
            LeaderOutage::Step::kSend);
}

// Guards against callers that come back together.
Test(leader_outage, spreads_retries) {
  LeaderOutage outage;
  Lose(outage);
  std::map<std::int64_t, int> pauses;
  for (LeaderOutage::CallId n = 1; n <= 100; ++n) {
    const auto decision = outage.Decide(n, At(23'000), At(20'000));
    cr_assert(decision.step == LeaderOutage::Step::kRefuse);
    ++pauses[decision.retry_after_ms];
  }
  cr_expect_eq(pauses.size(), 2);
  cr_expect_gt(pauses[1'000], 25);
  cr_expect_gt(pauses[2'000], 25);
}

// Load: a leader is lost for 1, 2, 4 or 8 s, 100 calls/s over 32 entries, 3 s
// for each call. Guards against serving less than calls that retry alone do,
// more attempts than they make, late answers, and a burst after the takeover.
Test(leader_outage, replay_of_lost_leaders) {
  for (const std::int64_t lost_ms : {1'000, 2'000, 4'000, 8'000}) {
    OutageLoad load;
    load.lost_ms = lost_ms;
    load.losses = 10;
    const auto held = ReplayOutage(load);
    load.retry_alone = true;
    const auto alone = ReplayOutage(load);
    const auto text = fmt::format(
        "lost {} ms: {} of {} served, alone {} of {}; attempts {}, {}; burst "
        "{}, {}; late {}, {}",
        lost_ms, held.served, held.calls, alone.served, alone.calls,
        held.attempts, alone.attempts, held.burst, alone.burst,
        held.late_answers, alone.late_answers);
    cr_expect_geq(held.served * 100, alone.served * 97, "%s", text.c_str());
    cr_expect_leq(held.attempts, alone.attempts, "%s", text.c_str());
    cr_expect_leq(held.burst, alone.burst, "%s", text.c_str());
    cr_expect_eq(held.late_answers, 0, "%s", text.c_str());
  }
}
