// Replays a fleet that has enough capacity for its ordinary load, but not for
// what waits after a short time without a leader.
#include <criterion/criterion.h>

#include "fleet_replay.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

// Offered load of these kinds: 0.86 of the processors.
std::vector<ReplayKind> MakeKinds() {
  ReplayKind gangs;
  gangs.name = "gangs";
  gangs.jobs_per_s = 5.8;
  gangs.second_step_share = 0.2;
  gangs.tasks = 20;
  gangs.vary_tasks = true;
  gangs.milli_cpus = 18'000;
  gangs.run_ms = 4'000;
  gangs.gang = true;
  gangs.stretch = 2.2;
  gangs.latency_target_ms = 1'200;
  gangs.advice_base_ms = 442;
  gangs.advice_per_worker_ms = 6.37;
  gangs.worth = 8.44;
  ReplayKind batch;
  batch.name = "batch";
  batch.jobs_per_s = 7.7;
  batch.second_step_share = 0.5;
  batch.tasks = 25;
  batch.vary_tasks = true;
  batch.milli_cpus = 6'900;
  batch.run_ms = 3'400;
  batch.priority = 2;
  batch.stretch = 4;
  batch.latency_target_ms = 3'000;
  batch.advice_base_ms = 156;
  batch.advice_per_worker_ms = 2.34;
  batch.worth = 3.99;
  ReplayKind urgent;
  urgent.name = "urgent";
  urgent.jobs_per_s = 107;
  urgent.tasks = 3;
  urgent.milli_cpus = 9'900;
  urgent.run_ms = 800;
  urgent.priority = 0;
  urgent.stretch = 1.5;
  urgent.latency_target_ms = 400;
  urgent.advice_base_ms = 11.7;
  urgent.advice_per_worker_ms = 0.169;
  urgent.worth = 0.401;
  return {gangs, batch, urgent};
}

// Only jobs that are sent 8 s after the outage, or later, count.
ReplayOptions FleetWithOutage() {
  ReplayOptions options;
  options.workers = 350;
  options.worker_milli_cpus = 64'000;
  options.callers = 40;
  options.allowed_share = 0.4;
  options.ticket_valid_ms = 1'500;
  options.traffic_ms = 45'000;
  options.caller_overhead_ms = 90;
  options.outage_begin_ms = 8'000;
  options.outage_ms = 4'000;
  options.count_from_ms = 20'000;
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

}  // namespace

// Guards against urgent jobs that are refused long after a time without a
// leader: urgent jobs that became late wait behind gangs, and new ones were
// refused because of them although they would be placed first.
Test(overload_recovery_replay, serves_urgent_jobs_soon_after_an_outage) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto options = FleetWithOutage();
    options.seed = seed;
    FleetReplay replay(options, MakeKinds());
    replay.Run();
    Print(replay);
    cr_expect_geq(replay.outcomes().at("urgent").Share(), 0.95);
  }
}
