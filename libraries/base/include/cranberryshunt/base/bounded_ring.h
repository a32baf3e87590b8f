// A bounded queue between threads.
#ifndef CRANBERRYSHUNT_BASE_BOUNDED_RING_H_
#define CRANBERRYSHUNT_BASE_BOUNDED_RING_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace cranberryshunt {

// A ring buffer for any number of producer threads and one consumer thread. The
// storage is allocated once, so that a burst of items cannot grow it.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : items_(capacity) {}

  // Adds `item` without waiting. Returns false when the ring is full or closed;
  // `item` is unchanged in that case.
  bool TryPush(T&& item) {
    std::lock_guard lock(mutex_);
    if (closed_ || size_ == items_.size()) {
      return false;
    }
    Append(std::move(item));
    return true;
  }

  // Adds `item`; blocks while the ring is full. Returns false when the ring is
  // closed.
  bool Push(T item) {
    std::unique_lock lock(mutex_);
    not_full_.wait(lock, [&] { return closed_ || size_ < items_.size(); });
    if (closed_) {
      return false;
    }
    Append(std::move(item));
    return true;
  }

  // Moves up to `limit` items to the end of `out`. Waits up to `timeout` while
  // the ring is empty. Returns false only when the ring is closed and both the
  // ring and `out` are empty.
  bool PopMany(std::vector<T>& out,
               std::size_t limit,
               std::chrono::microseconds timeout) {
    std::unique_lock lock(mutex_);
    // Waits on the monotonic clock, so that a step of the wall clock does not
    // prolong the wait.
    not_empty_.wait_until(lock, std::chrono::steady_clock::now() + timeout,
                          [&] { return closed_ || size_ > 0; });
    while (size_ > 0 && limit > 0) {
      out.push_back(std::move(items_[head_]));
      items_[head_] = T();
      head_ = (head_ + 1) % items_.size();
      --size_;
      --limit;
    }
    not_full_.notify_all();
    return !closed_ || size_ > 0 || !out.empty();
  }

  // Refuses further items and wakes all waiting threads. Items already in the
  // ring can still be popped.
  void Close() {
    std::lock_guard lock(mutex_);
    closed_ = true;
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return size_;
  }

  std::size_t capacity() const { return items_.size(); }

 private:
  void Append(T&& item) {
    items_[(head_ + size_) % items_.size()] = std::move(item);
    ++size_;
    not_empty_.notify_one();
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::vector<T> items_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
  bool closed_ = false;
};

}  // namespace cranberryshunt

#endif  // CRANBERRYSHUNT_BASE_BOUNDED_RING_H_
