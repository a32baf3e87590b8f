// Replays loads in which half of the work is wide gangs, on hundreds of workers
// with an advice service that allows three of ten.
#include <criterion/criterion.h>

#include "fleet_replay.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

// Offered load of these kinds, with `factor` 1: 0.88 of the processors.
std::vector<ReplayKind> MakeKinds(double factor) {
  ReplayKind wide;
  wide.name = "wide gangs";
  wide.jobs_per_s = 7.31 * factor;
  wide.second_step_share = 0.2;
  wide.tasks = 20;
  wide.vary_tasks = true;
  wide.milli_cpus = 9'000;
  wide.run_ms = 5'000;
  wide.gang = true;
  wide.stretch = 2.2;
  wide.latency_target_ms = 1'200;
  wide.advice_base_ms = 637;
  wide.advice_per_worker_ms = 9.1;
  wide.worth = 5.9;
  ReplayKind batch;
  batch.name = "batch";
  batch.jobs_per_s = 12.2 * factor;
  batch.second_step_share = 0.5;
  batch.tasks = 24;
  batch.vary_tasks = true;
  batch.milli_cpus = 5'500;
  batch.run_ms = 2'200;
  batch.priority = 2;
  batch.stretch = 4;
  batch.latency_target_ms = 3'000;
  batch.advice_base_ms = 182;
  batch.advice_per_worker_ms = 2.6;
  batch.worth = 2.21;
  ReplayKind urgent;
  urgent.name = "urgent";
  urgent.jobs_per_s = 86.7 * factor;
  urgent.tasks = 3;
  urgent.milli_cpus = 7'900;
  urgent.run_ms = 1'000;
  urgent.priority = 0;
  urgent.stretch = 1.5;
  urgent.latency_target_ms = 400;
  urgent.advice_base_ms = 26;
  urgent.advice_per_worker_ms = 0.364;
  urgent.worth = 0.435;
  return {wide, batch, urgent};
}

// Kinds with wider tasks, longer batches and more urgent jobs; offered load:
// 1.07 of the processors of 350 workers with 64 each.
std::vector<ReplayKind> MakeKindsOfFewCallers() {
  auto kinds = MakeKinds(1.0);
  auto& wide = kinds[0];
  wide.jobs_per_s = 7.15;
  wide.milli_cpus = 18'000;
  wide.run_ms = 4'000;
  wide.advice_base_ms = 442;
  wide.advice_per_worker_ms = 6.37;
  wide.worth = 8.44;
  auto& batch = kinds[1];
  batch.jobs_per_s = 9.47;
  batch.tasks = 25;
  batch.milli_cpus = 6'900;
  batch.run_ms = 3'400;
  batch.advice_base_ms = 156;
  batch.advice_per_worker_ms = 2.34;
  batch.worth = 3.99;
  auto& urgent = kinds[2];
  urgent.jobs_per_s = 132;
  urgent.milli_cpus = 9'900;
  urgent.run_ms = 800;
  urgent.advice_base_ms = 11.7;
  urgent.advice_per_worker_ms = 0.169;
  urgent.worth = 0.401;
  return kinds;
}

ReplayOptions LargeFleet() {
  ReplayOptions options;
  options.workers = 540;
  options.callers = 102;
  return options;
}

void Print(const FleetReplay& replay) {
  cr_log_info("worth %.3f, used %.3f, held %.3f, questions %d", replay.Worth(),
              replay.used_share(), replay.held_share(),
              static_cast<int>(replay.questions()));
  for (const auto& [name, it] : replay.outcomes()) {
    cr_log_info(
        "%s: owed %d, in time %d, late %d, refused %d, unfinished %d, "
        "share %.3f",
        name.c_str(), static_cast<int>(it.owed), static_cast<int>(it.in_time),
        static_cast<int>(it.late), static_cast<int>(it.refused),
        static_cast<int>(it.unfinished), it.Share());
  }
}

}  // namespace

// Guards against gangs that gather room and tickets at different times: tickets
// of the room at hand expire while the answer about further workers is awaited,
// and the room stays idle.
Test(wide_gangs_replay, serves_wide_gangs_on_a_fleet_with_enough_capacity) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    auto options = LargeFleet();
    options.seed = seed;
    FleetReplay replay(options, MakeKinds(1.0));
    replay.Run();
    Print(replay);
    cr_expect_geq(replay.outcomes().at("wide gangs").Share(), 0.90);
    cr_expect_geq(replay.outcomes().at("urgent").Share(), 0.95);
  }
}

// Guards against an overload in which most of the work that is done ends late:
// jobs are started in the order in which they become late, so all of them wait
// until then.
Test(wide_gangs_replay, serves_in_time_what_it_starts_in_a_flood) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    auto options = LargeFleet();
    options.seed = seed;
    FleetReplay replay(options, MakeKinds(1.2));
    replay.Run();
    Print(replay);
    const auto& wide = replay.outcomes().at("wide gangs");
    cr_expect_leq(wide.late * 6, wide.in_time, "%d late, %d in time",
                  static_cast<int>(wide.late), static_cast<int>(wide.in_time));
  }
}

// Load pattern: somewhat more work than fits, and callers of the advice service
// are as scarce as processors. Guards against wide gangs that are given up
// while narrow ones of the same kind are served: they need more answers one
// after another, turn late before they have them, and then get no more.
Test(wide_gangs_replay, serves_the_widest_gangs_half_as_often_as_all) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    auto options = LargeFleet();
    options.workers = 350;
    options.worker_milli_cpus = 64'000;
    options.callers = 35;
    options.caller_overhead_ms = 120;
    options.ticket_valid_ms = 1'500;
    options.seed = seed;
    FleetReplay replay(options, MakeKindsOfFewCallers());
    replay.Run();
    Print(replay);
    const auto& wide = replay.outcomes().at("wide gangs");
    const auto all = wide.ServedShare(0, 1);
    cr_expect_geq(wide.ServedShare(0.9, 1), all / 2);
    cr_expect_geq(wide.ServedShare(0.7, 0.9), all / 2);
  }
}

// Load pattern: two bursts and an outage on hundreds of workers, and gangs that
// have a second step or fail and are run again. Guards against wide gangs that
// are accepted, turn late behind the backlog and never start.
Test(wide_gangs_replay, serves_the_widest_gangs_after_an_outage_and_bursts) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    auto options = LargeFleet();
    options.workers = 520;
    options.traffic_ms = 40'000;
    options.outage_begin_ms = 11'500;
    options.outage_ms = 2'500;
    options.gang_failure_share = 0.08;
    options.load = [](std::int64_t at_ms) {
      const bool first = at_ms >= 5'000 && at_ms < 10'000;
      const bool second = at_ms >= 18'000 && at_ms < 22'000;
      return first ? 1.5 : second ? 1.35 : 1.0;
    };
    options.seed = seed;
    auto kinds = MakeKinds(1.0);
    kinds[2].gang = true;
    FleetReplay replay(options, kinds);
    replay.Run();
    Print(replay);
    const auto& wide = replay.outcomes().at("wide gangs");
    const auto all = wide.ServedShare(0, 1);
    cr_expect_geq(wide.ServedShare(0.9, 1), all / 2);
    cr_expect_geq(wide.ServedShare(0.7, 0.9), all / 2);
  }
}
