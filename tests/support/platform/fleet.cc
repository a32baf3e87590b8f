#include "support/platform/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <limits>
#include <optional>
#include <utility>

#include "support/json.h"
#include "support/loopback.h"

namespace cranberryshunt::test {

namespace {

using http::HttpRequest;
using http::HttpResponse;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kFirstPort = 20'000;
constexpr int kConflict = 409;
constexpr int kOtherInstance = 421;
constexpr int kUnavailable = 503;
constexpr std::int64_t kMaxLeaseMs = 10'000;
constexpr std::int64_t kStopDelayMs = 50;
constexpr milliseconds kPollInterval{2};

int PortOf(int worker) {
  return kFirstPort + 1 + worker;
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             steady_clock::now().time_since_epoch())
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t SpecField(const std::string& spec, const std::string& name) {
  const auto at = spec.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::atoll(spec.c_str() + at + name.size() + 1);
}

// Inserts `row`, unless it is empty, at the front of the list `name` of the
// JSON object `body`.
void InsertRow(const std::string& name,
               const std::string& row,
               std::string& body) {
  const auto list = "\"" + name + "\":[";
  const auto at = body.find(list);
  if (row.empty() || at == std::string::npos) {
    return;
  }
  const auto first = at + list.size();
  body.insert(first, body[first] == ']' ? row : row + ",");
}

}  // namespace

std::string TaskSpec(std::int64_t run_ms,
                     std::int64_t milli_cpus,
                     std::int64_t memory_mb) {
  return fmt::format("run_ms={};cpus={};memory={}", run_ms, milli_cpus,
                     memory_mb);
}

void TaskLedger::RecordStart(const std::string& task,
                             const std::string& worker) {
  const std::lock_guard lock(mutex_);
  ++starts_;
  auto& state = tasks_[task];
  state.history += " start on " + worker + ",";
  if (state.running > 0) {
    violations_.push_back(task +
                          " runs twice at the same time:" + state.history);
  }
  if (state.acknowledged) {
    violations_.push_back(
        task + " starts after its end was acknowledged:" + state.history);
  }
  ++state.running;
}

void TaskLedger::RecordEnd(const std::string& task, const std::string& how) {
  const std::lock_guard lock(mutex_);
  auto& state = tasks_[task];
  state.history += " " + how + ",";
  --state.running;
  state.done = state.done || how == "done";
}

void TaskLedger::RecordAcknowledgement(const std::string& task,
                                       const std::string& how) {
  const std::lock_guard lock(mutex_);
  auto& state = tasks_[task];
  state.history += " acknowledged as " + how + ",";
  state.acknowledged = state.acknowledged || how == "done";
}

void TaskLedger::RecordLostEnd(const std::string& task) {
  const std::lock_guard lock(mutex_);
  auto& state = tasks_[task];
  state.history += " end lost,";
}

void TaskLedger::AddViolation(const std::string& text) {
  const std::lock_guard lock(mutex_);
  violations_.push_back(text);
}

TaskLedger::JobCounts TaskLedger::CountsOf(const std::string& job) const {
  const std::lock_guard lock(mutex_);
  JobCounts counts;
  for (auto it = tasks_.lower_bound(job);
       it != tasks_.end() && it->first.starts_with(job); ++it) {
    ++counts.started;
    counts.done += it->second.done ? 1 : 0;
    counts.running += it->second.running;
  }
  return counts;
}

std::int64_t TaskLedger::starts() const {
  const std::lock_guard lock(mutex_);
  return starts_;
}

std::vector<std::string> TaskLedger::violations() const {
  const std::lock_guard lock(mutex_);
  return violations_;
}

class FleetWorker {
 public:
  FleetWorker(const FleetOptions& options,
              int n,
              std::string reported_address,
              std::int64_t clock_ms,
              TaskLedger& ledger)
      : options_(options),
        id_(fmt::format("i-{:04}", n)),
        rack_(fmt::format("r-{}", n / 8)),
        address_(std::move(reported_address)),
        born_ms_(UnixMs()),
        clock_offset_ms_(NowMs() - clock_ms),
        ledger_(ledger) {}

