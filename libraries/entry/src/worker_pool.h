// Threads that carry out blocking work from a bounded queue.
#ifndef CRANBERRYSHUNT_ENTRY_WORKER_POOL_H_
#define CRANBERRYSHUNT_ENTRY_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cranberryshunt::entry {

// Starts threads as they are needed, up to a bound.
class WorkerPool {
 public:
  using Task = std::function<void()>;

  WorkerPool(std::size_t max_threads, std::size_t queue_capacity);
  // Runs what is queued and waits for the threads.
  ~WorkerPool();

  // Returns false when the queue is full.
  bool TryPost(Task task);

  // Tasks that are queued or running.
  std::size_t pending() const;

 private:
  void Run();

  const std::size_t max_threads_;
  const std::size_t queue_capacity_;
  mutable std::mutex mutex_;
  std::condition_variable posted_;
  std::deque<Task> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  std::size_t running_ = 0;
  bool stopping_ = false;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_WORKER_POOL_H_
