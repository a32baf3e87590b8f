// Heap of items ordered by the time at which they are due.
#ifndef CRANBERRYSHUNT_POLICY_TIMER_HEAP_H_
#define CRANBERRYSHUNT_POLICY_TIMER_HEAP_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt::policy {

// Items that are no longer needed stay until they are due or Prune() removes
// them.
template <typename T>
class TimerHeap {
 public:
  void Add(TimePoint due, T item) {
    items_.push_back({due, next_order_++, item});
    std::ranges::push_heap(items_, IsLater);
  }

  // Removes and returns the next item that is due, in order of addition among
  // items with the same time.
  std::optional<T> PopDue(TimePoint now) {
    if (items_.empty() || items_.front().due > now) {
      return std::nullopt;
    }
    std::ranges::pop_heap(items_, IsLater);
    const T item = items_.back().item;
    items_.pop_back();
    return item;
  }

  std::optional<TimePoint> next_due() const {
    return items_.empty() ? std::nullopt : std::optional(items_.front().due);
  }

  template <typename Predicate>
  void Prune(Predicate is_needed) {
    std::erase_if(items_, [&](const Item& it) { return !is_needed(it.item); });
    std::ranges::make_heap(items_, IsLater);
  }

  std::size_t size() const { return items_.size(); }

 private:
  struct Item {
    TimePoint due;
    std::uint64_t order;
    T item;
  };

  static bool IsLater(const Item& left, const Item& right) {
    return left.due != right.due ? left.due > right.due
                                 : left.order > right.order;
  }

  std::vector<Item> items_;
  std::uint64_t next_order_ = 0;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_TIMER_HEAP_H_
