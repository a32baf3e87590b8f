#include "cell_harness.h"

#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::cell {

namespace {

constexpr std::int64_t kReportIntervalMs = 1'500;
constexpr std::int64_t kStopMs = 100;
constexpr std::int64_t kConnectTimeoutMs = 600;
// Age of the workers at the start of a test.
constexpr std::int64_t kFirstAgeMs = 3'600'000;
// Clocks of workers start at this value. Those of later incarnations start
// before it, so that orders on the first clock are not late there.
constexpr std::int64_t kFirstClockMs = 100'000'000;
// A start must respect a smaller capacity from this time after its report on.
constexpr std::int64_t kCapacityGraceMs = 4'000 + kReportIntervalMs;
// A task must not be started this many times more after this many workers have
// crashed under it.
constexpr std::int32_t kMaxCrashes = 3;
constexpr std::int32_t kMaxStartsAfterCrashes = 3;

// Adds the processor time that this thread uses during the timer's lifetime to
// `total_ms`.
class CpuTimer {
 public:
  explicit CpuTimer(double& total_ms) : total_ms_(total_ms), begin_(Now()) {}
  ~CpuTimer() { total_ms_ += Now() - begin_; }
  CpuTimer(const CpuTimer&) = delete;
  CpuTimer& operator=(const CpuTimer&) = delete;

 private:
  static double Now() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 +
           static_cast<double>(time.tv_nsec) / 1e6;
  }

  double& total_ms_;
  const double begin_;
};

}  // namespace

wire::JobQueue MakeQueue(const std::string& name, std::int32_t priority) {
  wire::JobQueue queue;
  queue.name = name;
  queue.host = "jobs.example";
  queue.path_prefix = "/" + name + "/";
  queue.timeout_ms = 3'000;
  queue.latency_target_ms = 1'000;
  queue.priority = priority;
  queue.service_name = "fleet";
  queue.max_attempts = 3;
  queue.stretch = 2;
  return queue;
}

wire::ClientAccount MakeAccount(const std::string& name,
                                double weight,
                                std::int64_t milli_cpus) {
  wire::ClientAccount account;
  account.name = name;
  account.key_digests = {"key of " + name};
  account.weight = weight;
  account.limit.milli_cpus = milli_cpus;
  return account;
}

wire::GraphJob MakeJob(std::int32_t tasks,
                       std::int64_t milli_cpus,
                       std::int64_t estimate_ms) {
  wire::GraphJob job;
  job.occurrences = 1;
  auto& step = job.steps.emplace_back();
  step.task_count = tasks;
  step.milli_cpus = milli_cpus;
  step.memory_mb = 1'000;
  step.estimate_ms = estimate_ms;
  return job;
}

