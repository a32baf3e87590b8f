// Replays loads of which a part prefers one rack, with far places on which
// tasks run for longer.
#include <criterion/criterion.h>

#include "near_replay.h"

using namespace cranberryshunt::policy;  // NOLINT

namespace {

// The planner's factor for tasks that take a far place at once, and for tasks
// that wait for a near one whatever the wait.
constexpr double kNeverWait = 1;
constexpr double kAlwaysWait = 1e6;

NearReplay Replay(const char* name,
                  NearReplayOptions options,
                  double planned_factor) {
  options.planned_factor = planned_factor;
  if (planned_factor == kAlwaysWait) {
    // Late tasks don't wait.
    options.latency_target_ms += 1'000'000'000;
  }
  NearReplay replay(options);
  replay.Run();
  cr_log_info(
      "%s, load %.2f, factor %.1f, seed %d: mean finish %.0f ms (hot %.0f, "
      "others %.0f), in time %.3f, near %d, far %d, longest wait %d ms",
      name, options.load, options.far_run_factor,
      static_cast<int>(options.seed), replay.MeanFinishMs(),
      replay.MeanFinishMs(true), replay.MeanFinishMs(false), replay.InTime(),
      static_cast<int>(replay.near_starts()),
      static_cast<int>(replay.far_starts()),
      static_cast<int>(replay.longest_near_wait_ms()));
  return replay;
}

// Mean finish over seeds, relative to that of the better one of "never wait"
// and "always wait".
double RelativeFinish(NearReplayOptions options) {
  double never = 0;
  double always = 0;
  double planned = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    options.seed = seed;
    never += Replay("never", options, kNeverWait).MeanFinishMs();
    always += Replay("always", options, kAlwaysWait).MeanFinishMs();
    planned +=
        Replay("planned", options, options.far_run_factor).MeanFinishMs();
  }
  cr_log_info("load %.2f, factor %.1f: %.3f of never, %.3f of always",
              options.load, options.far_run_factor, planned / never,
              planned / always);
  return planned / std::min(never, always);
}

}  // namespace

// Half of the jobs want one rack of six. Guards against waits that are longer
// than what they gain, and against far starts beside a near place that would
// have been free soon.
Test(near_wait_replay, finishes_as_early_as_the_better_fixed_choice) {
  for (const double load : {0.3, 0.7, 0.95}) {
    for (const double factor : {1.5, 2.0, 3.0}) {
      NearReplayOptions options;
      options.load = load;
      options.far_run_factor = factor;
      cr_expect_leq(RelativeFinish(options), 1.02);
    }
  }
}

// The planner expects half or twice the real run times.
Test(near_wait_replay, loses_little_by_wrong_estimates) {
  for (const double error : {0.5, 2.0}) {
    for (const double load : {0.3, 0.7}) {
      NearReplayOptions options;
      options.load = load;
      options.estimate_error = error;
      const auto relative = RelativeFinish(options);
      cr_log_info("estimates %.1f times the real ones: %.3f", error, relative);
      cr_expect_leq(relative, 1.02);
    }
  }
}

// Tasks run three times as long on the workers of the rack. Guards against
// waits for openings that come later than expected.
Test(near_wait_replay, does_not_wait_long_for_slow_workers) {
  // Higher loads are more than the fleet can take with such a rack.
  for (const double load : {0.2, 0.5}) {
    NearReplayOptions options;
    options.load = load;
    options.slow_rack = 3;
    const auto relative = RelativeFinish(options);
    cr_log_info("slow rack: %.3f", relative);
    cr_expect_leq(relative, 1.02);
  }
}

// Gangs that want one rack beside tasks that want none.
Test(near_wait_replay, waits_for_a_rack_with_gangs) {
  for (const double load : {0.3, 0.7, 0.95}) {
    NearReplayOptions options;
    options.load = load;
    options.hot_gangs = true;
    options.tasks = 12;
    const auto relative = RelativeFinish(options);
    cr_log_info("gangs: %.3f", relative);
    cr_expect_leq(relative, 1.02);
  }
}

// Guards against tasks that go on waiting for a rack that is drained or lost.
Test(near_wait_replay, ends_the_wait_when_the_rack_goes) {
  for (const bool lost : {false, true}) {
    NearReplayOptions options;
    options.far_run_factor = 3;
    options.drain_at_ms = 30'000;
    options.lose_rack = lost;
    const auto replay = Replay("planned", options, options.far_run_factor);
    const auto never = Replay("never", options, kNeverWait);
    cr_log_info("rack gone: %.0f, never wait %.0f", replay.MeanFinishMs(),
                never.MeanFinishMs());
    cr_expect_leq(replay.MeanFinishMs(), 1.02 * never.MeanFinishMs());
  }
}