  HttpResponse OnStart(const HttpRequest& request);
  HttpResponse OnStop(const HttpRequest& request);
  // Extends the lease, drops the acknowledged ends and returns the running and
  // the ended runs. Waits for an end, up to the wait that the request gives.
  HttpResponse OnHold(const HttpRequest& request);
  // Ends the runs whose time is up, and all runs once the lease has expired.
  void EndExpiredRuns();
  std::string MakeHeartbeat();
  int runs();
  // Ends this incarnation: its runs end, it forgets what has ended and carries
  // out nothing more.
  void End();

  const std::string& id() const { return id_; }
  const std::string& reported_address() const { return address_; }
  std::int64_t ClockMs() const { return NowMs() - clock_offset_ms_; }
  bool reachable() const { return !silent && !cut_off; }
  std::atomic<bool> silent = false;
  std::atomic<bool> cut_off = false;
  std::atomic<bool> loses_responses = false;
  std::atomic<std::int64_t> next_heartbeat_ms = 0;
  std::atomic<std::size_t> controller = 0;

 private:
  struct Run {
    std::int64_t end_ms = 0;
    bool stopped = false;
    std::int64_t milli_cpus = 0;
    std::int64_t memory_mb = 0;
  };
  using Key = std::pair<std::string, std::int64_t>;

  // Only reports and lists of runs name the incarnation.
  HttpResponse MakeResponse(int status, Json body) const;
  HttpResponse MakeRefusal(const char* reason) const;
  static HttpResponse MakeUnavailable();
  // Returns a refusal if this incarnation has ended, if the request is for
  // another instance or if it has a fencing token below the highest one
  // received. Otherwise keeps the token.
  std::optional<HttpResponse> CheckInstanceAndFence(const HttpRequest& request,
                                                    const json_t* body);
  // Responds only after the caller has timed out, or when this incarnation
  // ends. Called without the mutex, so that leases can expire in the meantime.
  HttpResponse RespondAfterTimeout();
  void ExtendLease(std::int64_t until_ms);
  void EndRun(const Key& key, const char* outcome);
  void ForgetAcknowledgedEnds();

  const FleetOptions& options_;
  const std::string id_;
  const std::string rack_;
  const std::string address_;
  const std::int64_t born_ms_;
  const std::int64_t clock_offset_ms_;
  TaskLedger& ledger_;

  std::mutex mutex_;
  std::condition_variable changed_;
  bool closed_ = false;
  std::int64_t fence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::int64_t sequence_ = 0;
  std::map<Key, Run> runs_;
  // By task, the highest run that has ended or was stopped. It and earlier runs
  // must not start.
  std::map<std::string, std::int64_t> highest_closed_run_;
  struct EndedRun {
    std::int64_t number;
    Key key;
    std::string outcome;
  };
  std::vector<EndedRun> ended_runs_;
  std::int64_t next_end_number_ = 1;
  // Ends up to this number are forgotten, also those that are still to come.
  std::int64_t acknowledged_end_ = 0;
};

HttpResponse FleetWorker::MakeResponse(int status, Json body) const {
  Set(body.get(), "clockMs", ClockMs());
  HttpResponse response;
  response.status = status;
  response.body = DumpJson(body.get());
  return response;
}

HttpResponse FleetWorker::MakeRefusal(const char* reason) const {
  Json body(json_object());
  Set(body.get(), "reason", std::string(reason));
  return MakeResponse(kConflict, std::move(body));
}

HttpResponse FleetWorker::MakeUnavailable() {
  HttpResponse response;
  response.status = kUnavailable;
  response.close = true;
  return response;
}

std::optional<HttpResponse> FleetWorker::CheckInstanceAndFence(
    const HttpRequest& request,
    const json_t* body) {
  if (closed_) {
    return MakeUnavailable();
  }
  const auto expected_instance = request.Header("X-Expect-Instance");
  if (!expected_instance.empty() && expected_instance != id_) {
    return MakeResponse(kOtherInstance, Json(json_object()));
  }
  const auto fence = IntegerOf(body, "fenceToken");
  if (fence < fence_) {
    return MakeRefusal("fence");
  }
  fence_ = fence;
  return std::nullopt;
}

HttpResponse FleetWorker::RespondAfterTimeout() {
  // Longer than the timeout of every caller.
  constexpr std::chrono::seconds kDelay{3};
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, kDelay, [&] { return closed_; });
  return MakeUnavailable();
}

