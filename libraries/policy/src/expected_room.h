// Forecasts when workers have room for further tasks.
#ifndef CRANBERRYSHUNT_POLICY_EXPECTED_ROOM_H_
#define CRANBERRYSHUNT_POLICY_EXPECTED_ROOM_H_

#include <cstdint>
#include <vector>

#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::policy {

// Returns the times at which the worker is expected to have room for one, two
// and more tasks of size `task`, up to `limit`: now, or when other tasks on it
// have ended. `free` is its capacity that the tasks may use now.
std::vector<std::int64_t> ExpectedRoom(const PlanWorker& worker,
                                       Demand free,
                                       const Demand& task,
                                       std::int64_t limit,
                                       std::int64_t now_ms);

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_EXPECTED_ROOM_H_
