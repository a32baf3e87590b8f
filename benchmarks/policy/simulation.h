// Submits streams of random jobs to an engine in virtual time.
#ifndef CRANBERRYSHUNT_BENCHMARKS_POLICY_SIMULATION_H_
#define CRANBERRYSHUNT_BENCHMARKS_POLICY_SIMULATION_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "engine.h"

namespace cranberryshunt::policy {

// Jobs of one type that arrive at random times, at a given mean rate.
struct Stream {
  std::string name;
  Kind kind = Kind::kBatch;
  Resources task_resources;
  int task_count = 1;
  Duration run_time{};
  double jobs_per_second = 0;
  Duration from{};
  Duration until{};
  int team_count = 4;
  bool idempotent = true;
  bool prefers_region = false;
  // The declared CPUs, memory and run time are wrong by random factors of up to
  // this.
  double max_error_factor = 1;
  bool is_valid = true;  // Whether its done tasks count in valid_done.
};

struct SimulationOptions {
  Resources worker_capacity;
  std::vector<Stream> streams;
  Duration duration{};
  Duration measure_from{};
  // Fraction of the workers that fail every task after 3 ms.
  double failing_worker_fraction = 0;
  std::uint64_t seed = 1;
};

struct KindResult {
  double wait_p50_ms = 0;
  double wait_p99_ms = 0;
  double mean_share = 0;
  // The smallest mean share over one second.
  double min_share = 1;
  std::int64_t done = 0;
  std::int64_t refused = 0;
  std::int64_t preempted = 0;
};

struct SimulationResult {
  std::array<KindResult, kKindCount> kinds;
  std::int64_t valid_done = 0;
  // Mean dominant share reserved on the workers that have a reservation.
  double packing = 0;
  std::vector<std::string> culprits;
};

SimulationResult Simulate(Engine& engine, const SimulationOptions& options);

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_BENCHMARKS_POLICY_SIMULATION_H_
