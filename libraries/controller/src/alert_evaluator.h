// Evaluates alert rules against the scheduler's report.
#ifndef CRANBERRYSHUNT_CONTROLLER_ALERT_EVALUATOR_H_
#define CRANBERRYSHUNT_CONTROLLER_ALERT_EVALUATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cranberryshunt/base/clock.h"
#include "cranberryshunt/policy/types.h"
#include "cranberryshunt/rules/rules.h"
#include "wire_types.h"

namespace cranberryshunt::controller {

struct AlertChange {
  std::string name;
  bool firing = false;
  double value = 0;

  bool operator==(const AlertChange&) const = default;
};

// An alert fires when its condition has held for the duration that the rule
// sets, and clears at the first evaluation in which the condition does not
// hold.
class AlertEvaluator {
 public:
  // Evaluates all rules. Returns the alerts that started or stopped firing.
  std::vector<AlertChange> Evaluate(const std::vector<rules::AlertRule>& alerts,
                                    const policy::SchedulerReport& report,
                                    std::int64_t live_workers,
                                    TimePoint now,
                                    std::int64_t wall_ms);

  std::vector<wire::Alert> firing() const;

 private:
  struct Condition {
    TimePoint since{};
    bool firing = false;
    wire::Alert alert;
  };

  std::map<std::string, Condition> conditions_;
};

}  // namespace cranberryshunt::controller

#endif  // CRANBERRYSHUNT_CONTROLLER_ALERT_EVALUATOR_H_