void FleetWorker::ExtendLease(std::int64_t until_ms) {
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(until_ms, ClockMs() + kMaxLeaseMs));
}

HttpResponse FleetWorker::OnStart(const HttpRequest& request) {
  const Json body = ParseJson(std::string(request.body()));
  if (!reachable()) {
    return RespondAfterTimeout();
  }
  std::unique_lock lock(mutex_);
  if (auto refused = CheckInstanceAndFence(request, body.get())) {
    return std::move(*refused);
  }
  const Key key(TextOf(body.get(), "task"), IntegerOf(body.get(), "run"));
  // Also for a start that is then refused as old.
  const auto expires_ms = IntegerOf(body.get(), "expiresMs");
  ExtendLease(expires_ms);
  if (runs_.contains(key)) {
    return MakeResponse(200, Json(json_object()));
  }
  const auto closed_run = highest_closed_run_.find(key.first);
  if (closed_run != highest_closed_run_.end() &&
      closed_run->second >= key.second) {
    return MakeRefusal("old");
  }
  if (expires_ms <= ClockMs()) {
    return MakeRefusal("late");
  }
  const auto spec = TextOf(body.get(), "spec");
  Run run;
  run.end_ms = ClockMs() + SpecField(spec, "run_ms");
  run.milli_cpus = SpecField(spec, "cpus");
  run.memory_mb = SpecField(spec, "memory");
  auto cpus = run.milli_cpus;
  auto memory = run.memory_mb;
  for (const auto& [other, it] : runs_) {
    cpus += it.milli_cpus;
    memory += it.memory_mb;
  }
  if (cpus > options_.milli_cpus || memory > options_.memory_mb) {
    ledger_.AddViolation(id_ + " is over its capacity");
  }
  runs_[key] = run;
  ledger_.RecordStart(key.first, id_);
  lock.unlock();
  return loses_responses ? RespondAfterTimeout()
                         : MakeResponse(200, Json(json_object()));
}

HttpResponse FleetWorker::OnStop(const HttpRequest& request) {
  const Json body = ParseJson(std::string(request.body()));
  if (!reachable()) {
    return RespondAfterTimeout();
  }
  std::unique_lock lock(mutex_);
  if (auto refused = CheckInstanceAndFence(request, body.get())) {
    return std::move(*refused);
  }
  const Key key(TextOf(body.get(), "task"), IntegerOf(body.get(), "run"));
  auto& closed_run = highest_closed_run_[key.first];
  closed_run = std::max(closed_run, key.second);
  const auto run = runs_.find(key);
  if (run != runs_.end()) {
    run->second.stopped = true;
    run->second.end_ms = std::min(run->second.end_ms, ClockMs() + kStopDelayMs);
  }
  lock.unlock();
  return loses_responses ? RespondAfterTimeout()
                         : MakeResponse(200, Json(json_object()));
}

void FleetWorker::ForgetAcknowledgedEnds() {
  std::erase_if(ended_runs_, [&](const auto& it) {
    if (it.number > acknowledged_end_) {
      return false;
    }
    ledger_.RecordAcknowledgement(it.key.first, it.outcome);
    return true;
  });
}

