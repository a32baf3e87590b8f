// Runs an engine in virtual time, with fakes of the log, the workers and the
// advice service. The invariants of all workers are checked after each step.
#ifndef CRANBERRYSHUNT_TESTS_CELL_CELL_HARNESS_H_
#define CRANBERRYSHUNT_TESTS_CELL_CELL_HARNESS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cranberryshunt/cell/engine.h"
#include "cranberryshunt/policy/demand.h"

namespace cranberryshunt::cell {

struct FakeRun {
  std::string account;
  std::int64_t accelerators = 0;
  std::int64_t end_ms = 0;
  std::int64_t milli_cpus = 0;
  std::int64_t memory_mb = 0;
  std::int64_t started_ms = 0;
  // Time of work. A member of a gang begins to work when all members are there.
  std::int64_t work_ms = 0;
  bool waits_for_gang = false;
  bool resumed = false;  // Started from a checkpoint.
};

// What becomes of calls that are open when the process of a worker ends.
enum class OpenCalls {
  kAnsweredByNext,  // The next incarnation accepts their connections.
  kReset,           // They fail at once.
  kDark,            // They get no answer until their timeout.
};

// A worker that honors leases and fences like a real one.
struct FakeWorker {
  wire::CalledWorker record;
  // Births of the incarnations to which the idle connections for starts and
  // stops and for holds lead; 0: there is no connection.
  std::int64_t connected_born_ms = 0;
  std::int64_t hold_connected_born_ms = 0;
  std::int64_t clock_offset_ms = 0;
  std::int64_t fence = 0;
  std::int64_t lease_until_ms = 0;
  // Ends up to this number are forgotten, also those that are still to come.
  std::int64_t acknowledged_end = 0;
  std::map<std::pair<graph::TaskKey, std::int32_t>, FakeRun> runs;
  // Highest run of each task that was stopped or has ended.
  std::map<graph::TaskKey, std::int32_t> barred;
  std::vector<EndedRow> ended;
  std::int64_t next_end = 1;
  bool silent = false;         // Does not reply.
  bool unreachable = false;    // Gets no orders, but its reports arrive.
  bool fails_all = false;      // Tasks fail 10 ms after their start.
  bool loses_replies = false;  // Carries out orders, but replies only to holds.
  // The driver violates its contract: the outcomes of starts, which are carried
  // out, are never reported.
  bool loses_start_outcomes = false;
  // Starts and stops that arrive before these times are neither carried out nor
  // answered.
  std::int64_t loses_starts_until_ms = 0;
  std::int64_t loses_stops_until_ms = 0;
  // The driver violates its contract: it neither carries out the worker's
  // orders nor reports replies to them.
  bool loses_orders = false;
  // Until this time a start may still fill the capacity from before the last
  // change.
  std::int64_t capacity_grace_end_ms = 0;
  std::int64_t earlier_milli_cpus = 0;
  std::int64_t earlier_memory_mb = 0;
  bool capacity_changed = false;
  bool gone = false;    // No process runs at its address.
  bool leaves = false;  // Has said that it leaves, and reports nothing more.
};

struct HarnessOptions {
  std::int32_t workers = 8;
  std::int64_t milli_cpus = 32'000;
  std::int64_t memory_mb = 65'536;
  std::int64_t commit_ms = 15;
  // If greater than `commit_ms`, the times of commits are random between both.
  std::int64_t max_commit_ms = 0;
  std::int64_t network_ms = 5;
  // Longest lease of a worker. It shortens longer ones.
  std::int64_t max_lease_ms = 10'000;
  std::int32_t advice_callers = 6;
  double allowed_share = 1;
  double far_run_factor = 1;  // That the leader is told.
  // How long a member of a gang waits for the others.
  std::int64_t gang_timeout_ms = 3'000;
  // Progress that workers list for a member that resumes from a checkpoint and
  // waits. If greater than 0, all ends carry a checkpoint.
  std::int32_t resumed_percent = 0;
  std::uint64_t seed = 1;
  // Checks for violations. In large cells this takes more time than the engine
  // itself.
  bool check = true;
};

struct JobOutcome {
  std::int64_t submitted_ms = 0;
  std::int64_t replied_ms = -1;
  int code = -1;
  std::int64_t retry_after_ms = 0;
  std::int64_t first_start_ms = -1;
  std::int64_t completed_ms = -1;
};

class CellHarness final : public EngineEnvironment {
 public:
  explicit CellHarness(HarnessOptions options = {});

  bool HasLease(std::int64_t term) const override {
    return has_lease && term == lease_term.value_or(term_);
  }
  consensus::MembershipStatus Members() const override {
    return {members, true, {}};
  }
  std::int64_t WallMilliseconds() const override {
    return 1'700'000'000'000 + now_ms_ + wall_offset_ms;
  }

