// What a leader knows of one worker: its clock, its lease, and the runs that
// are there or may be there.
#ifndef CRANBERRYSHUNT_CELL_TRACKED_WORKER_H_
#define CRANBERRYSHUNT_CELL_TRACKED_WORKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "cranberryshunt/cell/worker_driver.h"
#include "cranberryshunt/graph/graph_store.h"
#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::cell {

using graph::TaskKey;
using graph::WorkerNumber;

enum class RunPhase {
  kProposed,   // Reserved; the start is not committed yet.
  kSending,    // The start was sent and is not answered yet.
  kRunning,    // The worker confirmed it.
  kUncertain,  // The start was not answered; the run is to be barred.
  kBarred,     // The worker confirmed that the run stops or never starts.
  kInherited,  // Started by an earlier leader or on an earlier life.
};

struct Run {
  RunPhase phase = RunPhase::kProposed;
  // A list of the worker that was asked for in a later millisecond and does not
  // show the run proves that it is over. Meaningful in kRunning, kBarred,
  // kInherited.
  std::int64_t phase_confirmed_ms = 0;
  policy::Demand demand;
  std::int64_t started_ms = 0;
  // This leader sent the start, so `started_ms` tells how long it runs.
  bool start_time_known = false;
  std::int64_t expected_run_ms = 0;
  std::string checkpoint;  // The last one that the worker told of.
  bool stop_requested = false;
  OrderId stop_order = 0;  // Open order to stop it; 0 without one.
  std::int64_t stop_sent_ms = 0;
};

using RunKey = std::pair<TaskKey, std::int32_t>;

struct TrackedWorker {
  WorkerNumber number = 0;
  wire::CalledWorker record;
  std::map<RunKey, Run> runs;

  // The worker answered a hold with the fence of this leader in this life.
  bool synced = false;
  // Every lease has run out without contact; nothing runs there any more.
  bool leases_expired = false;

  // The worker's clock showed at least `clock_ms` at `clock_sampled_ms` of
  // ours.
  std::int64_t clock_ms = -1;
  std::int64_t clock_sampled_ms = 0;
  // Latest lease that was granted in this life, on the worker's clock; 0: none.
  std::int64_t lease_until_ms = 0;
  // Our time when grants of an earlier leader or life have surely run out.
  std::int64_t inherited_lease_end_ms = 0;

  std::int64_t acknowledged_end = 0;
  std::int64_t seen_end = 0;
  bool ends_commit_pending = false;

  OrderId hold_order = 0;
  std::int64_t hold_sent_ms = 0;
  std::int64_t next_hold_ms = 0;
  std::int32_t hold_failures = 0;
  std::int64_t last_answer_ms = 0;  // Last answer to any order.
  std::int64_t last_report_ms = 0;  // Last report.
  std::int64_t report_sequence = -1;
  std::int64_t avoid_until_ms = 0;  // After it refused starts as unhealthy.

  WorkerAddress Address() const { return {record.id, record.address}; }
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_TRACKED_WORKER_H_
