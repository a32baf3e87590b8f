// A thread pool for blocking tasks, with a bounded queue.
#ifndef CRANBERRYSHUNT_ENTRY_THREAD_POOL_H_
#define CRANBERRYSHUNT_ENTRY_THREAD_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cranberryshunt::entry {

// Starts threads when tasks need them, up to max_threads.
class ThreadPool {
 public:
  using Task = std::function<void()>;

  ThreadPool(std::size_t max_threads, std::size_t queue_capacity);
  // Runs the queued tasks and waits for the threads to end.
  ~ThreadPool();

  // Returns false when the queue is full.
  bool TryPost(Task task);

  // Number of tasks that are queued or running.
  std::size_t pending() const;

 private:
  void Run();

  const std::size_t max_threads_;
  const std::size_t queue_capacity_;
  mutable std::mutex mutex_;
  std::condition_variable task_added_;
  std::deque<Task> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  std::size_t running_ = 0;
  bool stopping_ = false;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_THREAD_POOL_H_
