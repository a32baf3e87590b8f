// The leader's state of one worker: its clock, its lease, and the runs that are
// or may be on it.
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
  kProposed,       // Reserved; the start is not committed yet.
  kSending,        // The start was sent and is not answered yet.
  kRunning,        // The worker confirmed it.
  kUncertain,      // The start was not answered; the run is to be stopped.
  kStopConfirmed,  // The worker confirmed that the run stops or never starts.
  kInherited,      // Started by an earlier leader or on an earlier incarnation.
  // All leases expired, so it is over. It may have ended as done before; the
  // worker's list tells.
  kLeaseExpired,
};

// For log messages.
const char* RunPhaseName(RunPhase phase);

struct Run {
  RunPhase phase = RunPhase::kProposed;
  // When the phase was confirmed. The run has ended if the reply to a hold that
  // was sent in a later millisecond does not list it. Used in kRunning,
  // kStopConfirmed, kInherited and kLeaseExpired.
  std::int64_t phase_confirmed_ms = 0;
  policy::Demand demand;
  std::int64_t started_ms = 0;
  // Whether this leader sent the start, so that `started_ms` gives the run
  // time.
  bool start_time_known = false;
  std::int64_t expected_run_ms = 0;
  bool long_running = false;  // Runs until it is stopped.
  // Account of the job, and what the run counts there. The job may be forgotten
  // before the run has ended.
  policy::AccountNumber account = policy::kNoAccount;
  policy::Demand account_demand;
  bool over_rate = false;  // Whether the job is beyond the account's rate.
  // Whether the worker has listed progress since the start, beyond `percent`.
  bool has_progress = false;
  // Progress at the start: 0, or unknown (-1) until it is listed if the run was
  // resumed from a checkpoint.
  std::int32_t percent = 0;
  std::string checkpoint;  // Latest one that the worker reported.
  bool stop_requested = false;
  std::int64_t stop_sent_ms = 0;
  // When the stop was requested, and the number of orders sent for it.
  std::int64_t stop_requested_ms = 0;
  std::int32_t stops_sent = 0;
};

using RunKey = std::pair<TaskKey, std::int32_t>;

policy::Demand CapacityOf(const wire::CalledWorker& record);

struct TrackedWorker {
  WorkerNumber number = 0;
  wire::CalledWorker record;
  // Fence of all orders to this incarnation. It is higher than that of orders
  // to earlier ones, which this one therefore refuses from the first order on
  // that it carries out.
  std::int64_t fence = 0;
  // Capacity in the latest report, which may not be committed yet, and the
  // largest capacity that this incarnation has had in each resource.
  policy::Demand reported_capacity;
  policy::Demand full_capacity;
  std::map<RunKey, Run> runs;

  // Whether this incarnation answered a hold with `fence`.
  bool synced = false;
  // Whether the worker said that it has left, and this is being committed.
  bool departed = false;
  // Whether the committed state no longer has the worker, and since when.
  bool removed = false;
  std::int64_t removed_ms = 0;
  // Whether every lease expired, so that nothing can still run on the worker.
  bool leases_expired = false;
  bool has_expired_runs = false;  // Whether runs may be in kLeaseExpired.

  // The worker's clock was at least `clock_ms` when the local clock was
  // `clock_sampled_ms`.
  std::int64_t clock_ms = -1;
  std::int64_t clock_sampled_ms = 0;
  // End of the latest lease granted to this incarnation, on the worker's clock;
  // 0 if none.
  std::int64_t lease_until_ms = 0;
  // Local time by which leases from an earlier leader or to an earlier
  // incarnation have certainly expired.
  std::int64_t inherited_lease_end_ms = 0;
  // Whether this incarnation may have carried out orders for an earlier one. It
  // then has a lease on another clock, which lasts as long as it allows.
  bool may_have_former_lease = false;
  // Local time by which leases have certainly expired that orders of this
  // leader got from an incarnation that isn't registered.
  std::int64_t unregistered_lease_end_ms = 0;
  // Local time until which an order without a reply may be carried out by an
  // incarnation that isn't registered; 0 if there is no such order.
  std::int64_t unproven_order_end_ms = 0;
  // Local time at which the latest order without a reply was given up that was
  // taken for one to this incarnation; 0 if none.
  std::int64_t reused_order_ms = 0;
  // Local time of the latest sign that connections may lead to an incarnation
  // that isn't registered; 0 if this one has answered a later hold.
  std::int64_t unproven_connection_ms = 0;
  // Whether one of these signs was the clock of another incarnation.
  bool other_incarnation_answers = false;

  // Numbers of the last ended row that is committed and the last that was read.
  std::int64_t acknowledged_end = 0;
  std::int64_t seen_end = 0;
  bool ends_commit_pending = false;
  std::int32_t repeated_lists = 0;  // Replies in a row without a new end.

  OrderId hold_order = 0;
  std::int64_t hold_sent_ms = 0;
  std::int64_t next_hold_ms = 0;
  bool list_due = false;  // Whether the next hold must not wait.
  std::int32_t hold_failures = 0;
  std::int64_t last_answer_ms = 0;  // Last answer to any order.
  std::int64_t last_done_ms = 0;    // Last order that was carried out.
  std::int64_t last_list_ms = 0;    // Last list of runs of this incarnation.
  std::int64_t last_report_ms = 0;  // Last report, or the registration.
  std::int64_t report_sequence = -1;
  std::int64_t avoid_until_ms = 0;  // End of the pause after a refused start.

  // Capacity that starts must respect: the smaller of the committed and the
  // reported one.
  policy::Demand Capacity() const;
  WorkerAddress Address() const {
    return {record.id, record.address, record.born_ms};
  }
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_TRACKED_WORKER_H_