HttpResponse FleetWorker::OnHold(const HttpRequest& request) {
  const Json body = ParseJson(std::string(request.body()));
  if (!reachable()) {
    return RespondAfterTimeout();
  }
  std::unique_lock lock(mutex_);
  if (auto refused = CheckInstanceAndFence(request, body.get())) {
    return std::move(*refused);
  }
  ExtendLease(IntegerOf(body.get(), "expiresMs"));
  acknowledged_end_ =
      std::max(acknowledged_end_, IntegerOf(body.get(), "ackSeq"));
  ForgetAcknowledgedEnds();
  changed_.wait_for(lock, milliseconds(IntegerOf(body.get(), "waitMs")),
                    [&] { return closed_ || !ended_runs_.empty(); });
  if (closed_) {
    return MakeUnavailable();
  }
  Json response_body(json_object());
  json_t* running = json_array();
  for (const auto& [key, run] : runs_) {
    json_array_append_new(running,
                          json_pack("[s,I,s,i,i]", key.first.c_str(),
                                    static_cast<json_int_t>(key.second), "", 0,
                                    static_cast<int>(run.milli_cpus)));
  }
  json_t* ended = json_array();
  for (const auto& it : ended_runs_) {
    json_array_append_new(
        ended,
        json_pack("[I,s,I,s,s]", static_cast<json_int_t>(it.number),
                  it.key.first.c_str(), static_cast<json_int_t>(it.key.second),
                  it.outcome.c_str(), ""));
  }
  json_object_set_new(response_body.get(), "running", running);
  json_object_set_new(response_body.get(), "ended", ended);
  Set(response_body.get(), "born", born_ms_);
  auto response = MakeResponse(200, std::move(response_body));
  InsertRow("running", options_.odd_row, response.body);
  InsertRow("ended", options_.odd_row, response.body);
  return response;
}

void FleetWorker::EndRun(const Key& key, const char* outcome) {
  auto& closed_run = highest_closed_run_[key.first];
  closed_run = std::max(closed_run, key.second);
  ended_runs_.push_back({next_end_number_++, key, outcome});
  runs_.erase(key);
  ledger_.RecordEnd(key.first, outcome);
  ForgetAcknowledgedEnds();
  changed_.notify_all();
}

void FleetWorker::EndExpiredRuns() {
  const std::lock_guard lock(mutex_);
  const auto now = ClockMs();
  const bool lease_expired = now > lease_until_ms_;
  for (auto it = runs_.begin(); it != runs_.end();) {
    const auto key = it->first;
    const auto run = it->second;
    ++it;
    if (lease_expired) {
      EndRun(key, "lapsed");
    } else if (run.end_ms <= now) {
      EndRun(key, run.stopped ? "stopped" : "done");
    }
  }
}

int FleetWorker::runs() {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(runs_.size());
}

std::string FleetWorker::MakeHeartbeat() {
  const std::lock_guard lock(mutex_);
  Json body(json_object());
  Set(body.get(), "service", options_.service);
  Set(body.get(), "address", address_);
  Set(body.get(), "zone", std::string("zone-a"));
  Set(body.get(), "version", std::string("v1"));
  Set(body.get(), "slots", std::int64_t{8});
  Set(body.get(), "state", std::string("ready"));
  Set(body.get(), "coldLeftMs", std::int64_t{0});
  Set(body.get(), "clockMs", ClockMs());
  Set(body.get(), "seq", ++sequence_);
  Set(body.get(), "born", born_ms_);
  json_object_set_new(
      body.get(), "capacity",
      json_pack("{s:I,s:I,s:i}", "cpu",
                static_cast<json_int_t>(options_.milli_cpus), "memMb",
                static_cast<json_int_t>(options_.memory_mb), "gpu", 0));
  json_object_set_new(body.get(), "labels",
                      json_pack("[s,s]", "a", rack_.c_str()));
  return DumpJson(body.get());
}

