// An engine with stand-ins for the log, the workers and the advice service, in
// virtual time. It checks after each step what must hold on every worker.
#ifndef CRANBERRYSHUNT_TESTS_CELL_CELL_HARNESS_H_
#define CRANBERRYSHUNT_TESTS_CELL_CELL_HARNESS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cranberryshunt/cell/engine.h"

namespace cranberryshunt::cell {

struct FakeRun {
  std::int64_t end_ms = 0;
  std::int64_t milli_cpus = 0;
  std::int64_t memory_mb = 0;
};

// A worker that keeps leases and fences like a real one.
struct FakeWorker {
  wire::CalledWorker record;
  std::int64_t clock_offset_ms = 0;
  std::int64_t fence = 0;
  std::int64_t lease_until_ms = 0;
  std::map<std::pair<graph::TaskKey, std::int32_t>, FakeRun> runs;
  std::map<graph::TaskKey, std::int32_t> barred;  // Highest run ended there.
  std::vector<EndedRow> ended;
  std::int64_t next_end = 1;
  bool silent = false;         // Answers nothing.
  bool fails_all = false;      // Every task fails at once.
  bool loses_replies = false;  // Carries orders out without answering.
  // The driver neither carries its orders out nor reports them, against its
  // contract.
  bool loses_orders = false;
};

struct HarnessOptions {
  std::int32_t workers = 8;
  std::int64_t milli_cpus = 32'000;
  std::int64_t memory_mb = 65'536;
  std::int64_t commit_ms = 15;
  std::int64_t network_ms = 5;
  std::int32_t advice_callers = 6;
  double allowed_share = 1;
  std::uint64_t seed = 1;
  // Looks for violations; takes more time than the engine itself in large
  // cells.
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

  bool HasLease() const override { return has_lease; }
  wire::Membership Membership() const override { return {}; }
  std::int64_t WallMilliseconds() const override {
    return 1'700'000'000'000 + now_ms_;
  }

  // Publishes queues named `names`; queue N has priority N.
  void Publish(const std::vector<wire::JobQueue>& queues);
  void Submit(graph::JobId id,
              const std::string& queue,
              const wire::GraphJob& job);
  void Cancel(graph::JobId id, const std::string& queue);
  std::optional<wire::GraphJobState::type> StateOf(graph::JobId id) const;
  // What the leader tells as the number of pending jobs; -1 without an answer.
  std::int64_t PendingOf(const std::string& queue);

  // Moves time on in steps of a millisecond.
  void Run(std::int64_t duration_ms);
  // Another leader takes over: the volatile state is gone.
  void ChangeLeader();

  std::vector<FakeWorker> workers;
  std::map<graph::JobId, JobOutcome> jobs;
  bool has_lease = true;
  bool log_is_full = false;  // Nothing more is committed.
  std::int64_t starts = 0;
  std::int64_t refused_starts = 0;
  // Run time of a task; its declared time unless a test sets another one.
  std::function<std::int64_t(const graph::TaskKey&, std::int64_t declared)>
      run_time;
  // What must never happen and did.
  std::vector<std::string> violations;
  double used_cpu_ms = 0;

  std::int64_t now_ms() const { return now_ms_; }
  Engine& engine() { return engine_; }
  // Processor time that the calls of the engine took.
  double engine_ms() const { return engine_ms_; }

 private:
  TimePoint Now() const {
    return TimePoint(std::chrono::milliseconds(now_ms_));
  }
  void Schedule(std::int64_t delay_ms, std::function<void()> action);
  void Report(const FakeWorker& worker);
  void AdvanceEngine();
  void CarryOut(const SentOrder& sent);
  WorkerReply Serve(FakeWorker& worker, const WorkerOrder& order);
  WorkerReply ServeStart(FakeWorker& worker, const StartOrder& order);
  void EndRun(FakeWorker& worker,
              const std::pair<graph::TaskKey, std::int32_t>& key,
              wire::RunEnd::type how);
  void AdvanceWorker(FakeWorker& worker);
  void PollAdvice(std::int32_t caller, wire::AdvicePoll poll);
  void CheckInvariants(const FakeWorker& worker);
  void CheckStart(const FakeWorker& worker,
                  const graph::TaskKey& task,
                  const wire::GraphStep& step);

  const HarnessOptions options_;
  std::mt19937_64 random_;
  std::int64_t now_ms_ = 1'000;
  std::int64_t term_ = 1;
  MetricsRegistry metrics_;
  Engine engine_;
  double engine_ms_ = 0;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::int64_t next_index_ = 1;
  std::set<graph::TaskKey> done_;
  std::map<std::string, wire::JobQueue> queues_;
  struct PendingHold {
    std::size_t worker;
    SentOrder sent;
    std::int64_t until_ms;
  };
  std::vector<PendingHold> holds_;
};

wire::JobQueue MakeQueue(const std::string& name, std::int32_t priority);
// A job of one step.
wire::GraphJob MakeJob(std::int32_t tasks,
                       std::int64_t milli_cpus,
                       std::int64_t estimate_ms);

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_TESTS_CELL_CELL_HARNESS_H_
