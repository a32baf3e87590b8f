// Attempts of one request whose outcome is unknown.
#ifndef CRANBERRYSHUNT_CELL_OPEN_ATTEMPTS_H_
#define CRANBERRYSHUNT_CELL_OPEN_ATTEMPTS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "wire_types.h"

namespace cranberryshunt::cell {

// The processes that have last answered at the addresses of the controllers.
// Safe for use by several threads.
class ControllerProcesses {
 public:
  // Returns 0 if no process has answered at the address yet.
  std::int64_t At(const std::string& address) const {
    const std::lock_guard lock(mutex_);
    const auto it = processes_.find(address);
    return it == processes_.end() ? 0 : it->second;
  }
  void Record(const std::string& address, std::int64_t process_id) {
    const std::lock_guard lock(mutex_);
    processes_[address] = process_id;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::int64_t> processes_;
};

// Tells whether a job may be accepted although the last attempt to submit it
// was refused. An attempt without a reply may still arrive, but only at the
// process that it was sent to.
class OpenAttempts {
 public:
  // An attempt is about to be sent to this process, 0 if it is not known.
  void Begin(std::int64_t process_id) { processes_.push_back(process_id); }
  // The attempt that was begun last has got a reply.
  void End(const wire::GraphReply& reply) {
    if (!reply.may_be_accepted) {
      processes_.pop_back();
    }
    if (reply.refuses_earlier_attempts && reply.process_id != 0) {
      std::erase(processes_, reply.process_id);
    }
  }
  bool any() const { return !processes_.empty(); }

 private:
  // Of each open attempt.
  std::vector<std::int64_t> processes_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_OPEN_ATTEMPTS_H_
