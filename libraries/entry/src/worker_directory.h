// What this entry knows about workers, from their announcements and from
// orders.
#ifndef CRANBERRYSHUNT_ENTRY_WORKER_DIRECTORY_H_
#define CRANBERRYSHUNT_ENTRY_WORKER_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace cranberryshunt::entry {

struct WorkerInfo {
  std::int32_t connections = 0;  // 0: not known.
  std::string region;            // Empty: not known.

  bool operator==(const WorkerInfo&) const = default;
};

// Safe for use by several threads.
class WorkerDirectory {
 public:
  // Stores the known fields of `info` for the worker at `address`.
  void Update(const std::string& address, const WorkerInfo& info) {
    std::lock_guard lock(mutex_);
    if (workers_.size() >= kMaxWorkers && !workers_.contains(address)) {
      // The directory cannot tell which workers no longer exist, so it drops
      // all of them. Announcements add the live workers again within a second.
      workers_.clear();
    }
    auto& known = workers_[address];
    if (info.connections > 0) {
      known.connections = info.connections;
    }
    if (!info.region.empty()) {
      known.region = info.region;
    }
  }

  // Returns an empty WorkerInfo for an unknown address.
  WorkerInfo Find(const std::string& address) const {
    std::lock_guard lock(mutex_);
    const auto it = workers_.find(address);
    return it == workers_.end() ? WorkerInfo() : it->second;
  }

 private:
  static constexpr std::size_t kMaxWorkers = 32'768;

  mutable std::mutex mutex_;
  std::unordered_map<std::string, WorkerInfo> workers_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_WORKER_DIRECTORY_H_
