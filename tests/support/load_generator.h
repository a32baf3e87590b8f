// Threads that submit jobs continuously.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_LOAD_GENERATOR_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_LOAD_GENERATOR_H_

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

#include "support/caller.h"

namespace cranberryshunt::test {

// Runs threads that each submit one job after the other until Stop().
class LoadGenerator {
 public:
  // Creates and submits the n-th job of a thread; `n` counts from 0.
  using Iteration = std::function<void(int thread, int n)>;

  LoadGenerator(int threads, const Iteration& iteration) {
    for (int thread = 0; thread < threads; ++thread) {
      threads_.emplace_back([this, thread, iteration] {
        for (int n = 0; !stopping_; ++n) {
          iteration(thread, n);
          ++iterations_;
        }
      });
    }
  }
  ~LoadGenerator() { Stop(); }
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Stops starting iterations and waits for those in progress.
  void Stop() {
    stopping_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  // Number of completed iterations of all threads.
  int iterations() const { return iterations_; }

 private:
  std::atomic<bool> stopping_ = false;
  std::atomic<int> iterations_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_LOAD_GENERATOR_H_
