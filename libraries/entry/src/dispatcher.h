// Queues the orders of the leader and carries them out on thread pools.
#ifndef CRANBERRYSHUNT_ENTRY_DISPATCHER_H_
#define CRANBERRYSHUNT_ENTRY_DISPATCHER_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <set>
#include <tuple>

#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/targets/target_client.h"
#include "pending_jobs.h"
#include "reporter.h"
#include "thread_pool.h"
#include "wire_types.h"
#include "worker_directory.h"

namespace cranberryshunt::entry {

// Interactive starts, other starts, and the remaining orders (stop, throttle,
// lookup) each have their own thread pool, so that orders of one group do not
// delay the others.
class Dispatcher {
 public:
  Dispatcher(targets::TargetClient& client,
             PendingJobs& jobs,
             Reporter& reporter,
             WorkerDirectory& workers,
             MetricsRegistry& metrics);

  // Queues an order; returns false when the queue is full. Returns true and
  // drops a start of an attempt that is already queued or running: the report
  // of the first start answers both orders.
  bool TryEnqueue(const wire::Order& order);

  // Number of orders that are queued or being carried out.
  std::size_t pending() const;

 private:
  struct AttemptLess {
    bool operator()(const wire::AttemptKey& left,
                    const wire::AttemptKey& right) const {
      return std::tie(left.job_id, left.index, left.attempt) <
             std::tie(right.job_id, right.index, right.attempt);
    }
  };

  bool EnqueueStart(const wire::StartOrder& order);
  void RunStart(const wire::StartOrder& order, TimePoint received_at);
  void RunLookup(const wire::LookupOrder& order);
  targets::Target TargetOf(const std::string& address) const;
  // Records that a start of `attempt` may be sent from now on. Returns whether
  // it had been recorded before.
  bool MarkAsSent(const wire::AttemptKey& attempt);

  targets::TargetClient& client_;
  PendingJobs& jobs_;
  Reporter& reporter_;
  WorkerDirectory& workers_;
  MetricsRegistry& metrics_;
  std::mutex mutex_;
  // Attempts whose start is queued or running.
  std::set<wire::AttemptKey, AttemptLess> active_starts_;
  std::set<wire::AttemptKey, AttemptLess> sent_attempts_;
  std::deque<wire::AttemptKey> sent_oldest_first_;
  // The pools are declared last, so that their threads end before the members
  // that they use are destroyed.
  ThreadPool interactive_pool_;
  ThreadPool start_pool_;
  ThreadPool control_pool_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_DISPATCHER_H_
