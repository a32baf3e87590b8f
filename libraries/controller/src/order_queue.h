// Orders to entries, kept until they are acknowledged.
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

// A start whose order is filled in when it is handed out, because its expiry
// counts from then.
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

// What becomes of a start when it is to be handed out.
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
  // Forgets the orders that the entry received.
  void Acknowledge(const std::string& entry_id, std::int64_t sequence);
  // Withdraws the start of an attempt.
  void RemoveStart(const std::string& entry_id,
                   const wire::AttemptKey& attempt);
  // Forgets all orders to an entry that is gone.
  void Clear(const std::string& entry_id) { pending_.erase(entry_id); }

  // Returns the orders for an entry, oldest first. `decide` fills in each
  // start.
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
