// Estimates how long a question to the advice service waits for an advice
// caller. Does no I/O and reads no clock; all times are in milliseconds.
#ifndef CRANBERRYSHUNT_POLICY_ADVICE_CALLERS_H_
#define CRANBERRYSHUNT_POLICY_ADVICE_CALLERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace cranberryshunt::policy {

// The callers of the advice service, which take questions in turn.
class AdviceCallerQueue {
 public:
  // Adds a caller that is expected to be free in this time.
  void AddCaller(std::int64_t free_in_ms);
  std::size_t callers() const { return free_in_ms_.size(); }
  // Removes the callers that are free first, but keeps at least one.
  void SetAside(std::size_t callers);
  // Adds a question that occupies the next free caller for this time.
  void AddQuestion(std::int64_t busy_ms);
  // When the next question is taken; 0 if there is no caller.
  std::int64_t WaitMs() const;

 private:
  std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>>
      free_in_ms_;
};

// The share of the callers that questions of urgent queues occupy, on average.
// These go before others whenever they arrive, so other questions can count
// only on the remaining callers.
class UrgentCallerShare {
 public:
  void Update(std::int64_t now_ms, std::size_t urgent, std::size_t callers);
  // Number of `callers` that are expected to serve urgent queues.
  std::size_t Of(std::size_t callers) const;

 private:
  double share_ = 0;
  std::int64_t updated_ms_ = 0;
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_POLICY_ADVICE_CALLERS_H_
