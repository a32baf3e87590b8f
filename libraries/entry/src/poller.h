// Polls the leader for orders, job updates and the rules lease (long polling).
#ifndef CRANBERRYSHUNT_ENTRY_POLLER_H_
#define CRANBERRYSHUNT_ENTRY_POLLER_H_

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "admission.h"
#include "cranberryshunt/entry/entry.h"
#include "dispatcher.h"
#include "leader_calls.h"
#include "pending_jobs.h"
#include "readiness.h"
#include "wire_types.h"

namespace cranberryshunt::entry {

// Runs a thread that polls the leader. Each poll confirms the rules revision of
// this entry and renews the rules lease; orders, job updates and queue pressure
// from the reply are passed to the objects that handle them.
class Poller {
 public:
  Poller(const EntryOptions& options,
         wire::LeaderClient& leader,
         LeaderCalls& leader_calls,
         Readiness& readiness,
         Admission& admission,
         PendingJobs& jobs,
         Dispatcher& dispatcher);
  ~Poller();

 private:
  void Run();
  // Returns whether the leader replied without an error.
  bool PollOnce();
  void HandleReply(const wire::PollReply& reply, TimePoint sent_at);
  // Fetches the rules when `leader_revision` is newer than the revision of this
  // entry. Returns whether the entry then has at least `leader_revision`.
  bool UpdateRules(std::int64_t leader_revision);
  // Fetches the status of stale jobs from the leader, so that a payload is not
  // kept forever when the update that ends its job was lost.
  void RefreshStaleJobs();

  wire::LeaderClient& leader_;
  LeaderCalls& leader_calls_;
  Readiness& readiness_;
  Admission& admission_;
  PendingJobs& jobs_;
  Dispatcher& dispatcher_;
  wire::PollRequest request_;
  bool last_poll_succeeded_ = false;
  std::mutex mutex_;
  std::condition_variable stop_requested_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_POLLER_H_
