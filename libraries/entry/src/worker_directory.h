// What this entry has learnt of workers from announcements and orders.
#ifndef CRANBERRYSHUNT_ENTRY_WORKER_DIRECTORY_H_
#define CRANBERRYSHUNT_ENTRY_WORKER_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace cranberryshunt::entry {

struct WorkerFacts {
  std::int32_t connections = 0;  // 0: not known.
  std::string region;            // Empty: not known.

  bool operator==(const WorkerFacts&) const = default;
};

// Safe for use by several threads.
class WorkerDirectory {
 public:
  // Keeps what `facts` knows of the worker at `address`.
  void Learn(const std::string& address, const WorkerFacts& facts) {
    std::lock_guard lock(mutex_);
    if (workers_.size() >= kMaxWorkers && !workers_.contains(address)) {
      // Addresses of workers that are gone are not told apart here; all of them
      // are learnt again within a second.
      workers_.clear();
    }
    auto& known = workers_[address];
    if (facts.connections > 0) {
      known.connections = facts.connections;
    }
    if (!facts.region.empty()) {
      known.region = facts.region;
    }
  }

  WorkerFacts Find(const std::string& address) const {
    std::lock_guard lock(mutex_);
    const auto it = workers_.find(address);
    return it == workers_.end() ? WorkerFacts() : it->second;
  }

 private:
  static constexpr std::size_t kMaxWorkers = 32'768;

  mutable std::mutex mutex_;
  std::unordered_map<std::string, WorkerFacts> workers_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_WORKER_DIRECTORY_H_
