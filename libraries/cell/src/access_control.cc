#include "access_control.h"

#include <utility>

#include "cranberryshunt/base/log.h"
#include "cranberryshunt/wire/codec.h"

namespace cranberryshunt::cell {

namespace {

constexpr std::int64_t kLogIntervalMs = 1'000;

// In the order of AccessRefusals::Reason.
constexpr std::array kCounterNames = {
    "calls_refused_total{reason=\"unknown_key\"}",
    "calls_refused_total{reason=\"missing_key\"}",
    "calls_refused_total{reason=\"wrong_account\"}"};

Result<void> FailForWrongAccount() {
  return Fail(ResultCode::kWrongAccount,
              "the job belongs to another client account");
}

}  // namespace

Result<std::string> Authenticate(const graph::GraphStore& store,
                                 const wire::JobQueue& queue,
                                 const std::string& key_digest) {
  if (!store.table().checks_keys) {
    return std::string();
  }
  if (key_digest.empty()) {
    if (queue.allows_anonymous) {
      return std::string();
    }
    return Fail(ResultCode::kUnauthorized, "the queue needs a key");
  }
  auto account = store.FindAccount(key_digest);
  if (!account) {
    return Fail(ResultCode::kUnauthorized, "the key belongs to no account");
  }
  return std::move(*account);
}

Result<void> AuthorizeOwner(const graph::GraphStore& store,
                            const std::string& owner,
                            const std::string& account) {
  if (!store.table().checks_keys || owner.empty() || owner == account) {
    return {};
  }
  return FailForWrongAccount();
}

Result<void> AuthorizeJob(const graph::GraphStore& store,
                          graph::JobId job,
                          const std::string& account) {
  const auto* found = store.FindJob(job);
  return found == nullptr ? Result<void>()
                          : AuthorizeOwner(store, found->account(), account);
}

Result<void> AuthorizeRepetition(const graph::GraphStore& store,
                                 const std::string& owner,
                                 const std::string& account) {
  if (!store.table().checks_keys || owner == account) {
    return {};
  }
  return FailForWrongAccount();
}

AccessRefusals::Reason AccessRefusals::ReasonOf(
    const Error& error,
    const wire::GraphRequest& request) {
  if (error.code() == ResultCode::kWrongAccount) {
    return kWrongAccount;
  }
  return request.key_digest.empty() ? kMissingKey : kUnknownKey;
}

wire::GraphReply AccessRefusals::Refuse(const Error& error,
                                        const wire::GraphRequest& request,
                                        const std::string& queue,
                                        const std::string& account) {
  const auto reason = ReasonOf(error, request);
  ++metrics_.Counter(kCounterNames[reason]);
  {
    const std::lock_guard lock(mutex_);
    ++unlogged_[reason];
    queue_ = queue;
    account_ = account;
  }
  has_unlogged_ = true;
  wire::GraphReply reply;
  reply.status = wire::ToStatus(error);
  return reply;
}

void AccessRefusals::LogIfDue(std::int64_t now_ms) {
  if (!has_unlogged_ || now_ms - last_log_ms_ < kLogIntervalMs) {
    return;
  }
  last_log_ms_ = now_ms;
  has_unlogged_ = false;
  decltype(unlogged_) counts{};
  std::string queue;
  std::string account;
  {
    const std::lock_guard lock(mutex_);
    std::swap(counts, unlogged_);
    queue = queue_;
    account = account_;
  }
  Log(LogLevel::kInfo, "access", "calls refused",
      {{"unknown_key", counts[kUnknownKey]},
       {"missing_key", counts[kMissingKey]},
       {"wrong_account", counts[kWrongAccount]},
       {"last_queue", queue},
       {"last_account", account}});
}

}  // namespace cranberryshunt::cell
