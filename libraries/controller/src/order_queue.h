// Queue of orders for each entry, which keeps them until they are acknowledged.
#ifndef CRANBERRYSHUNT_CONTROLLER_ORDER_QUEUE_H_
#define CRANBERRYSHUNT_CONTROLLER_ORDER_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wire_types.h"

namespace cranberryshunt::controller {

// A queued start. Its order is built when it is sent, because the expiry of the
// start counts from then.
struct StartReference {
  wire::AttemptKey attempt;
};

using OrderBody = std::variant<StartReference,
                               wire::StopOrder,
                               wire::ThrottleOrder,
                               wire::LookupOrder>;

struct PendingOrder {
  std::int64_t sequence = 0;
  OrderBody body;
};

// Decision on a queued start when the entry polls.
struct SendStart {
  wire::StartOrder order;
};
struct DropStart {};
using StartDecision = std::variant<SendStart, DropStart>;

class OrderQueue {
 public:
  // Sequence numbers start above those of earlier terms.
  explicit OrderQueue(std::int64_t term);

  void Add(const std::string& entry_id, OrderBody body);
  // Removes the orders up to `sequence`, which the entry has received.
  void Acknowledge(const std::string& entry_id, std::int64_t sequence);
  // Removes the queued start of an attempt.
  void RemoveStart(const std::string& entry_id,
                   const wire::AttemptKey& attempt);
  // Removes all orders for an entry that is lost.
  void Clear(const std::string& entry_id) { pending_.erase(entry_id); }

  // Returns the orders to send to an entry, oldest first. They stay queued
  // until they are acknowledged. `decide` builds the order of each start or
  // drops the start.
  using DecideStart = std::function<StartDecision(const wire::AttemptKey&)>;
  std::vector<wire::SequencedOrder> OrdersFor(const std::string& entry_id,
                                              const DecideStart& decide);

  std::size_t size(const std::string& entry_id) const;

 private:
  std::map<std::string, std::deque<PendingOrder>> pending_;
  std::int64_t next_sequence_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_ORDER_QUEUE_H_
