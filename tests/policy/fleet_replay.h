// Replays a load of step-graph jobs in virtual time against the planner and the
// admission control, with stand-ins for the workers, for the callers of the
// advice service and for the delays of commits and calls.
#ifndef CRANBERRYSHUNT_TESTS_POLICY_FLEET_REPLAY_H_
#define CRANBERRYSHUNT_TESTS_POLICY_FLEET_REPLAY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cranberryshunt/policy/account_rates.h"
#include "cranberryshunt/policy/advice_callers.h"
#include "cranberryshunt/policy/graph_admission.h"
#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::policy {

// A kind of job: its steps follow one another, and all its tasks are alike.
struct ReplayKind {
  std::string name;
  double jobs_per_s = 0;
  double second_step_share = 0;  // Share of the jobs that have two steps.
  std::int32_t tasks = 1;        // Of a step, on average.
  bool vary_tasks = false;       // Whether steps differ in width.
  std::int64_t milli_cpus = 0;
  std::int64_t run_ms = 0;
  bool gang = false;
  std::int32_t priority = 1;
  double stretch = 1;
  std::int64_t latency_target_ms = 0;
  double advice_base_ms = 0;
  double advice_per_worker_ms = 0;
  // Share of the workers that the advice service allows; 0: that of the fleet.
  double allowed_share = 0;
  // Worth of a job of average size that ends in time. A late one has a fifth.
  double worth = 1;
  // Account that sends the jobs; 0: each of the others in turn.
  AccountNumber account = kNoAccount;
};

struct ReplayOptions {
  std::int32_t workers = 0;
  std::int64_t worker_milli_cpus = 32'000;
  std::int32_t callers = 0;  // Of the advice service.
  double allowed_share = 0.3;
  std::int64_t ticket_valid_ms = 2'000;
  std::int64_t traffic_ms = 30'000;
  // Time after the end of the traffic in which jobs may still end.
  std::int64_t drain_ms = 14'000;
  std::int64_t commit_ms = 30;   // From a decision to its commit.
  std::int64_t transit_ms = 20;  // Between the leader and a worker.
  std::int64_t plan_every_ms = 5;
  // Deviation of the logarithm of the steps' run times. The planner expects the
  // same run time of all steps of a kind, and objectives follow the real ones.
  double run_time_spread = 0.45;
  std::uint64_t seed = 1;
  // Factor of the traffic at a time; 1 if unset.
  std::function<double(std::int64_t)> load;
  // Time without a leader: jobs wait at their callers and nothing is planned.
  // The next leader knows the steps, but no answers of the advice service.
  std::int64_t outage_begin_ms = 0;
  std::int64_t outage_ms = 0;
  // Time beyond the service's own that a caller takes for a question.
  std::int64_t caller_overhead_ms = 60;
  // Share of the runs of gangs that end after half of their time because a
  // member fails; the gang is run again.
  double gang_failure_share = 0;
  // Only jobs that are sent from this time on count in the outcomes.
  std::int64_t count_from_ms = 0;
  PlannerOptions planner;
  // Number of client accounts, their weight, and the limit of their processors.
  // 0: none.
  std::int32_t accounts = 0;
  double account_weight = 0;
  std::int64_t account_milli_cpus = 0;
};

// State of the fleet at one moment.
struct ReplaySample {
  std::int64_t at_ms = 0;
  std::int64_t queued_questions = 0;
  std::int64_t busy_callers = 0;
  double used_share = 0;  // Of the fleet's processors.
  double held_share = 0;
  std::int64_t waiting_tasks = 0;
  std::int64_t late_steps = 0;     // With waiting tasks.
  std::int64_t useless_steps = 0;  // Too late to be of use.
};

// Time that the callers spend on questions, by the use of the answers.
struct QuestionUse {
  double busy_ms = 0;
  // Of `busy_ms`: questions of steps that were late when they were taken.
  double late_ms = 0;
  double renewal_ms = 0;
  // Of `busy_ms`: no ticket of the answer was used while it was valid.
  double unused_ms = 0;
  std::int64_t count = 0;
};

struct ReplayOutcome {
  std::int64_t owed = 0;
  std::int64_t in_time = 0;
  std::int64_t late = 0;
  std::int64_t refused = 0;  // Also after all attempts.
  std::int64_t unfinished = 0;
  std::int64_t over_rate = 0;  // Accepted beyond the rate of their account.
  double worth_owed = 0;
  double worth_earned = 0;
  // From the acceptance of each job to the start of its first task.
  std::vector<std::int64_t> first_start_ms;
  // The size of each job relative to the mean, and whether it was served: ended
  // within three times its objective.
  std::vector<std::pair<double, bool>> served;

  double MeanWaitMs() const;
  double Share() const {
    return worth_owed > 0 ? worth_earned / worth_owed : 1;
  }
  // The share that was served of the jobs between two quantiles of the size.
  double ServedShare(double from, double to) const;
};

class FleetReplay {
 public:
  FleetReplay(ReplayOptions options, std::vector<ReplayKind> kinds);

  void Run();

