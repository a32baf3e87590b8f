// Periodic checks that bound how long a lost order or run stays open.
#include <algorithm>

#include "cranberryshunt/base/log.h"
#include "leader.h"

namespace cranberryshunt::cell {

namespace {

// An order counts as lost if no reply was reported this long after its timeout.
// This covers the margin of the relay and delays on a busy host.
constexpr std::int64_t kLostOrderMarginMs = 2'500;
// Goes through 200,000 tasks in 10 s.
constexpr std::int64_t kRunCheckIntervalMs = 50;
constexpr std::size_t kTasksPerRunCheck = 1'000;

}  // namespace

// The worker driver must report one reply for every order. If there is none,
// this function reports that the worker did not answer. Otherwise the order's
// run would stay open for ever, or its worker would get no further hold.
void Leader::FailLostOrders() {
  std::vector<OrderId> lost;
  for (const auto& [id, order] : open_orders_) {
    if (now_ms_ - order.sent_ms >
        order.sent.timeout.count() + kLostOrderMarginMs) {
      lost.push_back(id);
    }
  }
  for (const auto id : lost) {
    const auto& order = open_orders_.at(id);
    Log(LogLevel::kError, "workers", "no reply was reported for an order",
        {{"worker", order.sent.worker.id},
         {"kind", order.sent.order.index()},
         {"age_ms", now_ms_ - order.sent_ms}});
    ++metrics_.Counter("orders_lost_total");
    WorkerReply reply;
    reply.detail = "the order was not reported";
    OnWorkerReply(id, reply, TimePoint(std::chrono::milliseconds(now_ms_)));
  }
}

void Leader::FailRunsWithoutOwner() {
  if (now_ms_ - last_run_check_ms_ < kRunCheckIntervalMs) {
    return;
  }
  last_run_check_ms_ = now_ms_;
  // A worker that has such a run lists it within this time, or its lease has
  // expired.
  const auto grace_ms = options_.max_worker_lease.count();
  const auto found = run_check_.Advance(
      now_ms_, grace_ms, kTasksPerRunCheck,
      [this](const auto& task, std::int32_t run, graph::WorkerNumber worker) {
        return HasOwner(task, run, worker);
      });
  WorkerTrackerOutput out;
  for (const auto& it : found) {
    const auto& [task, run] = it.key;
    Log(LogLevel::kError, "runs", "run without an owner is given up",
        {{"task", graph::FormatTask(task)},
         {"run", run},
         {"worker_number", it.worker}});
    ++metrics_.Counter("runs_without_owner_total");
    FinishedRun finished;
    finished.task = task;
    finished.run = run;
    finished.worker = it.worker;
    finished.reason = "nobody would have ended it";
    out.finished.push_back(std::move(finished));
  }
  ApplyOutput(std::move(out));
}

bool Leader::HasOwner(const graph::TaskKey& task,
                      std::int32_t run,
                      graph::WorkerNumber worker) const {
  if (workers_.FindRun(worker, task, run) ||
      workers_.IsOpenAtDeparted(task, run)) {
    return true;
  }
  const auto proposed = proposed_runs_.find(task);
  if (proposed != proposed_runs_.end() && proposed->second == run) {
    return true;
  }
  const auto wire_task = graph::ToWire(task);
  const auto ends_run = [&](const wire::GraphBatch& batch) {
    return std::any_of(
        batch.results.begin(), batch.results.end(),
        [&](const auto& it) { return it.run == run && it.task == wire_task; });
  };
  return ends_run(batch_) ||
         std::any_of(open_proposals_.begin(), open_proposals_.end(),
                     [&](const auto& it) { return ends_run(it.second.batch); });
}

}  // namespace cranberryshunt::cell
