// Counts what the answers of the advice service were used for. An answer is
// used if a task of its step is placed while its tickets are valid.
#ifndef CRANBERRYSHUNT_CELL_ADVICE_USAGE_H_
#define CRANBERRYSHUNT_CELL_ADVICE_USAGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "advice_dispatcher.h"

namespace cranberryshunt::cell {

// Counts of the questions of one queue. Times are those that callers of the
// advice service spent on them.
struct QuestionCounts {
  std::int64_t used = 0;
  std::int64_t unused = 0;           // Answers about new workers.
  std::int64_t unused_renewals = 0;  // Answers with new tickets.
  std::int64_t gone = 0;             // Answered after their step had ended.
  std::int64_t lost = 0;             // Without an answer.
  std::int64_t used_ms = 0;
  std::int64_t unused_ms = 0;

  bool operator==(const QuestionCounts&) const = default;
};

class AdviceUsage {
 public:
  // Records a question that has ended. Its tickets are valid until
  // `valid_until_ms`. `step_exists` tells whether its step still waits.
  void RecordOutcome(const AdviceOutcome& outcome,
                     bool step_exists,
                     std::int64_t valid_until_ms);
  void RecordPlacement(policy::StepId step);
  // Returns the counts by queue since the last call. Answers whose tickets are
  // still valid are counted later.
  std::map<std::string, QuestionCounts> TakeCounts(std::int64_t now_ms);

 private:
  struct OpenAnswer {
    std::string queue;
    bool renewal = false;
    std::int64_t caller_ms = 0;
    std::int64_t valid_until_ms = 0;
  };
  std::map<policy::StepId, std::vector<OpenAnswer>> open_;
  std::map<std::string, QuestionCounts> counts_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_ADVICE_USAGE_H_