  // Publishes a routing table with these queues. `published_ms` tells when that
  // was acknowledged.
  void Publish(const std::vector<wire::JobQueue>& queues);
  void Submit(graph::JobId id,
              const std::string& queue,
              const wire::GraphJob& job,
              const std::string& key_digest = "");
  // Like Submit(), as an attempt of the request. Returns the reply if there is
  // one at once.
  wire::GraphReply SubmitAttempt(graph::JobId id,
                                 const std::string& queue,
                                 const wire::GraphJob& job,
                                 std::int64_t request_id,
                                 bool earlier_attempt_open,
                                 const std::string& key_digest = "");
  void Cancel(graph::JobId id, const std::string& queue);
  std::optional<wire::GraphJobState::type> StateOf(graph::JobId id) const;
  // Number of pending jobs that the leader reports; -1 if it does not answer.
  std::int64_t PendingOf(const std::string& queue);

  // Reports a worker that this test does not run.
  void ReportRecord(const wire::CalledWorker& record,
                    std::int64_t clock_offset_ms);

  // Ends the worker with all its runs. A new incarnation of it begins at once
  // and reports later. It takes the orders that were meant for the former one.
  void RestartAtOnce(FakeWorker& worker,
                     OpenCalls open_calls = OpenCalls::kAnsweredByNext);

  // Time until the next report of the worker, unless it is silent.
  std::int64_t MillisecondsToReport(std::size_t worker) const;

  // Advances time in steps of one millisecond.
  void Run(std::int64_t duration_ms);
  // Starts a new term with a new leader. The volatile state of the old one is
  // lost. Of the proposals that are not committed yet, a random number of the
  // first ones is committed before the new leader leads; the others are lost.
  void ChangeLeader();
  // Crashes the worker and restarts it `down_ms` later.
  void CrashFor(std::size_t worker, std::int64_t down_ms);
  // Changes the capacity of the worker, which reports it at once. Starts that
  // exceed it are violations from 4 s and one report interval later on.
  void SetCapacity(std::size_t worker,
                   std::int64_t milli_cpus,
                   std::int64_t memory_mb);
  // Ends the worker's process, with its runs and unread ends, and the other
  // members of the gangs that worked on it.
  void Crash(FakeWorker& worker, OpenCalls open_calls = OpenCalls::kDark);
  // Crashes the worker, and the leader is told that it has left.
  void Depart(FakeWorker& worker, OpenCalls open_calls = OpenCalls::kDark);
  // The leader is told that the worker has left, but the worker goes on.
  void Deregister(const FakeWorker& worker);
  // Crashes the worker if it is not gone, and starts it again under the same id
  // or another one, with a later birth time.
  void Restart(FakeWorker& worker, const std::string& id = "");
  // Commits an entry that no leader of this test has proposed.
  void Commit(const wire::GraphBatch& batch);

  std::vector<FakeWorker> workers;
  std::map<graph::JobId, JobOutcome> jobs;
  bool has_lease = true;
  // By default all voters of a cell.
  wire::Membership members;
  // Term of the lease if it is not that of the engine's leader.
  std::optional<std::int64_t> lease_term;
  // Added to the time of day.
  std::int64_t wall_offset_ms = 0;
  bool log_is_full = false;  // Proposals are not committed.
  std::int64_t starts = 0;
  std::int64_t refused_starts = 0;
  // Members of gangs that ended because the others did not come.
  std::int64_t alone_ends = 0;
  // Longest time that a member of a gang has waited for the others.
  std::int64_t longest_gang_wait_ms = 0;
  // Returns the run time of a task. If unset, tasks run for their declared
  // time.
  std::function<std::int64_t(const graph::TaskKey&, std::int64_t declared)>
      run_time;
  // Whether a task crashes each worker that starts it, `crash_after_ms` later;
  // the worker is then down for `crash_down_ms`. Unset: none does.
  std::function<bool(const graph::TaskKey&)> crashes_worker;
  std::int64_t crash_after_ms = 30;
  std::int64_t crash_down_ms = 3'000;
  // Workers that crashed under each such task, and its starts.
  std::map<graph::TaskKey, std::int32_t> crashes_by_task;
  std::map<graph::TaskKey, std::int32_t> starts_by_task;
  // Violated invariants, as text.
  std::vector<std::string> violations;
  double used_cpu_ms = 0;

  std::optional<std::int64_t> published_ms;
  // Accounts of the tables that are published from now on.
  std::vector<wire::ClientAccount> accounts;
  // What the runs of the account take on all workers.
  policy::Demand UseOfAccount(const std::string& account) const;

  std::int64_t now_ms() const { return now_ms_; }
  Engine& engine() { return engine_; }
  // Processor time spent in calls of the engine.
  double engine_ms() const { return engine_ms_; }
  MetricsRegistry& metrics() { return metrics_; }