void FleetWorker::End() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  next_heartbeat_ms = std::numeric_limits<std::int64_t>::max();
  for (const auto& [key, run] : std::exchange(runs_, {})) {
    ledger_.RecordEnd(key.first, "lost");
  }
  for (const auto& it : std::exchange(ended_runs_, {})) {
    ledger_.RecordLostEnd(it.key.first);
  }
  changed_.notify_all();
}

Fleet::Fleet(const FleetOptions& options, std::vector<std::string> controllers)
    : options_(options), controllers_(std::move(controllers)) {}

Fleet::~Fleet() {
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
  client_.reset();
  for (auto& it : workers_) {
    it->End();
  }
  worker_servers_.clear();
  advice_server_.reset();
}

std::unique_ptr<Fleet> Fleet::Start(const FleetOptions& options,
                                    std::vector<std::string> controllers) {
  std::unique_ptr<Fleet> fleet(new Fleet(options, std::move(controllers)));
  if (!fleet->StartServers()) {
    return nullptr;
  }
  fleet->thread_ = std::thread([raw = fleet.get()] { raw->Run(); });
  return fleet;
}

std::unique_ptr<http::HttpServer> Fleet::StartServer(
    int port,
    std::vector<http::HttpRoute> routes) {
  constexpr std::size_t kMaxBodyBytes = 1U << 20;
  constexpr unsigned int kMaxConnections = 64;
  http::HttpServerOptions server_options;
  server_options.max_body_bytes = kMaxBodyBytes;
  server_options.max_connections = kMaxConnections;
  server_options.listen_address = fmt::format("{}:{}", OwnLoopbackIp(), port);
  auto server =
      http::HttpServer::Start(server_options, std::move(routes), metrics_);
  return server ? std::move(*server) : nullptr;
}

std::unique_ptr<http::HttpServer> Fleet::StartWorkerServer(int n) {
  auto* worker = workers_[static_cast<std::size_t>(n)].get();
  return StartServer(
      PortOf(n), {{"POST", "/run-start",
                   [worker](const auto& it) { return worker->OnStart(it); }},
                  {"POST", "/run-stop",
                   [worker](const auto& it) { return worker->OnStop(it); }},
                  {"POST", "/hold",
                   [worker](const auto& it) { return worker->OnHold(it); }}});
}

bool Fleet::RestartWorker(int n, const WorkerRestart& restart) {
  constexpr milliseconds kBindPause{10};
  const auto index = static_cast<std::size_t>(n);
  std::unique_ptr<http::HttpServer> server;
  {
    const std::lock_guard lock(mutex_);
    workers_[index]->End();
    server = std::move(worker_servers_[index]);
  }
  // Waits for requests in flight, while the other workers go on.
  server.reset();
  {
    const std::lock_guard lock(mutex_);
    former_workers_.push_back(std::move(workers_[index]));
    workers_[index] = std::make_unique<FleetWorker>(
        options_, n, ReportedAddress(n), restart.clock_ms, ledger_);
    workers_[index]->next_heartbeat_ms = NowMs() + restart.first_heartbeat_ms;
  }
  // Another socket may have the port for a moment.
  constexpr int kBindAttempts = 30;
  for (int attempt = 0; attempt < kBindAttempts && server == nullptr;
       ++attempt) {
    std::this_thread::sleep_for(kBindPause * attempt);
    server = StartWorkerServer(n);
  }
  const std::lock_guard lock(mutex_);
  worker_servers_[index] = std::move(server);
  return worker_servers_[index] != nullptr;
}

bool Fleet::StartServers() {
  advice_address_ = fmt::format("{}:{}", OwnLoopbackIp(), kFirstPort);
  advice_server_ = StartServer(
      kFirstPort,
      {{"POST", "/advise", [this](const auto& it) { return OnAdvise(it); }}});
  if (advice_server_ == nullptr) {
    return false;
  }
  for (int n = 0; n < options_.workers; ++n) {
    workers_.push_back(std::make_unique<FleetWorker>(
        options_, n, ReportedAddress(n), options_.clock_ms, ledger_));
    worker_servers_.push_back(StartWorkerServer(n));
    if (worker_servers_.back() == nullptr) {
      return false;
    }
  }
  auto client = http::HttpClient::Create({});
  if (client) {
    client_ = std::move(*client);
  }
  return client.has_value();
}