  const std::map<std::string, ReplayOutcome>& outcomes() const {
    return outcomes_;
  }
  double Worth() const;
  // Mean shares of the fleet's processors while traffic comes, after the first
  // `kWarmUpMs`: in use, and held for gangs.
  double used_share() const { return used_share_; }
  double held_share() const { return held_share_; }
  // The share in use, averaged over the moments at which waiting tasks ask for
  // more than is free.
  double used_share_while_work_waits() const {
    return used_share_while_work_waits_;
  }
  std::int64_t questions() const { return questions_; }
  // The most processors that an account had at a time.
  std::int64_t most_account_milli_cpus() const {
    return most_account_milli_cpus_;
  }
  double busy_callers() const { return busy_callers_; }
  // One sample for each `kMeasureEveryMs` of the traffic.
  const std::vector<ReplaySample>& samples() const { return samples_; }
  // By kind, of questions that are answered in the traffic.
  const std::map<std::string, QuestionUse>& question_use() const {
    return question_use_;
  }
  // Waits of a kind's jobs from their acceptance to the start of their first
  // task, by the time of the acceptance.
  const std::multimap<std::int64_t, std::int64_t>& waits(
      const std::string& kind) {
    return waits_[kind];
  }

  static constexpr std::int64_t kWarmUpMs = 5'000;
  static constexpr std::int64_t kMeasureEveryMs = 100;

 private:
  struct Step {
    std::int32_t tasks = 0;
    std::int32_t open = 0;
    std::int64_t run_ms = 0;
  };
  struct Job {
    const ReplayKind* kind = nullptr;
    std::int64_t id = 0;
    AccountNumber account = kNoAccount;
    bool over_rate = false;
    std::int64_t sent_ms = 0;
    std::int64_t accepted_ms = -1;
    std::int64_t objective_ms = 0;  // Relative to `sent_ms`.
    std::int64_t first_start_ms = -1;
    std::int32_t attempts = 0;
    std::size_t current = 0;
    std::int64_t gang_runs = 0;
    bool run_fails = false;
    std::vector<Step> steps;
    double worth = 0;
    double size = 0;
  };
  bool Counts(const Job& job) const {
    return job.sent_ms >= options_.count_from_ms;
  }
  void At(std::int64_t at_ms, std::function<void()> action);
  void Arrive(const ReplayKind& kind);
  void Submit(std::int64_t id);
  void SetUpAccounts();
  AccountNumber NextAccount(const ReplayKind& kind);
  void AddPlanStep(Job& job);
  void Plan();
  void StartTask(const PlannedStart& start);
  void EndTask(StepId step, std::int64_t worker, std::int64_t expected_end_ms);
  void AssignQuestions();
  void Answer(const PlannedQuestion& question, bool was_late);
  // Expected time until a caller takes a question of a step with this rank.
  double AdviceWaitMs(std::int32_t priority,
                      std::int64_t latest_start_ms) const;
  std::tuple<int, bool, std::int64_t> RankOf(
      const PlannedQuestion& question) const;
  // Decides whether the run of a gang that begins now will fail.
  void BeginGangRun(Job& job) const;
  // Lets all tasks of a failed gang wait once more.
  void RepeatGang(Job& job, PlanStep& step);
  void EndJob(Job& job);
  void CountUnserved(const Job& job);
  LoadSummary Load(const ReplayKind& kind, std::int64_t slack_ms) const;
  void Measure();
  bool InOutage() const;
  void EndOutage();

  const ReplayOptions options_;
  const std::vector<ReplayKind> kinds_;
  std::mt19937_64 random_;
  // Of the arrivals of each kind, so that all ways of placement get one load.
  std::map<std::string, std::mt19937_64> arrivals_;
  GraphPlanner planner_;
  AccountRates rates_;
  std::int64_t next_account_ = 0;
  std::int64_t most_account_milli_cpus_ = 0;
  std::int64_t now_ms_ = 0;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::map<std::int64_t, Job> jobs_;
  std::map<StepId, std::int64_t> jobs_by_step_;
  std::int64_t next_id_ = 1;
  std::deque<PlannedQuestion> queued_;
  std::int32_t idle_callers_ = 0;
  // When each busy caller is expected to be free, without its overhead.
  std::multiset<std::int64_t> busy_until_ms_;
  std::size_t urgent_questions_ = 0;  // That callers have.
  UrgentCallerShare urgent_share_;
  std::int64_t term_ = 1;
  bool plan_due_ = false;
  std::int64_t planned_ms_ = 0;
  std::int64_t questions_ = 0;
  std::map<std::string, ReplayOutcome> outcomes_;
  double used_share_ = 0;
  double held_share_ = 0;
  double used_share_while_work_waits_ = 0;
  double busy_callers_ = 0;
  std::int64_t sample_count_ = 0;
  std::int64_t waiting_samples_ = 0;
  std::vector<ReplaySample> samples_;
  std::map<std::string, QuestionUse> question_use_;
  std::map<std::string, std::multimap<std::int64_t, std::int64_t>> waits_;
  // Answers whose tickets are still valid, by step: the workers, until when,
  // and the time of the caller if none is used.
  struct OpenAnswer {
    std::vector<std::int64_t> workers;
    double busy_ms = 0;
    std::int64_t valid_until_ms = 0;
    bool used = false;
  };
  std::map<StepId, std::vector<OpenAnswer>> open_answers_;
  void CloseAnswers(StepId step, bool all);
};

}  // namespace cranberryshunt::policy

#endif  // CRANBERRYSHUNT_TESTS_POLICY_FLEET_REPLAY_H_
