// A bounded queue of messages that are kept until they are delivered or have
// expired.
#ifndef CRANBERRYSHUNT_CELL_RELAY_QUEUE_H_
#define CRANBERRYSHUNT_CELL_RELAY_QUEUE_H_

#include <cstddef>
#include <deque>
#include <iterator>
#include <utility>
#include <vector>

#include "cranberryshunt/base/clock.h"

namespace cranberryshunt::cell {

// A message that is of no use after its deadline.
template <typename T>
struct Expiring {
  T message;
  TimePoint deadline;
};

// Not safe for use by several threads.
template <typename T>
class RelayQueue {
 public:
  explicit RelayQueue(std::size_t capacity) : capacity_(capacity) {}

  // Drops the message if the queue is full.
  void Push(Expiring<T> message) {
    if (messages_.size() >= capacity_) {
      ++dropped_;
      return;
    }
    messages_.push_back(std::move(message));
  }

  // Removes up to `limit` messages from the front, and drops those that have
  // expired.
  std::vector<Expiring<T>> TakeBatch(std::size_t limit, TimePoint now) {
    std::vector<Expiring<T>> out;
    while (!messages_.empty() && out.size() < limit) {
      if (now < messages_.front().deadline) {
        out.push_back(std::move(messages_.front()));
      } else {
        ++dropped_;
      }
      messages_.pop_front();
    }
    return out;
  }

  // Returns a batch that was not delivered to the front. Drops the newest
  // messages if the queue is full.
  void PutBack(std::vector<Expiring<T>> batch) {
    messages_.insert(messages_.begin(), std::make_move_iterator(batch.begin()),
                     std::make_move_iterator(batch.end()));
    while (messages_.size() > capacity_) {
      messages_.pop_back();
      ++dropped_;
    }
  }

  bool empty() const { return messages_.empty(); }

  // Returns the number of messages dropped since the last call.
  std::size_t TakeDropped() { return std::exchange(dropped_, 0); }

 private:
  const std::size_t capacity_;
  std::deque<Expiring<T>> messages_;
  std::size_t dropped_ = 0;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_RELAY_QUEUE_H_