void Fleet::Run() {
  while (!stopping_) {
    Advance();
    std::this_thread::sleep_for(kPollInterval);
  }
}

void Fleet::Advance() {
  const std::lock_guard lock(mutex_);
  const auto now = NowMs();
  for (auto& it : workers_) {
    it->EndExpiredRuns();
    if (it->reachable() && now >= it->next_heartbeat_ms) {
      it->next_heartbeat_ms = now + options_.heartbeat_ms;
      SendHeartbeat(*it);
    }
  }
}

void Fleet::SendHeartbeat(FleetWorker& worker) {
  http::HttpCall call;
  call.method = "POST";
  call.url = "http://" + controllers_[worker.controller % controllers_.size()] +
             "/Instances.Heartbeat/" + worker.id();
  call.headers = {"Content-Type: application/json", "Expect:"};
  call.body = worker.MakeHeartbeat();
  client_->Send(std::move(call), [&worker](const http::HttpAnswer& answer) {
    if (answer.status != 200) {
      constexpr int kRetryDelayMs = 50;
      ++worker.controller;
      worker.next_heartbeat_ms = NowMs() + kRetryDelayMs;
    }
  });
}

HttpResponse Fleet::OnAdvise(const HttpRequest& request) const {
  constexpr milliseconds kDecisionTime{5};
  std::this_thread::sleep_for(kDecisionTime);
  const Json body = ParseJson(std::string(request.body()));
  const auto step = TextOf(body.get(), "step");
  Json response_body(json_object());
  json_t* allowed = json_array();
  const json_t* workers = json_object_get(body.get(), "workers");
  for (std::size_t i = 0; i < json_array_size(workers); ++i) {
    const std::string worker = json_string_value(json_array_get(workers, i));
    constexpr std::size_t kDraws = 1'000;
    const auto draw = std::hash<std::string>()(step + worker) % kDraws;
    if (static_cast<double>(draw) < options_.allowed_share * kDraws) {
      json_array_append_new(allowed,
                            json_pack("[s,s]", worker.c_str(), "ticket"));
    }
  }
  json_object_set_new(response_body.get(), "allowed", allowed);
  HttpResponse response;
  response.body = DumpJson(response_body.get());
  InsertRow("allowed", options_.odd_row, response.body);
  return response;
}

std::string Fleet::ListenAddress(int worker) const {
  return fmt::format("{}:{}", OwnLoopbackIp(), PortOf(worker));
}

std::string Fleet::ReportedAddress(int worker) const {
  return fmt::format("{}:{}", OwnLoopbackIp(),
                     PortOf(worker) + options_.reported_port_offset);
}

void Fleet::SetLosesResponses(int worker, bool loses_responses) {
  const std::lock_guard lock(mutex_);
  workers_[static_cast<std::size_t>(worker)]->loses_responses = loses_responses;
}

void Fleet::SetCutOff(int worker, bool cut_off) {
  const std::lock_guard lock(mutex_);
  workers_[static_cast<std::size_t>(worker)]->cut_off = cut_off;
}

int Fleet::RunsOn(int worker) {
  const std::lock_guard lock(mutex_);
  return workers_[static_cast<std::size_t>(worker)]->runs();
}

std::int64_t Fleet::ClockOf(int worker) {
  const std::lock_guard lock(mutex_);
  return workers_[static_cast<std::size_t>(worker)]->ClockMs();
}

void Fleet::SetSilent(int worker, bool silent) {
  const std::lock_guard lock(mutex_);
  workers_[static_cast<std::size_t>(worker)]->silent = silent;
}

}  // namespace cranberryshunt::test
