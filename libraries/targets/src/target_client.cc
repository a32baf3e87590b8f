#include "cranberryshunt/targets/target_client.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "answers.h"
#include "connection_pool.h"
#include "cranberryshunt/targets/json_reader.h"
#include "cranberryshunt/targets/task_record.h"

namespace cranberryshunt::targets {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Connection limit assumed for a target that has not announced one yet.
constexpr std::int32_t kAssumedConnections = 64;
// The largest answer with every byte escaped as \uXXXX, and the rest of its
// record.
constexpr std::size_t kMaxHttpAnswerBytes = 6 * kMaxAnswerBytes + 4096;
constexpr milliseconds kFirstPollInterval{20};
// Connections to a target that was not called for this long are closed.
constexpr std::chrono::minutes kUnusedLimit{1};

}  // namespace

struct TargetClient::Implementation {
  explicit Implementation(TargetClientOptions options)
      : options(std::move(options)) {}

  // Also sets the limit of the pool: this entry's share of the target's limit.
  std::shared_ptr<ConnectionPool> GetOrCreatePool(const Target& target);
  // Sends a call that does not wait for the end of a task.
  HttpAnswer Post(const Target& target,
                  const char* path,
                  const std::string& body,
                  Reuse reuse);
  // Sends a call on a connection of `pool`. `on_tick` may be empty; the call
  // ends if it returns false.
  HttpAnswer PostWithPool(
      ConnectionPool& pool,
      CallKind kind,
      Reuse reuse,
      const HttpCall& call,
      const std::string& address,
      const std::function<bool(const Connection&)>& on_tick);
  void AddTraffic(const std::string& address, std::int64_t bytes);

  const TargetClientOptions options;
  std::atomic<bool> aborted = false;
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<ConnectionPool>> pools;
  std::map<std::string, std::int64_t> traffic;
};

std::shared_ptr<ConnectionPool> TargetClient::Implementation::GetOrCreatePool(
    const Target& target) {
  std::lock_guard lock(mutex);
  auto& pool = pools[target.address];
  const bool created = pool == nullptr;
  if (created) {
    pool = std::make_shared<ConnectionPool>(options.token);
  }
  if (created || target.connections > 0) {
    const std::int32_t connections =
        target.connections > 0 ? target.connections : kAssumedConnections;
    pool->SetLimit(connections / std::max(options.entry_count, 1));
  }
  return pool;
}

void TargetClient::Implementation::AddTraffic(const std::string& address,
                                              std::int64_t bytes) {
  std::lock_guard lock(mutex);
  traffic[address] += bytes;
}

HttpAnswer TargetClient::Implementation::PostWithPool(
    ConnectionPool& pool,
    CallKind kind,
    Reuse reuse,
    const HttpCall& call,
    const std::string& address,
    const std::function<bool(const Connection&)>& on_tick) {
  auto connection =
      aborted ? nullptr : pool.Acquire(kind, reuse, options.call_timeout);
  if (!connection) {
    HttpAnswer answer;
    answer.result = HttpAnswer::Result::kNotSent;
    answer.detail = "no connection was free in time";
    return answer;
  }
  HttpAnswer answer = connection->Post(
      call, [&] { return !aborted && (!on_tick || on_tick(*connection)); });
  AddTraffic(address, answer.traffic_bytes);
  if (answer.result == HttpAnswer::Result::kTimedOut) {
    pool.RetireUpTo(connection->sequence());
  }
  pool.Release(std::move(connection), kind,
               answer.result == HttpAnswer::Result::kAnswered);
  return answer;
}

HttpAnswer TargetClient::Implementation::Post(const Target& target,
                                              const char* path,
                                              const std::string& body,
                                              Reuse reuse) {
  const HttpCall call{"http://" + target.address + path, body,
                      options.call_timeout, kMaxHttpAnswerBytes};
  return PostWithPool(*GetOrCreatePool(target), CallKind::kShort, reuse, call,
                      target.address, nullptr);
}

TargetClient::TargetClient(TargetClientOptions options)
    : implementation_(std::make_unique<Implementation>(std::move(options))) {}

TargetClient::~TargetClient() = default;

StartResult TargetClient::Start(const Target& target,
                                const wire::StartOrder& order,
                                const std::string& payload,
                                Reuse reuse) {
  const std::string body = RenderStartBody(order, payload, false);
  return ToStartResult(
      implementation_->Post(target, "/v1/tasks/start", body, reuse),
      order.attempt);
}

// Repeats lookups of an attempt until its result is known.
class TargetClient::AttemptPoller {
 public:
  AttemptPoller(TargetClient& client,
                const Target& target,
                const wire::AttemptKey& attempt)
      : client_(client),
        options_(client.implementation_->options),
        target_(target),
        attempt_(attempt),
        begin_(steady_clock::now()),
        last_found_(begin_) {}

  // Does one lookup. Returns the result of the attempt, or no value if polling
  // should go on.
  std::optional<StartResult> PollOnce() {
    auto result = client_.Lookup(target_, attempt_, false, reuse_);
    const auto now = steady_clock::now();
    interval_ = std::min(interval_ * 2, options_.lookup_interval);
    if (std::holds_alternative<NotFound>(result)) {
      return Undetermined{"the target does not know the attempt"};
    }
    if (auto* found = std::get_if<Found>(&result)) {
      reuse_ = Reuse::kAllowed;
      last_found_ = now;
      if (IsFinal(found->record)) {
        return ToStartResult(found->record);
      }
      return now - begin_ >= options_.task_wait_limit
                 ? std::optional<StartResult>(Accepted{})
                 : std::nullopt;
    }
    reuse_ = Reuse::kForbidden;
    if (now - last_found_ >= options_.unreachable_limit) {
      return Undetermined{"lookups got no answer"};
    }
    return std::nullopt;
  }

