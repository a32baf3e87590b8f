#include "order_queue.h"

#include <iterator>
#include <utility>

#include "entry_table.h"

namespace cranberryshunt::controller {

namespace {

// Limits of one reply. Further orders are sent with the next poll.
constexpr std::size_t kMaxOrdersPerReply = 1'000;
constexpr std::size_t kMaxPayloadBytesPerReply = std::size_t{4} << 20;

// Converts an order other than a start to its wire form.
struct ToWire {
  wire::Order operator()(const StartReference&) const { return {}; }
  wire::Order operator()(const wire::StopOrder& stop) const {
    wire::Order order;
    order.__set_stop(stop);
    return order;
  }
  wire::Order operator()(const wire::ThrottleOrder& throttle) const {
    wire::Order order;
    order.__set_throttle(throttle);
    return order;
  }
  wire::Order operator()(const wire::LookupOrder& lookup) const {
    wire::Order order;
    order.__set_lookup(lookup);
    return order;
  }
};

}  // namespace

OrderQueue::OrderQueue(std::int64_t term)
    : next_sequence_(FirstSequence(term)) {}

void OrderQueue::Add(const std::string& entry_id, OrderBody body) {
  pending_[entry_id].push_back({next_sequence_++, std::move(body)});
}

void OrderQueue::Acknowledge(const std::string& entry_id,
                             std::int64_t sequence) {
  auto it = pending_.find(entry_id);
  if (it == pending_.end()) {
    return;
  }
  auto& orders = it->second;
  while (!orders.empty() && orders.front().sequence <= sequence) {
    orders.pop_front();
  }
}

void OrderQueue::RemoveStart(const std::string& entry_id,
                             const wire::AttemptKey& attempt) {
  auto it = pending_.find(entry_id);
  if (it == pending_.end()) {
    return;
  }
  std::erase_if(it->second, [&](const PendingOrder& order) {
    const auto* start = std::get_if<StartReference>(&order.body);
    return start != nullptr && start->attempt == attempt;
  });
}

std::vector<wire::SequencedOrder> OrderQueue::OrdersFor(
    const std::string& entry_id,
    const DecideStart& decide) {
  std::vector<wire::SequencedOrder> sent;
  auto it = pending_.find(entry_id);
  if (it == pending_.end()) {
    return sent;
  }
  // `decide` may add orders to the queue, so the current orders are moved out
  // first.
  auto orders = std::exchange(it->second, {});
  std::deque<PendingOrder> remaining;
  std::size_t payload_bytes = 0;
  for (auto& order : orders) {
    const bool full = sent.size() >= kMaxOrdersPerReply ||
                      payload_bytes >= kMaxPayloadBytesPerReply;
    if (full) {
      remaining.push_back(std::move(order));
      continue;
    }
    wire::SequencedOrder sequenced;
    sequenced.sequence = order.sequence;
    if (const auto* start = std::get_if<StartReference>(&order.body)) {
      const StartDecision decision = decide(start->attempt);
      if (std::holds_alternative<DropStart>(decision)) {
        continue;
      }
      const auto& start_order = std::get<SendStart>(decision).order;
      payload_bytes += start_order.payload.size();
      sequenced.order.__set_start(start_order);
    } else {
      sequenced.order = std::visit(ToWire(), order.body);
    }
    sent.push_back(std::move(sequenced));
    remaining.push_back(std::move(order));
  }
  auto& list = pending_[entry_id];
  list.insert(list.begin(), std::make_move_iterator(remaining.begin()),
              std::make_move_iterator(remaining.end()));
  return sent;
}

std::size_t OrderQueue::size(const std::string& entry_id) const {
  auto it = pending_.find(entry_id);
  return it == pending_.end() ? 0 : it->second.size();
}

}  // namespace cranberryshunt::controller
