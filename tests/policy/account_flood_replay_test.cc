// Replays twenty accounts of which one sends far more than its rate.
#include <criterion/criterion.h>

#include "fleet_replay.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

constexpr std::int32_t kAccounts = 20;
constexpr std::int32_t kWorkers = 350;

// Kinds that all accounts but the first send at a steady rate, and that the
// first one sends at `factor` times that rate. `steady` scales the load of the
// others; with 1 and a factor of 1 the load is 0.59 of the processors.
std::vector<ReplayKind> MakeKinds(double steady, double factor) {
  ReplayKind gang;
  gang.name = "gangs";
  gang.jobs_per_s = 4;
  gang.tasks = 20;
  gang.milli_cpus = 18'000;
  gang.run_ms = 4'000;
  gang.gang = true;
  gang.stretch = 2.2;
  gang.latency_target_ms = 1'200;
  gang.advice_base_ms = 100;
  gang.advice_per_worker_ms = 1;
  ReplayKind batch;
  batch.name = "batches";
  batch.jobs_per_s = 12;
  batch.tasks = 25;
  batch.milli_cpus = 7'000;
  batch.run_ms = 2'700;
  batch.priority = 2;
  batch.stretch = 4;
  batch.latency_target_ms = 3'000;
  batch.advice_base_ms = 60;
  batch.advice_per_worker_ms = 0.6;
  ReplayKind urgent;
  urgent.name = "urgent";
  urgent.jobs_per_s = 60;
  urgent.tasks = 3;
  urgent.milli_cpus = 10'000;
  urgent.run_ms = 1'000;
  urgent.priority = 0;
  urgent.stretch = 1.5;
  urgent.latency_target_ms = 400;
  urgent.advice_base_ms = 10;
  urgent.advice_per_worker_ms = 0.1;
  std::vector<ReplayKind> out;
  for (const auto& it : {gang, batch, urgent}) {
    auto others = it;
    others.jobs_per_s *= steady * (kAccounts - 1) / kAccounts;
    auto first = it;
    first.name = "first " + it.name;
    first.account = 1;
    first.jobs_per_s *= factor / kAccounts;
    out.push_back(others);
    out.push_back(first);
  }
  return out;
}

ReplayOptions Options(std::uint64_t seed) {
  ReplayOptions options;
  options.workers = kWorkers;
  options.worker_milli_cpus = 64'000;
  options.callers = 45;
  options.allowed_share = 0.6;
  options.accounts = kAccounts;
  // An account sends 3.8 jobs a second.
  options.account_weight = 4;
  options.traffic_ms = 20'000;
  options.seed = seed;
  return options;
}

void Print(const char* name, const FleetReplay& replay) {
  cr_log_info("%s: used %.3f, held %.3f, questions %d", name,
              replay.used_share(), replay.held_share(),
              static_cast<int>(replay.questions()));
  for (const auto& [kind, it] : replay.outcomes()) {
    cr_log_info(
        "%s: owed %d, in time %d, late %d, refused %d, over rate %d, "
        "wait %.0f ms, share %.3f",
        kind.c_str(), static_cast<int>(it.owed), static_cast<int>(it.in_time),
        static_cast<int>(it.late), static_cast<int>(it.refused),
        static_cast<int>(it.over_rate), it.MeanWaitMs(), it.Share());
  }
}

}  // namespace

// One account sends 8 times its usual load, so that all of it would be 0.80 of
// the processors. Guards against steady accounts that wait longer for it.
Test(account_flood_replay, leaves_the_waits_of_steady_accounts) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    FleetReplay calm(Options(seed), MakeKinds(1, 1));
    calm.Run();
    Print("calm", calm);
    FleetReplay flood(Options(seed), MakeKinds(1, 8));
    flood.Run();
    Print("flood", flood);
    for (const auto* kind : {"gangs", "batches", "urgent"}) {
      const auto& before = calm.outcomes().at(kind);
      const auto& after = flood.outcomes().at(kind);
      cr_expect_leq(after.MeanWaitMs(), 1.2 * before.MeanWaitMs(), "%s", kind);
      cr_expect_geq(after.Share(), before.Share() - 0.02, "%s", kind);
    }
  }
}

// The others are quiet. Guards against capacity that stays idle while an
// account beyond its rate has work for it. A cell without rates uses somewhat
// more, but there the few jobs of the others wait for up to 6 s.
Test(account_flood_replay, uses_idle_capacity_for_an_account_beyond_its_rate) {
  auto options = Options(1);
  options.account_weight = 1'000;
  FleetReplay unlimited(options, MakeKinds(0.05, 50));
  unlimited.Run();
  Print("without rates", unlimited);
  FleetReplay replay(Options(1), MakeKinds(0.05, 50));
  replay.Run();
  Print("with rates", replay);
  cr_expect_geq(replay.used_share(), 0.9 * unlimited.used_share());
}

// Guards against starts beyond the limit of an account under a load of gangs,
// batches and urgent jobs, and against a limit that its account cannot use.
Test(account_flood_replay, keeps_an_account_at_its_limit_and_no_lower) {
  auto options = Options(1);
  options.account_milli_cpus = 3'270'000;
  options.account_weight = 1'000;
  FleetReplay replay(options, MakeKinds(0.3, 12));
  replay.Run();
  Print("limited", replay);
  cr_expect_leq(replay.most_account_milli_cpus(), 3'270'000);
  cr_expect_geq(replay.most_account_milli_cpus(), 3'200'000);
}