  // Pause before the next lookup.
  milliseconds interval() const { return interval_; }
  // Returns whether the last lookup failed.
  bool failed() const { return reuse_ == Reuse::kForbidden; }

 private:
  TargetClient& client_;
  const TargetClientOptions& options_;
  const Target& target_;
  const wire::AttemptKey& attempt_;
  const steady_clock::time_point begin_;
  steady_clock::time_point last_found_;
  milliseconds interval_ = kFirstPollInterval;
  Reuse reuse_ = Reuse::kAllowed;
};

StartResult TargetClient::StartAndWait(const Target& target,
                                       const wire::StartOrder& order,
                                       const std::string& payload,
                                       Reuse reuse) {
  auto pool = implementation_->GetOrCreatePool(target);
  if (!pool->AllowsWaitingCalls()) {
    // The only connection has to stay free for lookups and stops.
    auto started = Start(target, order, payload, reuse);
    return std::holds_alternative<Accepted>(started)
               ? PollUntilFinal(target, order.attempt)
               : started;
  }
  const auto& options = implementation_->options;
  auto next_lookup = steady_clock::now() + options.silence_limit;
  std::optional<AttemptPoller> poller;
  std::optional<StartResult> polled_result;
  const auto on_tick = [&](const Connection& connection) {
    const bool due = steady_clock::now() >= next_lookup ||
                     (!poller && pool->IsRetired(connection.sequence()));
    if (!due) {
      return true;
    }
    if (!poller) {
      poller.emplace(*this, target, order.attempt);
    }
    polled_result = poller->PollOnce();
    if (!polled_result && poller->failed()) {
      // The lookup may have used another connection that no longer responds.
      // That one is retired now, so a second lookup is useful.
      polled_result = poller->PollOnce();
    }
    next_lookup = steady_clock::now() + options.lookup_interval;
    if (polled_result) {
      // The start or its answer was lost on this connection.
      pool->RetireUpTo(connection.sequence());
    }
    return !polled_result.has_value();
  };
  const std::string body = RenderStartBody(order, payload, true);
  const HttpCall call{"http://" + target.address + "/v1/tasks/start", body,
                      options.task_wait_limit, kMaxHttpAnswerBytes};
  const HttpAnswer answer = implementation_->PostWithPool(
      *pool, CallKind::kWaiting, reuse, call, target.address, on_tick);
  return polled_result ? *polled_result : ToStartResult(answer, order.attempt);
}

StartResult TargetClient::PollUntilFinal(const Target& target,
                                         const wire::AttemptKey& attempt) {
  AttemptPoller poller(*this, target, attempt);
  while (!implementation_->aborted) {
    if (auto result = poller.PollOnce()) {
      return *result;
    }
    std::this_thread::sleep_for(poller.interval());
  }
  return Undetermined{"the entry is stopping"};
}

CallResult TargetClient::Stop(const Target& target,
                              const wire::AttemptKey& attempt,
                              bool checkpoint) {
  const JsonPtr body(json_object());
  AddAttemptKey(body.get(), attempt);
  json_object_set_new(body.get(), "checkpoint", json_boolean(checkpoint));
  return ToCallResult(implementation_->Post(
      target, "/v1/tasks/stop", RenderJson(body.get()), Reuse::kAllowed));
}

CallResult TargetClient::Throttle(const Target& target,
                                  const wire::AttemptKey& attempt,
                                  std::int32_t percent) {
  const JsonPtr body(json_object());
  AddAttemptKey(body.get(), attempt);
  json_object_set_new(body.get(), "percent", json_integer(percent));
  return ToCallResult(implementation_->Post(
      target, "/v1/tasks/throttle", RenderJson(body.get()), Reuse::kAllowed));
}

LookupResult TargetClient::Lookup(const Target& target,
                                  const wire::AttemptKey& attempt,
                                  bool bar,
                                  Reuse reuse) {
  const JsonPtr body(json_object());
  AddAttemptKey(body.get(), attempt);
  json_object_set_new(body.get(), "bar", json_boolean(bar));
  return ToLookupResult(implementation_->Post(target, "/v1/tasks/lookup",
                                              RenderJson(body.get()), reuse),
                        attempt);
}

CallResult TargetClient::Acknowledge(
    const Target& target,
    const std::vector<wire::AttemptKey>& attempts) {
  const JsonPtr body(json_object());
  json_t* tasks = json_array();
  for (const auto& attempt : attempts) {
    json_t* task = json_object();
    AddAttemptKey(task, attempt);
    json_array_append_new(tasks, task);
  }
  json_object_set_new(body.get(), "tasks", tasks);
  return ToCallResult(implementation_->Post(target, "/v1/tasks/acknowledge",
                                            RenderJson(body.get()),
                                            Reuse::kAllowed));
}

void TargetClient::Abort() {
  implementation_->aborted = true;
}

bool TargetClient::aborted() const {
  return implementation_->aborted;
}

void TargetClient::CloseUnusedConnections() {
  std::lock_guard lock(implementation_->mutex);
  const auto unused_since = steady_clock::now() - kUnusedLimit;
  std::erase_if(implementation_->pools, [&](const auto& entry) {
    return entry.second.use_count() == 1 &&
           entry.second->last_use() < unused_since;
  });
}

std::int64_t TargetClient::connection_count() const {
  std::lock_guard lock(implementation_->mutex);
  std::int64_t count = 0;
  for (const auto& [address, pool] : implementation_->pools) {
    count += pool->open_count();
  }
  return count;
}

std::map<std::string, std::int64_t> TargetClient::TakeTraffic() {
  std::lock_guard lock(implementation_->mutex);
  return std::exchange(implementation_->traffic, {});
}

}  // namespace cranberryshunt::targets
