// Callers that keep a cell busy.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_LOAD_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_LOAD_H_

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

#include "support/caller.h"

namespace cranberryshunt::test {

// Threads that each submit one job after the other until Stop().
class Load {
 public:
  // Makes the job of a thread's n-th turn and sends it.
  using Turn = std::function<void(int thread, int n)>;

  Load(int threads, const Turn& turn) {
    for (int thread = 0; thread < threads; ++thread) {
      threads_.emplace_back([this, thread, turn] {
        for (int n = 0; !stopping_; ++n) {
          turn(thread, n);
          ++turns_;
        }
      });
    }
  }
  ~Load() { Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Waits for the turns that were begun.
  void Stop() {
    stopping_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  int turns() const { return turns_; }

 private:
  std::atomic<bool> stopping_ = false;
  std::atomic<int> turns_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_LOAD_H_
