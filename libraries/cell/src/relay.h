// Spreads the calls to workers over the controllers of a large cell: the leader
// decides, and the others carry its orders out and send the replies back.
#ifndef CRANBERRYSHUNT_CELL_RELAY_H_
#define CRANBERRYSHUNT_CELL_RELAY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/cell/controller.h"
#include "cranberryshunt/cell/worker_driver.h"

namespace cranberryshunt::cell {

// Port to the other controllers. Messages may be lost.
class RelayLink {
 public:
  virtual ~RelayLink() = default;
  virtual void SendOrders(const std::string& controller,
                          std::vector<wire::RelayedOrder> orders) = 0;
  virtual void SendReplies(const std::string& controller,
                           std::vector<wire::RelayedReply> replies) = 0;
};

// Reports each order of this controller to the sink exactly once, whatever
// becomes of the controller that carries it out. Safe for use by several
// threads.
class Relay final : public WorkerDriver {
 public:
  Relay(ReplySink sink, RelayLink& link, const Clock& clock);
  // The driver that calls workers from this controller; its replies go to
  // OnLocalReply().
  void SetDriver(std::unique_ptr<WorkerDriver> driver);
  // Ends open calls of this controller.
  void Stop();

  // Orders of this controller, which leads.
  void Send(std::vector<SentOrder> orders) override;
  // Controllers that carry orders out from now on; none: this one does.
  void SetHelpers(std::vector<std::string> helpers);
  void OnReplies(const std::vector<wire::RelayedReply>& replies);
  // Gives up on orders whose time is over. Call every 100 ms or so.
  void Advance();

  // Orders of another controller, which leads.
  void OnOrders(const std::string& leader,
                const std::vector<wire::RelayedOrder>& orders);
  void OnLocalReply(OrderId id, WorkerReply reply);

 private:
  struct Outstanding {
    std::string helper;
    std::string worker;
    TimePoint sent_at;
    TimePoint deadline;
  };

  // The helper for a worker; empty: this controller calls it itself.
  std::string SelectHelper(const SentOrder& order, TimePoint now);
  bool IsSilentSince(const std::string& helper, TimePoint time) const;
  void AvoidHelper(const Outstanding& order, TimePoint now);

  const ReplySink sink_;
  RelayLink& link_;
  const Clock& clock_;
  std::unique_ptr<WorkerDriver> driver_;

  std::mutex mutex_;
  std::vector<std::string> helpers_;
  std::unordered_map<OrderId, Outstanding> outstanding_;
  std::unordered_map<std::string, TimePoint>
      last_reply_;  // Last reply of a helper.
  // Helpers that left an order unanswered are avoided until then, and workers
  // that could not be reached through their helper are called directly.
  std::map<std::string, TimePoint> avoided_helpers_;
  std::unordered_map<std::string, TimePoint> direct_workers_;
  // Leaders of the orders that this controller carries out for others.
  std::unordered_map<OrderId, std::string> leaders_by_order_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_RELAY_H_
