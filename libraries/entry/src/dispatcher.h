// Hands orders of the leader to threads that carry them out.
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
#include "wire_types.h"
#include "worker_directory.h"
#include "worker_pool.h"

namespace cranberryshunt::entry {

// Interactive starts, other starts and the rest have threads of their own, so
// that one kind of order cannot hold up the others.
class Dispatcher {
 public:
  Dispatcher(targets::TargetClient& client,
             PendingJobs& jobs,
             Reporter& reporter,
             WorkerDirectory& workers,
             MetricsRegistry& metrics);

  // Takes an order over; returns false when there is no room for it. A start
  // that is already under way is taken and dropped: its report answers both.
  bool TryEnqueue(const wire::Order& order);

  // Orders that wait or are being carried out.
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
  // Remembers the attempt; returns whether it had been sent before.
  bool RememberSent(const wire::AttemptKey& attempt);

  targets::TargetClient& client_;
  PendingJobs& jobs_;
  Reporter& reporter_;
  WorkerDirectory& workers_;
  MetricsRegistry& metrics_;
  std::mutex mutex_;
  std::set<wire::AttemptKey, AttemptLess> active_;
  std::set<wire::AttemptKey, AttemptLess> sent_;
  std::deque<wire::AttemptKey> sent_order_;
  // The pools come last, because their threads use the members above.
  WorkerPool interactive_;
  WorkerPool starts_;
  WorkerPool control_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_DISPATCHER_H_
