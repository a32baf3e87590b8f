// Replays calls to the entries of a cell that loses its leader, without a
// network.
#ifndef CRANBERRYSHUNT_TESTS_CELL_LEADER_OUTAGE_REPLAY_H_
#define CRANBERRYSHUNT_TESTS_CELL_LEADER_OUTAGE_REPLAY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cranberryshunt/cell/leader_outage.h"

namespace cranberryshunt::cell {

struct OutageLoad {
  std::int64_t lost_ms = 1'000;
  // The cell loses its leader this often, 12 s apart.
  int losses = 1;
  int entries = 32;
  int calls_per_second = 100;
  std::int64_t deadline_ms = 3'000;
  // Each call retries by itself, as entries did before LeaderOutage.
  bool retry_alone = false;
  double min_chance = LeaderOutageOptions().min_chance;
  double min_last_chance = LeaderOutageOptions().min_last_chance;
  std::size_t max_held = LeaderOutageOptions().max_held;
  std::uint64_t seed = 1;
};

// Of the calls that begin from 3 s before a leader is lost until the next one
// serves.
struct OutageResult {
  int calls = 0;
  int served = 0;          // Within the time of the call.
  int late_answers = 0;    // Answers to a caller after its deadline.
  double served_ms = 0;    // Mean time until the answer of served calls.
  double unserved_ms = 0;  // Mean time that the others waited for answers.
  double unserved_first_ms = 0;  // Mean time until their first answers.
  int attempts = 0;              // While there is no leader, also to find it.
  int burst = 0;                 // Most calls that reach a leader within 50 ms.
  int held = 0;                  // Most calls that one entry holds.
};

// The leader takes 2 ms of each call; a commit and the network take 27 ms. A
// caller retries up to 4 times, at any entry, until 3 s after it began.
OutageResult ReplayOutage(const OutageLoad& load);

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_TESTS_CELL_LEADER_OUTAGE_REPLAY_H_
