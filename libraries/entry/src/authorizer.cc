#include "authorizer.h"

#include <utility>

#include "cranberryshunt/base/bytes.h"

namespace cranberryshunt::entry {

namespace {

// Audit records of refused tokens per second. The limit keeps a flood of wrong
// tokens from filling the replicated audit trail.
constexpr int kMaxRecordsPerSecond = 5;

const char* RoleName(Role role) {
  switch (role) {
    case Role::kCaller:
      return "caller";
    case Role::kTarget:
      return "target";
    case Role::kOperator:
      return "operator";
  }
  return "undefined";
}

}  // namespace

Authorizer::Authorizer(const EntryOptions& options,
                       Reporter& reporter,
                       MetricsRegistry& metrics)
    : options_(options), reporter_(reporter), metrics_(metrics) {}

const std::string& Authorizer::TokenOf(Role role) const {
  switch (role) {
    case Role::kCaller:
      return options_.caller_token;
    case Role::kTarget:
      return options_.target_token;
    case Role::kOperator:
      break;
  }
  return options_.operator_token;
}

bool Authorizer::Authorize(Role role, const HttpRequest& request) {
  const std::string& expected = TokenOf(role);
  const bool equal = ConstantTimeEquals(request.BearerToken(), expected);
  // With an empty token in the settings, a request without a token would pass.
  if (equal && !expected.empty()) {
    return true;
  }
  ++metrics_.Counter(std::string("refused_tokens{role=\"") + RoleName(role) +
                     "\"}");
  RecordRefusal(role, request);
  return false;
}

void Authorizer::RecordRefusal(Role role, const HttpRequest& request) {
  wire::AuditRecord record;
  {
    std::lock_guard lock(mutex_);
    const auto now = BootClock::now();
    if (now - second_started_at_ >= std::chrono::seconds(1)) {
      second_started_at_ = now;
      records_in_second_ = 0;
    }
    if (++records_in_second_ > kMaxRecordsPerSecond) {
      ++unrecorded_refusals_;
      return;
    }
    record.detail = std::string("token refused for role ") + RoleName(role) +
                    ", " +
                    std::to_string(std::exchange(unrecorded_refusals_, 0)) +
                    " earlier ones not recorded";
  }
  record.at_ms = WallClockMilliseconds();
  record.actor = request.PeerAddress();
  record.action = "refuse_token";
  reporter_.AddAuditRecord(record);
}

}  // namespace cranberryshunt::entry
