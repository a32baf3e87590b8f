// Replays the load of a fleet whose advice callers are nearly as scarce as its
// processors, with a burst right before a time without a leader.
#include <criterion/criterion.h>

#include <algorithm>

#include "fleet_replay.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr std::int64_t kBurstMs = 8'000;
constexpr std::int64_t kOutageMs = 12'000;
constexpr double kFleetMilliCpus = 350 * 16'000.0;

// The kinds of job of customer B in docs/design/hard-load.md. Their rates are
// scaled so that they ask for `share` of the processors.
std::vector<ReplayKind> MakeKinds(double share) {
  ReplayKind gangs;
  gangs.name = "gangs";
  gangs.jobs_per_s = 3.3;
  gangs.second_step_share = 0.2;
  gangs.tasks = 20;
  gangs.vary_tasks = true;
  gangs.milli_cpus = 4'500;
  gangs.run_ms = 5'300;
  gangs.gang = true;
  gangs.stretch = 2.2;
  gangs.latency_target_ms = 1'200;
  gangs.advice_base_ms = 702;
  gangs.advice_per_worker_ms = 10;
  gangs.allowed_share = 0.3;
  gangs.worth = 8;
  ReplayKind batch;
  batch.name = "batch";
  batch.jobs_per_s = 11;
  batch.second_step_share = 0.5;
  batch.tasks = 25;
  batch.vary_tasks = true;
  batch.milli_cpus = 1'700;
  batch.run_ms = 1'900;
  batch.priority = 2;
  batch.stretch = 4;
  batch.latency_target_ms = 3'000;
  batch.advice_base_ms = 104;
  batch.advice_per_worker_ms = 1.4;
  batch.allowed_share = 0.45;
  batch.worth = 2.4;
  ReplayKind urgent;
  urgent.name = "urgent";
  urgent.jobs_per_s = 78;
  urgent.tasks = 3;
  urgent.milli_cpus = 2'500;
  urgent.run_ms = 850;
  urgent.priority = 0;
  urgent.stretch = 1.5;
  urgent.latency_target_ms = 400;
  urgent.advice_base_ms = 14;
  urgent.advice_per_worker_ms = 0.2;
  urgent.allowed_share = 0.7;
  urgent.worth = 0.4;
  std::vector<ReplayKind> kinds = {gangs, batch, urgent};
  double asked = 0;
  for (const auto& it : kinds) {
    asked += it.jobs_per_s * (1 + it.second_step_share) * it.tasks *
             static_cast<double>(it.milli_cpus * it.run_ms) / 1'000;
  }
  for (auto& it : kinds) {
    it.jobs_per_s *= share * kFleetMilliCpus / asked;
  }
  return kinds;
}

ReplayOptions FleetWithBurstAndOutage(std::int64_t outage_ms) {
  ReplayOptions options;
  options.workers = 350;
  options.worker_milli_cpus = 16'000;
  options.callers = 37;
  options.caller_overhead_ms = 100;
  options.ticket_valid_ms = 2'000;
  options.traffic_ms = 40'000;
  options.drain_ms = 20'000;
  options.outage_begin_ms = kOutageMs;
  options.outage_ms = outage_ms;
  options.load = [](std::int64_t at_ms) {
    return at_ms >= kBurstMs && at_ms < kOutageMs ? 2.2 : 1.0;
  };
  return options;
}

void Print(const FleetReplay& replay) {
  cr_log_info("worth %.3f, used %.3f, held %.3f, questions %d, callers %.1f",
              replay.Worth(), replay.used_share(), replay.held_share(),
              static_cast<int>(replay.questions()), replay.busy_callers());
  for (const auto& [name, it] : replay.outcomes()) {
    cr_log_info(
        "%s: owed %d, in time %d, late %d, refused %d, unfinished %d, "
        "share %.3f",
        name.c_str(), static_cast<int>(it.owed), static_cast<int>(it.in_time),
        static_cast<int>(it.late), static_cast<int>(it.refused),
        static_cast<int>(it.unfinished), it.Share());
  }
}

// The fleet during a span of time.
struct Span {
  double queued_questions = 0;             // Mean.
  double used_share = 0;                   // Mean.
  std::map<std::string, double> waits_ms;  // Median of each kind.
};

Span Summarize(FleetReplay& replay, std::int64_t from_ms, std::int64_t to_ms) {
  Span span;
  double samples = 0;
  for (const auto& it : replay.samples()) {
    if (it.at_ms >= from_ms && it.at_ms < to_ms) {
      ++samples;
      span.queued_questions += static_cast<double>(it.queued_questions);
      span.used_share += it.used_share;
    }
  }
  span.queued_questions /= samples;
  span.used_share /= samples;
  for (const auto& [name, outcome] : replay.outcomes()) {
    const auto& waits = replay.waits(name);
    std::vector<std::int64_t> of_kind;
    for (auto it = waits.lower_bound(from_ms);
         it != waits.end() && it->first < to_ms; ++it) {
      of_kind.push_back(it->second);
    }
    std::sort(of_kind.begin(), of_kind.end());
    span.waits_ms[name] =
        of_kind.empty() ? 0 : static_cast<double>(of_kind[of_kind.size() / 2]);
  }
  return span;
}

}  // namespace

// Guards against an overload that lasts after its cause: steps ask again and
// again because the workers that they asked about are full when the answers
// come, the advice callers are busy with these questions, and so other steps
// get their first answer late.
Test(overload_loop_replay, serves_callers_after_a_burst_and_a_takeover) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    for (const bool high : {false, true}) {
      auto options = FleetWithBurstAndOutage(3'000);
      options.seed = seed;
      FleetReplay replay(options, MakeKinds(high ? 0.9 : 0.75));
      replay.Run();
      Print(replay);
      cr_expect_geq(replay.Worth(), high ? 0.82 : 0.88);
      const auto& gangs = replay.outcomes().at("gangs");
      cr_expect_geq(gangs.ServedShare(0.9, 1), gangs.ServedShare(0, 1) / 2);
    }
  }
}

// Guards against an overload that outlasts its cause by more than 5 s: nothing
// of the burst and of the time without a leader is to be seen any more then.
Test(overload_loop_replay, is_as_before_5_s_after_a_takeover) {
  constexpr std::int64_t kSpanMs = 3'000;
  for (const std::int64_t outage_ms : {1'000, 3'000, 6'000}) {
    for (const double share : {0.75, 0.9}) {
      FleetReplay replay(FleetWithBurstAndOutage(outage_ms), MakeKinds(share));
      replay.Run();
      const auto before = Summarize(replay, kBurstMs - kSpanMs, kBurstMs);
      const auto from_ms = kOutageMs + outage_ms + 5'000;
      const auto after = Summarize(replay, from_ms, from_ms + kSpanMs);
      cr_log_info(
          "load %.2f, %d ms: questions %.1f, then %.1f; used %.3f, %.3f", share,
          static_cast<int>(outage_ms), before.queued_questions,
          after.queued_questions, before.used_share, after.used_share);
      cr_expect_leq(after.queued_questions, before.queued_questions + 10);
      cr_expect_geq(after.used_share, before.used_share - 0.05);
      for (const auto& [name, wait_ms] : before.waits_ms) {
        const auto then_ms = after.waits_ms.at(name);
        cr_log_info("  %s: wait %.0f ms, then %.0f ms", name.c_str(), wait_ms,
                    then_ms);
        cr_expect_leq(then_ms, 1.25 * wait_ms);
      }
    }
  }
}
