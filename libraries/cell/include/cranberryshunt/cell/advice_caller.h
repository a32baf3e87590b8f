// Calls the advice service for the leader, from any host of the system.
#ifndef CRANBERRYSHUNT_CELL_ADVICE_CALLER_H_
#define CRANBERRYSHUNT_CELL_ADVICE_CALLER_H_

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::wire {
class LeaderClient;
}

namespace cranberryshunt::cell {

// Port to the advice service.
class AdviceSource {
 public:
  virtual ~AdviceSource() = default;
  // Which of `workers` may run the step, with their tickets. Blocks up to
  // `timeout`. Fails with kTimeout, kUnavailable or kQueueFull.
  virtual Result<std::vector<wire::AdviceTicket>> Ask(
      const std::string& step,
      const std::vector<std::string>& workers,
      std::chrono::milliseconds timeout) = 0;
};

// Takes questions from the leader one at a time and reports the answers with
// its next poll.
class AdviceCaller {
 public:
  // `host` names this host to the leader. Both references must outlive this.
  AdviceCaller(std::string host,
               wire::LeaderClient& leader,
               AdviceSource& source);
  ~AdviceCaller();

  // When the leader last answered a poll.
  TimePoint last_contact() const {
    return TimePoint(Duration(last_contact_us_.load()));
  }

 private:
  void Run();
  wire::AdviceResult Answer(const wire::AdviceOrder& order);

  const std::string host_;
  wire::LeaderClient& leader_;
  AdviceSource& source_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::int64_t> last_contact_us_ = 0;
  std::thread thread_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_ADVICE_CALLER_H_
