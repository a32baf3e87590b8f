#include "thread_pool.h"

#include <utility>

namespace cranberryshunt::entry {

ThreadPool::ThreadPool(std::size_t max_threads, std::size_t queue_capacity)
    : max_threads_(max_threads), queue_capacity_(queue_capacity) {}

ThreadPool::~ThreadPool() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    task_added_.notify_all();
  }
  for (auto& thread : threads_) {
    thread.join();
  }
}

bool ThreadPool::TryPost(Task task) {
  std::lock_guard lock(mutex_);
  if (stopping_ || tasks_.size() >= queue_capacity_) {
    return false;
  }
  tasks_.push_back(std::move(task));
  if (tasks_.size() > idle_ && threads_.size() < max_threads_) {
    threads_.emplace_back([this] { Run(); });
  }
  task_added_.notify_one();
  return true;
}

std::size_t ThreadPool::pending() const {
  std::lock_guard lock(mutex_);
  return tasks_.size() + running_;
}

void ThreadPool::Run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_;
    task_added_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
    --idle_;
    if (tasks_.empty()) {
      return;
    }
    Task task = std::move(tasks_.front());
    tasks_.pop_front();
    ++running_;
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
    --running_;
  }
}

}  // namespace cranberryshunt::entry
