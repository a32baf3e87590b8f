// Attempts of one request whose outcome is unknown.
#ifndef CRANBERRYSHUNT_CELL_OPEN_ATTEMPTS_H_
#define CRANBERRYSHUNT_CELL_OPEN_ATTEMPTS_H_

#include <set>
#include <string>

#include "wire_types.h"

namespace cranberryshunt::cell {

// Tells whether a job may be accepted although the last attempt to submit it
// was refused. Without a reply, an attempt may still arrive at its controller.
class OpenAttempts {
 public:
  // An attempt is about to be sent to `controller`.
  void Begin(const std::string& controller) {
    had_earlier_ = controllers_.contains(controller);
    controllers_.insert(controller);
  }
  // `controller` has replied to the attempt that was begun last.
  void End(const std::string& controller, const wire::GraphReply& reply) {
    if (!reply.may_be_accepted &&
        (!had_earlier_ || reply.refuses_earlier_attempts)) {
      controllers_.erase(controller);
    }
  }
  bool any() const { return !controllers_.empty(); }

 private:
  std::set<std::string> controllers_;
  // Whether earlier attempts at the controller were open when the last one
  // began.
  bool had_earlier_ = false;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_OPEN_ATTEMPTS_H_
