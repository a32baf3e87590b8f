// Distributes the calls to workers over the controllers of a large cell: the
// leader decides, and the other controllers, its helpers, execute its orders
// and send the replies back.
#ifndef CRANBERRYSHUNT_CELL_RELAY_H_
#define CRANBERRYSHUNT_CELL_RELAY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/cell/controller.h"
#include "cranberryshunt/cell/worker_driver.h"
#include "relay_queue.h"

namespace cranberryshunt::cell {

// Interface to the other controllers. Messages may arrive more than once. A
// message is lost if it cannot be delivered before its deadline.
class RelayLink {
 public:
  virtual ~RelayLink() = default;
  virtual void SendOrders(const std::string& controller,
                          std::vector<Expiring<wire::RelayedOrder>> orders) = 0;
  virtual void SendReplies(
      const std::string& controller,
      std::vector<Expiring<wire::RelayedReply>> replies) = 0;
};

// Number of calls since the last report.
struct CallCounts {
  // Orders that this controller executed, for itself or for a leader, and those
  // that were not answered.
  std::int64_t holds = 0;
  std::int64_t starts = 0;
  std::int64_t stops = 0;
  std::int64_t unanswered = 0;
  // Orders that this controller had other controllers execute, and those whose
  // reply did not arrive in time.
  std::int64_t relayed = 0;
  std::int64_t expired = 0;

  bool operator==(const CallCounts&) const = default;
};

// Reports a reply to each order of this controller to the sink exactly once,
// even if the helper that executes the order fails. Safe for use by several
// threads.
class Relay final : public WorkerDriver {
 public:
  Relay(ReplySink sink, RelayLink& link, const Clock& clock);
  // Sets the driver that calls workers from this controller. Its replies go to
  // OnLocalReply().
  void SetDriver(std::unique_ptr<WorkerDriver> driver);
  // Destroys the driver, which ends the open calls of this controller.
  void Stop();

  // Sends orders of this controller, which is the leader.
  void Send(std::vector<SentOrder> orders) override;
  // Sets the controllers that execute orders from now on. Helpers that still
  // answer orders are kept, unless there are no controllers: then this
  // controller executes the orders itself.
  void SetHelpers(std::vector<std::string> helpers);
  void OnReplies(const std::vector<wire::RelayedReply>& replies);
  // Gives up on orders whose deadline has passed. To be called about every
  // 100 ms.
  void Advance();

  // Executes orders of another controller, which is the leader.
  void OnOrders(const std::string& leader,
                const std::vector<wire::RelayedOrder>& orders);
  void OnLocalReply(OrderId id, WorkerReply reply);

  // Returns the counts since the last call.
  CallCounts TakeCounts();

 private:
  struct Outstanding {
    std::string helper;
    std::string worker;
    TimePoint sent_at;
    TimePoint deadline;
  };

  // An order of another controller that this controller executes as a helper.
  struct Executed {
    std::string leader;
    TimePoint deadline;
  };

  // Selects the helper for a worker. `usable` holds indices into `helpers_`.
  // Returns an empty string if this controller is to call the worker directly.
  std::string SelectHelper(const SentOrder& order,
                           const std::vector<std::size_t>& usable,
                           TimePoint now);
  std::vector<std::size_t> FindUsableHelpers(TimePoint now) const;
  void AddAnsweringHelpers(std::vector<std::string>& helpers,
                           TimePoint now) const;
  void RecordReplyOf(const std::string& helper, TimePoint now);
  bool IsSilentSince(const std::string& helper, TimePoint time) const;
  void AvoidHelper(const Outstanding& order, TimePoint now);
  void CountExecuted(const WorkerOrder& order);
  void ForgetOldOrders(TimePoint now);

  const ReplySink sink_;
  RelayLink& link_;
  const Clock& clock_;
  std::unique_ptr<WorkerDriver> driver_;

  std::mutex mutex_;
  std::vector<std::string> helpers_;
  std::unordered_map<OrderId, Outstanding> outstanding_;
  // Helpers of the orders that were recently given up, and these orders in the
  // order of the time at which they are forgotten. A late reply shows that the
  // helper is alive.
  std::unordered_map<OrderId, std::string> given_up_;
  std::deque<Expiring<OrderId>> given_up_ids_;
  // Time of the last reply of each helper.
  std::unordered_map<std::string, TimePoint> last_reply_;
  // Time until which a helper that left an order unanswered is avoided.
  std::map<std::string, TimePoint> avoided_helpers_;
  // Time until which a worker is called directly, because its helper did not
  // reach it or no helper could be used.
  std::unordered_map<std::string, TimePoint> direct_workers_;
  // Orders that this controller executes as a helper or has executed recently.
  std::unordered_map<OrderId, Executed> executed_;
  // The orders in `executed_` in the order of the time at which they are
  // forgotten.
  std::deque<Expiring<OrderId>> executed_ids_;
  CallCounts counts_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_RELAY_H_
