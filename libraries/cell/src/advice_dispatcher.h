// Distributes questions for the advice service to the hosts that may call it.
// Each host gets one question at a time, and the most urgent questions go
// first.
#ifndef CRANBERRYSHUNT_CELL_ADVICE_DISPATCHER_H_
#define CRANBERRYSHUNT_CELL_ADVICE_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "cranberryshunt/cell/calls.h"
#include "cranberryshunt/policy/advice_callers.h"
#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::cell {

struct AdviceQuestion {
  policy::StepId step = 0;
  std::string step_name;
  std::string queue;
  std::vector<std::string> workers;          // Ids of the workers to ask about.
  std::vector<std::int64_t> worker_numbers;  // Of the same workers.
  std::int64_t expected_ms = 0;
  // Time on the leader's clock by which the step must start for its job to meet
  // its objective.
  std::int64_t latest_start_ms = 0;
  // The same for a result that is of use.
  std::int64_t latest_useful_start_ms =
      std::numeric_limits<std::int64_t>::max();
  bool urgent_queue = false;
  // Whether the job was accepted beyond the rate of its account.
  bool over_rate = false;
  // Whether it asks for new tickets of workers that are allowed already.
  bool renewal = false;
};

struct AdviceOutcome {
  AdviceQuestion question;
  bool answered = false;
  std::vector<wire::AdviceTicket> allowed;
  std::int64_t answered_at_ms = 0;  // On the leader's clock.
  // Time for which the question occupied its caller; 0 if none had taken it.
  std::int64_t caller_ms = 0;
};

class AdviceDispatcher {
 public:
  // At least `assumed_callers` callers are assumed until the callers have had
  // time to find this leader. `term` makes the ids of questions unique across
  // leaders.
  explicit AdviceDispatcher(std::int64_t now_ms,
                            std::size_t assumed_callers = 8,
                            std::int64_t term = 0)
      : next_id_((term << kQuestionCounterBits) + 1),
        created_ms_(now_ms),
        assumed_callers_(assumed_callers) {}

  void Ask(AdviceQuestion question);
  // Removes the queued questions about a step. Those that a caller has already
  // taken stay.
  void CancelQueued(policy::StepId step);
  // Removes the worker from the queued questions. A question about no other
  // worker fails.
  void RemoveWorker(std::int64_t worker);
  // Takes the results that a caller reports and holds its poll open until there
  // is a question for it or the wait is over.
  void OnPoll(AdviceCall call, std::int64_t now_ms);
  // Assigns queued questions, answers polls whose wait is over, and fails
  // questions whose callers did not report in time.
  void Advance(std::int64_t now_ms);
  // Sets the addresses of the controllers, which callers get with each reply
  // that assigns a question or ends an expired poll.
  void SetControllers(std::vector<std::string> controllers);
  // Answers all open polls with `status`.
  void Close(const wire::Status& status);

  std::vector<AdviceOutcome> TakeAnswers();
  std::size_t queued() const { return queued_.size(); }
  std::size_t open_polls() const { return polls_.size(); }
  // Estimates how long a question that is added to the queue now would wait
  // until a caller takes it, behind the questions that go first and, if it is
  // not urgent, behind urgent ones that arrive later. `urgent_queue`,
  // `latest_start_ms` and `over_rate` determine the position of the question in
  // the queue.
  std::int64_t ExpectedWaitMs(std::int64_t now_ms,
                              bool urgent_queue,
                              std::int64_t latest_start_ms,
                              bool over_rate = false) const;

 private:
  // The term is stored in the id of a question above this many bits.
  static constexpr int kQuestionCounterBits = 32;

  struct OpenPoll {
    AdviceCall call;
    std::int64_t until_ms = 0;
  };
  struct AssignedQuestion {
    AdviceQuestion question;
    std::string caller;
    std::int64_t assigned_ms = 0;
    std::int64_t deadline_ms = 0;
  };

  void Assign(std::int64_t now_ms);
  // Returns the open poll to answer with the question: of the caller with the
  // least overhead if it is urgent, else of the one with the most that is not
  // slow.
  std::map<std::string, OpenPoll>::iterator SelectPoll(
      const AdviceQuestion& question);
  // Ends polls, assigned questions and callers whose time is over.
  void Expire(std::int64_t now_ms);
  // Number of callers that are known or, for a new leader, assumed.
  std::size_t CallerCount(std::int64_t now_ms) const;
  void RecordFailure(AdviceQuestion question, std::int64_t caller_ms);
  // Mean of `overhead_ms_`, in which slow callers count with the limit above
  // which they are slow.
  std::int64_t MeanOverheadMs() const;

  std::vector<AdviceQuestion> queued_;
  std::map<std::string, OpenPoll> polls_;  // By caller.
  std::map<std::int64_t, AssignedQuestion> assigned_;
  std::map<std::string, std::int64_t> last_poll_ms_;
  // Time that each caller's answers take beyond the time of the service: the
  // way there and back, and delays on the caller. Missing until its first one.
  std::map<std::string, double> overhead_ms_;
  policy::UrgentCallerShare urgent_share_;
  std::vector<AdviceOutcome> answers_;
  std::vector<std::string> controllers_;
  std::int64_t next_id_;
  std::int64_t expiry_checked_ms_ = 0;
  const std::int64_t created_ms_;
  const std::size_t assumed_callers_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_ADVICE_DISPATCHER_H_