 private:
  TimePoint Now() const {
    return TimePoint(std::chrono::milliseconds(now_ms_));
  }
  void Schedule(std::int64_t delay_ms, std::function<void()> action);
  // Sets the time of birth of a new incarnation, and its clock, which starts at
  // any time.
  void SetBirth(FakeWorker& worker) const;
  void ForgetEnds(FakeWorker& worker);
  void ReportOnce(const FakeWorker& worker);
  // Reports at intervals while the worker is there.
  void Report(const FakeWorker& worker);
  void BreakGang(const graph::TaskKey& ended, std::int32_t run);
  // Lets the gangs of which all members are there begin to work.
  void AdvanceGangs();
  void EndAlone(FakeWorker& worker,
                const std::pair<graph::TaskKey, std::int32_t>& key);
  // Ends what runs on a worker whose process has ended.
  void EndAllRuns(FakeWorker& worker);
  void CrashAfterStart(const FakeWorker& worker, const graph::TaskKey& task);
  void AdvanceEngine();
  void Propose(const Proposal& proposal);
  void CommitFirstProposal();
  void CarryOut(const SentOrder& sent);
  void RefuseAsOther(const SentOrder& sent);
  void ReplyAfterTimeout(const SentOrder& sent, bool reused_connection);
  // Reports a reply unless the worker has been cut off meanwhile.
  void ReplyUnlessSilent(std::size_t worker,
                         const SentOrder& sent,
                         WorkerReply reply,
                         std::int64_t connected_born_ms);
  // Ends the open holds of a worker whose process has ended.
  void EndOpenHolds(const FakeWorker& worker, OpenCalls open_calls);
  WorkerReply Serve(FakeWorker& worker, const WorkerOrder& order);
  WorkerReply ServeStart(FakeWorker& worker, const StartOrder& order);
  void ExtendLease(FakeWorker& worker, std::int64_t until_ms) const;
  void EndRun(FakeWorker& worker,
              const std::pair<graph::TaskKey, std::int32_t>& key,
              wire::RunEnd::type how);
  void AdvanceWorker(FakeWorker& worker);
  // Ticket for the step on the present incarnation of the worker.
  std::string TicketFor(const std::string& step,
                        const std::string& worker) const;
  void PollAdvice(std::int32_t caller, wire::AdvicePoll poll);
  void CheckInvariants(const FakeWorker& worker);
  void CheckCapacityAtStart(const FakeWorker& worker);
  // Notes changes of the accounts in the committed table.
  void TrackAccounts();
  // Checks that a start of the account does not exceed its limit.
  void CheckAccountAtStart(const std::string& account, const FakeRun& run);
  void CheckStart(const FakeWorker& worker,
                  const graph::TaskKey& task,
                  const wire::GraphStep& step);

  const HarnessOptions options_;
  std::mt19937_64 random_;
  static constexpr std::int64_t kStartMs = 1'000;
  std::int64_t now_ms_ = kStartMs;
  std::int64_t term_ = 1;
  MetricsRegistry metrics_;
  Engine engine_;
  double engine_ms_ = 0;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::int64_t next_index_ = 1;
  // Proposals that are not committed yet, in the order of the log.
  struct UncommittedProposal {
    std::int64_t term = 0;
    Proposal proposal;
  };
  std::deque<UncommittedProposal> uncommitted_;
  std::int64_t last_commit_ms_ = 0;
  std::set<graph::TaskKey> done_;
  // Gangs of which a member may be waiting, with their run numbers.
  std::set<std::pair<graph::StepKey, std::int32_t>> waiting_gangs_;
  // Starts of each task after three workers had crashed under it.
  std::map<graph::TaskKey, std::int32_t> starts_after_crashes_;
  std::map<std::string, wire::JobQueue> queues_;
  // The keys with which jobs were submitted, also used to cancel them.
  std::map<graph::JobId, std::string> keys_;
  // The accounts of the table, and of former ones with the times at which they
  // were replaced: starts that were sent before may still arrive.
  std::vector<wire::ClientAccount> accounts_;
  std::vector<std::pair<std::int64_t, std::vector<wire::ClientAccount>>>
      earlier_accounts_;
  std::int64_t accounts_version_ = 0;
  struct PendingHold {
    std::size_t worker;
    SentOrder sent;
    std::int64_t until_ms;
    bool reused_connection;
  };
  std::vector<PendingHold> holds_;
};

// An account whose key has the digest "key of NAME".
wire::ClientAccount MakeAccount(const std::string& name,
                                double weight,
                                std::int64_t milli_cpus);
wire::JobQueue MakeQueue(const std::string& name, std::int32_t priority);
// Publishes a queue "a" and submits job 1, of eight tasks that fill four of six
// workers. Returns one of these, with two tasks.
FakeWorker& FillFourWorkers(CellHarness& cell, std::int64_t run_ms);
// A job of one step.
wire::GraphJob MakeJob(std::int32_t tasks,
                       std::int64_t milli_cpus,
                       std::int64_t estimate_ms);

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_TESTS_CELL_CELL_HARNESS_H_
