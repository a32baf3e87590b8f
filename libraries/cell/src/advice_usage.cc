#include "advice_usage.h"

#include <utility>

namespace cranberryshunt::cell {

void AdviceUsage::RecordOutcome(const AdviceOutcome& outcome,
                                bool step_exists,
                                std::int64_t valid_until_ms) {
  const auto& question = outcome.question;
  auto& counts = counts_[question.queue];
  if (!outcome.answered) {
    ++counts.lost;
    counts.unused_ms += outcome.caller_ms;
  } else if (!step_exists) {
    ++counts.gone;
    counts.unused_ms += outcome.caller_ms;
  } else {
    open_[question.step].push_back(
        {question.queue, question.renewal, outcome.caller_ms, valid_until_ms});
  }
}

void AdviceUsage::RecordPlacement(policy::StepId step) {
  const auto answers = open_.extract(step);
  if (answers.empty()) {
    return;
  }
  for (const auto& it : answers.mapped()) {
    auto& counts = counts_[it.queue];
    ++counts.used;
    counts.used_ms += it.caller_ms;
  }
}

std::map<std::string, QuestionCounts> AdviceUsage::TakeCounts(
    std::int64_t now_ms) {
  for (auto& [step, answers] : open_) {
    std::erase_if(answers, [&](const auto& it) {
      if (it.valid_until_ms > now_ms) {
        return false;
      }
      auto& counts = counts_[it.queue];
      ++(it.renewal ? counts.unused_renewals : counts.unused);
      counts.unused_ms += it.caller_ms;
      return true;
    });
  }
  std::erase_if(open_, [](const auto& it) { return it.second.empty(); });
  return std::exchange(counts_, {});
}

}  // namespace cranberryshunt::cell
