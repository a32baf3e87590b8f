#include <algorithm>
#include <utility>

#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/codec.h"
#include "leader.h"

namespace cranberryshunt::cell {

namespace {

// A cell in which some controllers are missing from the start serves with the
// voters that it has after this time.
constexpr std::int64_t kMaxFormationMs = 4'000;

wire::GraphReply ReplyWith(ResultCode code,
                           std::string message,
                           std::int64_t retry_after_ms = 0) {
  wire::GraphReply reply;
  reply.status = wire::ToStatus(Error(code, std::move(message)));
  reply.status.retry_after_ms = retry_after_ms;
  return reply;
}

AccountRefusal ToAccountRefusal(policy::RefusalCause cause) {
  switch (cause) {
    case policy::RefusalCause::kOverRate:
      return AccountRefusal::kOverRate;
    case policy::RefusalCause::kAccountLimit:
      return AccountRefusal::kAccountLimit;
    case policy::RefusalCause::kOverloaded:
      return AccountRefusal::kOverloaded;
    default:
      return AccountRefusal::kLate;
  }
}

const char* RefusalText(policy::RefusalCause cause) {
  switch (cause) {
    case policy::RefusalCause::kOverloaded:
      return "the leader is short of processor time";
    case policy::RefusalCause::kAccountLimit:
      return "the job would end after its objective because its account is at "
             "its limit";
    case policy::RefusalCause::kOverRate:
      return "the account has used up its rate";
    default:
      return "the job would end after its objective";
  }
}

Error NotCommitted() {
  return {ResultCode::kNotLeader, "leadership ended before the commit"};
}

// Whether a report adds nothing to the known record. A worker that is known to
// be leaving stays so, even if the report does not say it.
bool MatchesRecord(const wire::CalledWorker& known,
                   const wire::CalledWorker& reported) {
  wire::CalledWorker next = reported;
  next.leaving = known.leaving || reported.leaving;
  return known == next;
}

}  // namespace

void Leader::Handle(Call call, TimePoint now) {
  SetNow(now);
  struct Visitor {
    Leader& leader;

    void operator()(GraphCall& it) const { leader.HandleGraph(std::move(it)); }
    void operator()(AdviceCall& it) const {
      leader.advice_dispatcher_.OnPoll(std::move(it), leader.now_ms_);
    }
    void operator()(JoinCall& it) const {
      leader.members_.OnJoinRequest(it.member, leader.now_ms_);
      it.reply({});
    }
    void operator()(LeaveCall& it) const {
      it.reply(leader.HandleLeave(it.member.id));
    }
    void operator()(ReportCall& it) const {
      leader.HandleReport(std::move(it));
    }
    void operator()(DepartureCall& it) const {
      leader.RemoveDepartedWorker(std::move(it));
    }
    void operator()(PublishTableCall& it) const {
      leader.HandlePublish(std::move(it));
    }
    void operator()(ReadTableCall& it) const {
      it.reply(leader.store_.table().document);
    }
  };
  std::visit(Visitor{*this}, call);
}

void Leader::HandleGraph(GraphCall call) {
  const auto& request = call.request;
  if (store_.table().version == 0) {
    call.reply(ReplyWith(ResultCode::kNotReady, "there is no configuration"));
    return;
  }
  const auto* queue = store_.MatchQueue(request.host, request.path);
  if (queue == nullptr) {
    call.reply(ReplyWith(ResultCode::kNotFound, "there is no such queue"));
    return;
  }
  const auto account = AuthenticateOrRefuse(call, *queue);
  if (!account) {
    return;
  }
  const auto rest = request.path.substr(queue->path_prefix.size());
  if (rest.empty() && request.operation == wire::GraphOperation::kShow) {
    wire::GraphReply reply;
    reply.pending = pending_.Count(queue->name);
    call.reply(std::move(reply));
    return;
  }
  const auto id = graph::ParseJobId(rest);
  if (!id) {
    const bool submits = request.operation == wire::GraphOperation::kSubmit;
    call.reply(
        ReplyWith(submits ? ResultCode::kInvalidField : ResultCode::kGone,
                  "a job id has 16 lower-case hexadecimal digits"));
    return;
  }
  switch (request.operation) {
    case wire::GraphOperation::kSubmit:
      Submit(std::move(call), *queue, *id, *account);
      break;
    case wire::GraphOperation::kCancel:
      Cancel(std::move(call), *queue, *id, *account);
      break;
    default:
      Show(call, *queue, *id, *account);
      break;
  }
}

std::optional<std::string> Leader::AuthenticateOrRefuse(
    const GraphCall& call,
    const wire::JobQueue& queue) {
  auto account = Authenticate(store_, queue, call.request.key_digest);
  if (!account) {
    Refuse(call, account.error(), queue, {});
    return std::nullopt;
  }
  return std::move(*account);
}

void Leader::Refuse(const GraphCall& call,
                    const Error& error,
                    const wire::JobQueue& queue,
                    const std::string& account) {
  const auto& request = call.request;
  auto reply = access_refusals_.Refuse(error, request, queue.name, account);
  // An earlier attempt may have been accepted before the configuration changed.
  const auto id =
      graph::ParseJobId(request.path.substr(queue.path_prefix.size()));
  reply.may_be_accepted =
      request.operation == wire::GraphOperation::kSubmit &&
      request.earlier_attempt_open && id &&
      (store_.FindJob(*id) != nullptr || submitting_.contains(*id));
  call.reply(std::move(reply));
}

void Leader::Show(const GraphCall& call,
                  const wire::JobQueue& queue,
                  graph::JobId id,
                  const std::string& account) {
  if (auto allowed = AuthorizeJob(store_, id, account); !allowed) {
    Refuse(call, allowed.error(), queue, account);
    return;
  }
  call.reply(DescribeJob(store_, id));
}

// Submissions are idempotent by job id, whatever a repeated request contains.
void Leader::Resubmit(GraphCall call,
                      const wire::JobQueue& queue,
                      graph::JobId id,
                      const std::string& account) {
  const auto* job = store_.FindJob(id);
  const auto& owner =
      job != nullptr ? job->account() : submitting_.at(id).account;
  if (auto allowed = AuthorizeRepetition(store_, owner, account); !allowed) {
    Refuse(call, allowed.error(), queue, account);
  } else if (job != nullptr) {
    call.reply({});
  } else {
    submitting_.at(id).calls.push_back(std::move(call));
  }
}

void Leader::Submit(GraphCall call,
                    const wire::JobQueue& queue,
                    graph::JobId id,
                    const std::string& account) {
  if (store_.FindJob(id) != nullptr || submitting_.contains(id)) {
    Resubmit(std::move(call), queue, id, account);
    return;
  }
  const auto& job = call.request.job;
  policy::NewJob new_job;
  new_job.urgent = queue.priority == 0;
  new_job.account = planner_.accounts().NumberOf(account);
  if (ExceedsLimit(new_job.account, job)) {
    Log(LogLevel::kInfo, "admission", "job refused",
        {{"job", graph::FormatJobId(id)},
         {"queue", queue.name},
         {"account", account},
         {"reason", "exceeds the limit of its account"}});
    account_report_.RecordRefused(account, AccountRefusal::kLargerThanLimit);
    call.reply(
        ReplyWith(ResultCode::kQuotaExceeded,
                  "a task or gang is larger than the limit of the account"));
    return;
  }
  new_job.advice_ms = ExpectedAdviceMs(queue);
  const auto service = capacities_.find(queue.service_name);
  for (const auto& step : job.steps) {
    new_job.gang = new_job.gang || step.gang;
    const auto demand = DemandOf(step);
    const bool has_workers = service != capacities_.end();
    const auto fits = [&](const std::vector<policy::Demand>& capacities) {
      return std::any_of(capacities.begin(), capacities.end(),
                         [&](const auto& it) { return demand.FitsIn(it); });
    };
    if (has_workers && fits(service->second.committed)) {
      continue;
    }
    const bool shrunk = has_workers && fits(service->second.full);
    Log(LogLevel::kInfo, "admission", "job refused",
        {{"job", graph::FormatJobId(id)},
         {"queue", queue.name},
         {"account", account},
         {"reason", shrunk        ? "fits no worker now"
                    : has_workers ? "fits no worker"
                                  : "no workers"},
         {"milli_cpus", demand.milli_cpus},
         {"memory_mb", demand.memory_mb}});
    account_report_.RecordRefused(account, AccountRefusal::kNoWorkers);
    constexpr std::int64_t kNoWorkersRetryMs = 1'000;
    if (shrunk) {
      call.reply(ReplyWith(ResultCode::kNotReady,
                           "a task is larger than every worker is now",
                           kNoWorkersRetryMs));
    } else if (has_workers) {
      call.reply(ReplyWith(ResultCode::kImpossible,
                           "a task is larger than every worker"));
    } else {
      call.reply(ReplyWith(ResultCode::kNotReady,
                           "the queue has no workers now", kNoWorkersRetryMs));
    }
    return;
  }
  const auto remaining =
      RemainingTimes(queue, job, run_times_, RunLength::kExpected,
                     planner_.accounts(), new_job.account);
  new_job.critical_path_ms =
      *std::max_element(remaining.begin(), remaining.end());
  new_job.slack_ms =
      queue.latency_target_ms +
      static_cast<std::int64_t>((queue.stretch - 1) *
                                static_cast<double>(new_job.critical_path_ms)) -
      call.request.waited_ms;
  SetAccountFields(job, queue, new_job);
  const auto& load = LoadFor(new_job);
  const auto decision = policy::DecideAdmission(load, new_job);
  Log(LogLevel::kInfo, "admission",
      decision.accepted ? "job accepted" : "job refused",
      {{"job", graph::FormatJobId(id)},
       {"queue", queue.name},
       {"account", account},
       {"over_rate", new_job.over_rate ? "yes" : "no"},
       {"cause", policy::RefusalCauseName(decision.cause)},
       {"table_version", store_.table().version},
       {"critical_path_ms", new_job.critical_path_ms},
       {"slack_ms", new_job.slack_ms},
       {"expected_wait_ms", decision.expected_wait_ms},
       {"account_wait_ms", decision.account_wait_ms},
       {"preceding_cpus",
        static_cast<std::int64_t>(decision.preceding_milli_cpus) / 1'000},
       {"advice_wait_ms", load.advice_wait_ms},
       {"answer_ms", load.answer_ms},
       {"retry_after_ms", decision.retry_after_ms}});
  if (!decision.accepted) {
    ++metrics_.Counter("jobs_refused_total{queue=\"" + queue.name + "\"}");
    account_report_.RecordRefused(account, ToAccountRefusal(decision.cause));
    call.reply(ReplyWith(ResultCode::kQueueFull, RefusalText(decision.cause),
                         decision.retry_after_ms));
    return;
  }
  ++metrics_.Counter("jobs_accepted_total{queue=\"" + queue.name + "\"}");
  wire::AcceptedGraphJob accepted;
  accepted.id = static_cast<std::int64_t>(id);
  accepted.queue = queue;
  accepted.job = job;
  accepted.account = account;
  accepted.over_rate = new_job.over_rate;
  account_report_.RecordAccepted(account, new_job.over_rate);
  if (!new_job.over_rate) {
    account_rates_.TakeToken(new_job.account, now_ms_);
  }
  accepted.__set_submitted_ms(CellMs() - call.request.waited_ms);
  step_tracker_.RecordAcceptance(id, now_ms_ - call.request.waited_ms);
  step_tracker_.AddUncommitted(accepted, now_ms_);
  plan_due_ = true;
  batch_.jobs.push_back(std::move(accepted));
  batch_has_content_ = true;
  auto& submission = submitting_[id];
  submission.account = account;
  submission.calls.push_back(std::move(call));
  continuations_.emplace_back([this, id, new_job](bool committed) {
    if (!committed) {
      step_tracker_.Refresh(id, now_ms_, wall_ms_);
      if (!new_job.over_rate) {
        account_rates_.ReturnToken(new_job.account, now_ms_);
      }
    }
    auto node = submitting_.extract(id);
    if (node.empty()) {
      return;
    }
    for (auto& it : node.mapped().calls) {
      it.reply(committed ? wire::GraphReply()
                         : ReplyWith(ResultCode::kStorageFull,
                                     "the job could not be stored"));
    }
  });
}

wire::GraphReply DescribeJob(const graph::GraphStore& store, graph::JobId id) {
  const auto* job = store.FindJob(id);
  if (job == nullptr) {
    return ReplyWith(ResultCode::kGone, "no such job is known");
  }
  wire::GraphReply reply;
  reply.state = job->state();
  reply.pending = -1;
  return reply;
}

void Leader::Cancel(GraphCall call,
                    const wire::JobQueue& queue,
                    graph::JobId id,
                    const std::string& account) {
  const auto* job = store_.FindJob(id);
  const auto submitting = submitting_.find(id);
  if (job == nullptr && submitting == submitting_.end()) {
    call.reply(ReplyWith(ResultCode::kGone, "no such job is known"));
    return;
  }
  const auto& owner =
      job != nullptr ? job->account() : submitting->second.account;
  if (auto allowed = AuthorizeOwner(store_, owner, account); !allowed) {
    Refuse(call, allowed.error(), queue, account);
    return;
  }
  if (job != nullptr && !job->active()) {
    call.reply({});
    return;
  }
  Log(LogLevel::kInfo, "jobs", "job is being cancelled",
      {{"job", graph::FormatJobId(id)}});
  batch_.cancelled_jobs.push_back(static_cast<std::int64_t>(id));
  batch_has_content_ = true;
  continuations_.emplace_back([reply = std::move(call.reply)](bool committed) {
    reply(committed ? wire::GraphReply()
                    : ReplyWith(ResultCode::kNotLeader,
                                "leadership ended before the commit"));
  });
}

// Another writer may report anything, also under the id or at the address of a
// worker. A worker of a service that a later configuration adds reports again.
bool Leader::IsOfUnknownService(const wire::CalledWorker& worker) const {
  const auto& table = store_.table();
  const auto number = store_.FindWorker(worker.id);
  const bool registered = number && store_.workers().at(*number).service_name ==
                                        worker.service_name;
  return table.version != 0 && !registered &&
         std::none_of(
             table.services.begin(), table.services.end(),
             [&](const auto& it) { return it.name == worker.service_name; });
}

void Leader::HandleReport(ReportCall call) {
  const auto& report = call.report;
  const auto& worker = report.worker;
  const auto number = store_.FindWorker(worker.id);
  if (IsOfUnknownService(worker)) {
    ++metrics_.Counter("reports_of_unknown_services_total");
    call.reply({});
    return;
  }
  if (number) {
    const auto& known = store_.workers().at(*number);
    const auto* tracked_worker = workers_.Find(*number);
    const bool outdated =
        known.born_ms > worker.born_ms ||
        (known.born_ms == worker.born_ms && tracked_worker != nullptr &&
         report.sequence <= tracked_worker->report_sequence);
    if (outdated) {
      call.reply({});
      return;
    }
    if (known.born_ms == worker.born_ms) {
      workers_.OnReport(*number, report.sequence, report.clock_ms, now_ms_);
      workers_.RecordCapacity(*number, CapacityOf(worker));
      if (MatchesRecord(known, worker)) {
        call.reply({});
        return;
      }
    }
  }
  auto& waiting = registering_[worker.id];
  waiting.push_back(std::move(call));
  const auto record = waiting.back().report.worker;
  Log(LogLevel::kInfo, "workers", "worker is new or has changed",
      {{"worker", record.id},
       {"service", record.service_name},
       {"address", record.address},
       {"born_ms", record.born_ms},
       {"leaving", record.leaving ? "yes" : "no"},
       {"remaining_ms", waiting.back().report.remaining_ms}});
  batch_.workers.push_back(record);
  batch_has_content_ = true;
  continuations_.emplace_back([this, id = record.id](bool committed) {
    auto node = registering_.extract(id);
    if (node.empty()) {
      return;
    }
    for (auto& it : node.mapped()) {
      const auto known = store_.FindWorker(id);
      if (committed && known) {
        workers_.OnReport(*known, it.report.sequence, it.report.clock_ms,
                          now_ms_);
      }
      it.reply(committed ? Result<void>() : tl::unexpected(NotCommitted()));
    }
  });
}

void Leader::RemoveDepartedWorker(DepartureCall call) {
  const auto number = store_.FindWorker(call.worker_id);
  const bool outdated = number && call.born_ms != 0 &&
                        store_.workers().at(*number).born_ms > call.born_ms;
  if (!number || outdated) {
    call.reply({});
    return;
  }
  Log(LogLevel::kInfo, "workers", "worker has left",
      {{"worker", call.worker_id}, {"number", *number}});
  workers_.SetDeparted(*number, true);
  batch_.removed_workers.push_back(*number);
  batch_has_content_ = true;
  continuations_.emplace_back(
      [this, number = *number, reply = std::move(call.reply)](bool committed) {
        if (!committed) {
          workers_.SetDeparted(number, false);
        }
        reply(committed ? Result<void>() : tl::unexpected(NotCommitted()));
      });
}

wire::Status Leader::HandleLeave(const std::string& id) {
  switch (members_.OnLeaveRequest(id, environment_.Members(), now_ms_)) {
    case LeaveProgress::kDone:
      return {};
    case LeaveProgress::kInProgress:
      return wire::ToStatus(
          Error(ResultCode::kNotReady, "another member is taking its place"));
    case LeaveProgress::kNoReplacement:
      break;
  }
  return wire::ToStatus(
      Error(ResultCode::kUnavailable, "no other member can take its place"));
}

bool Leader::IsForming() const {
  return store_.table().version == 0 &&
         now_ms_ - first_now_ms_ < kMaxFormationMs &&
         !members_.HasAllVoters(environment_.Members().membership);
}

void Leader::HandleHeldPublications() {
  if (held_publications_.empty() || IsForming()) {
    return;
  }
  for (auto& it : std::exchange(held_publications_, {})) {
    HandlePublish(std::move(it));
  }
}

void Leader::HandlePublish(PublishTableCall call) {
  // A new cell starts with a part of its voters. A configuration that these
  // alone have stored could be lost with their disks.
  if (IsForming()) {
    Log(LogLevel::kInfo, "config", "version waits until the cell is formed",
        {{"version", call.table.version}});
    held_publications_.push_back(std::move(call));
    return;
  }
  const auto version = call.table.version;
  if (version <= store_.table().version) {
    Log(LogLevel::kInfo, "config", "table version is not newer",
        {{"version", version}, {"in_force", store_.table().version}});
    call.reply({});
    return;
  }
  // A batch holds only one table. Of two tables the one with the higher version
  // would win anyway.
  if (batch_.__isset.table && batch_.table.version >= version) {
    continuations_.emplace_back(
        [reply = std::move(call.reply)](bool committed) {
          reply(committed ? Result<void>() : tl::unexpected(NotCommitted()));
        });
    return;
  }
  Log(LogLevel::kInfo, "config", "version is being stored",
      {{"version", version},
       {"queues", call.table.queues.size()},
       {"in_force", store_.table().version}});
  batch_.table = std::move(call.table);
  batch_.__isset.table = true;
  batch_has_content_ = true;
  continuations_.emplace_back([reply = std::move(call.reply)](bool committed) {
    reply(committed ? Result<void>() : tl::unexpected(NotCommitted()));
  });
}

}  // namespace cranberryshunt::cell
