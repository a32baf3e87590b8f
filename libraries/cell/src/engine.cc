#include "cranberryshunt/cell/engine.h"

#include <mutex>
#include <set>
#include <utility>

#include "access_control.h"
#include "account_report.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/policy/far_factor.h"
#include "cranberryshunt/wire/codec.h"
#include "leader.h"
#include "nearness.h"
#include "refused_requests.h"
#include "run_times.h"

namespace cranberryshunt::cell {

namespace {

// A follower acts only on input.
constexpr std::chrono::milliseconds kFollowerMaxWait{200};
constexpr std::chrono::milliseconds kNoLeaseMaxWait{20};

}  // namespace

Engine::Engine(EngineOptions options,
               EngineEnvironment& environment,
               MetricsRegistry& metrics)
    : options_(std::move(options)),
      environment_(environment),
      metrics_(metrics),
      run_times_(std::make_unique<RunTimes>()),
      far_factors_(
          std::make_unique<policy::FarFactors>(options_.far_run_factor)),
      refused_requests_(std::make_unique<RefusedRequests>()),
      access_refusals_(std::make_unique<AccessRefusals>(metrics)),
      account_report_(std::make_unique<AccountReport>(metrics)) {}

Engine::~Engine() = default;

Result<void> Engine::OnCommitted(const consensus::CommittedEntry& entry,
                                 TimePoint now) {
  auto batch = wire::Decode<wire::GraphBatch>(entry.data);
  if (!batch) {
    return tl::unexpected(batch.error());
  }
  if (entry.term != applied_term_) {
    applied_term_ = entry.term;
    applied_term_began_ms_ = batch->at_ms;
  }
  RecordRunTimes(*batch);
  {
    const std::unique_lock lock(store_mutex_);
    store_.Apply(*batch);
    checks_keys_ = store_.table().checks_keys;
  }
  applied_index_ = entry.index;
  RecordRegistrations(now);
  if (leader_) {
    leader_->OnApplied(*batch, now);
  }
  return {};
}

void Engine::RecordRegistrations(TimePoint now) {
  const auto& workers = store_.workers();
  // Numbers rise, so a new registration changes the last one.
  const bool unchanged =
      workers.size() == registered_ms_.size() &&
      (workers.empty() ||
       workers.rbegin()->first == registered_ms_.rbegin()->first);
  if (unchanged) {
    return;
  }
  std::erase_if(registered_ms_,
                [&](const auto& it) { return !workers.contains(it.first); });
  for (const auto& [number, worker] : workers) {
    registered_ms_.try_emplace(number, ToMilliseconds(now.time_since_epoch()));
  }
}

void Engine::RecordRunTimes(const wire::GraphBatch& batch) {
  std::set<graph::StepKey> gangs;
  for (const auto& it : batch.results) {
    const auto key = graph::FromWire(it.task);
    const auto* job = store_.FindJob(key.job);
    const auto* task = job == nullptr ? nullptr : job->FindTask(key);
    const bool ran_uninterrupted =
        task != nullptr && it.how == wire::RunEnd::kDone && !task->done &&
        task->run == it.run && it.run == 1 && task->checkpoint.empty() &&
        task->started_ms >= applied_term_began_ms_;
    if (!ran_uninterrupted) {
      continue;
    }
    // The members of a gang end together.
    const auto& step = job->step(key.step);
    if (!step.gang || gangs.insert(key.step_key()).second) {
      const auto& queue = store_.QueueOf(*job).name;
      const auto run_ms = batch.at_ms - task->started_ms;
      const auto nearness = NearnessOf(store_, *job, key);
      far_factors_->Record(step.data_rack, nearness,
                           run_times_->Expected(queue, step.estimate_ms),
                           run_ms);
      run_times_->Record(
          queue, step.estimate_ms,
          far_factors_->NearRunMs(step.data_rack, nearness, run_ms));
    }
  }
}

Result<void> Engine::OnSnapshot(std::int64_t index, const std::string& data) {
  applied_index_ = index;
  const std::unique_lock lock(store_mutex_);
  auto restored = store_.Restore(data);
  checks_keys_ = store_.table().checks_keys;
  return restored;
}

void Engine::OnRoleChange(const consensus::RoleChange& change, TimePoint now) {
  Log(LogLevel::kInfo, "cell", "leadership changed",
      {{"leader", change.leader_id},
       {"term", change.term},
       {"own", change.role == consensus::Role::kLeader ? "yes" : "no"}});
  const bool leads = change.role == consensus::Role::kLeader;
  if (leader_ && (!leads || change.term != role_.term)) {
    EndLeadership(Error(ResultCode::kNotLeader, "another controller leads"));
  }
  role_ = change;
  if (leads && !leader_ && !stopped_) {
    leader_ = std::make_unique<Leader>(
        options_, change.term, store_, *run_times_, *far_factors_,
        registered_ms_, environment_, *access_refusals_, metrics_,
        *account_report_, now);
    serving_term_ = change.term;
  }
}

void Engine::OnProposalDone(std::int64_t term,
                            std::uint64_t id,
                            const Result<std::int64_t>& result,
                            TimePoint now) {
  if (leader_ && term == role_.term) {
    leader_->OnProposalDone(id, result, now);
  }
}

void Engine::OnWorkerReply(OrderId id,
                           const WorkerReply& reply,
                           TimePoint now) {
  if (leader_) {
    leader_->OnWorkerReply(id, reply, now);
  }
}

void Engine::Handle(Call call, TimePoint now) {
  if (!leader_ || !environment_.HasLease(role_.term)) {
    // Calls during shutdown are also refused with kNotLeader, so that callers
    // try another controller.
    Refuse(call,
           Error(ResultCode::kNotLeader, "this controller does not lead"));
    return;
  }
  auto* graph_call = std::get_if<GraphCall>(&call);
  if (graph_call == nullptr || !RefuseLateAttempt(*graph_call, now)) {
    leader_->Handle(std::move(call), now);
  }
}

std::optional<wire::GraphReply> Engine::ReadJob(
    const wire::GraphRequest& request) const {
  const std::int64_t term = serving_term_;
  const bool shows = request.operation == wire::GraphOperation::kShow;
  if (term == 0 || (!shows && !checks_keys_)) {
    return std::nullopt;
  }
  wire::GraphReply reply;
  std::string account;
  std::string queue_name;
  std::optional<Error> refusal;
  {
    const std::shared_lock lock(store_mutex_);
    const auto* queue = store_.MatchQueue(request.host, request.path);
    if (queue == nullptr) {
      return std::nullopt;
    }
    queue_name = queue->name;
    const auto id =
        graph::ParseJobId(request.path.substr(queue->path_prefix.size()));
    const auto caller = Authenticate(store_, *queue, request.key_digest);
    if (!caller) {
      // The decision thread remembers the refusal if an earlier attempt may
      // arrive late.
      if (request.earlier_attempt_open) {
        return std::nullopt;
      }
      refusal = caller.error();
    } else if (!shows || !id) {
      return std::nullopt;
    } else if (auto allowed = AuthorizeJob(store_, *id, *caller); !allowed) {
      refusal = allowed.error();
      account = *caller;
    } else {
      reply = DescribeJob(store_, *id);
    }
  }
  // A leader that still has its lease has read the newest state.
  if (!environment_.HasLease(term)) {
    return std::nullopt;
  }
  if (refusal) {
    return access_refusals_->Refuse(*refusal, request, queue_name, account);
  }
  return reply;
}

bool Engine::RefuseLateAttempt(GraphCall& call, TimePoint now) {
  const auto id = call.request.request_id;
  if (call.request.operation != wire::GraphOperation::kSubmit || id == 0) {
    return false;
  }
  if (const auto* refusal = refused_requests_->Find(id)) {
    Log(LogLevel::kInfo, "admission", "late attempt refused",
        {{"path", call.request.path}});
    wire::GraphReply reply;
    reply.status = *refusal;
    reply.refuses_earlier_attempts = true;
    call.reply(std::move(reply));
    return true;
  }
  if (call.request.earlier_attempt_open) {
    call.reply = [this, id, now,
                  forward = std::move(call.reply)](wire::GraphReply reply) {
      const auto code = static_cast<ResultCode>(reply.status.code);
      if (code != ResultCode::kOk && code != ResultCode::kNotLeader &&
          !reply.may_be_accepted) {
        reply.refuses_earlier_attempts =
            refused_requests_->Add(id, reply.status, now);
      }
      forward(std::move(reply));
    };
  }
  return false;
}

EngineOutput Engine::Advance(TimePoint now) {
  access_refusals_->LogIfDue(ToMilliseconds(now.time_since_epoch()));
  // Another leader may exist if this member does not hold the lease, so no
  // orders or proposals are sent.
  if (!leader_ || !environment_.HasLease(role_.term)) {
    EngineOutput out;
    out.max_wait = leader_ ? kNoLeaseMaxWait : kFollowerMaxWait;
    return out;
  }
  return leader_->Advance(now);
}

void Engine::Stop() {
  stopped_ = true;
  EndLeadership(Error(ResultCode::kNotLeader, "shutting down"));
}

void Engine::EndLeadership(const Error& error) {
  serving_term_ = 0;
  if (leader_) {
    leader_->Close(wire::ToStatus(error, role_.leader_address));
    leader_.reset();
  }
}

void Engine::Refuse(Call& call, const Error& error) const {
  struct Visitor {
    const Error& error;
    const wire::Status status;

    void operator()(GraphCall& it) const {
      wire::GraphReply reply;
      reply.status = status;
      it.reply(std::move(reply));
    }
    void operator()(AdviceCall& it) const {
      wire::AdviceOrders reply;
      reply.status = status;
      it.reply(std::move(reply));
    }
    void operator()(JoinCall& it) const { it.reply(status); }
    void operator()(LeaveCall& it) const { it.reply(status); }
    void operator()(ReportCall& it) const { it.reply(tl::unexpected(error)); }
    void operator()(DepartureCall& it) const {
      it.reply(tl::unexpected(error));
    }
    void operator()(PublishTableCall& it) const {
      it.reply(tl::unexpected(error));
    }
    void operator()(ReadTableCall& it) const {
      it.reply(tl::unexpected(error));
    }
  };
  // A leader that lost its lease or is stopping must not name itself as the
  // leader to try.
  const std::string hint =
      role_.leader_id == options_.id ? std::string() : role_.leader_address;
  std::visit(Visitor{error, wire::ToStatus(error, hint)}, call);
}

}  // namespace cranberryshunt::cell
