// Asks the advice service on behalf of the leader. Can run on any host of the
// system.
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

// Interface to the advice service.
class AdviceSource {
 public:
  virtual ~AdviceSource() = default;
  // Returns tickets for those of `workers` that may run the step. Blocks for at
  // most `timeout`. Fails with kTimeout, kUnavailable or kQueueFull.
  virtual Result<std::vector<wire::AdviceTicket>> Ask(
      const std::string& step,
      const std::vector<std::string>& workers,
      std::chrono::milliseconds timeout) = 0;
};

// Polls the leader for questions, asks the advice service one question at a
// time and reports the answers with the next poll.
class AdviceCaller {
 public:
  // `host` identifies this host to the leader. Both references must outlive
  // this object.
  AdviceCaller(std::string host,
               wire::LeaderClient& leader,
               AdviceSource& source);
  ~AdviceCaller();

  // Time at which the leader last answered a poll.
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