FakeWorker& FillFourWorkers(CellHarness& cell, std::int64_t run_ms) {
  cell.Run(200);
  cell.Publish({MakeQueue("a", 1)});
  cell.Run(200);
  cell.Submit(1, "a", MakeJob(8, 16'000, run_ms));
  cell.Run(2'000);
  return *std::find_if(cell.workers.begin(), cell.workers.end(),
                       [](const auto& it) { return it.runs.size() == 2; });
}

CellHarness::CellHarness(HarnessOptions options)
    : options_(options),
      random_(options.seed),
      engine_({.id = "own", .far_run_factor = options.far_run_factor},
              *this,
              metrics_) {
  for (std::int64_t n = 0; n < EngineOptions().cell_size; ++n) {
    auto& member = members.members.emplace_back();
    member.id = n == 0 ? "own" : fmt::format("controller-{}", n);
    member.voter = true;
  }
  for (std::int32_t n = 0; n < options.workers; ++n) {
    FakeWorker worker;
    worker.record.id = fmt::format("w{}", n);
    worker.record.born_ms = WallMilliseconds() - kFirstAgeMs + n;
    worker.record.service_name = "fleet";
    worker.record.address = fmt::format("127.0.0.1:{}", 10'000 + n);
    worker.record.milli_cpus = options.milli_cpus;
    worker.record.memory_mb = options.memory_mb;
    worker.record.rack = fmt::format("r{}", n / 4);
    worker.clock_offset_ms =
        kFirstClockMs + static_cast<std::int64_t>(n) * 1'000;
    workers.push_back(std::move(worker));
  }
  ChangeLeader();
  for (std::size_t i = 0; i < workers.size(); ++i) {
    Schedule(static_cast<std::int64_t>(i), [this, i] { Report(workers[i]); });
  }
  for (std::int32_t n = 0; n < options.advice_callers; ++n) {
    Schedule(1, [this, n] { PollAdvice(n, {}); });
  }
}

void CellHarness::ChangeLeader() {
  consensus::RoleChange change;
  change.role = consensus::Role::kFollower;
  change.term = term_++;
  engine_.OnRoleChange(change, Now());
  // A leader leads only after an entry of its own term is committed, so it has
  // applied all earlier entries that are not lost.
  if (!uncommitted_.empty()) {
    auto kept = std::uniform_int_distribution<std::size_t>(
        0, uncommitted_.size())(random_);
    for (; kept > 0; --kept) {
      CommitFirstProposal();
    }
    uncommitted_.clear();
  }
  change.role = consensus::Role::kLeader;
  change.term = term_;
  change.leader_id = "own";
  engine_.OnRoleChange(change, Now());
}

void CellHarness::Schedule(std::int64_t delay_ms,
                           std::function<void()> action) {
  events_.emplace(now_ms_ + delay_ms, std::move(action));
}

void CellHarness::ReportOnce(const FakeWorker& worker) {
  ReportRecord(worker.record, worker.clock_offset_ms);
}

void CellHarness::ReportRecord(const wire::CalledWorker& record,
                               std::int64_t clock_offset_ms) {
  WorkerReport report;
  report.worker = record;
  report.sequence = now_ms_;
  report.clock_ms = now_ms_ + clock_offset_ms;
  const CpuTimer timer(engine_ms_);
  engine_.Handle(ReportCall{report, [](const Result<void>&) {}}, Now());
}

void CellHarness::CrashFor(std::size_t n, std::int64_t down_ms) {
  Crash(workers[n]);
  Schedule(down_ms, [this, n] { Restart(workers[n]); });
}

// The other members of a gang that works end when one has ended.
void CellHarness::BreakGang(const graph::TaskKey& ended, std::int32_t run) {
  const auto* job = engine_.store().FindJob(ended.job);
  if (job == nullptr || !job->step(ended.step).gang) {
    return;
  }
  graph::TaskKey member = ended;
  for (auto& it : workers) {
    for (member.index = 0; member.index < job->step(ended.step).task_count;
         ++member.index) {
      const auto other = it.runs.find({member, run});
      if (other != it.runs.end() && !other->second.waits_for_gang) {
        EndRun(it, {member, run}, wire::RunEnd::kBroken);
      }
    }
  }
}

void CellHarness::AdvanceGangs() {
  for (auto it = waiting_gangs_.begin(); it != waiting_gangs_.end();) {
    const auto& [step_key, run] = *it;
    const auto* job = engine_.store().FindJob(step_key.job);
    graph::TaskKey member{step_key.job, step_key.occurrence, step_key.step, 0};
    std::vector<FakeRun*> present;
    for (; job != nullptr && member.index < job->step(step_key.step).task_count;
         ++member.index) {
      for (auto& worker : workers) {
        const auto found = worker.runs.find({member, run});
        if (found != worker.runs.end()) {
          present.push_back(&found->second);
        }
      }
    }
    const bool complete =
        static_cast<std::int32_t>(present.size()) == member.index;
    std::int64_t work_ms = 0;
    for (const auto* other : present) {
      longest_gang_wait_ms =
          std::max(longest_gang_wait_ms, now_ms_ - other->started_ms);
      work_ms = std::max(work_ms, other->work_ms);
    }
    for (auto* other : present) {
      if (complete) {
        other->waits_for_gang = false;
        other->end_ms = std::min(other->end_ms, now_ms_ + work_ms);
      }
    }
    it = complete || present.empty() ? waiting_gangs_.erase(it) : std::next(it);
  }
}

// A worker that the leader reaches must be told to stop the member before.
void CellHarness::EndAlone(FakeWorker& worker,
                           const std::pair<graph::TaskKey, std::int32_t>& key) {
  ++alone_ends;
  if (!worker.silent && !worker.unreachable &&
      now_ms_ >= worker.loses_stops_until_ms) {
    violations.push_back("waited for its gang until the timeout: " +
                         graph::FormatTask(key.first));
  }
  EndRun(worker, key, wire::RunEnd::kAlone);
}

void CellHarness::CrashAfterStart(const FakeWorker& worker,
                                  const graph::TaskKey& task) {
  const auto n = static_cast<std::size_t>(&worker - workers.data());
  Schedule(crash_after_ms, [this, n, task, born = worker.record.born_ms] {
    const auto& runs = workers[n].runs;
    const bool runs_here =
        std::any_of(runs.begin(), runs.end(),
                    [&](const auto& it) { return it.first.first == task; });
    if (runs_here && workers[n].record.born_ms == born) {
      ++crashes_by_task[task];
      CrashFor(n, crash_down_ms);
    }
  });
}

void CellHarness::SetCapacity(std::size_t n,
                              std::int64_t milli_cpus,
                              std::int64_t memory_mb) {
  auto& worker = workers[n];
  worker.earlier_milli_cpus = worker.record.milli_cpus;
  worker.earlier_memory_mb = worker.record.memory_mb;
  worker.capacity_grace_end_ms = now_ms_ + kCapacityGraceMs;
  worker.capacity_changed = true;
  worker.record.milli_cpus = milli_cpus;
  worker.record.memory_mb = memory_mb;
  ReportOnce(worker);
}

void CellHarness::Report(const FakeWorker& worker) {
  if (!worker.silent && !worker.gone && !worker.leaves) {
    ReportOnce(worker);
  }
  const auto n = static_cast<std::size_t>(&worker - workers.data());
  Schedule(kReportIntervalMs, [this, n] { Report(workers[n]); });
}

std::int64_t CellHarness::MillisecondsToReport(std::size_t worker) const {
  const auto first_ms = kStartMs + static_cast<std::int64_t>(worker);
  return kReportIntervalMs - (now_ms_ - first_ms) % kReportIntervalMs;
}

void CellHarness::Publish(const std::vector<wire::JobQueue>& queues) {
  wire::RoutingTable table;
  table.version = engine_.store().table().version + 1;
  table.queues = queues;
  table.services.emplace_back().name = "fleet";
  table.accounts = accounts;
  table.checks_keys = !accounts.empty();
  for (const auto& it : queues) {
    queues_[it.name] = it;
  }
  engine_.Handle(PublishTableCall{table,
                                  [this](const Result<void>& result) {
                                    if (result) {
                                      published_ms = now_ms_;
                                    }
                                  }},
                 Now());
}

void CellHarness::Submit(graph::JobId id,
                         const std::string& queue,
                         const wire::GraphJob& job,
                         const std::string& key_digest) {
  SubmitAttempt(id, queue, job, 0, false, key_digest);
}

wire::GraphReply CellHarness::SubmitAttempt(graph::JobId id,
                                            const std::string& queue,
                                            const wire::GraphJob& job,
                                            std::int64_t request_id,
                                            bool earlier_attempt_open,
                                            const std::string& key_digest) {
  auto& outcome = jobs[id];
  outcome = {};
  outcome.submitted_ms = now_ms_;
  GraphCall call;
  call.request.operation = wire::GraphOperation::kSubmit;
  call.request.host = queues_.at(queue).host;
  call.request.path = queues_.at(queue).path_prefix + graph::FormatJobId(id);
  call.request.job = job;
  call.request.request_id = request_id;
  call.request.earlier_attempt_open = earlier_attempt_open;
  call.request.key_digest = key_digest;
  keys_[id] = key_digest;
  const auto first_reply = std::make_shared<wire::GraphReply>();
  call.reply = [this, id, first_reply](const wire::GraphReply& reply) {
    jobs[id].replied_ms = now_ms_;
    jobs[id].code = reply.status.code;
    jobs[id].retry_after_ms = reply.status.retry_after_ms;
    *first_reply = reply;
  };
  const CpuTimer timer(engine_ms_);
  engine_.Handle(std::move(call), Now());
  return *first_reply;
}

void CellHarness::Cancel(graph::JobId id, const std::string& queue) {
  GraphCall call;
  call.request.operation = wire::GraphOperation::kCancel;
  call.request.key_digest = keys_[id];
  call.request.host = queues_.at(queue).host;
  call.request.path = queues_.at(queue).path_prefix + graph::FormatJobId(id);
  call.reply = [](const wire::GraphReply&) {};
  engine_.Handle(std::move(call), Now());
}

std::optional<wire::GraphJobState::type> CellHarness::StateOf(
    graph::JobId id) const {
  const auto* job = engine_.store().FindJob(id);
  return job == nullptr ? std::nullopt : std::optional(job->state());
}

std::int64_t CellHarness::PendingOf(const std::string& queue) {
  std::int64_t pending = -1;
  GraphCall call;
  call.request.operation = wire::GraphOperation::kShow;
  call.request.host = queues_.at(queue).host;
  call.request.path = queues_.at(queue).path_prefix;
  call.reply = [&](const wire::GraphReply& reply) {
    pending = reply.status.code == 0 ? reply.pending : -1;
  };
  engine_.Handle(std::move(call), Now());
  return pending;
}

// Tasks whose ends nobody has read may run again.
void CellHarness::ForgetEnds(FakeWorker& worker) {
  for (const auto& it : worker.ended) {
    done_.erase(it.task);
  }
  worker.ended.clear();
  worker.next_end = 1;
  worker.acknowledged_end = 0;
}

void CellHarness::SetBirth(FakeWorker& worker) const {
  worker.record.born_ms =
      std::max(worker.record.born_ms + 1, WallMilliseconds());
  worker.clock_offset_ms = static_cast<std::int64_t>(
      std::mt19937_64(static_cast<std::uint64_t>(worker.record.born_ms))() %
      static_cast<std::uint64_t>(kFirstClockMs));
}

void CellHarness::RestartAtOnce(FakeWorker& worker, OpenCalls open_calls) {
  EndOpenHolds(worker, open_calls);
  if (open_calls != OpenCalls::kDark) {
    worker.connected_born_ms = 0;
    worker.hold_connected_born_ms = 0;
  }
  SetBirth(worker);
  ForgetEnds(worker);
  worker.fence = 0;
  worker.lease_until_ms = 0;
  EndAllRuns(worker);
  worker.barred.clear();
}

void CellHarness::Run(std::int64_t duration_ms) {
  const auto end = now_ms_ + duration_ms;
  while (now_ms_ < end) {
    ++now_ms_;
    while (!events_.empty() && events_.begin()->first <= now_ms_) {
      auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    TrackAccounts();
    AdvanceGangs();
    for (auto& it : workers) {
      AdvanceWorker(it);
      if (options_.check) {
        CheckInvariants(it);
      }
    }
    AdvanceEngine();
    for (auto& [id, outcome] : jobs) {
      if (outcome.completed_ms < 0 &&
          StateOf(id) == wire::GraphJobState::kCompleted) {
        outcome.completed_ms = now_ms_;
      }
    }
  }
}

void CellHarness::AdvanceEngine() {
  const auto advance = [this] {
    const CpuTimer timer(engine_ms_);
    return engine_.Advance(Now());
  };
  auto out = advance();
  for (auto& it : out.proposals) {
    Propose(it);
  }
  for (auto& it : out.orders) {
    Schedule(options_.network_ms, [this, it] { CarryOut(it); });
  }
  // A hold is answered when a run has ended or its wait is over.
  std::vector<PendingHold> open;
  for (auto& it : std::exchange(holds_, {})) {
    auto& worker = workers[it.worker];
    if (worker.silent || worker.unreachable) {
      ReplyAfterTimeout(it.sent, it.reused_connection);
      continue;
    }
    const auto& hold = std::get<HoldOrder>(it.sent.order);
    const bool has_new_ends =
        !worker.ended.empty() &&
        worker.ended.back().number > hold.acknowledged_end;
    if (!has_new_ends && now_ms_ < it.until_ms) {
      open.push_back(std::move(it));
      continue;
    }
    // The worker forgot the acknowledged ends when the hold arrived. Numbers of
    // ends start anew when it restarts.
    auto listing = hold;
    listing.acknowledged_end = 0;
    auto reply = Serve(worker, listing);
    reply.reused_connection = it.reused_connection;
    ReplyUnlessSilent(it.worker, it.sent, std::move(reply),
                      worker.record.born_ms);
  }
  holds_.insert(holds_.end(), open.begin(), open.end());
}

void CellHarness::Propose(const Proposal& proposal) {
  auto delay_ms = options_.commit_ms;
  if (options_.max_commit_ms > options_.commit_ms) {
    delay_ms = std::uniform_int_distribution(options_.commit_ms,
                                             options_.max_commit_ms)(random_);
  }
  // Entries are committed in the order of the log.
  last_commit_ms_ = std::max(last_commit_ms_, now_ms_ + delay_ms);
  const auto term = engine_.leading_term();
  uncommitted_.push_back({term, proposal});
  Schedule(last_commit_ms_ - now_ms_, [this, term, id = proposal.id] {
    const bool pending = !uncommitted_.empty() &&
                         uncommitted_.front().term == term &&
                         uncommitted_.front().proposal.id == id;
    if (!pending) {
      return;
    }
    if (log_is_full) {
      uncommitted_.pop_front();
      const CpuTimer timer(engine_ms_);
      engine_.OnProposalDone(term, id,
                             Fail(ResultCode::kStorageFull, "no room"), Now());
      return;
    }
    CommitFirstProposal();
    const auto index = next_index_ - 1;
    const auto done = [this, term, id, index] {
      const CpuTimer timer(engine_ms_);
      engine_.OnProposalDone(term, id, index, Now());
    };
    // The result may come in a later turn than the entry.
    const bool later = options_.max_commit_ms > options_.commit_ms &&
                       std::uniform_int_distribution(0, 1)(random_) == 1;
    if (later) {
      Schedule(1, done);
    } else {
      done();
    }
  });
}

void CellHarness::CommitFirstProposal() {
  const auto first = std::move(uncommitted_.front());
  uncommitted_.pop_front();
  const CpuTimer timer(engine_ms_);
  const auto applied = engine_.OnCommitted(
      {next_index_++, first.term, first.proposal.data}, Now());
  if (!applied) {
    violations.push_back("entry not applied: " + applied.error().message());
  }
}

void CellHarness::Commit(const wire::GraphBatch& batch) {
  const auto applied = engine_.OnCommitted(
      {next_index_++, engine_.leading_term(), wire::Encode(batch)}, Now());
  if (!applied) {
    violations.push_back("entry not applied: " + applied.error().message());
  }
}

void CellHarness::EndAllRuns(FakeWorker& worker) {
  for (const auto& [key, run] : std::exchange(worker.runs, {})) {
    if (!run.waits_for_gang) {
      BreakGang(key.first, key.second);
    }
  }
}

void CellHarness::Crash(FakeWorker& worker, OpenCalls open_calls) {
  worker.gone = true;
  EndAllRuns(worker);
  ForgetEnds(worker);
  worker.barred.clear();
  worker.fence = 0;
  worker.lease_until_ms = 0;
  worker.connected_born_ms = 0;
  worker.hold_connected_born_ms = 0;
  EndOpenHolds(worker, open_calls);
}

void CellHarness::EndOpenHolds(const FakeWorker& worker, OpenCalls open_calls) {
  if (open_calls == OpenCalls::kAnsweredByNext) {
    return;
  }
  const auto number = static_cast<std::size_t>(&worker - workers.data());
  std::erase_if(holds_, [&](const auto& it) {
    if (it.worker != number) {
      return false;
    }
    if (open_calls == OpenCalls::kDark) {
      ReplyAfterTimeout(it.sent, it.reused_connection);
      return true;
    }
    WorkerReply reply;
    reply.reused_connection = it.reused_connection;
    Schedule(options_.network_ms, [this, id = it.sent.id, reply] {
      engine_.OnWorkerReply(id, reply, Now());
    });
    return true;
  });
}

void CellHarness::ReplyAfterTimeout(const SentOrder& sent,
                                    bool reused_connection) {
  WorkerReply reply;
  reply.reused_connection = reused_connection;
  Schedule(sent.timeout.count(), [this, id = sent.id, reply] {
    const CpuTimer timer(engine_ms_);
    engine_.OnWorkerReply(id, reply, Now());
  });
}

void CellHarness::ReplyUnlessSilent(std::size_t n,
                                    const SentOrder& sent,
                                    WorkerReply reply,
                                    std::int64_t connected_born_ms) {
  Schedule(options_.network_ms, [this, n, sent, connected_born_ms,
                                 reply = std::move(reply)] {
    auto& worker = workers[n];
    if (worker.silent) {
      ReplyAfterTimeout(sent, reply.reused_connection);
      return;
    }
    const bool is_hold = std::holds_alternative<HoldOrder>(sent.order);
    (is_hold ? worker.hold_connected_born_ms : worker.connected_born_ms) =
        connected_born_ms;
    const CpuTimer timer(engine_ms_);
    engine_.OnWorkerReply(sent.id, reply, Now());
  });
}

void CellHarness::Depart(FakeWorker& worker, OpenCalls open_calls) {
  Crash(worker, open_calls);
  Deregister(worker);
}

void CellHarness::Deregister(const FakeWorker& worker) {
  engine_.Handle(DepartureCall{worker.record.id, worker.record.born_ms,
                               [](const Result<void>&) {}},
                 Now());
}

void CellHarness::Restart(FakeWorker& worker, const std::string& id) {
  constexpr std::int64_t kRestartMs = 50;
  Crash(worker);
  const auto number = static_cast<std::size_t>(&worker - workers.data());
  Schedule(kRestartMs, [this, number, id] {
    auto& restarted = workers[number];
    if (!restarted.gone) {
      return;  // Another restart came first.
    }
    restarted.gone = false;
    restarted.record.id = id.empty() ? restarted.record.id : id;
    SetBirth(restarted);
    ReportOnce(restarted);
  });
}

// No process has the id in the order. The one at its address refuses it.
void CellHarness::RefuseAsOther(const SentOrder& sent) {
  const auto worker = std::find_if(
      workers.begin(), workers.end(),
      [&](const auto& it) { return it.record.address == sent.worker.address; });
  if (worker == workers.end() || worker->silent || worker->unreachable) {
    ReplyAfterTimeout(sent, false);
    return;
  }
  WorkerReply reply;
  reply.answer =
      worker->gone ? WorkerAnswer::kNoListener : WorkerAnswer::kOtherWorker;
  Schedule(2 * options_.network_ms, [this, id = sent.id, reply] {
    engine_.OnWorkerReply(id, reply, Now());
  });
}

void CellHarness::CarryOut(const SentOrder& sent) {
  const auto worker = std::find_if(
      workers.begin(), workers.end(),
      [&](const auto& it) { return it.record.id == sent.worker.id; });
  if (worker == workers.end()) {
    RefuseAsOther(sent);
    return;
  }
  if (worker->loses_orders) {
    return;
  }
  if (worker->gone && !worker->silent) {
    WorkerReply reply;
    reply.answer = WorkerAnswer::kNoListener;
    Schedule(options_.network_ms, [this, id = sent.id, reply] {
      engine_.OnWorkerReply(id, reply, Now());
    });
    return;
  }
  auto order = sent.order;
  auto* hold = std::get_if<HoldOrder>(&order);
  auto& connected_born_ms = hold == nullptr ? worker->connected_born_ms
                                            : worker->hold_connected_born_ms;
  const bool reused = connected_born_ms != 0 && !sent.fresh_connection;
  if (worker->unreachable && !reused) {
    // The client gives up the attempt to connect.
    WorkerReply reply;
    reply.answer = WorkerAnswer::kNotSent;
    Schedule(kConnectTimeoutMs, [this, id = sent.id, reply] {
      engine_.OnWorkerReply(id, reply, Now());
    });
    return;
  }
  if (worker->silent || worker->unreachable) {
    ReplyAfterTimeout(sent, reused);
    return;
  }
  if (reused && connected_born_ms != worker->record.born_ms) {
    // The process at the other end of the connection has ended silently.
    connected_born_ms = 0;
    ReplyAfterTimeout(sent, true);
    return;
  }
  // The driver acknowledges ends to the incarnation that listed them only.
  if (hold != nullptr && sent.worker.born_ms != worker->record.born_ms) {
    hold->acknowledged_end = 0;
  }
  const bool is_start = std::holds_alternative<StartOrder>(sent.order);
  const bool is_stop = std::holds_alternative<StopOrder>(sent.order);
  if ((is_start && now_ms_ < worker->loses_starts_until_ms) ||
      (is_stop && now_ms_ < worker->loses_stops_until_ms)) {
    ReplyAfterTimeout(sent, reused);
    return;
  }
  const auto number = static_cast<std::size_t>(worker - workers.begin());
  if (hold != nullptr && hold->wait.count() > 0) {
    (void)Serve(*worker, order);
    holds_.push_back({number, sent, now_ms_ + hold->wait.count(), reused});
    return;
  }
  auto reply = Serve(*worker, order);
  reply.reused_connection = reused;
  if (worker->loses_start_outcomes && is_start) {
    return;
  }
  if (worker->loses_replies && hold == nullptr) {
    ReplyAfterTimeout(sent, reused);
    return;
  }
  ReplyUnlessSilent(number, sent, std::move(reply), worker->record.born_ms);
}

WorkerReply CellHarness::Serve(FakeWorker& worker, const WorkerOrder& order) {
  const auto fence = std::visit([](const auto& it) { return it.fence; }, order);
  WorkerReply reply;
  reply.clock_ms = now_ms_ + worker.clock_offset_ms;
  if (fence < worker.fence) {
    reply.answer = WorkerAnswer::kFenced;
    return reply;
  }
  worker.fence = fence;
  reply.answer = WorkerAnswer::kDone;
  if (const auto* start = std::get_if<StartOrder>(&order)) {
    auto started = ServeStart(worker, *start);
    started.clock_ms = reply.clock_ms;
    return started;
  }
  if (const auto* stop = std::get_if<StopOrder>(&order)) {
    auto& barred = worker.barred[stop->task];
    barred = std::max(barred, stop->run);
    const auto run = worker.runs.find({stop->task, stop->run});
    if (run != worker.runs.end()) {
      run->second.end_ms = std::min(run->second.end_ms, now_ms_ + kStopMs);
    }
    return reply;
  }
  const auto& hold = std::get<HoldOrder>(order);
  // Only the lists of runs name the incarnation.
  reply.born_ms = worker.record.born_ms;
  ExtendLease(worker, hold.lease_until_ms);
  worker.acknowledged_end =
      std::max(worker.acknowledged_end, hold.acknowledged_end);
  std::erase_if(worker.ended, [&](const auto& it) {
    return it.number <= worker.acknowledged_end;
  });
  for (const auto& [key, run] : worker.runs) {
    auto& row = reply.running.emplace_back();
    row.task = key.first;
    row.run = key.second;
    if (run.waits_for_gang && run.resumed) {
      row.percent = options_.resumed_percent;
    }
    if (!run.waits_for_gang && run.work_ms > 0) {
      const auto left_ms = std::max<std::int64_t>(0, run.end_ms - now_ms_);
      row.percent = static_cast<std::int32_t>(
          100 - std::min<std::int64_t>(100, 100 * left_ms / run.work_ms));
    }
  }
  reply.ended = worker.ended;
  return reply;
}

// `until_ms` is a time on the worker's clock.
void CellHarness::ExtendLease(FakeWorker& worker, std::int64_t until_ms) const {
  worker.lease_until_ms = std::max(worker.lease_until_ms,
                                   std::min(until_ms - worker.clock_offset_ms,
                                            now_ms_ + options_.max_lease_ms));
}

WorkerReply CellHarness::ServeStart(FakeWorker& worker,
                                    const StartOrder& order) {
  WorkerReply reply;
  reply.answer = WorkerAnswer::kDone;
  const std::pair key(order.task, order.run);
  if (worker.runs.contains(key)) {
    return reply;
  }
  const auto barred = worker.barred.find(order.task);
  if (barred != worker.barred.end() && barred->second >= order.run) {
    reply.answer = WorkerAnswer::kStaleRun;
    ++refused_starts;
    return reply;
  }
  if (order.lease_until_ms - worker.clock_offset_ms <= now_ms_) {
    reply.answer = WorkerAnswer::kTooLate;
    ++refused_starts;
    return reply;
  }
  ExtendLease(worker, order.lease_until_ms);
  if (!order.ticket.empty() &&
      order.ticket != TicketFor(graph::FormatStep(order.task.step_key()),
                                worker.record.id)) {
    reply.answer = WorkerAnswer::kTicketRefused;
    ++refused_starts;
    return reply;
  }
  const auto* job = engine_.store().FindJob(order.task.job);
  const auto& step = job->step(order.task.step);
  if (options_.check) {
    CheckStart(worker, order.task, step);
  }
  const auto length =
      run_time ? run_time(order.task, step.estimate_ms) : step.estimate_ms;
  FakeRun run;
  run.milli_cpus = step.milli_cpus;
  run.memory_mb = step.memory_mb;
  run.accelerators = step.accelerators;
  run.account = job->account();
  run.started_ms = now_ms_;
  run.work_ms = length;
  run.waits_for_gang = step.gang;
  run.resumed = !order.checkpoint.empty();
  run.end_ms = now_ms_ + length;
  if (step.gang) {
    run.end_ms = std::numeric_limits<std::int64_t>::max();
    waiting_gangs_.insert({order.task.step_key(), order.run});
  }
  if (worker.fails_all) {
    run.end_ms = now_ms_ + 10;
  }
  worker.runs[key] = run;
  ++starts;
  ++starts_by_task[order.task];
  if (options_.check) {
    CheckCapacityAtStart(worker);
    CheckAccountAtStart(run.account, run);
  }
  if (crashes_worker && crashes_worker(order.task)) {
    if (crashes_by_task[order.task] >= kMaxCrashes &&
        ++starts_after_crashes_[order.task] >= kMaxStartsAfterCrashes) {
      violations.push_back("started again although it crashes its workers: " +
                           graph::FormatTask(order.task));
    }
    CrashAfterStart(worker, order.task);
  }
  auto& outcome = jobs[order.task.job];
  if (outcome.first_start_ms < 0) {
    outcome.first_start_ms = now_ms_;
  }
  return reply;
}

void CellHarness::CheckStart(const FakeWorker& worker,
                             const graph::TaskKey& task,
                             const wire::GraphStep& step) {
  if (done_.contains(task)) {
    violations.push_back("started again after it was done: " +
                         graph::FormatTask(task));
  }
  std::int32_t runs_on_worker = 0;
  for (const auto& it : workers) {
    for (const auto& [other, run] : it.runs) {
      if (other.first == task) {
        violations.push_back("runs twice: " + graph::FormatTask(task));
      }
      runs_on_worker +=
          &it == &worker && other.first.step_key() == task.step_key() ? 1 : 0;
    }
  }
  if (step.max_per_worker > 0 && runs_on_worker >= step.max_per_worker) {
    violations.push_back("too many of a step on one worker: " +
                         graph::FormatTask(task));
  }
}

void CellHarness::EndRun(FakeWorker& worker,
                         const std::pair<graph::TaskKey, std::int32_t>& key,
                         wire::RunEnd::type how) {
  EndedRow row;
  row.number = worker.next_end++;
  row.task = key.first;
  row.run = key.second;
  row.how = how;
  row.checkpoint = options_.resumed_percent > 0 ? "saved" : "";
  if (row.number > worker.acknowledged_end) {
    worker.ended.push_back(row);
  }
  auto& barred = worker.barred[key.first];
  barred = std::max(barred, key.second);
  worker.runs.erase(key);
}

void CellHarness::AdvanceWorker(FakeWorker& worker) {
  const bool lapsed = worker.lease_until_ms <= now_ms_;
  std::vector<std::pair<graph::TaskKey, std::int32_t>> broken;
  for (auto it = worker.runs.begin(); it != worker.runs.end();) {
    const auto key = it->first;
    const auto run = it->second;
    const auto end_ms = run.end_ms;
    ++it;
    const auto barred = worker.barred.find(key.first);
    const bool stopped =
        barred != worker.barred.end() && barred->second >= key.second;
    if (lapsed) {
      EndRun(worker, key, wire::RunEnd::kLapsed);
    } else if (run.waits_for_gang &&
               now_ms_ - run.started_ms >= options_.gang_timeout_ms) {
      EndAlone(worker, key);
      continue;
    } else if (end_ms <= now_ms_) {
      const auto how = stopped            ? wire::RunEnd::kStopped
                       : worker.fails_all ? wire::RunEnd::kFailed
                                          : wire::RunEnd::kDone;
      EndRun(worker, key, how);
      if (how == wire::RunEnd::kDone) {
        done_.insert(key.first);
        continue;
      }
    } else {
      continue;
    }
    if (!run.waits_for_gang) {
      broken.push_back(key);
    }
  }
  for (const auto& [task, run] : broken) {
    BreakGang(task, run);
  }
}

void CellHarness::CheckInvariants(const FakeWorker& worker) {
  std::int64_t cpus = 0;
  std::int64_t memory = 0;
  for (const auto& [key, run] : worker.runs) {
    cpus += run.milli_cpus;
    memory += run.memory_mb;
  }
  used_cpu_ms += static_cast<double>(cpus);
  // Runs may exceed a capacity that shrinks under them; CheckCapacityAtStart()
  // checks such a worker.
  if (worker.capacity_changed) {
    return;
  }
  if (cpus > worker.record.milli_cpus || memory > worker.record.memory_mb) {
    violations.push_back("over capacity: " + worker.record.id);
  }
}

void CellHarness::CheckCapacityAtStart(const FakeWorker& worker) {
  std::int64_t cpus = 0;
  std::int64_t memory = 0;
  for (const auto& [key, run] : worker.runs) {
    cpus += run.milli_cpus;
    memory += run.memory_mb;
  }
  auto allowed_cpus = worker.record.milli_cpus;
  auto allowed_memory = worker.record.memory_mb;
  if (now_ms_ < worker.capacity_grace_end_ms) {
    allowed_cpus = std::max(allowed_cpus, worker.earlier_milli_cpus);
    allowed_memory = std::max(allowed_memory, worker.earlier_memory_mb);
  }
  if (cpus > allowed_cpus || memory > allowed_memory) {
    violations.push_back("start over capacity: " + worker.record.id);
  }
}

policy::Demand CellHarness::UseOfAccount(const std::string& account) const {
  policy::Demand out;
  for (const auto& worker : workers) {
    for (const auto& [key, run] : worker.runs) {
      if (run.account == account) {
        out += {run.milli_cpus, run.memory_mb, run.accelerators};
      }
    }
  }
  return out;
}

void CellHarness::TrackAccounts() {
  const auto& table = engine_.store().table();
  if (table.version != accounts_version_) {
    accounts_version_ = table.version;
    earlier_accounts_.emplace_back(now_ms_,
                                   std::exchange(accounts_, table.accounts));
  }
}

void CellHarness::CheckAccountAtStart(const std::string& account,
                                      const FakeRun& run) {
  const auto exceeds = [&](const std::vector<wire::ClientAccount>& known) {
    const auto it =
        std::find_if(known.begin(), known.end(),
                     [&](const auto& entry) { return entry.name == account; });
    if (account.empty() || it == known.end()) {
      return false;
    }
    const auto over = [](std::int64_t used, std::int64_t more,
                         std::int64_t limit) {
      return limit > 0 && more > 0 && used > limit;
    };
    const auto used = UseOfAccount(account);
    return over(used.milli_cpus, run.milli_cpus, it->limit.milli_cpus) ||
           over(used.memory_mb, run.memory_mb, it->limit.memory_mb) ||
           over(used.accelerators, run.accelerators, it->limit.accelerators);
  };
  // A start that arrives now was sent at most this long ago, under one of the
  // tables since then.
  std::erase_if(earlier_accounts_, [&](const auto& it) {
    return now_ms_ - it.first > options_.network_ms + 1;
  });
  if (exceeds(accounts_) &&
      std::all_of(earlier_accounts_.begin(), earlier_accounts_.end(),
                  [&](const auto& it) { return exceeds(it.second); })) {
    violations.push_back("start over the limit of account " + account);
  }
}

std::string CellHarness::TicketFor(const std::string& step,
                                   const std::string& worker) const {
  const auto it = std::find_if(
      workers.begin(), workers.end(),
      [&](const auto& other) { return other.record.id == worker; });
  return fmt::format("{}/{}/{}", step, worker, it->record.born_ms);
}

void CellHarness::PollAdvice(std::int32_t caller, wire::AdvicePoll poll) {
  constexpr std::int32_t kWaitMs = 500;
  constexpr std::int64_t kPauseMs = 10;
  poll.caller = fmt::format("caller-{}", caller);
  poll.wait_ms = kWaitMs;
  AdviceCall call;
  call.poll = std::move(poll);
  call.reply = [this, caller](const wire::AdviceOrders& orders) {
    wire::AdvicePoll next;
    std::int64_t delay = kPauseMs;
    for (const auto& it : orders.orders) {
      auto& result = next.results.emplace_back();
      result.id = it.id;
      result.answered = true;
      for (const auto& worker : it.workers) {
        // The answer for a worker and a step never changes.
        const auto draw = std::hash<std::string>()(it.step + worker) % 1'000;
        if (static_cast<double>(draw) < options_.allowed_share * 1'000) {
          auto& ticket = result.allowed.emplace_back();
          ticket.worker = worker;
          ticket.ticket = TicketFor(it.step, worker);
        }
      }
      delay += it.expected_ms;
    }
    Schedule(delay, [this, caller, next] { PollAdvice(caller, next); });
  };
  const CpuTimer timer(engine_ms_);
  engine_.Handle(std::move(call), Now());
}

}  // namespace cranberryshunt::cell
