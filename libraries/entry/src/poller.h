// The long poll to the leader.
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

// One thread that confirms the rules revision, renews the rules lease, and
// hands out orders, job updates and queue pressure.
class Poller {
 public:
  Poller(const EntryOptions& options,
         wire::LeaderClient& leader,
         LeaderCalls& calls,
         Readiness& readiness,
         Admission& admission,
         PendingJobs& jobs,
         Dispatcher& dispatcher);
  ~Poller();

 private:
  void Run();
  // Returns whether the leader answered.
  bool PollOnce();
  void HandleReply(const wire::PollReply& reply, TimePoint sent_at);
  // Returns whether the revision of the leader is in hand.
  bool UpdateRules(std::int64_t leader_revision);
  // Asks for old payloads, so that a lost update does not keep them.
  void CheckOldJobs();

  wire::LeaderClient& leader_;
  LeaderCalls& calls_;
  Readiness& readiness_;
  Admission& admission_;
  PendingJobs& jobs_;
  Dispatcher& dispatcher_;
  wire::PollRequest request_;
  bool lease_is_fresh_ = false;
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_POLLER_H_
